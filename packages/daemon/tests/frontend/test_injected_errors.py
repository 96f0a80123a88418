"""Unexpected errors in the tasks of a frontend, beside calls that are served."""

import inspect
import unittest
from unittest import mock

import msgspec
import trio

from frontend.frontend_case import EVENT, FrontendCase, build_stream
from frontend.support import build_response
from goldcrestvane_common.ids import Version
from goldcrestvane_daemon.frontend.copy_checker import CopyChecker
from goldcrestvane_daemon.frontend.copy_confirmer import CopyConfirmer
from goldcrestvane_daemon.frontend.copy_watcher import CopyWatcher
from goldcrestvane_daemon.frontend.object_cache import ObjectCache
from goldcrestvane_daemon.frontend.permits import PermitClient
from goldcrestvane_daemon.frontend.turn_recorder import TurnRecorder
from goldcrestvane_daemon.frontend.upstream import TargetConnectionPool
from goldcrestvane_daemon.ledger.messages import AcquirePermit, RateLimit
from goldcrestvane_daemon.platform.store import ObjectKind, StoreChanges, StoreObject
from goldcrestvane_daemon.tasks import Task, run_supervised

LOOPS = (
    (CopyWatcher, "_follow_kind"),
    (CopyChecker, "_is_older_than"),
    (CopyConfirmer, "_confirm_periodically"),
    (ObjectCache, "_expire_missing"),
)
"""Functions of the tasks that keep the copies of the store's objects current."""

ENTRY = {
    "service": "s1",
    "address": "127.0.0.1:80",
    "zone": "d1",
    "slots": 4,
    "state": "ready",
}


class FailingOnce:
    """Patches a method so that its first call raises."""

    def __init__(self, owner, name):
        self.calls = 0
        method = getattr(owner, name)

        def fail_once():
            self.calls += 1
            if self.calls == 1:
                raise RuntimeError(f"injected into {name}")

        def run(*args, **options):
            fail_once()
            return method(*args, **options)

        async def run_async(*args, **options):
            fail_once()
            return await method(*args, **options)

        is_async = inspect.iscoroutinefunction(method)
        self._patch = mock.patch.object(owner, name, run_async if is_async else run)

    def __enter__(self):
        self._patch.start()
        return self

    def __exit__(self, *details):
        self._patch.stop()


class InjectedErrorTests(FrontendCase):
    def test_error_in_the_copies_of_objects_ends_no_call(self):
        async def script(frontend):
            await frontend.wait(lambda: all(each.calls > 1 for each in injected))
            frontend.list_target(frontend.targets[0], slots=5)
            await frontend.wait_synced(ObjectKind.TARGETS)
            self.assertEqual((await frontend.send("/once/x")).status, 200)

        patches = [FailingOnce(*loop) for loop in LOOPS]
        with patches[0], patches[1], patches[2], patches[3]:
            injected = [*patches[:2], *patches[3:]]
            self.run_frontend(
                script, [[build_response(b"ok")]], revocation_seconds=60.0
            )

    def test_change_that_could_not_be_applied_is_applied_when_it_comes_again(self):
        """Guards against a copy that counts as current but lacks a change."""

        async def script(frontend):
            cache, revision = frontend.object_cache, Version(1_000_000)
            change = StoreObject("x-1", revision, msgspec.json.encode(ENTRY))
            changes = StoreChanges([change], revision)

            async def check():
                cache.apply_check(ObjectKind.TARGETS, changes, sent_at=1.0)

            with FailingOnce(ObjectCache, "_apply_target"):
                self.assertFalse(await run_supervised(Task.CONFIRMATION_REQUEST, check))
            cache.apply_watch(ObjectKind.TARGETS, changes, sent_at=1.0)
            self.assertIsNotNone(cache._targets.get("x-1"))

        self.run_frontend(script, [])

    def test_error_at_the_end_of_a_turn_ends_no_other_call(self):
        async def script(frontend):
            with FailingOnce(TurnRecorder, "settle") as settle:
                cut_off = await frontend.send_turn(call="c1")
                self.assertFalse(cut_off.whole)
                await frontend.wait(lambda: settle.calls)
            self.assertEqual((await frontend.send_turn(call="c2")).status, 200)

        self.run_frontend(
            script, [build_stream([1], end=False), build_stream([1, 2], call=b"c2")]
        )

    def test_error_in_the_record_of_an_origin_ends_no_call(self):
        """The record of an origin may fail; the stream is forwarded after its wait."""

        async def script(frontend):
            for port, version in zip(frontend.targets, ("v1", "v2"), strict=True):
                frontend.list_target(port, version=version)
            await frontend.wait_synced(ObjectKind.TARGETS)
            with FailingOnce(TurnRecorder, "record_origin") as record:
                response = await frontend.send_turn("/resume/x")
                self.assertEqual(record.calls, 1)
            self.assertEqual((response.status, response.whole), (200, True))
            self.assertEqual(response.body, EVENT % (1, 1))

        self.run_frontend(script, [build_stream([1])], [build_stream([1])])

    def test_error_in_closing_connections_ends_no_call(self):
        async def script(frontend):
            with FailingOnce(TargetConnectionPool, "close_target") as close:
                frontend.list_target(frontend.targets[0], born=7)
                await frontend.wait(lambda: close.calls)
                self.assertEqual((await frontend.send("/once/x")).status, 200)

        self.run_frontend(script, [[build_response(b"ok")]])


class FailedPermitTests(unittest.TestCase):
    def test_call_that_waits_for_a_permit_is_told_of_an_error(self):
        """Guards against a call that waits for its deadline after an error."""

        async def main():
            source = mock.Mock(acquire_permit=mock.AsyncMock(side_effect=RuntimeError))
            answers = []
            limit = RateLimit("t", 1.0, 0.0)
            async with trio.open_nursery() as nursery:
                client = PermitClient(source, nursery)
                client.ask(AcquirePermit(limit), answers.append)
            self.assertEqual(answers, [None])

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
