import random
import unittest
from collections import Counter
from unittest import mock

import msgspec
import trio
import trio.testing

from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_daemon.frontend.copy_bounds import CopyBounds
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.frontend.peer_messages import ObjectsCopy
from goldcrestvane_daemon.platform.store import (
    BATCH_SECONDS,
    CALL_TIMEOUT_SECONDS,
    CHECK_TIMEOUT_SECONDS,
    WATCH_MARGIN_SECONDS,
    ObjectKind,
    StoreChanges,
    StoreObject,
)
from goldcrestvane_daemon.platform.store_responses import UNKNOWN_VERSION
from goldcrestvane_daemon.targets import TargetTable

ENTRY = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "d1",
    "slots": 4,
    "state": "ready",
}


CONFIG_PROPAGATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
"""Bounds of the platform's settings file."""


class FakeStore:
    """In-memory store of the platform.

    While `silent_watches` is set, watches that wait get no response, as on a connection
    that went silent. While `silent` is set, no call gets one. The next
    `dead_connections` checks get none either.
    """

    def __init__(self):
        self.entries = {"i-1": ENTRY}
        self.configuration = StoreObject("main", 1, build_configuration(4))
        self.revision = 1
        self.outage = False
        self.hangs = False
        self.hang = trio.Event()
        self.silent_watches = False
        self.silent = False
        self.dead_connections = 0
        self._events = []
        self.list_counts = Counter()
        self.watch_counts = Counter()
        self._changed = trio.Event()

    def put(self, name, **changes):
        self.revision += 1
        self.entries[name] = {**ENTRY, **changes}
        self._add(ObjectKind.TARGETS, self._build(name))

    def delete(self, name):
        self.revision += 1
        del self.entries[name]
        self._add(ObjectKind.TARGETS, StoreObject(name, self.revision, deleted=True))

    def put_configuration(self, version):
        self.revision += 1
        value = build_configuration(version)
        self.configuration = StoreObject("main", self.revision, value)
        self._add(ObjectKind.CONFIGURATION, self.configuration)

    def put_unreadable(self, name):
        self.revision += 1
        self._add(ObjectKind.TARGETS, StoreObject(name, UNKNOWN_VERSION))

    def put_unreadable_configuration(self):
        self.revision += 1
        self.configuration = StoreObject("main", self.revision)
        self._add(ObjectKind.CONFIGURATION, self.configuration)

    def _add(self, kind, item):
        self._events.append((self.revision, kind, item))
        self._wake()

    def set_outage(self, outage):
        self.outage = outage
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    def _build(self, name):
        value = msgspec.json.encode(self.entries[name])
        return StoreObject(name, self.revision, value)

    async def list(self, kind, *, timeout=CALL_TIMEOUT_SECONDS):
        self.list_counts[kind] += 1
        await trio.sleep(0.004)
        if self.silent:
            await trio.sleep(timeout)
            raise ObjectStoreUnavailable("no response")
        revision = self.revision
        if self.hangs:
            await self.hang.wait()
        if self.outage:
            raise ObjectStoreUnavailable("out")
        if kind is ObjectKind.CONFIGURATION:
            return StoreChanges([self.configuration], revision)
        names = self.entries if kind is ObjectKind.TARGETS else ()
        return StoreChanges([self._build(name) for name in names], revision)

    async def get_changes(self, kind, since):
        return await self.watch(kind, since, 0.0)

    async def watch(self, kind, since, seconds):
        self.watch_counts[kind] += 1
        await trio.lowlevel.checkpoint()
        if (self.silent or self.dead_connections) and not seconds:
            self.dead_connections = max(0, self.dead_connections - 1)
            await trio.sleep(CHECK_TIMEOUT_SECONDS)
            raise ObjectStoreUnavailable("no response")
        if (self.silent_watches or self.silent) and seconds:
            await trio.sleep(seconds + WATCH_MARGIN_SECONDS)
            raise ObjectStoreUnavailable("no response")
        with trio.move_on_after(seconds):
            while True:
                if self.outage:
                    raise ObjectStoreUnavailable("out")
                found = [
                    item
                    for at, changed, item in self._events
                    if at > since and changed is kind
                ]
                if found or not seconds:
                    return StoreChanges(found, self.revision)
                await self._changed.wait()
                if self.silent_watches or self.silent:
                    await trio.sleep_forever()
        return StoreChanges([], since)


def build_configuration(version):
    return msgspec.json.encode({"version": version, "routes": []})


class FakeFrontends:
    """Replaces the connections to other frontends, which hold `copy` of the targets."""

    def __init__(self, copy=None):
        self.copy = copy
        self.fetches = Counter()

    async def fetch_copy(self, kind, since, digest):
        self.fetches[kind] += 1
        await trio.lowlevel.checkpoint()
        if self.copy is None or kind is not ObjectKind.TARGETS:
            return None
        return ObjectsCopy(self.copy, self.copy.revision, "copy", 0.0)


