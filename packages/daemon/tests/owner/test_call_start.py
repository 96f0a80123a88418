import unittest

import trio
import trio.testing

from goldcrestvane_common.errors import Outcome, Unavailable, WrongOwner
from goldcrestvane_common.messages import (
    CallRequest,
    Instance,
    Message,
    ModelRequest,
    Role,
)
from goldcrestvane_common.programs import ProgramBeginRequest
from goldcrestvane_common.settings import (
    OperationSettings,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_daemon.owner.allotments import AllotmentManager
from goldcrestvane_daemon.owner.call_start import CallStarter
from goldcrestvane_daemon.owner.calls import build_call, build_dispatch
from goldcrestvane_daemon.owner.journal import Journal, JournalHead, build_head_key
from goldcrestvane_daemon.owner.records import CallRolledBack, CallStarted
from goldcrestvane_daemon.owner.shard import OwnedShard
from owner.fakes import FakeObjects

TEAM = TeamSettings(
    services={
        "llm": ServiceSettings(kind=ServiceKind.MODEL),
        "ledger": ServiceSettings(
            kind=ServiceKind.TOOL, operations={"post": OperationSettings()}
        ),
    }
)
TARGET = Instance("there", Role.SIDECAR, "there:1", "b")


def build_request(kind):
    model = kind is ServiceKind.MODEL
    return CallRequest(
        team="acme",
        program="review",
        sequence=1,
        service="llm" if model else "ledger",
        kind=kind,
        deadline_seconds=30.0,
        operation="" if model else "post",
        model=ModelRequest([Message("user", "hello")]) if model else None,
    )


class CallStarterTests(unittest.TestCase):
    def run_with_shard(self, check):
        async def main():
            objects = FakeObjects()
            shard = OwnedShard(0, "owner", Journal(objects, 0, "owner"))
            await shard.open()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shard.journal.run)
                begin = ProgramBeginRequest("acme", "review", "review")
                await shard.begin_program(begin, ProgramSettings())
                await check(objects, shard)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def start(self, objects, shard, kind, *, stream=False):
        call = build_call(shard, build_request(kind), "hash", team=TEAM, stream=stream)
        dispatch = build_dispatch(shard, call, "c", max_tokens=8)
        starter = CallStarter(AllotmentManager(objects))
        return await starter.start(shard, call, dispatch, TARGET)

    def read_last_record(self, objects):
        head = objects.stored[build_head_key(0)].decode(JournalHead)
        return head.records[-1]

    def test_start_of_an_at_most_once_call_is_durable_before_the_call_is_sent(self):
        async def check(objects, shard):
            await self.start(objects, shard, ServiceKind.TOOL)
            self.assertIsInstance(self.read_last_record(objects), CallStarted)
            self.assertTrue(self.read_last_record(objects).once)

        self.run_with_shard(check)

    def test_start_of_a_stream_is_durable_before_its_first_token(self):
        async def check(objects, shard):
            await self.start(objects, shard, ServiceKind.MODEL, stream=True)
            self.assertIsInstance(self.read_last_record(objects), CallStarted)

        self.run_with_shard(check)

    def test_stream_does_not_start_after_its_shard_was_taken_over(self):
        """Guards against streams whose start is lost after a part was delivered."""

        async def check(objects, shard):
            await Journal(objects, 0, "next").open()
            objects.write_seconds = 0.2
            with self.assertRaises(WrongOwner) as caught:
                await self.start(objects, shard, ServiceKind.MODEL, stream=True)
            self.assertIs(caught.exception.call_outcome, Outcome.NOT_RUN)

        self.run_with_shard(check)

    def test_stream_starts_while_the_platform_does_not_respond(self):
        async def check(objects, shard):
            objects.write_seconds = 60.0
            dispatch = await self.start(objects, shard, ServiceKind.MODEL, stream=True)
            self.assertGreater(dispatch.deadline_seconds, 0.0)

        self.run_with_shard(check)

    def test_at_most_once_call_is_rolled_back_if_its_start_is_not_durable(self):
        async def check(objects, shard):
            objects.down = True
            with self.assertRaises(Unavailable) as caught:
                await self.start(objects, shard, ServiceKind.TOOL)
            self.assertIs(caught.exception.call_outcome, Outcome.NOT_RUN)
            objects.down = False
            await trio.sleep(10)
            self.assertIsInstance(self.read_last_record(objects), CallRolledBack)

        self.run_with_shard(check)

    def test_call_does_not_start_in_a_shard_that_is_being_handed_over(self):
        async def check(objects, shard):
            shard.stop_admitting()
            with self.assertRaises(WrongOwner):
                await self.start(objects, shard, ServiceKind.MODEL)
            self.assertNotIsInstance(self.read_last_record(objects), CallStarted)

        self.run_with_shard(check)


if __name__ == "__main__":
    unittest.main()
