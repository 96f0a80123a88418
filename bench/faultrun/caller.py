"""A caller that logs every attempt for the checker."""

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
from bench.faultrun.balancer import EntryRotation
from bench.faultrun.exchange import AttemptResult, CallPlan, build_marker, send_attempt
from bench.faultrun.plan import CALL_TIMEOUT_SECONDS, MODEL, TOOL
from goldcrestvane_common.settings import Budget
from goldcrestvane_standins.deployment import Deployment

READ_MARGIN_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 2.0
RETRY_LIMIT_SECONDS = 40.0
"""Time after which a caller sends no more attempts of a call."""
RETRIED_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.INCOMPLETE,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.BROKEN,
    }
)
SETTLED_OUTCOMES = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.UNKNOWN})
"""Outcomes after which the program continues with its next sequence number."""


@final
class ProgramCaller:
    """Runs one program through the entries.

    Attributes:
        key: Key of the program.
        sequence: Sequence number of the next call.
        turns: Conversation so far, for a program whose caller sends the history.
    """

    def __init__(
        self,
        deployment: Deployment,
        evidence: Evidence,
        key: ProgramKey,
        *,
        entries: EntryRotation,
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        retry_limit_seconds: float = RETRY_LIMIT_SECONDS,
    ) -> None:
        self._entries = entries
        self._deployment = deployment
        self._evidence = evidence
        self._call_timeout_seconds = call_timeout_seconds
        self._retry_limit_seconds = retry_limit_seconds
        self._record: ProgramRecord | None = None
        self.key = key
        self.sequence = 1
        self.turns: list[ChatMessage] = []

    async def begin(
        self, kind: str, *, budget: Budget = Budget(), owner_history: bool = False
    ) -> bool:
        """Begins the program, logs its declaration and returns whether it succeeded."""
        self._record = ProgramRecord(
            key=self.key, budget=budget, owner_history=owner_history
        )
        self._evidence.programs.append(self._record)
        body = {"program": self.key.program, "kind": kind}
        return await self._send_program_request("/v1/programs/begin", body)

    async def end(self) -> bool:
        """Ends the program; returns whether the end was acknowledged."""
        assert self._record is not None
        ended = await self._send_program_request(
            "/v1/programs/end", {"program": self.key.program}
        )
        if ended:
            index = self._evidence.programs.index(self._record)
            self._record = msgspec.structs.replace(self._record, ended=time.time())
            self._evidence.programs[index] = self._record
        return ended

    async def _send_program_request(self, path: str, body: dict[str, str]) -> bool:
        call = CallPlan(path=path, body=body, is_program_request=True)
        with trio.move_on_after(self._retry_limit_seconds):
            while True:
                result = await send_attempt(
                    self._deployment.transport,
                    self._deployment.processes[self._entries.choose_entry()].address,
                    call,
                    self._build_headers(None),
                    timeout=self._call_timeout_seconds + READ_MARGIN_SECONDS,
                )
                if result.outcome is AttemptOutcome.ANSWERED:
                    return True
                if result.outcome is AttemptOutcome.REFUSED_FINAL:
                    return False
                await trio.sleep(_get_retry_delay(result))
        return False

    async def chat(
        self, *, stream: bool = False, own_history: bool = False, text: str = "shoe"
    ) -> AttemptResult:
        """Calls a model with a new message.

        Args:
            stream: Whether the answer is streamed.
            own_history: Whether the caller sends the earlier turns before the message.
            text: Text of the message.
        """
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
        result = await self.run_call(call, messages=messages)
        if own_history and result.outcome is AttemptOutcome.ANSWERED:
            self.turns += [new, ChatMessage("assistant", result.text)]
        return result

    async def use_tool(
        self, operation: str, *, at_most_once: bool, duplicated: bool = False
    ) -> AttemptResult:
        """Calls a tool; a duplicated call is sent through two entries at once."""
        body = {"marker": self.build_next_marker()}
        call = CallPlan(
            path=f"/v1/tools/{TOOL}/{operation}", body=body, at_most_once=at_most_once
        )
        return await self.run_call(call, duplicated=duplicated)

    def build_next_marker(self) -> str:
        """Returns the marker of the next call."""
        return build_marker(self.key.team, self.key.program, self.sequence)

    async def run_call(
        self,
        call: CallPlan,
        *,
        messages: tuple[ChatMessage, ...] = (),
        duplicated: bool = False,
    ) -> AttemptResult:
        """Sends the next call until its outcome is final or the retry limit passes."""
        results: list[AttemptResult] = []

        async def send() -> None:
            results.append(await self._send_until_final(call, messages))

        async with trio.open_nursery() as nursery:
            for _ in range(2 if duplicated else 1):
                nursery.start_soon(send)
        settled = [result for result in results if result.outcome in SETTLED_OUTCOMES]
        if settled:
            self.sequence += 1
        return (settled or results)[0]

    async def _send_until_final(
        self, call: CallPlan, messages: tuple[ChatMessage, ...]
    ) -> AttemptResult:
        deadline = trio.current_time() + self._retry_limit_seconds
        while True:
            result = await self.attempt(call, messages=messages)
            if result.outcome not in RETRIED_OUTCOMES or trio.current_time() > deadline:
                return result
            await trio.sleep(_get_retry_delay(result))

    async def attempt(
        self,
        call: CallPlan,
        *,
        messages: tuple[ChatMessage, ...] = (),
        sequence: int | None = None,
        entry: str | None = None,
    ) -> AttemptResult:
        """Sends one attempt of a call and logs it.

        Args:
            call: The call.
            messages: Messages that the call sends to a model.
            sequence: Sequence number, or None for that of the next call.
            entry: Name of the entry, or None for the next one.
        """
        sequence = sequence or self.sequence
        entry = entry or self._entries.choose_entry()
        sent = time.time()
        result = await send_attempt(
            self._deployment.transport,
            self._deployment.processes[entry].address,
            call,
            self._build_headers(sequence),
            timeout=self._call_timeout_seconds + READ_MARGIN_SECONDS,
        )
        attempt = Attempt(
            call=CallKey(self.key.team, self.key.program, sequence),
            marker=build_marker(self.key.team, self.key.program, sequence),
            once=call.at_most_once,
            messages=messages,
            entry=entry,
            sent=sent,
            ended=time.time(),
            outcome=result.outcome,
            text=result.text,
            finish_reason=result.finish_reason,
            completion_tokens=result.completion_tokens,
            result=result.result,
            effect=result.effect,
            error=result.error,
        )
        self._evidence.attempts.append(attempt)
        return result

    def _build_headers(self, sequence: int | None) -> dict[str, str]:
        headers = {
            "goldcrestvane-team": self.key.team,
            "goldcrestvane-program": self.key.program,
            "goldcrestvane-timeout": str(self._call_timeout_seconds),
        }
        if sequence is not None:
            headers["goldcrestvane-sequence"] = str(sequence)
        return headers


def _get_retry_delay(result: AttemptResult) -> float:
    return min(result.retry_after or RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
