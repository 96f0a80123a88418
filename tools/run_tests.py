"""Runs every test folder and accepts only the failures listed in KNOWN-RED.txt.

Each folder runs in a process of its own, so that test modules of two packages may
have the same name. The last line is ``N passed, N failed``.
"""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TEST_FOLDERS = (
    "packages/common/tests",
    "packages/daemon/tests",
    "packages/client/tests",
    "standins/tests",
    "bench/tests",
    "tests",
)


def read_known_red() -> set[str]:
    """Returns the test ids listed in KNOWN-RED.txt, one ``test:`` line an entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def run_folder(folder: str) -> int:
    """Runs one folder in this process and prints a line for the parent to read."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().discover(
        str(ROOT / folder), top_level_dir=str(ROOT / folder)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red()
    failed = [test.id() for test, _ in result.failures + result.errors]
    unlisted = [name for name in failed if name not in known]
    for name in failed:
        if name in known:
            print(f"known red: {name}")
    print(f"counts: {result.testsRun - len(failed)} {len(failed)} {len(unlisted)}")
    return 1 if unlisted else 0


def run_all(folders: list[str]) -> int:
    """Runs each folder in a child process and prints the totals."""
    passed = failed = unlisted = 0
    broken = False
    for folder in folders:
        if not any((ROOT / folder).rglob("test_*.py")):
            continue
        print(f"== {folder}", flush=True)
        child = subprocess.run(
            [sys.executable, __file__, "--folder", folder],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        counts = None
        for line in child.stdout.splitlines():
            if line.startswith("counts: "):
                counts = [int(part) for part in line.split()[1:]]
            else:
                print(line)
        if counts is None:
            broken = True
            print(f"{folder} ended without a result, exit code {child.returncode}")
            continue
        passed += counts[0]
        failed += counts[1]
        unlisted += counts[2]
    if failed:
        print(f"{failed - unlisted} of {failed} failures are listed in KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if unlisted or broken or not passed else 0


def main() -> int:
    """Runs one folder with ``--folder``, or the named folders, or all."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--folder"]:
        return run_folder(arguments[1])
    return run_all(arguments or list(TEST_FOLDERS))


if __name__ == "__main__":
    sys.exit(main())
