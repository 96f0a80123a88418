import unittest

from frontend.frontend_case import FrontendCase
from frontend.support import build_response

HUGE = "9" * 400
"""Larger than any float."""


class OddNumberTests(FrontendCase):
    def test_target_that_states_a_huge_load_is_served_on(self):
        """Guards against a target whose answer makes all further calls fail."""
        load = f"Goldcrestvane-Server-Load: {HUGE},{HUGE},{HUGE}\r\n".encode()
        script = [[build_response(b"ok", extra=load)]] * 4

        async def send(frontend):
            for _ in range(4):
                self.assertEqual((await frontend.send("/get/x")).status, 200)

        self.run_frontend(send, script, script)


if __name__ == "__main__":
    unittest.main()
