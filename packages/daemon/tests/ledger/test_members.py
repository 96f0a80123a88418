import unittest
from unittest import mock

import msgspec
import trio

from goldcrestvane_daemon.frontend.ledger_client import (
    LedgerUnavailable,
    TurnNotFound,
    sum_committed_tokens,
)
from goldcrestvane_daemon.ledger.frames import PeerConnection
from goldcrestvane_daemon.ledger.messages import ForwardWrite, TokenCharge, Turn
from goldcrestvane_daemon.platform.store import ObjectKind
from ledger.support import run_ledger


def count_bytes(call, sent):
    """Returns a call that notes the size of each request and who sends it."""

    async def counted(self, request, *, timeout):
        sent.append((self, len(msgspec.msgpack.encode(request))))
        return await call(self, request, timeout=timeout)

    return counted


def sum_sizes(sent, senders):
    return sum(size for sender, size in sent if sender in senders)


async def hang(*_):
    await trio.sleep_forever()


class PassOnTests(unittest.TestCase):
    """Large turns leave a frontend once; the nearest member passes them on."""

    big = b"x" * 5000

    async def keep(self, ledger, call):
        turn = Turn(call, None, self.big, b"out\n", 60.0)
        await ledger.client.settle("p", TokenCharge(call, 10, True), turn, 60.0)

    def list_holders(self, ledger, call):
        return [
            name
            for name, member in ledger.members.items()
            if member.service.list_chain(call)
        ]

    def test_a_large_turn_is_sent_once_and_kept_by_all(self):
        async def script(ledger):
            own = set(ledger.client._peers.values())
            sent = []
            number = 0
            with mock.patch.object(
                PeerConnection, "call", count_bytes(PeerConnection.call, sent)
            ):
                # Members connect to each other soon after they vote.
                while number == 0 or sum_sizes(sent, own) > 2 * len(self.big):
                    sent.clear()
                    number += 1
                    await self.keep(ledger, f"t{number}")
            last = f"t{number}"
            await ledger.wait(lambda: len(self.list_holders(ledger, last)) == 3)

        run_ledger(script)

    def test_a_turn_is_kept_while_the_nearest_member_is_dead_or_silent(self):
        async def script(ledger):
            group = ledger.client.view.list_group("t1")
            nearest = ledger.members[ledger.client._choose_nearest(group).instance]
            nearest.service.enable_forwarding(hang, ledger.nursery)
            await self.keep(ledger, "t1")
            await nearest.stop()
            await self.keep(ledger, "t2")
            self.assertEqual(len(self.list_holders(ledger, "t2")), 3 - 1)

        run_ledger(script)

    def test_a_frontend_that_is_cut_off_sends_a_turn_once_to_a_relay(self):
        async def script(ledger):
            cut_off = ledger.build_client()
            cut_off.view = ledger.client.view
            cut_off._peers = {
                member.address: mock.Mock(is_connected=False)
                for member in cut_off.view.slots
            }
            relayed = []

            async def relay(address, request, timeout):
                relayed.append(request)
                return await ledger.client.call_member(address, request, timeout)

            cut_off._frontends.relay = relay
            turn = Turn("t1", None, self.big, b"out\n", 60.0)
            charge = TokenCharge("t1", 10, True)
            await cut_off.settle("p", charge, turn, 60.0)
            self.assertIsInstance(relayed[0], ForwardWrite)
            self.assertTrue(self.list_holders(ledger, "t1"))

        run_ledger(script)

    def test_one_member_alone_is_no_quorum_however_often_it_writes(self):
        async def script(ledger):
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await self.keep(ledger, "t1")

        run_ledger(script)

    def test_a_writer_with_an_old_view_is_told_through_the_nearest_member(self):
        async def script(ledger):
            old = ledger.client.view
            newer = msgspec.structs.replace(old, epoch=old.epoch + 1)
            for member in ledger.members.values():
                member.service.adopt(newer)
            await self.keep(ledger, "t1")
            self.assertEqual(ledger.client.view.epoch, newer.epoch)

        run_ledger(script)


