"""A caller that logs every attempt, for the checker to judge."""

import time
from typing import final

import msgspec
import trio

from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    CallKey,
    ChatMessage,
    Evidence,
    ProgramKey,
    ProgramRecord,
)
from bench.faultrun.balancer import EntryRound
from bench.faultrun.exchange import CallPlan, Ending, build_marker, exchange
from bench.faultrun.plan import CALL_SECONDS, MODEL, TOOL
from goldcrestvane_common.settings import Budget
from goldcrestvane_standins.deployment import Deployment

READ_MARGIN_SECONDS = 2.0
PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0
GIVE_UP_SECONDS = 40.0
REPEATED = frozenset(
    {
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.INCOMPLETE,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.BROKEN,
    }
)
SETTLED = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.UNKNOWN})


@final
class ProgramCaller:
    """Runs one program through the entries.

    Attributes:
        key: Team and id of the program.
        sequence: Sequence of the next call.
        turns: The conversation, for programs whose callers send the history.
    """

    def __init__(
        self,
        deployment: Deployment,
        evidence: Evidence,
        key: ProgramKey,
        *,
        entries: EntryRound,
        call_seconds: float = CALL_SECONDS,
        give_up_seconds: float = GIVE_UP_SECONDS,
    ) -> None:
        self._entries = entries
        self._deployment = deployment
        self._evidence = evidence
        self._call_seconds = call_seconds
        self._give_up_seconds = give_up_seconds
        self._record: ProgramRecord | None = None
        self.key = key
        self.sequence = 1
        self.turns: list[ChatMessage] = []

    async def begin(
        self, kind: str, *, budget: Budget = Budget(), owner_history: bool = False
    ) -> bool:
        """Begins the program and logs what was declared; returns whether it worked."""
        self._record = ProgramRecord(
            key=self.key, budget=budget, owner_history=owner_history
        )
        self._evidence.programs.append(self._record)
        body = {"program": self.key.program, "kind": kind}
        return await self._order("/v1/programs/begin", body)

    async def end(self) -> bool:
        """Ends the program; returns whether the end was acknowledged."""
        assert self._record is not None
        ended = await self._order("/v1/programs/end", {"program": self.key.program})
        if ended:
            index = self._evidence.programs.index(self._record)
            self._record = msgspec.structs.replace(self._record, ended=time.time())
            self._evidence.programs[index] = self._record
        return ended

    async def _order(self, path: str, body: dict[str, str]) -> bool:
        call = CallPlan(path=path, body=body, is_order=True)
        with trio.move_on_after(self._give_up_seconds):
            while True:
                ending = await exchange(
                    self._deployment.transport,
                    self._deployment.processes[self._entries.choose()].address,
                    call,
                    self._build_headers(None),
                    timeout=self._call_seconds + READ_MARGIN_SECONDS,
                )
                if ending.outcome is AttemptOutcome.ANSWERED:
                    return True
                if ending.outcome is AttemptOutcome.REFUSED_FINAL:
                    return False
                await trio.sleep(_choose_pause(ending))
        return False

    async def chat(
        self, *, stream: bool = False, own_history: bool = False, text: str = "shoe"
    ) -> Ending:
        """Calls a model with a new message, after the turns so far if asked to."""
        marker = self.build_next_marker()
        new = ChatMessage("user", f"{marker} {text}")
        messages = (*self.turns, new) if own_history else (new,)
        body = {
            "model": MODEL,
            "messages": [{"role": m.role, "content": m.content} for m in messages],
            "max_tokens": 64,
            "stream": stream,
        }
        call = CallPlan(path="/v1/chat/completions", body=body, stream=stream)
        ending = await self.run_call(call, messages=messages)
        if own_history and ending.outcome is AttemptOutcome.ANSWERED:
            self.turns += [new, ChatMessage("assistant", ending.text)]
        return ending

    async def use_tool(
        self, operation: str, *, once: bool, crossed: bool = False
    ) -> Ending:
        """Calls a tool; a crossed call is sent through two entries at once."""
        body = {"marker": self.build_next_marker()}
        call = CallPlan(path=f"/v1/tools/{TOOL}/{operation}", body=body, once=once)
        return await self.run_call(call, crossed=crossed)

    def build_next_marker(self) -> str:
        """Returns the marker of the next call."""
        return build_marker(self.key.team, self.key.program, self.sequence)

    async def run_call(
        self,
        call: CallPlan,
        *,
        messages: tuple[ChatMessage, ...] = (),
        crossed: bool = False,
    ) -> Ending:
        """Sends the next call until its outcome is settled or it is given up."""
        endings: list[Ending] = []

        async def send() -> None:
            endings.append(await self._repeat(call, messages))

        async with trio.open_nursery() as nursery:
            for _ in range(2 if crossed else 1):
                nursery.start_soon(send)
        settled = [ending for ending in endings if ending.outcome in SETTLED]
        if settled:
            self.sequence += 1
        return (settled or endings)[0]

    async def _repeat(
        self, call: CallPlan, messages: tuple[ChatMessage, ...]
    ) -> Ending:
        ends_at = trio.current_time() + self._give_up_seconds
        while True:
            ending = await self.attempt(call, messages=messages)
            if ending.outcome not in REPEATED or trio.current_time() > ends_at:
                return ending
            await trio.sleep(_choose_pause(ending))

    async def attempt(
        self,
        call: CallPlan,
        *,
        messages: tuple[ChatMessage, ...] = (),
        sequence: int | None = None,
        entry: str | None = None,
    ) -> Ending:
        """Sends a call once through the next entry and logs it."""
        sequence = sequence or self.sequence
        entry = entry or self._entries.choose()
        sent = time.time()
        ending = await exchange(
            self._deployment.transport,
            self._deployment.processes[entry].address,
            call,
            self._build_headers(sequence),
            timeout=self._call_seconds + READ_MARGIN_SECONDS,
        )
        attempt = Attempt(
            call=CallKey(self.key.team, self.key.program, sequence),
            marker=build_marker(self.key.team, self.key.program, sequence),
            once=call.once,
            messages=messages,
            entry=entry,
            sent=sent,
            ended=time.time(),
            outcome=ending.outcome,
            text=ending.text,
            finish_reason=ending.finish_reason,
            completion_tokens=ending.completion_tokens,
            result=ending.result,
            effect=ending.effect,
            error=ending.error,
        )
        self._evidence.attempts.append(attempt)
        return ending

    def _build_headers(self, sequence: int | None) -> dict[str, str]:
        headers = {
            "goldcrestvane-team": self.key.team,
            "goldcrestvane-program": self.key.program,
            "goldcrestvane-timeout": str(self._call_seconds),
        }
        if sequence is not None:
            headers["goldcrestvane-sequence"] = str(sequence)
        return headers


def _choose_pause(ending: Ending) -> float:
    return min(ending.retry_after or PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
