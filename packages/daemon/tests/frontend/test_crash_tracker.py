import unittest

import trio
import trio.testing

from frontend.frontend_case import HOST, FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget, build_response
from goldcrestvane_daemon.frontend.crash_tracker import (
    MAX_CLEARED_DEATHS,
    MAX_DEATHS,
    MAX_SHARED_DEATHS,
    RETENTION_SECONDS,
    CrashTracker,
    build_fingerprint,
)
from goldcrestvane_daemon.platform.store import ObjectKind

BEGUN = [*build_stream([1], end=False)[:-1], ScriptedTarget.WAIT]
UNFRAMED = (
    b"HTTP/1.1 200 OK\r\nGoldcrestvane-Request-Id: c1\r\n"
    b"Goldcrestvane-Response-Signature: s\r\n\r\nid: 1\ndata: d1\n\nid: 2\nda"
)


class CrashTests(FrontendCase):
    def test_request_is_refused_after_it_killed_the_maximum_number_of_targets(self):
        async def script(frontend):
            fingerprint = build_fingerprint(b"POST", b"/once/x", b"in")
            for number in range(MAX_DEATHS - 1):
                frontend.crash_tracker.record_deaths(fingerprint, [f"t{number}"])
            self.assertEqual((await frontend.send("/once/x")).status, 200)
            for number in range(MAX_DEATHS):
                frontend.crash_tracker.record_deaths(fingerprint, [f"u{number}"])
            self.assertEqual((await frontend.send("/once/x")).status, 503)
            self.assertEqual((await frontend.send("/once/y")).status, 200)

        self.run_frontend(script, [[build_response(b"ok")]] * 3)


class DyingTargetTests(FrontendCase):
    """Targets that die while they answer."""

    FINGERPRINT = build_fingerprint(b"POST", b"/turn/x", b"in")

    async def run_target(self, frontend, pieces, *paths, port=0, **entry):
        """Lists a target that gets a call for each path, and dies when all have begun."""
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind((HOST, port))
        listener.listen(8)
        target = ScriptedTarget([list(pieces) for _ in paths])
        target.port = listener.getsockname()[1]
        async with trio.open_nursery() as nursery:
            frontend.list_target(target, **entry)
            await frontend.wait_synced(ObjectKind.TARGETS)
            for path in paths:
                nursery.start_soon(frontend.send, path)
                stream, _ = await listener.accept()
                nursery.start_soon(target._serve, trio.SocketStream(stream))
            await frontend.wait(lambda: len(target.requests) == len(paths))
            listener.close()
            await trio.testing.wait_all_tasks_blocked(0.05)
            target.resume.set()
        frontend.platform.delete("servers", f"i-{target.port}")
        await frontend.wait_synced(ObjectKind.TARGETS)
        return target.port

    async def wait_deaths(self, frontend, count, path=b"/turn/x"):
        tracker = frontend.crash_tracker
        fingerprint = build_fingerprint(b"POST", path, b"in")
        await frontend.wait(lambda: tracker.count_deaths(fingerprint) == count)

    def check_blocked_after(self, pieces):
        async def script(frontend):
            for number in range(MAX_DEATHS):
                await self.run_target(frontend, pieces, "/turn/x")
                await self.wait_deaths(frontend, number + 1)
            target = ScriptedTarget([build_stream([1])])
            await frontend.nursery.start(target.run)
            frontend.list_target(target)
            await frontend.wait_synced(ObjectKind.TARGETS)
            response = await frontend.send("/turn/x")
            self.assertEqual((response.status, target.requests), (503, []))
            response = await frontend.send("/turn/y")
            self.assertEqual(response.body, build_events([1]))

        self.run_frontend(script)

    def test_request_that_crashes_targets_after_its_first_event_is_refused(self):
        """Guards against a request that is run without end (review/9)."""
        self.check_blocked_after([*BEGUN, ScriptedTarget.RESET])

    def test_request_that_crashes_targets_inside_an_event_is_refused(self):
        self.check_blocked_after([UNFRAMED, ScriptedTarget.WAIT, None])

    def test_target_that_starts_again_under_its_id_counts_each_time(self):
        """Guards against a request that crashes the same few targets without end."""

        async def script(frontend):
            port = 0
            for number in range(MAX_DEATHS):
                pieces = [*BEGUN, ScriptedTarget.RESET]
                port = await self.run_target(
                    frontend, pieces, "/turn/x", port=port, born=number + 1
                )
                await self.wait_deaths(frontend, number + 1)
            self.assertTrue(frontend.crash_tracker.is_blocked(self.FINGERPRINT))

        self.run_frontend(script)

    def test_sound_streams_beside_it_are_not_refused(self):
        """Guards against streams that are refused since they broke off with another one."""

        async def script(frontend):
            pieces = [*BEGUN, ScriptedTarget.RESET]
            paths = "/turn/x", "/turn/sound"
            for number in range(MAX_DEATHS):
                await self.run_target(frontend, pieces, *paths)
                for path in paths:
                    await self.wait_deaths(frontend, number + 1, path.encode())
            await self.run_target(frontend, pieces, "/turn/x")
            await self.wait_deaths(frontend, MAX_DEATHS + 1)
            target = ScriptedTarget([build_stream([1])])
            await frontend.nursery.start(target.run)
            frontend.list_target(target)
            await frontend.wait_synced(ObjectKind.TARGETS)
            self.assertEqual((await frontend.send("/turn/x")).status, 503)
            response = await frontend.send("/turn/sound")
            self.assertEqual(response.body, build_events([1]))
            await self.wait_deaths(frontend, 0, b"/turn/sound")

        self.run_frontend(script)

    def test_call_that_waited_is_not_sent_after_the_request_is_refused(self):
        async def script(frontend):
            async with trio.open_nursery() as nursery:
                responses = []

                async def send():
                    responses.append(await frontend.send("/turn/x"))

                for number in range(4):
                    nursery.start_soon(frontend.send, f"/turn/{number}")
                await frontend.wait(lambda: len(frontend.requests) == 4)
                nursery.start_soon(send)
                queue = frontend.calls.get_queue("s1")
                await frontend.wait(lambda: queue.waiting_count == 1)
                targets = [f"t{number}" for number in range(MAX_DEATHS)]
                frontend.crash_tracker.record_deaths(self.FINGERPRINT, targets)
                frontend.targets[0].resume.set()
            self.assertEqual((responses[0].status, len(frontend.requests)), (503, 4))

        rest = build_stream([2])[1:]
        self.run_frontend(script, [[*BEGUN, *rest]] * 4)


