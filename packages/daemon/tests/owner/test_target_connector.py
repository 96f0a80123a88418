import unittest

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
)
from goldcrestvane_common.paths import (
    PING_PATH,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Reply
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
    """Answers each dispatch by the next of a list of steps; pings by `alive`."""

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
            return Reply(status=200, headers={}, body=msgspec.json.encode(ping))
        self.dispatches += 1
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        if step is None:
            await trio.sleep_forever()
        return step


def build_answer():
    answer = DispatchResponse(msgspec.Raw(b"1"))
    return Reply(status=200, headers={}, body=msgspec.json.encode(answer))


def build_refusal():
    body = encode_error(WrongIncarnation("restarted"))
    return Reply(status=421, headers={}, body=body)


class TargetConnectorTests(unittest.TestCase):
    def run_call(self, transport, *, idempotent):
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
                            TARGET, request, execution, stream=False
                        )
                    )
                except Exception as error:
                    result.append(error)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return result[0]

    def test_sidecar_restarted_after_a_broken_send_does_not_prove_not_run(self):
        transport = FakeTransport([ExchangeBroken("cut"), build_refusal()])
        error = self.run_call(transport, idempotent=False)
        self.assertIsInstance(error, OutcomeUnknown)

    def test_sidecar_restarted_before_the_first_send_proves_not_run(self):
        transport = FakeTransport([build_refusal()])
        error = self.run_call(transport, idempotent=False)
        self.assertIsInstance(error, WrongIncarnation)

    def test_sidecar_gone_after_a_broken_send_leaves_the_outcome_unknown(self):
        steps = [ExchangeBroken("cut"), *(ConnectFailed("gone") for _ in range(3))]
        error = self.run_call(FakeTransport(steps), idempotent=False)
        self.assertIsInstance(error, OutcomeUnknown)

    def test_broken_send_is_repeated_and_joins_the_call(self):
        transport = FakeTransport([ExchangeBroken("cut"), build_answer()])
        answer = self.run_call(transport, idempotent=False)
        self.assertEqual(bytes(answer.value), b"1")

    def test_frozen_sidecar_gives_a_repeatable_call_back(self):
        transport = FakeTransport([None], alive=False)
        error = self.run_call(transport, idempotent=True)
        self.assertIsInstance(error, AnswerIncomplete)
        self.assertEqual(transport.dispatches, 1)

    def test_slow_call_of_a_sidecar_that_answers_probes_is_waited_for(self):
        class SlowTransport(FakeTransport):
            async def send(self, method, peer, path, **options):
                if path != PING_PATH:
                    await trio.sleep(30)
                return await super().send(method, peer, path, **options)

        answer = self.run_call(SlowTransport([build_answer()]), idempotent=True)
        self.assertEqual(bytes(answer.value), b"1")


if __name__ == "__main__":
    unittest.main()
