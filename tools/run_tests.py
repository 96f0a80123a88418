"""Runs every test and accepts only the failures listed in KNOWN-RED.txt.

Each job runs in a process of its own, so that test modules of two packages may have the
same name. The tests of whole deployments wait more than they work, so some jobs run at
the same time. The last line is ``N passed, N failed``.
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
ANY_MODULE = "test_*.py"
COUNTS_PREFIX = "counts: "


class Job(NamedTuple):
    """Tests that run in one process.

    Attributes:
        folder: Folder of the tests, relative to the repository.
        pattern: File pattern of the test modules.
    """

    folder: str
    pattern: str


class Counts(NamedTuple):
    """Result of one job; `unlisted` failures are not in KNOWN-RED.txt."""

    passed: int
    failed: int
    unlisted: int


def read_known_red() -> set[str]:
    """Returns the test ids listed in KNOWN-RED.txt, one ``test:`` line an entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def run_job(job: Job) -> int:
    """Runs a job in this process and prints a line for the parent to read."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().discover(
        str(ROOT / job.folder),
        pattern=job.pattern,
        top_level_dir=str(ROOT / job.folder),
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red()
    failed = [test.id() for test, _ in result.failures + result.errors]
    unlisted = [name for name in failed if name not in known]
    for name in failed:
        if name in known:
            print(f"known red: {name}")
    counts = Counts(result.testsRun - len(failed), len(failed), len(unlisted))
    print(COUNTS_PREFIX + " ".join(str(number) for number in counts))
    return 1 if unlisted else 0


def start_job(job: Job) -> subprocess.CompletedProcess[str]:
    """Runs a job in a child process."""
    return subprocess.run(
        [sys.executable, __file__, "--job", job.folder, job.pattern],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        cwd=ROOT,
    )


def list_jobs(folders: list[str]) -> Iterator[Job]:
    """Yields the jobs of the folders, a module each for whole deployments."""
    for folder in folders:
        if folder == DEPLOYMENT_FOLDER:
            modules = sorted((ROOT / folder).glob(ANY_MODULE))
            yield from (Job(folder, module.name) for module in modules)
        elif any((ROOT / folder).rglob(ANY_MODULE)):
            yield Job(folder, ANY_MODULE)


def read_counts(output: str) -> Counts | None:
    """Prints a job's output and returns its counts; None when it ended early."""
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
    broken = False
    with ThreadPoolExecutor(PARALLEL_JOBS) as pool:
        for job, child in zip(jobs, pool.map(start_job, jobs), strict=True):
            print(f"== {job.folder} {job.pattern}", flush=True)
            counts = read_counts(child.stdout)
            if counts is None:
                broken = True
                print(f"{job} ended without a result, exit code {child.returncode}")
                continue
            totals = Counts(*map(sum, zip(totals, counts, strict=True)))
    if totals.failed:
        listed = totals.failed - totals.unlisted
        print(f"{listed} of {totals.failed} failures are listed in KNOWN-RED.txt")
    print(f"{totals.passed} passed, {totals.failed} failed")
    return 1 if totals.unlisted or broken or not totals.passed else 0


def main() -> int:
    """Runs one job with ``--job``, or the named folders, or all."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--job"]:
        return run_job(Job(*arguments[1:]))
    return run_all(arguments or list(TEST_FOLDERS))


if __name__ == "__main__":
    sys.exit(main())
