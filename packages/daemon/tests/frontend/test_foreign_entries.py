import unittest

import msgspec
import trio

from frontend.frontend_case import FrontendCase
from frontend.support import build_response
from goldcrestvane_daemon.platform.store import ObjectKind

SYNC_SECONDS = 20
"""Time after which an entry counts as never read."""

ENTRY = {
    "service": "s1",
    "address": "127.0.0.1:80",
    "zone": "d1",
    "slots": 4,
    "state": "ready",
}
ENTRIES = (
    {"address": "127.0.0.1:²"},
    {"address": "127.0.0.1:" + "9" * 5000},
    {"address": "127.0.0.1:65536"},
    {"slots": 2**63},
)


class ForeignEntryTests(FrontendCase):
    def test_entries_of_another_writer_end_no_frontend(self):
        """Guards against one entry that ends all frontends, also after a restart."""

        async def script(frontend):
            for number, changes in enumerate(ENTRIES):
                entry = {**ENTRY, **changes}
                frontend.platform.put("servers", f"x-{number}", entry)
            await frontend.wait_synced(ObjectKind.TARGETS)
            self.assertEqual((await frontend.send("/once/x")).status, 200)

        self.run_frontend(script, [[build_response(b"ok")]])

    def test_address_that_cannot_be_a_host_name_is_no_target(self):
        """Guards against connections of clients that are closed without an answer."""

        async def script(frontend):
            with self.assertLogs("goldcrestvane.directory", "WARNING") as logs:
                for number, host in enumerate(("10.0..9", "." * 4, "a" * 64 + ".b")):
                    entry = {**ENTRY, "address": f"{host}:8080"}
                    frontend.platform.put("servers", f"x-{number}", entry)
                await frontend.wait_synced(ObjectKind.TARGETS)
            self.assertIn("10.0..9:8080", logs.records[0].entry)
            self.assertEqual((await frontend.send("/once/x")).status, 503)

        self.run_frontend(script)

    def test_entry_that_is_nested_too_deeply_hides_no_other_entry(self):
        async def script(frontend):
            deep = msgspec.Raw(b"[" * 5000 + b"]" * 5000)
            frontend.platform.put("servers", "x-0", deep)
            with trio.fail_after(SYNC_SECONDS):
                await frontend.wait_synced(ObjectKind.TARGETS)

        self.run_frontend(script)


if __name__ == "__main__":
    unittest.main()
