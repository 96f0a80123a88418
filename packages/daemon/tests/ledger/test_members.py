import unittest
from unittest import mock

import trio

from goldcrestvane_daemon.frontend.ledger_answers import sum_committed_tokens
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.platform.store import ObjectKind
from ledger.support import run_ledger


class MembersTests(unittest.TestCase):
    def test_turns_are_charged_to_the_program_whichever_member_is_down(self):
        async def script(ledger):
            await ledger.open_turn("p", "c1", 100)
            for name in ("a", "b", "c"):
                await ledger.members[name].stop()
                opened = await ledger.open_turn("p", f"without-{name}", 100)
                self.assertIn("c1", opened.charges)
                await ledger.members[name].start()
                await ledger.wait_votes(name)
                await ledger.refresh()
                await trio.sleep(0.3)
            opened = await ledger.open_turn("p", "last", 100)
            self.assertEqual(sum_committed_tokens(opened.charges), 500)

        run_ledger(script)

    def test_one_of_two_concurrent_turns_sees_the_other(self):
        async def script(ledger):
            seen = []

            async def open_turn(call):
                opened = await ledger.open_turn("p", call, 100)
                seen.append(len(opened.charges))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(open_turn, "c1")
                nursery.start_soon(open_turn, "c2")
            self.assertIn(2, seen)

        run_ledger(script)

    def test_no_turn_opens_without_a_quorum(self):
        async def script(ledger):
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await ledger.open_turn("p", "c1", 100)

        run_ledger(script)

    def test_turns_survive_a_crash_of_all_members(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.store_turn("p", "t2", "t1")
            for member in ledger.members.values():
                await member.stop()
            for member in ledger.members.values():
                await member.start()
            await ledger.wait_votes("a", "b", "c")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("other", "c9", 10, previous="t2")
            self.assertEqual([turn.call for turn in opened.chain], ["t2", "t1"])

        run_ledger(script)

    def test_member_with_a_wiped_disk_copies_entries_before_it_votes(self):
        async def script(ledger):
            # Only two members get the turn, and one of them then loses its disk.
            await ledger.members["c"].stop()
            await ledger.store_turn("p", "t1")
            await ledger.members["c"].start()
            await ledger.wait_votes("c")
            await ledger.members["a"].wipe()
            await ledger.members["a"].start()
            self.assertFalse(ledger.members["a"].service.votes)
            await ledger.wait_votes("a")
            await ledger.members["b"].stop()
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])
            self.assertIn("t1", opened.charges)

        run_ledger(script)

    def test_wiped_member_does_not_vote_while_it_cannot_copy_entries(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.members["b"].stop()
            await ledger.members["a"].wipe()
            await ledger.members["a"].start()
            await trio.sleep(2.5)
            self.assertFalse(ledger.members["a"].service.votes)
            await ledger.members["b"].start()
            await ledger.wait_votes("a", "b")

        run_ledger(script)

    def test_draining_member_that_cannot_copy_its_entries_does_not_leave(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.members["b"].stop()
            await ledger.members["a"].wipe()
            await ledger.members["a"].start()
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await trio.sleep(2.5)
            view = ledger.members["c"].service.view
            self.assertIsNotNone(view.find("a"))
            await ledger.members["b"].start()
            await ledger.wait(
                lambda: ledger.members["c"].service.view.find("a") is None
            )

        run_ledger(script)

    def test_standby_replaces_a_lost_member(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            await ledger.refresh()
            await ledger.members["a"].stop()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertIn("t1", opened.charges)

        run_ledger(script)

    def test_members_that_are_lost_at_once_are_all_replaced(self):
        """Guards against turns that no quorum serves after a second double loss."""

        async def script(ledger):
            await ledger.store_turn("p", "t1")
            for name in ("a", "b"):
                await ledger.members[name].stop()
            for name in ("g", "h"):
                await ledger.add(name).start()
            await ledger.wait_votes("g", "h")
            for name in ("c", "d"):
                await ledger.members[name].wipe()
            for name in ("c", "d"):
                await ledger.members[name].start()
            await ledger.wait_votes("c", "d")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])

        run_ledger(script, "abcdef", tolerated_losses=2)

    def test_member_that_is_lost_while_another_is_replaced_is_replaced(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.members["a"].stop()
            await ledger.add("g").start()
            await ledger.wait(lambda: ledger.members["g"].service.holdings.is_member)
            await ledger.members["b"].stop()
            await ledger.add("h").start()
            await ledger.wait_votes("g", "h")
            self.assertIsNone(ledger.members["c"].service.view.find("b"))

        run_ledger(script, "abcdef", tolerated_losses=2)

    def test_unused_machine_is_reported_while_the_first_member_is_lost(self):
        async def script(ledger):
            first = ledger.members["b"].service.view.slots[0].instance
            await ledger.members[first].stop()
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "bare", {"duration_s": 9})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "bare")["status"]
                    == {"state": "completed"}
                )
            )

        run_ledger(script)

    def test_member_with_a_full_disk_adopts_a_view_once_there_is_space(self):
        """Guards against a full disk that ends a member when the view changes."""

        async def script(ledger):
            member = ledger.members["b"]
            write_view = member.service._log.write_view
            full = mock.AsyncMock(side_effect=OSError("no space left"))
            member.service._log.write_view = full
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait(lambda: full.await_count >= 2)
            member.service._log.write_view = write_view
            await ledger.wait_votes("b", "d")
            recorded = member.service._log.read_view()
            self.assertIsNotNone(recorded.find("d"))

        run_ledger(script)

    def test_replaced_member_does_not_vote_after_a_restart(self):
        async def script(ledger):
            old = ledger.client
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            await ledger.members["c"].start()
            # A frontend with the old view learns the new one from the response.
            await ledger.open_turn("p", "c1", 10)
            self.assertEqual(old.view.find("c"), None)
            await trio.sleep(1.0)
            self.assertFalse(ledger.members["c"].service.votes)

        run_ledger(script)

    def test_frontend_learns_the_current_view_from_the_members(self):
        async def script(ledger):
            ledger.nursery.start_soon(ledger.build_announcer(ledger.client).run)
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            await ledger.wait(lambda: ledger.client.view.find("d"))

        run_ledger(script)

    def test_turn_is_reported_as_not_found_only_by_a_quorum(self):
        async def script(ledger):
            with self.assertRaises(TurnNotFound):
                await ledger.open_turn("p", "c1", 10, previous="never")
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await ledger.open_turn("p", "c2", 10, previous="never")

        run_ledger(script)

    def test_member_drains_without_a_standby(self):
        async def script(ledger):
            await ledger.members["b"].stop()
            await ledger.store_turn("p", "t1")
            await ledger.members["b"].start()
            await ledger.wait_votes("b")
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "a")["status"]
                    == {"state": "completed"}
                )
            )
            await ledger.members["a"].wipe()
            await ledger.members["c"].wipe()
            await ledger.members["c"].start()
            await ledger.wait_votes("c", "b")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])

        run_ledger(script)

    def test_machine_that_runs_no_ledger_is_reported_as_drained(self):
        async def script(ledger):
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "bare", {"duration_s": 9})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "bare")["status"]
                    == {"state": "completed"}
                )
            )

        run_ledger(script)

    def test_new_standby_replaces_the_lost_one_of_two_members(self):
        """Retires one of three members, then stops one of the other two.

        If the standby were added beside the lost member instead of replacing it, it
        could never copy the lost member's entries, and no quorum would be available.
        """

        async def script(ledger):
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "a")["status"]
                    == {"state": "completed"}
                )
            )
            await ledger.members["a"].stop()
            ledger.client = ledger.build_client()
            await ledger.refresh()
            await ledger.store_turn("p", "t1")
            await ledger.members["b"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])

        run_ledger(script)

    def test_last_members_keep_their_slots_until_a_standby_comes(self):
        """Retires two of three members, then loses the third for good.

        If the second had left too, the third would have been the only member, and no
        other process could have taken its place.
        """

        async def script(ledger):
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "a")["status"]
                    == {"state": "completed"}
                )
            )
            await ledger.members["a"].stop()
            ledger.client = ledger.build_client()
            await ledger.refresh()
            await ledger.store_turn("p", "t1")
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "b", {"duration_s": 10})
            await trio.sleep(2.0)
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])

        run_ledger(script)

    def test_drained_member_takes_no_slot_again(self):
        async def script(ledger):
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "a")["status"]
                    == {"state": "completed"}
                )
            )
            await trio.sleep(1.5)
            view = ledger.members["b"].service.view
            self.assertEqual([m.instance for m in view.slots], ["b", "c"])

        run_ledger(script)

    def test_standby_takes_the_slot_of_a_draining_member(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            await ledger.add("d").start()
            await trio.sleep(1.5)
            ledger.platform.put(ObjectKind.RETIREMENTS.value, "a", {"duration_s": 10})
            await ledger.wait(
                lambda: (
                    ledger.platform.read(ObjectKind.RETIREMENTS.value, "a")["status"]
                    == {"state": "completed"}
                )
            )
            self.assertTrue(ledger.members["d"].service.votes)

        run_ledger(script)

    def test_members_vote_after_a_restart_during_an_outage_of_the_store(self):
        async def script(ledger):
            await ledger.store_turn("p", "t1")
            ledger.platform.faults.outage = True
            for member in ledger.members.values():
                await member.stop()
            for member in ledger.members.values():
                await member.start()
            await ledger.wait(lambda: ledger.client.is_reachable)
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertIn("t1", opened.charges)

        run_ledger(script)

    def test_lost_response_of_the_store_does_not_change_the_number_of_members(self):
        async def script(ledger):
            ledger.platform.faults.lost_answers = 1
            await ledger.members["a"].wipe()
            await ledger.members["a"].start()
            await ledger.wait_votes("a")
            await ledger.refresh()
            self.assertEqual(len(ledger.client.view.slots), 3)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
