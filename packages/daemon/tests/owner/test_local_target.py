import unittest

import msgspec
import trio
import trio.testing

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.messages import (
    DispatchRequest,
    DispatchResponse,
    Instance,
    Message,
    ModelRequest,
    Role,
    TargetLoad,
    TokenUsage,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner.target_connector import TargetConnector

LOCAL_INSTANCE = Instance("here", Role.SIDECAR, "127.0.0.1:1", "a", service="llm")

REQUEST = DispatchRequest(
    call="1",
    incarnation="i",
    shard=0,
    epoch=1,
    team="t",
    program="p",
    service="llm",
    kind=ServiceKind.MODEL,
    deadline_seconds=5.0,
    model=ModelRequest([Message("user", "hello")], 8),
)


class FakeLocalTarget:
    def __init__(self):
        self.started = []
        self.running = Execution("hash")
        self.rejection = None

    def start(self, request):
        if self.rejection is not None:
            raise self.rejection
        self.started.append(request)
        return self.running

    def build_response(self, execution):
        return DispatchResponse(execution.answer, execution.usage, TargetLoad(queued=3))


class LocalTargetTests(unittest.TestCase):
    def run_call(self, write, *, stream, received_text="", rejection=None):
        """Runs a call while `write` plays the target, and returns the answer."""

        async def run():
            self.local = FakeLocalTarget()
            self.local.rejection = rejection
            self.execution = Execution("hash")
            if received_text:
                self.execution.add_text(received_text)
            connector = TargetConnector(
                Transport(), local_instance="here", local=self.local
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                return await connector.send_call(
                    LOCAL_INSTANCE, REQUEST, self.execution, stream=stream
                )

        return trio.run(run)

    def finish(self):
        text = msgspec.json.encode(self.local.running.get_text())
        self.local.running.finish(msgspec.Raw(text), TokenUsage(completion_tokens=2))

    def test_stream_resumes_at_the_offset_and_returns_the_load(self):
        async def write():
            self.local.running.add_text("abc")
            await trio.testing.wait_all_tasks_blocked()
            self.local.running.add_text("def")
            await trio.testing.wait_all_tasks_blocked()
            self.finish()

        answer = self.run_call(write, stream=True, received_text="ab")
        self.assertEqual(self.execution.get_text(), "abcdef")
        self.assertEqual(self.local.started[0].resume_offset, 2)
        self.assertEqual(answer.usage.completion_tokens, 2)
        self.assertEqual(answer.load.queued, 3)

    def test_call_without_streaming_gets_its_answer_only_at_the_end(self):
        async def write():
            self.local.running.add_text("abc")
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.execution.length, 0)
            self.finish()

        self.run_call(write, stream=False)
        self.assertEqual(self.execution.get_text(), "abc")
        self.assertEqual(self.local.started[0].resume_offset, 0)

    def test_failed_stream_delivers_the_text_before_the_failure(self):
        async def write():
            self.local.running.add_text("abc")
            self.local.running.fail(Unavailable("gone", retry_after=1.0))

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_call(write, stream=True)
        self.assertIsNotNone(caught.exception.subgroup(Unavailable))
        self.assertEqual(self.execution.get_text(), "abc")

    def test_rejected_call_does_not_start(self):
        rejection = Unavailable("restarted", retry_after=0.0)
        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_call(trio.sleep_forever, stream=False, rejection=rejection)
        self.assertIsNotNone(caught.exception.subgroup(Unavailable))
        self.assertEqual(self.local.started, [])


if __name__ == "__main__":
    unittest.main()
