import math
import unittest

import trio

from frontend.frontend_case import FrontendCase, build_stream
from frontend.support import SharedScript, build_response
from goldcrestvane_daemon.frontend.attempts import REJECTION_RETRY_SECONDS
from goldcrestvane_daemon.platform.store import ObjectKind

LEAVING = b"Server-Leaving: 1\r\n"
LEAVING_OK = [build_response(b"ok", extra=LEAVING)]
FULL = [
    build_response(
        b"",
        status="503 Service Unavailable",
        extra=LEAVING + b"Goldcrestvane-Not-Executed: 1\r\n",
    )
]
LATE = [
    build_response(b"late", call=b"c0", extra=LEAVING)
    + build_response(b"ok", call=b"c1")
]
OK = [build_response(b"ok")]


class LeavingTargetTests(FrontendCase):
    """A target that says in a response that it leaves gets no more calls."""

    async def send_first(self, frontend, path="/get/x"):
        """Sends the call whose first target leaves; returns that and the other target."""
        await frontend.send(path)
        return sorted(
            frontend.targets, key=lambda each: each.request_times or [math.inf]
        )

    async def check_is_unused(self, frontend, leaving):
        count = len(leaving.requests)
        for _ in range(8):
            response = await frontend.send("/get/x")
            self.assertEqual(response.status, 200)
            await trio.sleep(REJECTION_RETRY_SECONDS / 4)
        self.assertEqual(len(leaving.requests), count)

    def run_targets(self, script, answer, count=2):
        """Runs targets of which the one that gets the first call gives the answer."""
        shared = SharedScript([answer, *[OK] * 40])
        self.run_frontend(script, *[shared] * count)

    def run_leaving(self, answer, **options):
        async def script(frontend):
            leaving, _ = await self.send_first(frontend, **options)
            await self.check_is_unused(frontend, leaving)

        self.run_targets(script, answer)

    def test_target_that_leaves_gets_no_call_after_its_answer(self):
        self.run_leaving(LEAVING_OK)

    def test_target_that_leaves_gets_no_call_after_its_rejection(self):
        self.run_leaving(FULL)

    def test_target_that_leaves_gets_no_call_after_a_late_answer_to_another_call(self):
        self.run_leaving(LATE)

    def test_target_that_leaves_gets_no_call_after_a_stream(self):
        head, *rest = build_stream([1, 2])
        head = head.removesuffix(b"\r\n") + LEAVING + b"\r\n"
        self.run_leaving([head, *rest], path="/resume/x")

    def test_target_that_leaves_is_unused_when_its_entry_is_written_or_restored(self):
        async def script(frontend):
            leaving, _ = await self.send_first(frontend)
            frontend.list_target(leaving, cold_remaining_ms=5, slots=5)
            await frontend.wait_synced(ObjectKind.TARGETS)
            await self.check_is_unused(frontend, leaving)
            frontend.platform.delete("servers", f"i-{leaving.port}")
            await frontend.wait_synced(ObjectKind.TARGETS)
            frontend.list_target(leaving)
            await frontend.wait_synced(ObjectKind.TARGETS)
            await self.check_is_unused(frontend, leaving)

        self.run_targets(script, LEAVING_OK)

    def test_next_start_of_a_target_that_left_is_used(self):
        async def script(frontend):
            leaving, other = await self.send_first(frontend)
            frontend.list_target(leaving, born=7)
            frontend.list_target(other, state="draining")
            await frontend.wait_synced(ObjectKind.TARGETS)
            response = await frontend.send("/get/x")
            self.assertEqual((response.status, len(leaving.requests)), (200, 2))

        self.run_targets(script, LEAVING_OK)

    def test_call_is_refused_at_once_when_the_last_target_leaves(self):
        async def script(frontend):
            await self.send_first(frontend)
            response = await frontend.send("/once/x")
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(len(frontend.requests), 1)

        self.run_targets(script, LEAVING_OK, count=1)


if __name__ == "__main__":
    unittest.main()
