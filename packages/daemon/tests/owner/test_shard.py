import unittest

import msgspec
import trio
import trio.testing

from goldcrestvane_common.errors import (
    BudgetExceeded,
    Outcome,
    Overloaded,
    ProgramEnded,
    SequenceConflict,
    WrongOwner,
)
from goldcrestvane_common.messages import (
    CallRequest,
    Message,
    ModelRequest,
    TokenUsage,
)
from goldcrestvane_common.programs import (
    ProgramBeginRequest,
    ProgramEndRequest,
    ProgramShowRequest,
)
from goldcrestvane_common.settings import (
    Budget,
    HistoryMode,
    ProgramSettings,
    ServiceKind,
)
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.budgets import check_calls, reserve_tokens
from goldcrestvane_daemon.owner.journal import Journal
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.snapshot import build_snapshot, prune_ended_programs
from goldcrestvane_daemon.owner.state import ShardState, apply_record
from owner.fakes import FakeObjects

KEY = ("acme", "review")
SETTINGS = ProgramSettings(
    budget=Budget(tokens=100, calls=3, depth=1), history=HistoryMode.OWNER
)


def build_request(sequence, *, abandoned=0, seconds=1.0):
    return CallRequest(
        team="acme",
        program="review",
        sequence=sequence,
        service="ledger",
        kind=ServiceKind.TOOL,
        deadline_seconds=seconds,
        abandoned=abandoned,
    )


def build_call_ended(sequence, *, program="review", tokens=0, messages=()):
    return records.CallEnded(
        team="acme",
        program=program,
        sequence=sequence,
        request_hash="hash",
        call=f"call-{sequence}",
        target="target",
        answer=msgspec.Raw(b"1"),
        usage=TokenUsage(prompt_tokens=tokens),
        messages=list(messages),
        prompt_messages=len(messages),
    )


class ShardTests(unittest.TestCase):
    def run_shard(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                objects = FakeObjects()
                shard = OwnedShard(0, "owner", Journal(objects, 0, "owner"))
                await shard.open()
                nursery.start_soon(shard.journal.run)
                begin = ProgramBeginRequest("acme", "review", "review")
                await shard.begin_program(begin, SETTINGS)
                await check(shard)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_early_call_waits_for_its_predecessor_until_its_deadline(self):
        async def check(shard):
            with self.assertRaises(Overloaded) as caught:
                await shard.wait_for_sequence(build_request(2), "hash")
            self.assertIs(caught.exception.call_outcome, Outcome.NOT_RUN)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shard.wait_for_sequence, build_request(2), "hash")
                await trio.testing.wait_all_tasks_blocked()
                shard.append(build_call_ended(1))
                shard.notify(KEY)

        self.run_shard(check)

    def test_repeated_call_gets_its_record_and_a_different_call_a_conflict(self):
        async def check(shard):
            ended = build_call_ended(1)
            shard.append(ended)
            self.assertIs(
                await shard.wait_for_sequence(build_request(1), "hash"), ended
            )
            with self.assertRaises(SequenceConflict):
                await shard.wait_for_sequence(build_request(1), "other")

        self.run_shard(check)

    def test_abandoned_call_never_runs_and_lets_the_next_one_start(self):
        async def check(shard):
            found = await shard.wait_for_sequence(build_request(2, abandoned=1), "hash")
            self.assertIsNone(found)
            with self.assertRaises(SequenceConflict):
                await shard.wait_for_sequence(build_request(1), "hash")

        self.run_shard(check)

    def test_started_call_cannot_be_abandoned(self):
        async def check(shard):
            shard.append(
                records.CallStarted("acme", "review", 1, "hash", "c", "target", "i")
            )
            with self.assertRaises(Overloaded):
                await shard.wait_for_sequence(build_request(2, abandoned=1), "hash")

        self.run_shard(check)

    def test_waiting_call_is_redirected_during_a_handover(self):
        async def check(shard):
            async def wait():
                with self.assertRaises(WrongOwner):
                    await shard.wait_for_sequence(build_request(2), "hash")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                shard.stop_admitting()

        self.run_shard(check)

    def test_budget_includes_sub_agents_and_reservations(self):
        async def check(shard):
            child = ProgramBeginRequest("acme", "review/check", "review")
            await shard.begin_program(child, ProgramSettings())
            shard.append(build_call_ended(1, program="review/check", tokens=60))
            program = shard.get_program(KEY)
            body = ModelRequest([Message("user", "x" * 20)], max_tokens=500)
            reservation = reserve_tokens(shard.state, program, body)
            self.assertEqual(reservation.total, 40)
            shard.append(
                records.CallStarted(
                    *KEY, 1, "hash", "c", "target", "i", reserved_tokens=40
                )
            )
            with self.assertRaises(BudgetExceeded):
                reserve_tokens(shard.state, program, body)
            shard.append(build_call_ended(1), build_call_ended(2))
            with self.assertRaises(BudgetExceeded):
                check_calls(shard.state, program)

        self.run_shard(check)

    def test_sub_agents_beyond_the_depth_budget_are_rejected(self):
        async def check(shard):
            child = ProgramBeginRequest("acme", "review/check", "review")
            await shard.begin_program(child, ProgramSettings())
            deeper = ProgramBeginRequest("acme", "review/check/line", "review")
            with self.assertRaises(BudgetExceeded):
                await shard.begin_program(deeper, ProgramSettings())

        self.run_shard(check)

    def test_ending_a_program_ends_its_sub_agents(self):
        async def check(shard):
            child = ProgramBeginRequest("acme", "review/check", "review")
            await shard.begin_program(child, ProgramSettings())
            await shard.end_program(ProgramEndRequest(*KEY), reason="caller")
            with self.assertRaises(ProgramEnded):
                await shard.begin_program(child, ProgramSettings())
            with self.assertRaises(ProgramEnded):
                await shard.wait_for_sequence(build_request(1), "hash")

        self.run_shard(check)

    def test_snapshot_restores_the_same_state(self):
        async def check(shard):
            messages = [Message("user", "question"), Message("assistant", "answer")]
            child = ProgramBeginRequest("acme", "review/check", "review")
            await shard.begin_program(child, ProgramSettings())
            shard.append(build_call_ended(1, tokens=30, messages=messages))
            shard.append(
                records.CallStarted(
                    *KEY, 2, "hash", "c", "target", "i", reserved_tokens=7
                )
            )
            restored = ShardState()
            for record in build_snapshot(shard.state):
                apply_record(record, restored)
            for program in restored.programs.values():
                program.cached_prefix = shard.get_program(program.key).cached_prefix
            self.assertEqual(restored, shard.state)
            view = shard.show_program(ProgramShowRequest(*KEY))
            self.assertEqual(view.history, messages)

        self.run_shard(check)

    def test_ended_program_is_pruned_only_without_started_calls_and_sessions(self):
        async def check(shard):
            shard.append(
                records.CallStarted(
                    *KEY, 1, "hash", "c", "target", "i", reserved_tokens=7
                )
            )
            await shard.end_program(ProgramEndRequest(*KEY), reason="caller")
            prune_ended_programs(shard.state, before=float("inf"))
            self.assertIn(KEY, shard.state.programs)
            shard.append(
                records.CallRolledBack(*KEY, 1), records.SessionsReleased(*KEY)
            )
            prune_ended_programs(shard.state, before=float("inf"))
            self.assertNotIn(KEY, shard.state.programs)

        self.run_shard(check)


if __name__ == "__main__":
    unittest.main()
