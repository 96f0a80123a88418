import tempfile
import unittest
from pathlib import Path

from goldcrestvane_daemon.platform.machine import (
    SETTINGS_PATH_VARIABLE,
    decode_machine_settings,
    read_machine_settings,
)
from goldcrestvane_daemon.settings import InvalidSettings

SETTINGS = """
node_name = "frontend-z1-1"
ip = "10.1.0.38"
zone = "z1"
internal_port_range = [7380, 7395]
seeds = ["10.1.0.38:8144", "10.2.0.40:8144"]
not_known_yet = 3
[listen_addresses]
frontend = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control_plane = "10.1.0.38:8144"
[limits]
memory_mb = 150
[fault_tolerance]
machines = 1
[bounds]
drain_ms = 2000
grace_s = 8
[platform]
address = "10.200.1.7:8142"
"""


class MachineSettingsTests(unittest.TestCase):
    def test_settings_are_decoded(self):
        settings = decode_machine_settings(SETTINGS)
        self.assertEqual(settings.instance, "frontend-z1-1")
        self.assertEqual(settings.peer_address, "10.1.0.38:7380")
        self.assertEqual(settings.frontend_peer_address, "10.1.0.38:8144")
        self.assertEqual(settings.drain_seconds, 2.0)
        self.assertIsNone(settings.data_folder)
        self.assertEqual(len(settings.frontend_seeds), 2)

    def test_bound_of_revocations_holds_only_where_it_is_strict(self):
        bounds = "[bounds]\nrevocation_ms = 4000\nquota_tolerance = 7\n"
        settings = decode_machine_settings(SETTINGS.replace("[bounds]\n", bounds))
        self.assertIsNone(settings.revocation_seconds)
        self.assertEqual(settings.quota_tolerance.requests, 7)
        strict = bounds + "revocation_strict = true\n"
        settings = decode_machine_settings(SETTINGS.replace("[bounds]\n", strict))
        self.assertEqual(settings.revocation_seconds, 4.0)

    def test_error_names_the_missing_variable(self):
        with self.assertRaises(InvalidSettings) as caught:
            read_machine_settings({})
        self.assertIn(SETTINGS_PATH_VARIABLE, str(caught.exception))

    def test_missing_or_malformed_files_are_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            environment = {SETTINGS_PATH_VARIABLE: str(path)}
            for text in (
                None,
                "= no toml",
                "\udcc3",
                "zone = 3",
                SETTINGS.replace("[7380", '["a"'),
            ):
                if text is not None:
                    path.write_text(text, errors="surrogateescape")
                with self.subTest(text), self.assertRaises(InvalidSettings):
                    read_machine_settings(environment)


if __name__ == "__main__":
    unittest.main()
