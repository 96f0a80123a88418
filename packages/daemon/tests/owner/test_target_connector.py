import contextlib
import unittest
from unittest import mock

import msgspec
import trio
import trio.testing

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    OutcomeUnknown,
    WrongIncarnation,
    encode_error,
)
from goldcrestvane_common.messages import (
    DispatchRequest,
    DispatchResponse,
    Instance,
    InstanceState,
    PingResponse,
    Role,
    StreamDelta,
    StreamEnd,
    TokenUsage,
    encode_json_line,
)
from goldcrestvane_common.paths import (
    PING_PATH,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import ClientResponse, ConnectFailed, ExchangeBroken
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner.target_connector import TargetConnector

TARGET = Instance("there", Role.SIDECAR, "there:1", "b", service="ledger")


def build_request(*, idempotent):
    return DispatchRequest(
        call="1",
        incarnation="old",
        shard=0,
        epoch=1,
        team="t",
        program="p",
        service="ledger",
        kind=ServiceKind.TOOL,
        deadline_seconds=60.0,
        operation="post",
        idempotent=idempotent,
    )


class FakeTransport:
    """Transport with scripted responses.

    Each dispatch takes the next step: a response, an error to raise, or None to hang.
    Pings get a response only if `alive` is set.
    """

    def __init__(self, steps, *, alive=True):
        self.steps = list(steps)
        self.alive = alive
        self.dispatches = 0

    async def send(self, method, peer, path, **options):
        await trio.lowlevel.checkpoint()
        if path == PING_PATH:
            if not self.alive:
                await trio.sleep_forever()
            ping = PingResponse("there", "old", InstanceState.LIVE)
            return ClientResponse(
                status=200, headers={}, body=msgspec.json.encode(ping)
            )
        self.dispatches += 1
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        if step is None:
            await trio.sleep_forever()
        return step


def build_response():
    answer = DispatchResponse(msgspec.Raw(b"1"))
    return ClientResponse(status=200, headers={}, body=msgspec.json.encode(answer))


def build_rejection():
    body = encode_error(WrongIncarnation("restarted"))
    return ClientResponse(status=421, headers={}, body=body)


class StreamingTransport(FakeTransport):
    """Transport whose dispatches each get a stream of frames."""

    def __init__(self, *streams):
        super().__init__([])
        self.streams = list(streams)
        self.offsets = []

    @contextlib.asynccontextmanager
    async def stream(self, method, peer, path, *, value, **options):
        self.offsets.append(value.resume_offset)
        frames = self.streams.pop(0)

        async def iterate():
            for frame in frames:
                yield encode_json_line(frame)

        yield mock.Mock(status=200, iterate=iterate)


class TargetConnectorTests(unittest.TestCase):
    def run_call(self, transport, *, idempotent, stream=False):
        result = []

        async def main():
            connector = TargetConnector(transport)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connector.run)
                try:
                    execution = Execution("hash")
                    request = build_request(idempotent=idempotent)
                    result.append(
                        await connector.send_call(
                            TARGET, request, execution, stream=stream
                        )
                    )
                except Exception as error:
                    result.append(error)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return result[0]

    def test_outcome_is_unknown_if_the_sidecar_restarted_after_a_broken_exchange(self):
        transport = FakeTransport([ExchangeBroken("cut"), build_rejection()])
        error = self.run_call(transport, idempotent=False)
        self.assertIsInstance(error, OutcomeUnknown)

    def test_call_did_not_run_if_the_sidecar_restarted_before_the_first_exchange(self):
        transport = FakeTransport([build_rejection()])
        error = self.run_call(transport, idempotent=False)
        self.assertIsInstance(error, WrongIncarnation)

    def test_outcome_is_unknown_if_the_sidecar_is_gone_after_a_broken_exchange(self):
        steps = [ExchangeBroken("cut"), *(ConnectFailed("gone") for _ in range(3))]
        error = self.run_call(FakeTransport(steps), idempotent=False)
        self.assertIsInstance(error, OutcomeUnknown)

    def test_broken_exchange_is_repeated_and_joins_the_call(self):
        transport = FakeTransport([ExchangeBroken("cut"), build_response()])
        answer = self.run_call(transport, idempotent=False)
        self.assertEqual(bytes(answer.value), b"1")

    def test_repeatable_call_ends_if_its_sidecar_is_frozen(self):
        transport = FakeTransport([None], alive=False)
        error = self.run_call(transport, idempotent=True)
        self.assertIsInstance(error, AnswerIncomplete)
        self.assertEqual(transport.dispatches, 1)

    def test_slow_call_continues_if_its_sidecar_responds_to_probes(self):
        class SlowTransport(FakeTransport):
            async def send(self, method, peer, path, **options):
                if path != PING_PATH:
                    await trio.sleep(30)
                return await super().send(method, peer, path, **options)

        answer = self.run_call(SlowTransport([build_response()]), idempotent=True)
        self.assertEqual(bytes(answer.value), b"1")

    def test_stream_that_skips_text_goes_on_where_it_was_whole(self):
        end = StreamEnd(TokenUsage())
        transport = StreamingTransport(
            [StreamDelta(0, "one "), StreamDelta(8, "three"), end],
            [StreamDelta(4, "two three"), end],
        )
        answer = self.run_call(transport, idempotent=False, stream=True)
        self.assertEqual(bytes(answer.value), b'"one two three"')
        self.assertEqual(transport.offsets, [0, 4])


if __name__ == "__main__":
    unittest.main()
