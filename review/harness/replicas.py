"""Stand-ins for the replicas of a service: they run requests and say what they ran."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable

from harness.http import (
    BrokenMessage,
    Message,
    encode_chunk,
    encode_head,
    encode_response,
    read_request,
)
from harness.record import Record
from harness.store import PlatformStore

HEARTBEAT_SECONDS = 1.2
EVENTS = 12
EVENT_BYTES = 140
CALL = "goldcrestvane-request-id"

_numbers = itertools.count(1)


class Replica:
    """One place for a replica; each start is a new lifetime with a new id.

    Attributes:
        instance: Id of the present lifetime.
        event_seconds: Pause before each event of a stream.
        work_seconds: Run time of a request that is no stream.
        crashes_on: Returns whether the replica crashes when it runs a request.
    """

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        host: str,
        slots: int,
        store: PlatformStore,
        record: Record,
    ) -> None:
        self.instance = ""
        self.event_seconds = 0.01
        self.work_seconds = 0.03
        self.down_seconds = 3.0
        self.crashes_on: Callable[[Message], bool] = lambda request: False
        self._service = service
        self._zone = zone
        self._host = host
        self._slots = slots
        self._store = store
        self._record = record
        self._running = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._port = 0
        self._born = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts a new lifetime."""
        self.instance = f"i-{next(_numbers):08x}"
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._add_task(self._send_heartbeats(self.instance))

    def _add_task(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self, instance: str) -> None:
        while self.instance == instance:
            self._sequence += 1
            entry = {
                "service": self._service,
                "address": f"{self._host}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            self._store.put("servers", instance, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _crash(self) -> None:
        """Ends the lifetime without a word; another one begins some seconds later."""
        instance, self.instance = self.instance, ""
        self._record.add("crash", replica=instance)
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._running = 0

        async def come_back() -> None:
            await asyncio.sleep(self.down_seconds)
            await self.start()
            await asyncio.sleep(max(0.0, 3 * HEARTBEAT_SECONDS - self.down_seconds))
            self._store.delete("servers", instance)

        self._add_task(come_back())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        instance = self.instance
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.instance != instance:
                    return
                await self._handle(request, writer)
        except (BrokenMessage, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        headers = {"Goldcrestvane-Instance-Id": self.instance}
        load = f"{self._running},0,{self._slots}"
        headers["Goldcrestvane-Server-Load"] = load
        if request.start[1] == "/health":
            writer.write(encode_response(200, headers))
        elif request.start[1] == "/v1/report":
            report = {"active": self._running, "queued": 0, "stage": "dual"}
            writer.write(encode_response(200, headers, json.dumps(report).encode()))
        elif request.headers.get("goldcrestvane-expected-instance") not in (
            None,
            self.instance,
        ):
            writer.write(encode_response(421, headers))
        elif self._running >= self._slots:
            headers["Goldcrestvane-Not-Executed"] = "1"
            writer.write(encode_response(503, headers))
        else:
            await self._run(request, writer, headers)
        await writer.drain()

    async def _run(
        self, request: Message, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        call = request.headers.get(CALL, "")
        instance = self.instance
        self._record.add(
            "run",
            replica=instance,
            call=call,
            method=request.start[0],
            path=request.start[1],
            bytes=len(request.body),
            previous=request.headers.get("goldcrestvane-previous-turn"),
        )
        self._record.bodies[call] = request.body
        if self.crashes_on(request):
            await self._crash()
            return
        headers["Goldcrestvane-Request-Id"] = call
        headers["Goldcrestvane-Response-Signature"] = f"{instance}.{call}"
        self._running += 1
        try:
            if "goldcrestvane-token-usage" in request.headers:
                await self._stream(request, writer, headers)
            else:
                await asyncio.sleep(self.work_seconds)
                writer.write(encode_response(200, headers, call.encode() * 50))
        finally:
            if self.instance == instance:
                self._running -= 1

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.event_seconds)
            data = f"{request.headers[CALL]}-{number}".ljust(EVENT_BYTES, ".")
            writer.write(encode_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
            await writer.drain()
        writer.write(encode_chunk(b""))
