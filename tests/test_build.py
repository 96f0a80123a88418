"""The build of deploy/system.toml, on a checkout with small packages."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DAEMON = "packages/daemon/src/goldcrestvane_daemon"
BOOTSTRAP = """
print("starts", flush=True)
input()
from goldcrestvane_daemon.part_{version} import VERSION
from library import LIBRARY
print(VERSION, LIBRARY)
"""
PIP = """
import pathlib, sys
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
(target / "library.py").write_text(pathlib.Path("deploy/requirements.txt").read_text())
"""
KILL = "import os, signal; os.killpg(0, signal.SIGKILL)"


class BuildTests(unittest.TestCase):
    """Guards against starts that miss modules beside a build."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        self.write("libraries/pip.py", PIP)
        self.write("packages/common/src/goldcrestvane_common/__init__.py", "")
        self.command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
        self.write_version(1)
        self.assertEqual(self.build(), 0)

    def write(self, path, text):
        (self.root / path).parent.mkdir(parents=True, exist_ok=True)
        (self.root / path).write_text(text)

    def write_version(self, version):
        """Writes the daemon with a module that no other version has."""
        shutil.rmtree(self.root / DAEMON, ignore_errors=True)
        self.write(f"{DAEMON}/__init__.py", "")
        self.write(f"{DAEMON}/bootstrap.py", BOOTSTRAP.format(version=version))
        self.write(f"{DAEMON}/part_{version}.py", f"VERSION = {version}\n")
        self.write("deploy/requirements.txt", f"LIBRARY = {version}\n")

    def build(self):
        environment = {**os.environ, "PYTHONPATH": str(self.root / "libraries")}
        shell = ["sh", "-c", f"exec 2>&1; {self.command}"]
        return subprocess.run(
            shell, cwd=self.root, env=environment, start_new_session=True
        ).returncode

    def start(self):
        """Starts a process that waits in the middle of its imports."""
        process = subprocess.Popen(
            [sys.executable, "-S", "-m", "goldcrestvane_daemon.bootstrap"],
            cwd=self.root,
            env={**os.environ, "PYTHONPATH": str(self.root / "target/deps")},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.assertEqual(process.stdout.readline(), "starts\n")
        return process

    def assert_serves(self, process, version):
        output, _ = process.communicate("\n")
        self.assertEqual((output, process.returncode), (f"{version} {version}\n", 0))

    def test_start_beside_a_build_has_the_modules_of_one_version(self):
        starting = self.start()
        self.write_version(2)
        self.assertEqual(self.build(), 0)
        self.assert_serves(starting, 1)
        self.assert_serves(self.start(), 2)

    def test_build_that_is_killed_does_not_count_as_done(self):
        for module in ("pip", "compileall"):
            path = self.root / "libraries" / f"{module}.py"
            former = path.read_text() if path.exists() else None
            self.write_version(2)
            path.write_text(KILL)
            self.assertEqual(self.build(), -signal.SIGKILL)
            self.assert_serves(self.start(), 1)
            path.unlink() if former is None else path.write_text(former)
            self.assertEqual(self.build(), 0)
            self.assert_serves(self.start(), 2)
            self.write_version(1)
            self.assertEqual(self.build(), 0)

    def test_build_without_changes_rewrites_nothing(self):
        before = self.read_times()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.read_times(), before)

    def read_times(self):
        files = (self.root / "target").rglob("*")
        return {path: path.stat().st_mtime_ns for path in files if path.is_file()}


if __name__ == "__main__":
    unittest.main()
