"""Scenarios from which traces are generated: the busy hours of two firms.

Passolungo fits running shoes: an interactive program serves each customer, its turns
depend on each other, and each fitting issues one voucher. Akwaaba closes its tills: a
batch program posts the lines of each till, and the last call of every fourth program
exceeds its budget of calls.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, final

import msgspec

from goldcrestvane_common.ids import ServiceId
from goldcrestvane_common.settings import (
    Budget,
    HistoryMode,
    OperationSettings,
    Priority,
    ProgramSettings,
    ServiceKind,
    ServiceSettings,
    TeamSettings,
)
from goldcrestvane_common.trace import TraceRecord, hash_bytes
from trace_replay.bodies import WORDS
from trace_replay.outcomes import ExpectedOutcome, TraceSettings, get_request_kind
from trace_replay.player import BEGIN_PATH, END_PATH
from trace_replay.sender import COMPLETE

CHAT_PATH = "/v1/chat/completions"
TIMEOUT_SECONDS = "60"
FITTING_COUNT = 40
MEAN_FITTING_INTERVAL_SECONDS = 0.25
TILL_COUNT = 24
MEAN_TILL_INTERVAL_SECONDS = 0.1
MAX_TILL_CALLS = 6


@final
@dataclass(kw_only=True)
class Scenario:
    """A trace under construction.

    Attributes:
        name: Name of the trace's files, without their suffixes.
        settings: Settings that the trace requires.
        records: Requests, in any order.
        requests: Expected number of requests by kind and outcome.
        effects: Expected number of side effects by operation.
    """

    name: str
    settings: TraceSettings
    records: list[TraceRecord] = field(default_factory=list)
    requests: Counter[str] = field(default_factory=Counter)
    effects: Counter[str] = field(default_factory=Counter)

    def list_records(self) -> list[TraceRecord]:
        """Returns the requests, ordered by time."""
        return sorted(self.records, key=lambda record: record.at)

    def build_expected(self) -> ExpectedOutcome:
        """Returns the expected outcome."""
        return ExpectedOutcome(
            dict(sorted(self.requests.items())), dict(sorted(self.effects.items()))
        )


@final
class ProgramWriter:
    """Adds the requests of one program to a scenario, one after the other.

    Attributes:
        at: Time of the next request, in seconds since the start of the trace.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        team: str,
        program: str,
        at: float,
        rng: random.Random,
    ) -> None:
        self.at = at
        self._scenario = scenario
        self._team = team
        self._program = program
        self._rng = rng
        self._sequence = 0

    def begin(self, kind: str) -> None:
        """Adds the request that begins the program."""
        self._add(BEGIN_PATH, {"kind": kind, "program": self._program})

    def end(self) -> None:
        """Adds the request that ends the program."""
        self._add(END_PATH, {"program": self._program})

    def chat(self, service: str, words: int, *, stream: bool = False) -> None:
        """Adds a call of a model with a message of `words` words."""
        text = " ".join(self._rng.choice(WORDS) for _ in range(words))
        body = {
            "model": service,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 32,
            "stream": stream,
        }
        self._sequence += 1
        self._add(CHAT_PATH, body, sequence=str(self._sequence))

    def use_tool(
        self, path: str, value: dict[str, Any], *, outcome: str = COMPLETE
    ) -> None:
        """Adds a call of a tool; a refused call consumes no sequence number."""
        self._add(
            f"/v1/tools/{path}",
            value,
            sequence=str(self._sequence + 1),
            outcome=outcome,
        )
        if outcome == COMPLETE:
            self._sequence += 1
            self._scenario.effects[path.rsplit("/", 1)[1]] += 1

    def wait(self, seconds: float) -> None:
        """Delays the next request by `seconds`, varied randomly by up to half."""
        self.at += seconds * self._rng.uniform(0.5, 1.5)

    def _add(
        self,
        path: str,
        value: dict[str, Any],
        *,
        sequence: str = "",
        outcome: str = COMPLETE,
    ) -> None:
        body = msgspec.json.encode(value)
        record = TraceRecord(
            at=round(self.at, 3),
            method="POST",
            path=path,
            team=self._team,
            program=self._program,
            sequence=sequence,
            timeout=TIMEOUT_SECONDS,
            body_bytes=len(body),
            body_hash=hash_bytes(body),
            body=msgspec.Raw(body),
        )
        self._scenario.records.append(record)
        self._scenario.requests[f"{get_request_kind(path)} {outcome}"] += 1
        self.wait(0.2)