class MembersTests(unittest.TestCase):
    def test_each_turn_counts_in_the_program_whichever_member_is_down(self):
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

    def test_two_turns_at_once_cannot_both_overlook_each_other(self):
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

    def test_without_a_quorum_nothing_opens(self):
        async def script(ledger):
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await ledger.open_turn("p", "c1", 100)

        run_ledger(script)

    def test_turns_survive_loss_of_power_of_all_members(self):
        async def script(ledger):
            await ledger.keep_turn("p", "t1")
            await ledger.keep_turn("p", "t2", "t1")
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

    def test_an_emptied_disk_is_filled_before_its_member_votes(self):
        async def script(ledger):
            # Only two members get the turn; one of these loses its disk.
            await ledger.members["c"].stop()
            await ledger.keep_turn("p", "t1")
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

    def test_an_emptied_member_does_not_vote_while_it_cannot_copy(self):
        async def script(ledger):
            await ledger.keep_turn("p", "t1")
            await ledger.members["b"].stop()
            await ledger.members["a"].wipe()
            await ledger.members["a"].start()
            await trio.sleep(2.5)
            self.assertFalse(ledger.members["a"].service.votes)
            await ledger.members["b"].start()
            await ledger.wait_votes("a", "b")

        run_ledger(script)

    def test_a_spare_replaces_a_member_that_is_gone_for_good(self):
        async def script(ledger):
            await ledger.keep_turn("p", "t1")
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            await ledger.refresh()
            await ledger.members["a"].stop()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertIn("t1", opened.charges)

        run_ledger(script)

    def test_a_replaced_member_that_returns_does_not_vote(self):
        async def script(ledger):
            old = ledger.client
            await ledger.members["c"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            await ledger.members["c"].start()
            # A frontend that still has the old view is told of the new one.
            await ledger.open_turn("p", "c1", 10)
            self.assertEqual(old.view.find("c"), None)
            await trio.sleep(1.0)
            self.assertFalse(ledger.members["c"].service.votes)

        run_ledger(script)

    def test_an_unknown_turn_is_only_denied_by_a_quorum(self):
        async def script(ledger):
            with self.assertRaises(TurnNotFound):
                await ledger.open_turn("p", "c1", 10, previous="never")
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await ledger.open_turn("p", "c2", 10, previous="never")

        run_ledger(script)

    def test_a_member_is_emptied_without_a_spare(self):
        async def script(ledger):
            await ledger.members["b"].stop()
            await ledger.keep_turn("p", "t1")
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

    def test_a_fresh_spare_replaces_a_lost_one_of_two_members(self):
        """Replays the retirement of one of three disks, then the loss of another.

        Were the spare added beside the lost member, it could never copy what that
        member had, and no quorum would come back.
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
            await ledger.keep_turn("p", "t1")
            await ledger.members["b"].stop()
            await ledger.add("d").start()
            await ledger.wait_votes("d")
            ledger.client = ledger.build_client()
            await ledger.refresh()
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertEqual([turn.call for turn in opened.chain], ["t1"])

        run_ledger(script)

    def test_an_emptied_member_takes_no_slot_again(self):
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

    def test_a_spare_takes_the_slot_of_a_member_to_be_emptied(self):
        async def script(ledger):
            await ledger.keep_turn("p", "t1")
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

    def test_members_vote_after_a_restart_while_the_store_is_out(self):
        async def script(ledger):
            await ledger.keep_turn("p", "t1")
            ledger.platform.faults.outage = True
            for member in ledger.members.values():
                await member.stop()
            for member in ledger.members.values():
                await member.start()
            await ledger.wait(lambda: ledger.client.is_reachable)
            opened = await ledger.open_turn("p", "c9", 10, previous="t1")
            self.assertIn("t1", opened.charges)

        run_ledger(script)

    def test_a_lost_answer_of_the_store_does_not_found_two_ledgers(self):
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
