import contextlib
import unittest

import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    OutcomeUnknown,
    ServiceError,
    TargetDied,
)
from goldcrestvane_common.messages import ModelRequest
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.target.engine import EngineClient
from goldcrestvane_daemon.target.tool import ToolClient
from target.test_late_copies import build_request

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
FIRST = b'data: {"choices": [{"delta": {"content": "one"}}]}\n\n'
SECOND = b'data: {"choices": [{"delta": {"content": "two"}}]}\n\n'
END = b'data: {"choices": [], "usage": {}}\n\ndata: [DONE]\n\n'


class ClosingTarget:
    """Answers each request with the next body and ends the connection after it."""

    def __init__(self, bodies, head=HEAD):
        self.bodies = list(bodies)
        self.head = head
        self.requests = []

    async def serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                request = b""
                while b"\r\n\r\n" not in request:
                    request += await stream.receive_some()
                while request.startswith(b"POST") and not request.endswith(b"}"):
                    request += await stream.receive_some()
                self.requests.append(request.partition(b" HTTP")[0])
                if self.bodies:
                    await stream.send_all(self.head + self.bodies.pop(0))


class ClosingTargetCase(unittest.TestCase):
    """Runs calls at a closing target."""

    head = HEAD

    def run_call(self, client_type, bodies, request):
        """Returns the execution, or the error with which the call ended."""

        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, self.target.serve, listeners)
                client = client_type(transport, f"127.0.0.1:{port}")
                execution = Execution("h")
                try:
                    await client.run_call(request, execution)
                except ServiceError as error:
                    return error
                finally:
                    nursery.cancel_scope.cancel()
                return execution

        self.target = ClosingTarget(bodies, self.head)
        return trio.run(main)

    def run_tool(self, body, *, idempotent=False):
        request = build_request(
            ServiceKind.TOOL, operation="o", tool=b"{}", idempotent=idempotent
        )
        return self.run_call(ToolClient, [body], request)

    def run_engine(self, *bodies):
        model = ModelRequest(messages=[], max_tokens=9)
        return self.run_call(
            EngineClient, bodies, build_request(ServiceKind.MODEL, model=model)
        )


class UnframedResponseTests(ClosingTargetCase):
    """Bodies with neither a length nor chunks, which end with their connection."""

    def test_response_of_a_tool_is_whole(self):
        """Guards against calls that ran and end with an unknown outcome."""
        for body in (b'{"a": 1}', b"[1]", b'"x"', b"true", b"null"):
            with self.subTest(body=body):
                answer = self.run_tool(body)
                self.assertEqual(bytes(answer.answer), body)

    def test_response_of_a_tool_that_was_cut_off_is_not_taken_for_a_whole_one(self):
        for whole in (b'{"a": [1, 2]}', b'"text"', b"123"):
            for size in range(len(whole)):
                with self.subTest(body=whole[:size]):
                    error = self.run_tool(whole[:size])
                    self.assertIsInstance(error, OutcomeUnknown)
                    error = self.run_tool(whole[:size], idempotent=True)
                    self.assertIsInstance(error, AnswerIncomplete)

    def test_stream_of_an_engine_is_whole(self):
        execution = self.run_engine(FIRST + SECOND + END)
        self.assertEqual(execution.get_text(), "onetwo")

    def test_stream_that_ends_inside_an_event_is_resumed_behind_the_last_whole_one(
        self,
    ):
        """Guards against text that is lost, doubled or taken for the whole answer."""
        for size in range(len(SECOND + END)):
            with self.subTest(size=size):
                cut = (SECOND + END)[:size]
                tokens = 1 + (size >= len(SECOND))
                rest = (SECOND if tokens == 1 else b"") + END
                execution = self.run_engine(FIRST + cut, rest)
                self.assertEqual(execution.get_text(), "onetwo")
                path = b"GET /v1/streams/c1?offset=%d" % tokens
                self.assertEqual(self.target.requests[1], path)

    def test_stream_that_never_ends_properly_is_incomplete(self):
        error = self.run_engine(FIRST, *[b""] * 9)
        self.assertIsInstance(error, AnswerIncomplete | TargetDied)


class OddStatusTests(ClosingTargetCase):
    """A target in need sends an answer with the status 000."""

    head = b"HTTP/1.1 000 Odd\r\n\r\n"

    def test_answer_of_a_tool_is_lost(self):
        self.assertIsInstance(self.run_tool(b"{}"), OutcomeUnknown)
        self.assertIsInstance(self.run_tool(b"{}", idempotent=True), AnswerIncomplete)

    def test_answer_of_an_engine_is_incomplete(self):
        error = self.run_engine(*[FIRST + END] * 9)
        self.assertIsInstance(error, AnswerIncomplete | TargetDied)


if __name__ == "__main__":
    unittest.main()
