import math
import unittest

import msgspec

from goldcrestvane_daemon.ledger.frames import PeerConnection
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    Failed,
    Response,
    TokenAccount,
    TokenCharge,
    Turn,
    Write,
    build_program_key,
    get_stamp,
)
from ledger.support import run_ledger


class AccountTests(unittest.TestCase):
    def test_turn_keeps_its_account_and_older_records_have_none(self):
        """Guards against records of the previous version that cannot be read."""
        turn = Turn("c1", None, b"in", b"out", 60.0, "shop")
        encoded = msgspec.msgpack.encode(Entry(turn=turn))
        self.assertEqual(msgspec.msgpack.decode(encoded, type=Entry).turn, turn)
        older = msgspec.msgpack.encode(["c1", None, b"in", b"out", 60.0])
        self.assertEqual(msgspec.msgpack.decode(older, type=Turn).account, "")

    def test_programs_of_two_callers_never_share_an_id(self):
        """Guards against a program id that contains the name of another account."""
        callers = [(None, "p"), ("a", "p"), ("a/b", "p"), ("a", "b/p"), (None, "a/p")]
        callers += [("", "p"), ("a%2Fb", "p"), (None, "a%2Fb/p"), (None, "/p")]
        keys = {build_program_key(*caller) for caller in callers}
        self.assertEqual(len(keys), len(callers))
        self.assertEqual(build_program_key(None, "p"), "p")


class RetentionTests(unittest.TestCase):
    def test_write_whose_retention_is_no_time_does_not_end_the_member(self):
        """Guards against a record on the disk that ends the member at each start too."""

        async def script(ledger):
            stamp = get_stamp(ledger.client.view)
            address = f"127.0.0.1:{ledger.members['a'].port}"
            member = PeerConnection(address, Response)
            ledger.nursery.start_soon(member.run)
            await member.connected.wait()
            for retention in (math.nan, math.inf):
                account = TokenAccount("p", [TokenCharge("c", 1)], retention)
                write = Write(stamp, Entry(account=account))
                answer = await member.call(write, timeout=60)
                self.assertIsInstance(answer, Failed)
            await ledger.open_turn("p1", "c1", 10)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
