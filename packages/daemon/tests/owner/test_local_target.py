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

OWN = Instance("here", Role.SIDECAR, "127.0.0.1:1", "a", service="llm")

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
        self.refusal = None

    def start(self, request):
        if self.refusal is not None:
            raise self.refusal
        self.started.append(request)
        return self.running

    def build_answer(self, execution):
        return DispatchResponse(execution.answer, execution.usage, TargetLoad(queued=3))


class LocalTargetTest(unittest.TestCase):
    def run_call(self, write, *, stream, known="", refusal=None):
        """Runs a call while `write` acts as the target; returns what became of it."""

        async def run():
            self.local = FakeLocalTarget()
            self.local.refusal = refusal
            self.execution = Execution("hash")
            if known:
                self.execution.add_text(known)
            connector = TargetConnector(
                Transport(), local_instance="here", local=self.local
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                return await connector.send_call(
                    OWN, REQUEST, self.execution, stream=stream
                )

        return trio.run(run)

    def finish(self):
        text = msgspec.json.encode(self.local.running.get_text())
        self.local.running.finish(msgspec.Raw(text), TokenUsage(completion_tokens=2))

    def test_streams_text_from_the_offset_and_returns_the_load(self):
        async def write():
            self.local.running.add_text("abc")
            await trio.testing.wait_all_tasks_blocked()
            self.local.running.add_text("def")
            await trio.testing.wait_all_tasks_blocked()
            self.finish()

        answer = self.run_call(write, stream=True, known="ab")
        self.assertEqual(self.execution.get_text(), "abcdef")
        self.assertEqual(self.local.started[0].resume_offset, 2)
        self.assertEqual(answer.usage.completion_tokens, 2)
        self.assertEqual(answer.load.queued, 3)

    def test_gives_a_whole_answer_at_its_end_alone(self):
        async def write():
            self.local.running.add_text("abc")
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.execution.length, 0)
            self.finish()

        self.run_call(write, stream=False)
        self.assertEqual(self.execution.get_text(), "abc")
        self.assertEqual(self.local.started[0].resume_offset, 0)

    def test_passes_a_failure_on_after_the_text_before_it(self):
        async def write():
            self.local.running.add_text("abc")
            self.local.running.fail(Unavailable("gone", retry_after=1.0))

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_call(write, stream=True)
        self.assertIsNotNone(caught.exception.subgroup(Unavailable))
        self.assertEqual(self.execution.get_text(), "abc")

    def test_a_refused_call_did_not_start(self):
        refusal = Unavailable("restarted", retry_after=0.0)
        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_call(trio.sleep_forever, stream=False, refusal=refusal)
        self.assertIsNotNone(caught.exception.subgroup(Unavailable))
        self.assertEqual(self.local.started, [])


if __name__ == "__main__":
    unittest.main()
