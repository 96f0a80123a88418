"""Expected outcome of a trace, and its comparison with the outcome of a replay."""

from collections import Counter

import msgspec

from goldcrestvane_common.settings import TeamSettings
from trace_replay.player import BEGIN_PATH, END_PATH
from trace_replay.sender import RequestResult

KINDS_BY_PATH = {
    BEGIN_PATH: "begin",
    END_PATH: "end",
    "/v1/chat/completions": "chat",
}
TOOLS_PATH = "/v1/tools/"


class ExpectedOutcome(msgspec.Struct, frozen=True):
    """Content of ``NAME.expected.json``.

    Attributes:
        requests: Number of requests by kind and outcome, such as ``chat complete``.
        effects: Number of side effects of each operation that must not be repeated,
            over all tools.
    """

    requests: dict[str, int]
    effects: dict[str, int]


class TraceSettings(msgspec.Struct, frozen=True):
    """Content of ``NAME.settings.json``: settings that the trace requires."""

    teams: dict[str, TeamSettings]


def get_request_kind(path: str) -> str:
    """Returns the kind of the requests of a path, such as ``tool OPERATION``."""
    if path.startswith(TOOLS_PATH):
        return f"tool {path.rsplit('/', 1)[1]}"
    return KINDS_BY_PATH.get(path, "show")


def count_outcomes(results: list[RequestResult]) -> dict[str, int]:
    """Returns the number of requests by kind and outcome."""
    counts = Counter(
        f"{get_request_kind(result.record.path)} {result.outcome}" for result in results
    )
    return dict(sorted(counts.items()))


def find_differences(expected: dict[str, int], got: dict[str, int]) -> list[str]:
    """Returns a description of each count that differs."""
    return [
        f"{name}: got {got.get(name, 0)}, expected {expected.get(name, 0)}"
        for name in sorted({*expected, *got})
        if got.get(name, 0) != expected.get(name, 0)
    ]
