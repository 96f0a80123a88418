"""Stand-in for a replica that answers with streams of events."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from harness_2.http import Request, build_message, serve_connection
from harness_2.record import Record
from harness_2.store import Store

HEARTBEAT_SECONDS = 1.2
SILENT_HEARTBEATS = 3
SLOTS = 16


@dataclass(frozen=True)
class Run:
    """One request that a replica began to run."""

    at: float
    instance: str
    request: Request

    @property
    def call(self) -> str:
        """Id of the client attempt."""
        return self.request.headers.get("goldcrestvane-request-id", "")


def build_event(number: int) -> bytes:
    """Returns an event of a stream."""
    return b"id: %d\ndata: word-%d\n\n" % (number, number)


class Replica:
    """A replica with a fixed address.

    Attributes:
        instance: Its id in this lifetime.
        runs: Requests that it began to run, over all its lifetimes.
        crash_count: Number of its crashes.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        instance: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        events: int = 12,
        event_seconds: float = 0.1,
        crashes_on: Callable[[Request, int], bool] = lambda request, events: False,
        down_seconds: float = 2.5,
        keeps_id: bool = False,
        version: str = "v1",
        is_quick: Callable[[Request], bool] = lambda request: False,
    ) -> None:
        """Creates a replica that is not started yet.

        Args:
            store: The platform's store, to which it reports.
            record: Record of the run.
            instance: Its id.
            service: Its service.
            zone: Its zone.
            address: Host and port.
            events: Number of events of a stream.
            event_seconds: Time between two events.
            crashes_on: Whether it crashes on a request after a number of events.
            down_seconds: Time after a crash until it is back.
            keeps_id: Whether it has the same id in each lifetime.
            version: Version of its software.
            is_quick: Whether it answers a request without a pause between events.
        """
        self.instance = instance
        self._first_instance = instance
        self._keeps_id = keeps_id
        self._version = version
        self._is_quick = is_quick
        self.address = address
        self.runs: list[Run] = []
        self.crash_count = 0
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._events = events
        self._event_seconds = event_seconds
        self._crashes_on = crashes_on
        self._down_seconds = down_seconds
        self._running = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts a lifetime."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=16 * 1024 * 1024
        )
        self._beats = asyncio.create_task(self._report(int(time.time() * 1000)))
        self._record.write(self.instance, "started")

    async def _report(self, born: int) -> None:
        sequence = 0
        host, port = self.address
        while True:
            sequence += 1
            entry = {
                "service": self._service,
                "address": f"{host}:{port}",
                "zone": self._zone,
                "version": self._version,
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
            }
            self._store.put("servers", self.instance, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await serve_connection(reader, writer, self._handle)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path in ("/health", "/v1/report"):
            self._report_state(request, writer)
            return
        expected = request.headers.get("goldcrestvane-expected-instance")
        if expected not in (None, self.instance):
            headers = {"Goldcrestvane-Instance-Id": self.instance}
            writer.write(build_message("HTTP/1.1 421 X", headers, b""))
            return
        self._running += 1
        try:
            await self._run(request, writer)
        finally:
            self._running -= 1

    def _report_state(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = {
            "Goldcrestvane-Instance-Id": self.instance,
            "Goldcrestvane-Server-Load": self._load,
            "Content-Type": "application/json",
        }
        state = {"stage": "dual", "busy": False, "queued": 0, "active": self._running}
        body = b"" if request.path == "/health" else json.dumps(state).encode()
        writer.write(build_message("HTTP/1.1 200 OK", headers, body))

    @property
    def _load(self) -> str:
        return f"{self._running},0,{SLOTS}"

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        run = Run(self._record.now, self.instance, request)
        self.runs.append(run)
        last = int(request.headers.get("last-event-id", "0"))
        self._record.write(
            self.instance,
            f"runs {run.call} {request.path} body={len(request.body)} after={last}",
        )
        if self._crashes_on(request, 0):
            self.crash(run)
            return
        headers = {
            "Content-Type": "text/event-stream",
            "Goldcrestvane-Request-Id": run.call,
            "Goldcrestvane-Response-Signature": f"s.{self.instance}",
            "Goldcrestvane-Server-Load": self._load,
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        pause = 0.0 if self._is_quick(request) else self._event_seconds
        for number in range(last + 1, self._events + 1):
            await asyncio.sleep(pause)
            event = build_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if self._crashes_on(request, number):
                # The event is on its way when the replica ends.
                await asyncio.sleep(self._event_seconds / 2)
                self.crash(run)
                return
        writer.write(b"0\r\n\r\n")

    def crash(self, run: Run) -> None:
        """Ends this lifetime at once; the next one begins after some seconds."""
        self.crash_count += 1
        self._record.write(self.instance, f"crashes on {run.call}")
        self.stop()
        for writer in list(self._writers):
            writer.transport.abort()
        if not self._keeps_id:
            self._spawn(self._remove_entry(self.instance))
        self._spawn(self._start_again())

    def _spawn(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _remove_entry(self, instance: str) -> None:
        """Removes the entry of an ended lifetime after its silence, as the platform does."""
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_SECONDS)
        self._store.remove("servers", instance)

    async def _start_again(self) -> None:
        await asyncio.sleep(self._down_seconds)
        if not self._keeps_id:
            self.instance = f"{self._first_instance}-{self.crash_count}"
        await self.start()

    def stop(self) -> None:
        """Accepts no connections and reports nothing any more."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()

    def close(self) -> None:
        """Stops for good."""
        for task in self._tasks:
            task.cancel()
        self.stop()
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
