"""Clients of a soak, which use their connections until the process is gone."""

import random
from typing import final

import h11
import msgspec
import trio

from bench.soak.accounts import KEY_PREFIX
from bench.soak.machines import CLIENT_PORT, Machine
from bench.soak.records import Attempt, Evidence, RequestKind, StreamedEvent
from goldcrestvane_common.ids import AccountId, InstanceId, Version

DEADLINE_SECONDS = 3.0
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.05
MAX_RESUMPTIONS = 2
PATIENCE_SECONDS = 9.0
"""Time for which a client tries to reach a frontend and to take up a stream."""

RETRIED_STATUSES = frozenset((429, 503))
"""Statuses after which a stream is taken up later."""

KINDS = (
    RequestKind.LOOKUP,
    RequestKind.POSTING,
    RequestKind.TURN,
    RequestKind.TURN,
    RequestKind.PROBE,
)
KINDS_WITH_ACCOUNTS = (*KINDS, RequestKind.ANONYMOUS)
UNKNOWN_KEY_SHARE = 0.1
MISSING_KEY_SHARE = 0.05
REVOKED_KEY_SHARE = 0.2
RECENT_KEYS = 3
"""Number of an account's last revoked keys that its clients go on using."""

PLAIN_STREAM_SHARE = 0.3
"""Share of the streams without a program, if any are."""

CONTINUATION_SHARE = 0.5
"""Share of the turns that name a previous turn: half of these another account's."""

RECENT_TURNS = 20
SIGNATURE = "goldcrestvane-response-signature"


class SoakProgram(msgspec.Struct, frozen=True, kw_only=True):
    """What all attempts of one request have in common.

    Attributes:
        kind: Kind of the request.
        name: Id of the program; empty for a stream that is no turn.
        key: API key; None if the request has none.
        previous: Turn that the request continues.
    """

    kind: RequestKind
    name: str
    key: str | None = None
    previous: Attempt | None = None


