"""Writes the traces in ``bench/traces``; the same seed gives the same files."""

import random
from pathlib import Path

import msgspec
from absl import app, flags

from goldcrestvane_common.messages import (
    encode_json_line,
)
from goldcrestvane_common.trace import TraceHeader
from trace_replay.scenarios import SCENARIOS, Scenario

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "folder", "bench/traces", "Folder into which the traces are written."
)
flags.DEFINE_integer("seed", 1, "Seed of the random numbers.")

START_SECONDS = 1_764_000_000.0


def write_scenario(scenario: Scenario, folder: Path) -> None:
    """Writes a trace, its settings and its expected outcome."""
    header = TraceHeader(started=START_SECONDS, whole_bodies=True)
    lines = [encode_json_line(value) for value in (header, *scenario.list_records())]
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{scenario.name}.jsonl").write_bytes(b"".join(lines))
    values = {
        "expected": scenario.build_expected(),
        "settings": scenario.settings,
    }
    for name, value in values.items():
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        (folder / f"{scenario.name}.{name}.json").write_bytes(text + b"\n")


def main(arguments: list[str]) -> None:
    """Writes the traces of all scenarios."""
    for build in SCENARIOS:
        write_scenario(build(random.Random(FLAGS.seed)), Path(FLAGS.folder))


if __name__ == "__main__":
    app.run(main)
