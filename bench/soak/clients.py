"""Clients of a soak, which use their connections until the process is gone."""

import random
from typing import final

import h11
import trio

from bench.soak.machines import CLIENT_PORT, Machine
from bench.soak.records import Attempt, Evidence, RequestKind, StreamedEvent
from goldcrestvane_common.ids import InstanceId, Version

DEADLINE_SECONDS = 3.0
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.05
MAX_RESUMPTIONS = 2
KINDS = (
    RequestKind.LOOKUP,
    RequestKind.POSTING,
    RequestKind.TURN,
    RequestKind.TURN,
    RequestKind.PROBE,
)
SIGNATURE = "goldcrestvane-response-signature"


@final
class SoakClient:
    """One client, which sends one request after another."""

    def __init__(
        self, machines: list[Machine], evidence: Evidence, rng: random.Random
    ) -> None:
        self._machines = machines
        self._evidence = evidence
        self._rng = rng
        self._stream: trio.SocketStream | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._machine = machines[0]
        self._start = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        try:
            while True:
                await self._send_program(self._rng.choice(KINDS))
                await trio.sleep(self._rng.uniform(0, 2 * PAUSE_SECONDS))
        finally:
            self._close()

    async def _send_program(self, kind: RequestKind) -> None:
        """Sends one request; a stream that breaks is taken up again."""
        program = f"p-{self._evidence.create_call_id()}"
        began: Attempt | None = None
        event_count = 0
        for _ in range(1 + MAX_RESUMPTIONS):
            attempt = await self._attempt(kind, program, began, event_count)
            if attempt is None:
                continue
            if kind is not RequestKind.TURN or attempt.whole:
                return
            event_count += len(attempt.events)
            if began is None and attempt.events:
                began = attempt

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
        self, kind: RequestKind, program: str, began: Attempt | None, events: int
    ) -> Attempt | None:
        """Sends one attempt; returns None if nothing was sent."""
        if self._stream is None and not await self._connect():
            return None
        assert self._stream is not None
        call = self._evidence.create_call_id()
        versions = list(self._evidence.changes)[-3:]
        version = self._rng.choice(versions) if kind is RequestKind.PROBE else 0
        headers = {
            "host": "h",
            "goldcrestvane-request-id": call,
            "goldcrestvane-deadline-ms": str(int(DEADLINE_SECONDS * 1000)),
            "content-length": "0",
        }
        if kind is RequestKind.TURN:
            headers["goldcrestvane-program-id"] = program
            headers["goldcrestvane-token-budget"] = "100000"
            headers["goldcrestvane-token-usage"] = "10,1000"
        if began is not None:
            headers["last-event-id"] = str(events)
            headers["resumes"] = began.call
        path = f"/{kind.value}{version or ''}/x"
        request = h11.Request(method="POST", target=path, headers=list(headers.items()))
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
            sent_at=trio.current_time(),
            version=Version(version),
            stream=began.call if began is not None else call,
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