class ObjectCacheTests(unittest.TestCase):
    def run_script(
        self, script, *, hangs=False, copy=None, ledger=None, frontends=None
    ):
        async def main():
            store = FakeStore()
            store.hangs = hangs
            table = TargetTable()
            object_cache = ObjectCache(
                store=store,
                targets=table,
                ledger=ledger or mock.Mock(view=None),
                frontends=frontends or FakeFrontends(copy),
                bounds=CopyBounds(
                    propagation_seconds=CONFIG_PROPAGATION_SECONDS,
                    drain_seconds=DRAIN_SECONDS,
                    stable_seconds=STABLE_SECONDS,
                ),
                rng=random.Random(1),
                on_change=lambda gone: None,
            )
            self.object_cache = object_cache
            async with trio.open_nursery() as nursery:
                nursery.start_soon(object_cache.run)
                await trio.sleep(1.0)
                await script(store, lambda: bool(table.list_ready("s1")))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_unlisted_ready_target_is_used_until_shortly_before_its_drain_time_ends(
        self,
    ):
        async def script(store, is_target_used):
            store.delete("i-1")
            await trio.sleep(1.4)
            self.assertTrue(is_target_used())
            await trio.sleep(0.5)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_target_stays_in_use_when_its_entry_is_restored_after_an_unnoticed_outage(
        self,
    ):
        async def script(store, is_target_used):
            store.delete("i-1")
            for _ in range(15):
                await trio.sleep(0.1)
                self.assertTrue(is_target_used())
            store.put("i-1")
            for _ in range(30):
                await trio.sleep(0.1)
                self.assertTrue(is_target_used())

        self.run_script(script)

    def test_target_stays_in_use_when_a_check_finds_its_removal_before_the_watch(self):
        """A check coincides with the removal; the watch waits, or pauses."""

        async def script(store, is_target_used):
            for pause in (0.0, BATCH_SECONDS / 2):
                store.put("i-2", service="s2")
                await trio.sleep(BATCH_SECONDS - pause)
                store.delete("i-1")
                snapshot = self.object_cache._snapshots[ObjectKind.TARGETS]
                snapshot.confirmed_at = trio.current_time() - 1.0
                removal = StoreObject("i-1", store.revision, deleted=True)
                answer = StoreChanges([removal], store.revision)
                with mock.patch.object(
                    store, "get_changes", mock.AsyncMock(return_value=answer)
                ):
                    await self.object_cache._checker._ask_store(ObjectKind.TARGETS)
                for _ in range(13):
                    await trio.sleep(0.1)
                    self.assertTrue(is_target_used())
                store.put("i-1")
                await trio.sleep(1.0)
                self.assertTrue(is_target_used())

        self.run_script(script)

    def test_entry_is_certain_again_if_it_outlasts_the_heartbeats_of_an_ended_target(
        self,
    ):
        async def script(store, is_target_used):
            table = self.object_cache._targets
            target = table.get("i-1")
            seconds = CopyBounds().stale_entry_seconds
            for outage in (0.0, 10.0):
                store.set_outage(outage > 0)
                table.mark_ended(target, now=trio.current_time())
                await trio.sleep(outage + seconds - 0.1)
                self.assertTrue(table.may_have_restarted(target))
                store.set_outage(False)
                await trio.sleep(0.1 + 2 * CONFIG_PROPAGATION_SECONDS)
                self.assertFalse(table.may_have_restarted(target))

        self.run_script(script)

    def test_draining_target_is_dropped_at_once(self):
        async def script(store, is_target_used):
            store.put("i-1", state="draining")
            await trio.sleep(0.05)
            self.assertFalse(is_target_used())
            store.delete("i-1")
            await trio.sleep(0.05)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_targets_stay_in_use_during_an_outage_and_two_seconds_after_it(self):
        async def script(store, is_target_used):
            store.set_outage(True)
            store.delete("i-1")
            await trio.sleep(20)
            self.assertTrue(is_target_used())
            store.set_outage(False)
            await trio.sleep(1.9)
            self.assertTrue(is_target_used())
            await trio.sleep(2.0)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_copy_of_another_frontend_is_used_while_the_store_hangs(
        self,
    ):
        async def script(store, is_target_used):
            self.assertTrue(is_target_used())

        entry = StoreObject("i-1", 7, msgspec.json.encode(ENTRY))
        self.run_script(script, hangs=True, copy=StoreChanges([entry], 9))

    def test_older_list_does_not_replace_the_newer_copy_of_another_frontend(self):
        async def script(store, is_target_used):
            # The list of revision 1 was sent before the copy of revision 9 arrived.
            store.hang.set()
            await trio.sleep(0.5)
            self.assertFalse(is_target_used())

        value = msgspec.json.encode({**ENTRY, "state": "draining"})
        copy = StoreChanges([StoreObject("i-1", 7, value)], 9)
        self.run_script(script, hangs=True, copy=copy)

    def test_burst_of_changes_costs_few_calls_of_the_store(self):
        async def script(store, is_target_used):
            before = store.watch_counts[ObjectKind.TARGETS]
            for number in range(40):
                store.put(f"i-{number}")
                await trio.sleep(0.01)
            await trio.sleep(0.5)
            calls = store.watch_counts[ObjectKind.TARGETS] - before
            self.assertLessEqual(calls, 0.9 / BATCH_SECONDS)

        self.run_script(script)

    def test_view_is_read_again_only_while_the_ledger_is_unreachable(self):
        ledger = mock.Mock(view="known", is_reachable=True)

        async def script(store, is_target_used):
            await trio.sleep(60)
            self.assertEqual(store.list_counts[ObjectKind.LEDGER], 1)
            self.assertEqual(store.watch_counts[ObjectKind.LEDGER], 0)
            ledger.is_reachable = False
            await trio.sleep(5)
            self.assertGreaterEqual(store.list_counts[ObjectKind.LEDGER], 2)

        self.run_script(script, ledger=ledger)

    def test_change_of_the_configuration_is_in_force_in_time_when_watches_go_silent(
        self,
    ):
        async def script(store, is_target_used):
            store.silent_watches = True
            store.put_configuration(7)
            await trio.sleep(CONFIG_PROPAGATION_SECONDS)
            self.assertEqual(self.object_cache.routes.configuration.version, 7)

        self.run_script(script)

    def test_draining_target_is_dropped_in_time_when_watches_go_silent(self):
        async def script(store, is_target_used):
            store.silent_watches = True
            store.put("i-1", state="draining")
            await trio.sleep(DRAIN_SECONDS)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_removed_target_is_dropped_in_time_when_watches_go_silent(self):
        async def script(store, is_target_used):
            store.silent_watches = True
            store.delete("i-1")
            await trio.sleep(DRAIN_SECONDS)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_removed_target_is_dropped_in_time_when_all_connections_go_silent(self):
        async def script(store, is_target_used):
            store.silent_watches = True
            store.dead_connections = 1
            store.delete("i-1")
            await trio.sleep(STABLE_SECONDS)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def list_failing_outages(self, check):
        """Returns the lengths of outages after which a copy is not current in time."""
        failing = []
        for tenths in range(60, 100):

            async def script(store, is_target_used, tenths=tenths):
                store.silent = True
                await trio.sleep(tenths / 20)
                store.put_configuration(7)
                store.delete("i-1")
                await trio.sleep(tenths / 20)
                store.silent = False
                await trio.sleep(STABLE_SECONDS)
                if not check(is_target_used):
                    failing.append(tenths / 10)

            self.run_script(script)
        return failing

    def test_configuration_is_in_force_in_time_after_a_silent_outage(self):
        def check(is_target_used):
            return self.object_cache.routes.configuration.version == 7

        self.assertEqual(self.list_failing_outages(check), [])

    def test_removed_target_is_dropped_in_time_after_a_silent_outage(self):
        def check(is_target_used):
            return not is_target_used()

        self.assertEqual(self.list_failing_outages(check), [])

    def test_view_is_fetched_from_frontends_when_store_and_ledger_are_unreachable(self):
        ledger = mock.Mock(view="known", is_reachable=True)
        frontends = FakeFrontends()

        async def script(store, is_target_used):
            store.set_outage(True)
            ledger.is_reachable = False
            await trio.sleep(5)
            self.assertGreater(frontends.fetches[ObjectKind.LEDGER], 0)

        self.run_script(script, ledger=ledger, frontends=frontends)

    def test_target_with_an_invalid_entry_is_not_used(self):
        async def script(store, is_target_used):
            store.put("i-1", slots="many")
            await trio.sleep(0.05)
            self.assertFalse(is_target_used())

        self.run_script(script)

    def test_target_whose_entry_becomes_unreadable_is_not_used_until_it_is_restored(
        self,
    ):
        """Guards against an older entry that stays in force without a known revision."""

        async def script(store, is_target_used):
            store.put_unreadable("i-1")
            await trio.sleep(0.5)
            self.assertFalse(is_target_used())
            store.put("i-1")
            await trio.sleep(0.5)
            self.assertTrue(is_target_used())

        self.run_script(script)

    def test_unreadable_configuration_keeps_the_last_valid_one_in_force(self):
        async def script(store, is_target_used):
            store.put_configuration(5)
            await trio.sleep(0.5)
            store.put_unreadable_configuration()
            await trio.sleep(0.5)
            self.assertEqual(self.object_cache.routes.configuration.version, 5)
            self.assertTrue(is_target_used())
            store.put_configuration(6)
            await trio.sleep(0.5)
            self.assertEqual(self.object_cache.routes.configuration.version, 6)

        self.run_script(script)


if __name__ == "__main__":
    unittest.main()
