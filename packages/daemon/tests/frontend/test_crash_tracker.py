import unittest

from frontend.frontend_case import FrontendCase
from frontend.support import build_response
from goldcrestvane_daemon.frontend.crash_tracker import MAX_DEATHS, build_fingerprint


class CrashTests(FrontendCase):
    def test_request_is_refused_after_it_killed_the_maximum_number_of_targets(self):
        async def script(frontend):
            fingerprint = build_fingerprint(b"POST", b"/once/x", b"in")
            for number in range(MAX_DEATHS - 1):
                frontend.crash_tracker.record_deaths(fingerprint, [f"t{number}"])
            self.assertEqual((await frontend.send("/once/x")).status, 200)
            frontend.crash_tracker.record_deaths(fingerprint, ["last"])
            self.assertEqual((await frontend.send("/once/x")).status, 503)
            self.assertEqual((await frontend.send("/once/y")).status, 200)

        self.run_frontend(script, [[build_response(b"ok")]] * 3)


if __name__ == "__main__":
    unittest.main()