class CrashTrackerTests(unittest.TestCase):
    """Which of the requests that ran on targets that died is refused."""

    def run_tracker(self, script):
        async def main():
            script(CrashTracker())

        trio.run(main, clock=trio.testing.MockClock())

    def record(self, tracker, *deaths):
        """Records deaths, each given by a target and the requests that it ran."""
        for target, requests in deaths:
            for request in requests:
                tracker.record_deaths(request, [target])

    def test_request_that_was_at_more_deaths_explains_those_of_others(self):
        def script(tracker):
            self.record(tracker, ("t1", "xsab"), ("t2", "xs"), ("t3", "xsc"))
            self.assertFalse(tracker.is_blocked("x") or tracker.is_blocked("s"))
            self.record(tracker, ("t4", "xd"))
            self.assertTrue(tracker.is_blocked("x"))
            self.assertFalse(any(map(tracker.is_blocked, "sabcd")))

        self.run_tracker(script)

    def test_request_that_stands_out_is_refused_after_three_deaths(self):
        def script(tracker):
            self.record(tracker, ("t1", "xa"), ("t2", "xa"), ("t3", "xb"))
            self.assertTrue(tracker.is_blocked("x"))
            self.assertFalse(tracker.is_blocked("a"))

        self.run_tracker(script)

    def test_requests_that_are_always_together_are_refused_after_more_deaths(self):
        def script(tracker):
            for number in range(MAX_SHARED_DEATHS):
                self.assertFalse(tracker.is_blocked("x"))
                self.record(tracker, (f"t{number}", "xy"))
            self.assertTrue(tracker.is_blocked("x"))

        self.run_tracker(script)

    def test_request_that_was_answered_whole_begins_again(self):
        def script(tracker):
            self.record(tracker, ("t1", "s"))
            self.assertEqual(tracker.clear("s"), [])
            self.record(tracker, ("t2", "s"))
            self.assertEqual(tracker.clear("s"), ["t1", "t2"])
            self.assertEqual(tracker.clear("s"), [])
            self.record(tracker, ("t1", "s"), ("t3", "s"), ("t4", "s"))
            self.assertFalse(tracker.is_blocked("s"))
            self.record(tracker, ("t5", "s"))
            self.assertTrue(tracker.is_blocked("s"))

        self.run_tracker(script)

    def test_reports_have_the_same_effect_in_any_order(self):
        def script(tracker):
            self.assertTrue(tracker.record_deaths("s", [], cleared=["t1", "t2"]))
            self.record(tracker, ("t1", "s"), ("t2", "s"), ("t3", "s"))
            self.assertEqual(tracker.count_deaths("s"), 1)
            self.assertFalse(tracker.record_deaths("s", ["t1"], cleared=["t2"]))

        self.run_tracker(script)

    def test_request_of_many_callers_stays_small(self):
        """Guards against a request without a body that is at each death of any target."""

        def script(tracker):
            for number in range(10 * MAX_CLEARED_DEATHS):
                self.record(tracker, (f"t{number}", "s"), (f"u{number}", "s"))
                tracker.clear("s")
            (told,) = tracker.list_recent(9)
            self.assertLessEqual(len(told.targets), MAX_CLEARED_DEATHS)
            self.assertLessEqual(len(told.cleared), MAX_CLEARED_DEATHS)
            self.assertLessEqual(len(tracker._present), MAX_CLEARED_DEATHS)
            self.assertEqual(tracker.count_deaths("s"), 0)

        self.run_tracker(script)

    def test_requests_with_most_deaths_are_told_first(self):
        def script(tracker):
            self.record(tracker, ("t1", "xa"), ("t2", "xb"), ("t3", "c"))
            told = [each.fingerprint for each in tracker.list_recent(3)]
            self.assertEqual(told, ["x", "c", "b"])

        self.run_tracker(script)

    def test_expired_request_counts_no_more(self):
        def script(tracker):
            self.record(tracker, ("t1", "x"), ("t2", "x"), ("t3", "x"))
            trio.lowlevel.current_clock().jump(RETENTION_SECONDS + 1)
            self.assertFalse(tracker.is_blocked("x"))
            self.record(tracker, ("t4", "y"))
            self.assertEqual(len(tracker.list_recent(9)), 1)

        self.run_tracker(script)


if __name__ == "__main__":
    unittest.main()