@final
class SoakClient:
    """One client, which sends one request after another."""

    def __init__(
        self,
        machines: list[Machine],
        evidence: Evidence,
        rng: random.Random,
        *,
        account: AccountId | None = None,
        pause_seconds: float = PAUSE_SECONDS,
        plain_stream_share: float = 0.0,
    ) -> None:
        self._machines = machines
        self._evidence = evidence
        self._rng = rng
        self._account = account
        self._pause_seconds = pause_seconds
        self._plain_stream_share = plain_stream_share
        self._stream: trio.SocketStream | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._machine = machines[0]
        self._start = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        kinds = KINDS if self._account is None else KINDS_WITH_ACCOUNTS
        try:
            while True:
                await self._send_program(self._rng.choice(kinds))
                await trio.sleep(self._rng.uniform(0, 2 * self._pause_seconds))
        finally:
            self._close()

    async def _send_program(self, kind: RequestKind) -> None:
        """Sends one request; a stream that breaks is taken up again.

        While no frontend accepts connections, the client waits.
        """
        name = f"p-{self._evidence.create_call_id()}"
        previous = self._draw_previous(kind)
        if previous is None and self._draws_plain_stream(kind):
            name = ""
        program = SoakProgram(
            kind=kind,
            name=previous.program if previous else name,
            key=self._draw_key(),
            previous=previous,
        )
        began: Attempt | None = None
        event_count = attempt_count = 0
        end = trio.current_time() + PATIENCE_SECONDS
        while trio.current_time() < end:
            attempt = await self._attempt(program, began, event_count)
            if attempt is None:
                continue
            attempt_count += 1
            if began is not None and attempt.status in RETRIED_STATUSES:
                await trio.sleep(PAUSE_SECONDS)
                continue
            if kind is not RequestKind.TURN or attempt.whole:
                return
            event_count += len(attempt.events)
            if began is None and attempt.events:
                began = attempt
            if began is None and attempt_count > MAX_RESUMPTIONS:
                return

    def _draws_plain_stream(self, kind: RequestKind) -> bool:
        share = self._plain_stream_share
        return share > 0 and kind is RequestKind.TURN and self._rng.random() < share

    def _draw_key(self) -> str | None:
        """Returns a key: mostly a valid one of the client's account."""
        if self._account is None:
            return None
        lives = self._evidence.keys.items()
        own = [(k, life) for k, life in lives if life.account == self._account]
        valid = [key for key, life in own if life.is_valid]
        revoked = [key for key, life in own if not life.is_valid][-RECENT_KEYS:]
        draw = self._rng.random()
        if draw < MISSING_KEY_SHARE:
            return None
        if draw < MISSING_KEY_SHARE + UNKNOWN_KEY_SHARE:
            return f"{KEY_PREFIX}unknown"
        if revoked and (self._rng.random() < REVOKED_KEY_SHARE or not valid):
            return self._rng.choice(revoked)
        return self._rng.choice(valid)

    def _draw_previous(self, kind: RequestKind) -> Attempt | None:
        """Returns a recent turn of the client's account or another one, if any."""
        if self._account is None or kind is not RequestKind.TURN:
            return None
        if self._rng.random() >= CONTINUATION_SHARE:
            return None
        is_own = self._rng.random() < 0.5
        keys = self._evidence.keys
        turns = [
            attempt
            for attempt in self._evidence.attempts
            if attempt.kind is RequestKind.TURN
            and (attempt.program and attempt.whole and attempt.status == 200)
            and attempt.key in keys
            and (keys[attempt.key].account == self._account) == is_own
        ]
        return self._rng.choice(turns[-RECENT_TURNS:]) if turns else None

    def _build_identity(self, program: SoakProgram) -> dict[str, str]:
        """Returns headers with a key, a false account and the previous turn."""
        headers: dict[str, str] = {}
        if self._account is not None:
            headers["goldcrestvane-tenant"] = "account-of-client"
        if program.key is not None:
            headers["authorization"] = f"Token {program.key}"
        if program.previous is not None:
            headers["goldcrestvane-previous-turn"] = program.previous.call
        return headers

    async def _connect(self) -> bool:
        self._close()
        self._machine = self._rng.choice(self._machines)
        self._start = self._machine.start_count
        try:
            with trio.fail_after(CONNECT_SECONDS):
                self._stream = await trio.open_tcp_stream(
                    self._machine.host, CLIENT_PORT
                )
        except (OSError, trio.TooSlowError):
            await trio.sleep(PAUSE_SECONDS)
            return False
        self._parser = h11.Connection(h11.CLIENT)
        return True

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.socket.close()
        self._stream = None

    async def _attempt(
        self, program: SoakProgram, began: Attempt | None, events: int
    ) -> Attempt | None:
        """Sends one attempt; returns None if nothing was sent."""
        if self._stream is None and not await self._connect():
            return None
        assert self._stream is not None
        kind = program.kind
        call = self._evidence.create_call_id()
        versions = list(self._evidence.changes)[-3:]
        version = self._rng.choice(versions) if kind is RequestKind.PROBE else 0
        headers = {
            "host": "h",
            "goldcrestvane-request-id": call,
            "goldcrestvane-deadline-ms": str(int(DEADLINE_SECONDS * 1000)),
            "content-length": "0",
            **self._build_identity(program),
        }
        if kind is RequestKind.TURN and program.name:
            headers["goldcrestvane-program-id"] = program.name
            headers["goldcrestvane-token-budget"] = "100000"
            headers["goldcrestvane-token-usage"] = "10,1000"
        if began is not None:
            headers["last-event-id"] = str(events)
            headers["resumes"] = began.call
        path = f"/{kind.value}{version or ''}/x"
        request = h11.Request(method="POST", target=path, headers=list(headers.items()))
        began_at = trio.current_time()
        try:
            data = self._parser.send(request) + self._parser.send(h11.EndOfMessage())
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            self._close()
            return None
        attempt = Attempt(
            call=call,
            kind=kind,
            frontend=self._machine.name,
            start=self._start,
            began_at=began_at,
            sent_at=trio.current_time(),
            version=Version(version),
            stream=began.call if began is not None else call,
            program=program.name,
            key=program.key,
            previous=program.previous.call if program.previous else None,
        )
        self._evidence.attempts.append(attempt)
        try:
            with trio.move_on_after(2 * DEADLINE_SECONDS):
                await self._read_response(attempt)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            attempt.whole = False
        attempt.ended_at = trio.current_time()
        if not attempt.whole:
            self._close()
        elif self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        else:
            # The response announced that the connection closes. Until the process has
            # closed it, the client uses it for its next request all the same.
            self._parser = h11.Connection(h11.CLIENT)
        return attempt

    async def _read_response(self, attempt: Attempt) -> None:
        assert self._stream is not None
        buffer = b""
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._stream.receive_some())
            elif isinstance(event, h11.Response):
                self._read_head(attempt, event)
            elif isinstance(event, h11.Data):
                buffer += bytes(event.data)
                if attempt.kind is RequestKind.TURN and attempt.status == 200:
                    *whole, buffer = buffer.split(b"\n\n")
                    attempt.events += [_parse_event(text) for text in whole]
            elif isinstance(event, h11.EndOfMessage):
                attempt.body = buffer
                attempt.whole = True
                return
            else:
                return

    def _read_head(self, attempt: Attempt, response: h11.Response) -> None:
        headers = {k.decode(): v.decode() for k, v in response.headers}
        attempt.status = response.status_code
        if "server-leaving" in headers and SIGNATURE in headers:
            attempt.leaving = InstanceId(headers[SIGNATURE])
        if "server-limit" in headers and SIGNATURE in headers:
            attempt.limiting = InstanceId(headers[SIGNATURE])


def _parse_event(text: bytes) -> StreamedEvent:
    number, software = (line.partition(b": ")[2] for line in text.split(b"\n"))
    return StreamedEvent(int(number), software.decode())
