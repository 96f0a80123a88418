import unittest
from unittest import mock

import msgspec
import trio

from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from goldcrestvane_daemon.ledger.frames import PeerConnection
from goldcrestvane_daemon.ledger.messages import (
    ForwardWrite,
    TokenAccount,
    TokenCharge,
    Turn,
)
from ledger.support import run_ledger


def count_bytes(call, sent):
    """Returns a wrapper of a call that records the sender and size of each request."""

    async def counted(self, request, *, timeout):
        sent.append((self, len(msgspec.msgpack.encode(request))))
        return await call(self, request, timeout=timeout)

    return counted


def sum_sizes(sent, senders):
    return sum(size for sender, size in sent if sender in senders)


async def hang(*_):
    await trio.sleep_forever()


class ForwardingTests(unittest.TestCase):
    """A frontend sends a large turn once, and the nearest member forwards it."""

    big = b"x" * 5000

    async def store(self, ledger, call):
        turn = Turn(call, None, self.big, b"out\n", 60.0)
        await ledger.client.settle("p", TokenCharge(call, 10, True), turn, 60.0)

    def list_members_with(self, ledger, call):
        return [
            name
            for name, member in ledger.members.items()
            if member.service.has_turn(call)
        ]

    def test_large_turn_is_sent_once_and_stored_by_all_members(self):
        async def script(ledger):
            peers = set(ledger.client._peers.values())
            sent = []
            number = 0
            with mock.patch.object(
                PeerConnection, "call", count_bytes(PeerConnection.call, sent)
            ):
                # Members connect to each other only after they start to vote.
                while number == 0 or sum_sizes(sent, peers) > 2 * len(self.big):
                    sent.clear()
                    number += 1
                    await self.store(ledger, f"t{number}")
            last = f"t{number}"
            await ledger.wait(lambda: len(self.list_members_with(ledger, last)) == 3)

        run_ledger(script)

    def test_turn_is_stored_when_the_nearest_member_is_stopped_or_hangs(self):
        async def script(ledger):
            group = ledger.client.view.list_group("t1")
            nearest = ledger.members[ledger.client._choose_nearest(group).instance]
            nearest.service.enable_forwarding(hang, ledger.nursery)
            await self.store(ledger, "t1")
            await nearest.stop()
            await self.store(ledger, "t2")
            self.assertEqual(len(self.list_members_with(ledger, "t2")), 3 - 1)

        run_ledger(script)

    def test_charge_is_sent_once_and_forwarded(self):
        """Guards against small frontends that are busy with five requests a write."""

        async def script(ledger):
            peers = set(ledger.client._peers.values())
            sent = []
            with mock.patch.object(
                PeerConnection, "call", count_bytes(PeerConnection.call, sent)
            ):
                for number in range(100):
                    sent.clear()
                    charge = TokenCharge(f"t{number}", 10, True)
                    await ledger.client.settle("p", charge, None, 60.0)
                    count = sum(sender in peers for sender, _ in sent)
                    if count == 1:
                        return
                    # Members connect to each other only after they start to vote.
                    await trio.sleep(0.05)
            self.fail(f"got {count} requests, expected 1")

        run_ledger(script)

    def test_charge_is_written_to_all_members_while_none_forwards(self):
        """Guards against writes that depend on the member that forwards them."""

        async def script(ledger):
            for member in ledger.members.values():
                member.service.enable_forwarding(hang, ledger.nursery)
            for number in range(len(ledger.members) + 1):
                charge = TokenCharge(f"t{number}", 10, True)
                await ledger.client.settle("p", charge, None, 60.0)
            account = TokenAccount("p", [TokenCharge("last", 10, False)], 60.0)
            opened = await ledger.client.open_turn(account=account, previous=None)
            self.assertEqual(len(opened.charges), len(ledger.members) + 2)

        run_ledger(script)

    def build_cut_off_client(self, ledger):
        """Returns a client without connections, and the list of its relayed requests."""
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
        return cut_off, relayed

    def test_frontend_without_connections_sends_a_charge_once_through_a_relay(self):
        """Guards against relays that are overloaded by five requests for each write."""

        async def script(ledger):
            cut_off, relayed = self.build_cut_off_client(ledger)
            charge = TokenCharge("t1", 10, True)
            for _ in range(100):
                relayed.clear()
                await cut_off.settle("p", charge, None, 60.0)
                if len(relayed) == 1:
                    break
                # Members connect to each other only after they start to vote.
                await trio.sleep(0.05)
            self.assertEqual([type(each) for each in relayed], [ForwardWrite])

        run_ledger(script)

    def test_write_goes_through_another_member_while_one_fails_to_forward(self):
        """Guards against a lost member that costs each relayed write its timeout."""

        async def script(ledger):
            cut_off, relayed = self.build_cut_off_client(ledger)
            nearest = cut_off._choose_nearest(cut_off.view.list_group("p"))
            ledger.members[nearest.instance].service.enable_forwarding(
                hang, ledger.nursery
            )
            await cut_off.settle("p", TokenCharge("t1", 10, True), None, 60.0)
            self.assertGreater(len(relayed), 1)
            relayed.clear()
            await cut_off.settle("p", TokenCharge("t2", 10, True), None, 60.0)
            self.assertIsInstance(relayed[0], ForwardWrite)

        run_ledger(script)

    def test_frontend_without_connections_sends_a_turn_once_through_a_relay(self):
        async def script(ledger):
            cut_off, relayed = self.build_cut_off_client(ledger)
            turn = Turn("t1", None, self.big, b"out\n", 60.0)
            charge = TokenCharge("t1", 10, True)
            await cut_off.settle("p", charge, turn, 60.0)
            self.assertIsInstance(relayed[0], ForwardWrite)
            self.assertTrue(self.list_members_with(ledger, "t1"))

        run_ledger(script)

    def test_repeated_writes_to_one_member_make_no_quorum(self):
        async def script(ledger):
            await ledger.members["a"].stop()
            await ledger.members["b"].stop()
            with self.assertRaises(LedgerUnavailable):
                await self.store(ledger, "t1")

        run_ledger(script)

    def test_forwarded_write_returns_the_newer_view_to_a_stale_writer(self):
        async def script(ledger):
            old = ledger.client.view
            newer = msgspec.structs.replace(old, epoch=old.epoch + 1)
            for member in ledger.members.values():
                member.service.adopt(newer)
            await self.store(ledger, "t1")
            self.assertEqual(ledger.client.view.epoch, newer.epoch)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
