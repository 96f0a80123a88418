import math
import unittest

from goldcrestvane_daemon.ledger.frames import PeerConnection, PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    Response,
    Turn,
    Write,
    get_stamp,
)
from ledger.support import run_ledger


class ForeignWriteTests(unittest.TestCase):
    def test_write_without_a_finite_retention_ends_no_member(self):
        """Guards against one frame that ends a member, which then never starts again."""

        async def script(ledger):
            await ledger.open_turn("p1", "c1", 10)
            member = PeerConnection(f"127.0.0.1:{ledger.members['a'].port}", Response)
            ledger.nursery.start_soon(member.run)
            await member.connected.wait()
            stamp = get_stamp(ledger.client.view)
            for number, retention in enumerate((math.inf, math.nan)):
                turn = Turn(f"t{number}", None, b"", b"", retention)
                try:
                    await member.call(Write(stamp, Entry(turn=turn)), timeout=5)
                except PeerUnreachable:
                    self.fail(f"the member gave no answer to {retention}")
            await ledger.open_turn("p1", "c2", 10)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
