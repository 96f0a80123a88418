import unittest
from unittest import mock

import msgspec
import trio
import trio.testing

from goldcrestvane_common.objects import RevisionTooOld
from goldcrestvane_daemon.ledger.membership_watcher import (
    CANDIDATE_PREFIX,
    VIEW_NAME,
    MembershipWatcher,
)
from goldcrestvane_daemon.ledger.view import Member, build_first_view
from goldcrestvane_daemon.platform.store import ObjectKind, StoreChanges, StoreObject

MEMBERS = [Member(instance=name, address=name, domain=name, disk="d") for name in "abc"]
VIEW = build_first_view(MEMBERS, tolerated_losses=1)
DRAINED_STATUS = b'{"state":"completed"}'


def build_objects(kind):
    """Returns the readable objects of a kind: all members, and two retirements."""
    if kind is ObjectKind.RETIREMENTS:
        return [
            StoreObject("a", 2, b'{"duration_s":9}'),
            StoreObject("b", 2, b'{"duration_s":9}', DRAINED_STATUS),
        ]
    candidates = [
        StoreObject(CANDIDATE_PREFIX + each.instance, 2, msgspec.json.encode(each))
        for each in MEMBERS
    ]
    return [*candidates, StoreObject(VIEW_NAME, 2, msgspec.json.encode(VIEW))]


class FakeStore:
    """Answers with the readable objects first, and then with unreadable ones."""

    def __init__(self, *, lists_again):
        self.lists_again = lists_again
        self.list_counts = dict.fromkeys(ObjectKind, 0)
        self.unreadable = trio.Event()

    def build_unreadable(self, kind):
        return [StoreObject(each.name, 0) for each in build_objects(kind)]

    async def list(self, kind):
        self.list_counts[kind] += 1
        is_first = self.list_counts[kind] == 1
        await trio.lowlevel.checkpoint()
        objects = build_objects(kind) if is_first else self.build_unreadable(kind)
        return StoreChanges(objects, self.list_counts[kind])

    async def watch(self, kind, since, seconds):
        await self.unreadable.wait()
        if since > 1:
            await trio.sleep_forever()
        if self.lists_again:
            raise RevisionTooOld("The history is gone.")
        return StoreChanges(self.build_unreadable(kind), 2)


class MembershipWatcherTests(unittest.TestCase):
    def run_watcher(self, script, *, lists_again):
        async def main():
            store = FakeStore(lists_again=lists_again)
            service = mock.Mock(adopt_durably=mock.AsyncMock(), quotas=None)
            watcher = MembershipWatcher(store, service)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                await trio.testing.wait_all_tasks_blocked()
                await script(store, watcher)
                nursery.cancel_scope.cancel()
            self.assertEqual(service.adopt_durably.await_args.args, (VIEW,))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_unreadable_objects_empty_nothing(self):
        """Guards against members and retirements that are forgotten although they last."""

        async def script(store, watcher):
            await trio.sleep(1.0)
            store.unreadable.set()
            await trio.sleep(1.0)
            self.assertEqual(set(watcher.candidates), {"a", "b", "c"})
            self.assertEqual(watcher.draining, {"a"})
            self.assertEqual(watcher.drained, {"b"})

        for lists_again in (False, True):
            with self.subTest(lists_again=lists_again):
                self.run_watcher(script, lists_again=lists_again)

    def test_machine_with_an_unreadable_entry_counts_as_registered(self):
        """Guards against a machine that is reported as drained though it has entries."""

        async def script(store, watcher):
            unreadable = StoreObject(CANDIDATE_PREFIX + "d", 0)
            self.assertFalse(watcher.has_registered("d"))
            watcher._apply_object(ObjectKind.LEDGER, unreadable)
            self.assertTrue(watcher.has_registered("d"))
            self.assertNotIn("d", watcher.candidates)

        self.run_watcher(script, lists_again=False)

    def test_unreadable_retirement_empties_no_machine(self):
        async def script(store, watcher):
            watcher._apply_object(ObjectKind.RETIREMENTS, StoreObject("c", 3))
            self.assertNotIn("c", watcher.draining)

        self.run_watcher(script, lists_again=False)


if __name__ == "__main__":
    unittest.main()