def build_passolungo(rng: random.Random) -> Scenario:
    """Returns the rush of fittings on a Saturday at Passolungo."""
    team = TeamSettings(
        programs={
            "fitting": ProgramSettings(
                priority=Priority.INTERACTIVE,
                budget=Budget(calls=40, depth=1),
                history=HistoryMode.OWNER,
            )
        },
        services={
            ServiceId("fitting-llm"): ServiceSettings(kind=ServiceKind.MODEL),
            ServiceId("shop-app"): ServiceSettings(
                kind=ServiceKind.TOOL,
                operations={
                    "look-up-stock": OperationSettings(idempotent=True),
                    "issue-voucher": OperationSettings(),
                },
            ),
        },
    )
    scenario = Scenario(
        name="passolungo-rush", settings=TraceSettings({"passolungo": team})
    )
    at = 0.0
    for number in range(FITTING_COUNT):
        at += rng.expovariate(1 / MEAN_FITTING_INTERVAL_SECONDS)
        _write_fitting(scenario, f"fitting-{number}", at, rng)
    del scenario.effects["look-up-stock"]
    return scenario


def _write_fitting(
    scenario: Scenario, program: str, at: float, rng: random.Random
) -> None:
    fitting = ProgramWriter(
        scenario, team="passolungo", program=program, at=at, rng=rng
    )
    fitting.begin("fitting")
    fitting.chat("fitting-llm", rng.randint(8, 30))
    if rng.random() < 0.25:
        sizing = ProgramWriter(
            scenario,
            team="passolungo",
            program=f"{program}/sizing",
            at=fitting.at,
            rng=rng,
        )
        sizing.begin("fitting")
        sizing.chat("fitting-llm", rng.randint(5, 15))
        sizing.end()
    fitting.chat("fitting-llm", rng.randint(8, 30), stream=True)
    fitting.use_tool("shop-app/look-up-stock", {"size": rng.randint(36, 48)})
    fitting.wait(1.0)
    fitting.chat("fitting-llm", rng.randint(8, 30))
    fitting.use_tool("shop-app/issue-voucher", {"euros": rng.randint(5, 30)})
    fitting.chat("fitting-llm", rng.randint(8, 20), stream=True)
    fitting.end()


def build_akwaaba(rng: random.Random) -> Scenario:
    """Returns the evening at Akwaaba, when all tills close at once."""
    team = TeamSettings(
        programs={
            "close": ProgramSettings(
                priority=Priority.BATCH, budget=Budget(calls=MAX_TILL_CALLS)
            )
        },
        services={
            ServiceId("ledger-llm"): ServiceSettings(kind=ServiceKind.MODEL),
            ServiceId("ledger"): ServiceSettings(
                kind=ServiceKind.TOOL, operations={"post-line": OperationSettings()}
            ),
        },
    )
    scenario = Scenario(name="akwaaba-close", settings=TraceSettings({"akwaaba": team}))
    at = 0.0
    for number in range(TILL_COUNT):
        at += rng.expovariate(1 / MEAN_TILL_INTERVAL_SECONDS)
        till = ProgramWriter(
            scenario,
            team="akwaaba",
            program=f"till-{number}",
            at=at,
            rng=rng,
        )
        till.begin("close")
        for line in range(MAX_TILL_CALLS - 1):
            till.use_tool(
                "ledger/post-line", {"line": line, "cedis": rng.randint(1, 500)}
            )
        till.chat("ledger-llm", rng.randint(20, 60))
        if number % 4 == 0:
            till.use_tool(
                "ledger/post-line", {"line": MAX_TILL_CALLS}, outcome="budget_exceeded"
            )
        till.end()
    return scenario


SCENARIOS = (build_passolungo, build_akwaaba)
