import unittest

from frontend.frontend_case import FrontendCase, build_stream
from frontend.support import build_response
from goldcrestvane_daemon.platform.store import ObjectKind

RATE = 0.5
WINDOW_SECONDS = 4.0
ALLOWED_CALLS = 1.5 * RATE * WINDOW_SECONDS + 5
"""Calls that a target may get in a window: one and a half times its limit, and five."""

CALLS = 24
LIMIT = b"Server-Limit: %.1f\r\n" % RATE
OK = [build_response(b"ok")]
LIMITED_OK = [build_response(b"ok", extra=LIMIT)]
LIMITED_FULL = [
    build_response(
        b"",
        status="503 Service Unavailable",
        extra=LIMIT + b"Goldcrestvane-Not-Executed: 1\r\n",
    )
]


def build_limited_stream(numbers, **options):
    head, *rest = build_stream(numbers, **options)
    return [head.removesuffix(b"\r\n") + LIMIT + b"\r\n", *rest]


def count_most(times):
    """Returns the largest number of times within a window."""
    return max(
        (sum(first <= time <= first + WINDOW_SECONDS for time in times))
        for first in times
    )


class RateLimitedTargetTests(FrontendCase):
    """A target gets no more calls than it states to take, on any path."""

    def run_calls(self, path, limited, other):
        async def script(frontend):
            target, distant = frontend.targets
            frontend.list_target(distant, zone="d2")
            await frontend.wait_synced(ObjectKind.TARGETS)
            for _ in range(CALLS):
                response = await frontend.send(path)
                self.assertEqual(response.status, 200)
            self.assertGreater(len(target.requests), 0)
            self.assertLessEqual(count_most(target.request_times), ALLOWED_CALLS)

        self.run_frontend(script, [limited] * CALLS, [other] * 2 * CALLS)

    def test_limited_target_gets_no_more_lookups_than_it_states(self):
        self.run_calls("/get/x", LIMITED_OK, OK)

    def test_limited_target_gets_no_more_retried_calls_than_it_states(self):
        self.run_calls("/once/x", LIMITED_FULL, OK)

    def test_limited_target_gets_no_more_streams_than_it_states(self):
        self.run_calls("/resume/x", build_limited_stream([1]), build_stream([1]))

    def test_limited_target_gets_no_more_resumed_streams_than_it_states(self):
        broken = build_limited_stream([1], end=False)
        self.run_calls("/resume/x", broken, build_stream([2]))

    def test_call_returns_to_a_full_target_when_the_others_have_no_permit_left(self):
        """Guards against calls that wait until their deadline beside a free target."""

        async def script(frontend):
            target, distant = frontend.targets
            frontend.list_target(distant, zone="d2")
            await frontend.wait_synced(ObjectKind.TARGETS)
            await frontend.send("/once/x")
            frontend.ledger.available = False
            statuses = [(await frontend.send("/once/x")).status for _ in range(2)]
            self.assertEqual(statuses, [200] * 2)
            self.assertEqual(len(target.requests), 1)

        full = build_response(
            b"",
            status="503 Service Unavailable",
            extra=b"Goldcrestvane-Not-Executed: 1\r\n",
        )
        self.run_frontend(script, [LIMITED_OK], [[full], OK, [full], OK])

    def test_call_is_refused_when_its_only_target_has_taken_what_it_states(self):
        async def script(frontend):
            statuses = set()
            for _ in range(CALLS):
                response = await frontend.send("/once/x")
                statuses.add(response.status)
                if response.status == 503:
                    self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLessEqual(statuses, {200, 503})
            (target,) = frontend.targets
            self.assertLessEqual(count_most(target.request_times), ALLOWED_CALLS)

        self.run_frontend(script, [LIMITED_OK] * CALLS)


if __name__ == "__main__":
    unittest.main()
