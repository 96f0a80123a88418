import random
import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.copy_checker import CopyChecker
from goldcrestvane_daemon.frontend.peer_messages import ObjectsCopy
from goldcrestvane_daemon.frontend.snapshot import Snapshot
from goldcrestvane_daemon.platform.store import ObjectKind, StoreChanges, StoreObject

KIND = ObjectKind.CONFIGURATION
BOUNDS = CopyBounds()


class FakeStore:
    """Counts the checks; nothing changes."""

    def __init__(self):
        self.checks = 0

    async def get_changes(self, kind, since):
        await trio.lowlevel.checkpoint()
        self.checks += 1
        return StoreChanges([], since)


class FakeFrontends:
    """Another frontend, whose copy was confirmed `age` seconds ago."""

    def __init__(self, snapshot, age):
        self._snapshot = snapshot
        self._age = age

    async def fetch_copy(self, kind, since, digest):
        await trio.lowlevel.checkpoint()
        copy = self._snapshot
        return ObjectsCopy(None, copy.revision, copy.compute_digest(), self._age)


def build_snapshot(version):
    snapshot = Snapshot()
    changes = StoreChanges([StoreObject("main", version)], 9)
    snapshot.replace(changes, confirmed_at=trio.current_time())
    return snapshot


class CopyCheckerTests(unittest.TestCase):
    def run_checks(self, *, other_version, age):
        """Checks a copy of version 5 for a minute; returns checks and largest age."""
        store = FakeStore()
        ages = []

        async def main():
            snapshot = build_snapshot(5)
            checker = CopyChecker(
                store=store,
                frontends=FakeFrontends(build_snapshot(other_version), age),
                snapshots={KIND: snapshot},
                copies=mock.Mock(),
                watcher=mock.Mock(),
                bounds=BOUNDS,
                rng=random.Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(checker.run)
                for _ in range(600):
                    await trio.sleep(0.1)
                    ages.append(snapshot.get_age(trio.current_time()))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return store.checks, max(ages)

    def test_copy_that_nobody_confirms_is_checked_before_its_propagation_time(self):
        checks, age = self.run_checks(other_version=4, age=0.0)
        self.assertGreater(checks, 0)
        self.assertLess(age, BOUNDS.propagation_seconds)

    def test_copy_that_another_frontend_confirms_costs_no_call_of_the_store(self):
        checks, age = self.run_checks(other_version=5, age=0.0)
        self.assertEqual(checks, 0)
        self.assertLess(age, BOUNDS.propagation_seconds)

    def test_confirmation_is_as_old_as_that_of_the_other_frontend(self):
        checks, age = self.run_checks(other_version=5, age=1.9)
        self.assertGreater(checks, 0)
        self.assertLess(age, BOUNDS.propagation_seconds)


if __name__ == "__main__":
    unittest.main()
