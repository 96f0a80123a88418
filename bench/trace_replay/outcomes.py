"""The stated outcome of a trace, and how a replay differs from it."""

from collections import Counter

import msgspec

from goldcrestvane_common.settings import TeamSettings
from trace_replay.player import BEGIN_PATH, END_PATH
from trace_replay.sender import RequestResult

KINDS = {
    BEGIN_PATH: "begin",
    END_PATH: "end",
    "/v1/chat/completions": "chat",
}
TOOLS_PATH = "/v1/tools/"


class ExpectedOutcome(msgspec.Struct, frozen=True):
    """Content of ``NAME.expected.json``.

    Attributes:
        requests: Number of requests by kind and outcome, written ``chat complete``.
        effects: Side effects of each operation that must not be doubled, over all
            tools.
    """

    requests: dict[str, int]
    effects: dict[str, int]


class TraceSettings(msgspec.Struct, frozen=True):
    """Content of ``NAME.settings.json``: what the trace needs to be declared."""

    teams: dict[str, TeamSettings]


def name_kind(path: str) -> str:
    """Returns the kind of a request: ``chat``, or ``tool`` with its operation."""
    if path.startswith(TOOLS_PATH):
        return f"tool {path.rsplit('/', 1)[1]}"
    return KINDS.get(path, "show")


def count_outcomes(results: list[RequestResult]) -> dict[str, int]:
    """Returns the number of requests by kind and outcome."""
    counts = Counter(
        f"{name_kind(result.record.path)} {result.outcome}" for result in results
    )
    return dict(sorted(counts.items()))


def find_differences(expected: dict[str, int], got: dict[str, int]) -> list[str]:
    """Returns a sentence for each count that differs."""
    return [
        f"{name}: got {got.get(name, 0)}, expected {expected.get(name, 0)}"
        for name in sorted({*expected, *got})
        if got.get(name, 0) != expected.get(name, 0)
    ]
