"""Replays every load pattern and prints the benefit of its programs."""

import sys

from absl import app, flags

from load_replay.patterns import PATTERNS
from load_replay.play import replay

SEEDS = flags.DEFINE_integer("seeds", 3, "Replays of each pattern, with seeds from 1.")


def main(arguments: list[str]) -> None:
    """Prints a row with the means over all seeds for each pattern."""
    row = "{:<28} {:>8} {:>14} {:>10} {:>10} {:>9}"
    print(
        row.format("pattern", "earned", "worst windows", "draft", "review", "refused")
    )
    for pattern in PATTERNS:
        results = [replay(pattern, seed=seed) for seed in range(1, SEEDS.value + 1)]
        earned = [result.benefit_share for result in results]
        worst = [result.compute_worst_window_share() for result in results]
        kinds = [result.compute_kind_shares() for result in results]
        refused = [len(result.refused_wait_seconds) for result in results]
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
