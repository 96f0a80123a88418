import gc
import subprocess
import sys
import unittest

from goldcrestvane_daemon.main import PLATFORM_ROLES, import_role

LIST_MODULES = "import sys, goldcrestvane_daemon.main; print(*sys.modules)"
HEAVY_MODULES = ("hypercorn", "goldcrestvane_daemon.frontend", "prometheus_client")


class RoleTests(unittest.TestCase):
    def test_each_role_can_be_imported(self):
        for role in PLATFORM_ROLES:
            self.assertTrue(callable(import_role(role).run))
            self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)
        gc.unfreeze()

    def test_importing_main_imports_no_role_and_no_heavy_module(self):
        output = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        imported = set(output.split())
        self.assertFalse(imported.intersection(HEAVY_MODULES))


if __name__ == "__main__":
    unittest.main()
