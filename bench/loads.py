"""Plays every load pattern and prints what its programs earned."""

import sys

from absl import app, flags

from load_replay.patterns import PATTERNS
from load_replay.play import play

SEEDS = flags.DEFINE_integer("seeds", 3, "Plays of each pattern, with seeds from 1.")


def main(arguments: list[str]) -> None:
    """Prints a row for each pattern: means over the seeds."""
    row = "{:<28} {:>8} {:>14} {:>10} {:>10} {:>9}"
    print(
        row.format("pattern", "earned", "worst windows", "draft", "review", "refused")
    )
    for pattern in PATTERNS:
        results = [play(pattern, seed=seed) for seed in range(1, SEEDS.value + 1)]
        earned = [result.share_earned for result in results]
        worst = [result.measure_worst_windows() for result in results]
        kinds = [result.measure_kinds() for result in results]
        refused = [len(result.held_seconds) for result in results]
        print(
            row.format(
                pattern.name,
                f"{_mean(earned):.3f}",
                f"{_mean(worst):.3f}",
                f"{_mean([each['draft'] for each in kinds]):.3f}",
                f"{_mean([each['review'] for each in kinds]):.3f}",
                f"{_mean(refused):.0f}",
            )
        )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


if __name__ == "__main__":
    sys.exit(app.run(main))
