"""Runs every test and accepts only the failures listed in KNOWN-RED.txt.

Each job runs in a separate process, so that two packages may have test modules with the
same name. Deployment tests mostly wait, so several jobs run in parallel. The last line
of the output is ``N passed, N failed``.
"""

import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
DEPLOYMENT_FOLDER = "tests"
TEST_FOLDERS = (
    "packages/common/tests",
    "packages/daemon/tests",
    "packages/client/tests",
    "standins/tests",
    "bench/tests",
    DEPLOYMENT_FOLDER,
)
PARALLEL_JOBS = 3
MODULE_PATTERN = "test_*.py"
COUNTS_PREFIX = "counts: "


class Job(NamedTuple):
    """Tests that run in one process.

    Attributes:
        folder: Folder of the tests, relative to the root of the repository.
        pattern: File name pattern of the test modules.
    """

    folder: str
    pattern: str


class Counts(NamedTuple):
    """Result of one job.

    Attributes:
        passed: Number of passed tests.
        failed: Number of failed tests.
        unlisted: Number of failed tests that KNOWN-RED.txt does not list.
    """

    passed: int
    failed: int
    unlisted: int


def read_known_failures() -> set[str]:
    """Returns the test ids from the ``test:`` lines of KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def run_job(job: Job) -> int:
    """Runs a job in this process and prints its counts for the parent process."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().discover(
        str(ROOT / job.folder),
        pattern=job.pattern,
        top_level_dir=str(ROOT / job.folder),
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known_failures = read_known_failures()
    failed = [test.id() for test, _ in result.failures + result.errors]
    unlisted = [test_id for test_id in failed if test_id not in known_failures]
    for test_id in failed:
        if test_id in known_failures:
            print(f"known failure: {test_id}")
    counts = Counts(result.testsRun - len(failed), len(failed), len(unlisted))
    print(COUNTS_PREFIX + " ".join(str(number) for number in counts))
    return 1 if unlisted else 0


def run_job_in_subprocess(job: Job) -> subprocess.CompletedProcess[str]:
    """Runs a job in a child process."""
    return subprocess.run(
        [sys.executable, __file__, "--job", job.folder, job.pattern],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        cwd=ROOT,
    )


def list_jobs(folders: list[str]) -> Iterator[Job]:
    """Yields one job per folder, but one per module for the deployment tests."""
    for folder in folders:
        if folder == DEPLOYMENT_FOLDER:
            modules = sorted((ROOT / folder).glob(MODULE_PATTERN))
            yield from (Job(folder, module.name) for module in modules)
        elif any((ROOT / folder).rglob(MODULE_PATTERN)):
            yield Job(folder, MODULE_PATTERN)


def read_counts(output: str) -> Counts | None:
    """Prints the output of a job and returns its counts, or None if it printed none."""
    counts = None
    for line in output.splitlines():
        if line.startswith(COUNTS_PREFIX):
            counts = Counts(*map(int, line.removeprefix(COUNTS_PREFIX).split()))
        else:
            print(line)
    return counts


def run_all(folders: list[str]) -> int:
    """Runs all jobs of the folders and prints the totals."""
    jobs = list(list_jobs(folders))
    totals = Counts(0, 0, 0)
    has_incomplete_job = False
    with ThreadPoolExecutor(PARALLEL_JOBS) as pool:
        for job, child in zip(jobs, pool.map(run_job_in_subprocess, jobs), strict=True):
            print(f"== {job.folder} {job.pattern}", flush=True)
            counts = read_counts(child.stdout)
            if counts is None:
                has_incomplete_job = True
                print(f"{job} exited with code {child.returncode} without a result")
                continue
            totals = Counts(*map(sum, zip(totals, counts, strict=True)))
    if totals.failed:
        listed = totals.failed - totals.unlisted
        print(f"{listed} of {totals.failed} failures are listed in KNOWN-RED.txt")
    print(f"{totals.passed} passed, {totals.failed} failed")
    return 1 if totals.unlisted or has_incomplete_job or not totals.passed else 0


def main() -> int:
    """Runs the single job after ``--job``, the named folders or all test folders."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--job"]:
        return run_job(Job(*arguments[1:]))
    return run_all(arguments or list(TEST_FOLDERS))


if __name__ == "__main__":
    sys.exit(main())
