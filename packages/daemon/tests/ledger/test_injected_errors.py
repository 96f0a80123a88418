"""Unexpected errors in the tasks of a ledger, beside calls that are served."""

import unittest

import trio
import trio.testing
from frontend.test_injected_errors import FailingOnce

from goldcrestvane_daemon.frontend.peers import FrontendPeers
from goldcrestvane_daemon.ledger.compaction import Compactor
from goldcrestvane_daemon.ledger.log import DiskFailed, EntryLog
from goldcrestvane_daemon.ledger.membership import LedgerMembership
from goldcrestvane_daemon.ledger.membership_watcher import MembershipWatcher
from goldcrestvane_daemon.ledger.state import LedgerState
from ledger.storage_case import StorageCase, build_turn
from ledger.support import run_ledger

LOOPS = (
    (FrontendPeers, "update_frontends"),
    (Compactor, "free_space"),
    (LedgerMembership, "_probe_member"),
    (LedgerMembership, "_take_step"),
    (MembershipWatcher, "_adopt_stored_view"),
)
"""Functions of the tasks of members, and of the announcement to them."""


class InjectedErrorTests(unittest.TestCase):
    def test_error_in_a_task_that_runs_on_ends_no_call(self):
        """Guards against an error in one loop of a member that ends it."""
        for owner, name in LOOPS:

            async def script(ledger, owner=owner, name=name):
                announcer = ledger.build_announcer(ledger.client)
                with FailingOnce(owner, name) as injected:
                    ledger.nursery.start_soon(announcer.run)
                    ledger.platform.put("retirements", "z", {"duration_s": 5})
                    ledger.platform.put("goldcrestvane-ledger", "z", None)
                    await ledger.wait(lambda: injected.calls > 1, 30)
                await ledger.open_turn("p1", "c1", 10)

            run_ledger(script)


class FailedLogTests(StorageCase):
    def test_error_of_the_log_is_told_to_all_that_wait_and_ends_the_member(self):
        """Guards against writes that wait for ever, and against an uncertain state."""

        async def script():
            state = LedgerState()
            log = EntryLog(self.folder, state)
            await log.open()
            failed = []

            async def append(call):
                try:
                    await log.append([build_turn(call)])
                except DiskFailed:
                    failed.append(call)

            with FailingOnce(EntryLog, "_commit"), self.assertRaises(ExceptionGroup):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(append, "t1")
                    nursery.start_soon(append, "t2")
                    await trio.testing.wait_all_tasks_blocked()
                    with trio.CancelScope(shield=True):
                        await log.run()
            self.assertEqual(sorted(failed), ["t1", "t2"])
            log.close()

        trio.run(script)


if __name__ == "__main__":
    unittest.main()
