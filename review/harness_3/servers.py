"""Stand-ins for servers (replicas) behind the system, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

from harness_3.http import Head, encode_chunk, encode_message, read_body, read_head
from harness_3.store import BEAT_SECONDS, Store


class Run:
    """One request that a server began to run."""

    def __init__(
        self,
        server: Server,
        version: str,
        request: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        self.server = server
        self.version = version
        self.request = request
        self.path = path
        self.body = body
        self.headers = headers
        self.began = time.monotonic()
        self.ended = None


class Server:
    """One server; each start of it is a new lifetime.

    Attributes:
        runs: Requests that any start of the server has run.
        pieces: Number of events of a stream.
        gap: Seconds between two events.
        reading: Seconds for which it reads the prompt of a stream before its first event.
        work: Seconds that a plain request takes.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        host: str,
        port: int,
        *,
        version: str = "1",
        zone: str = "milano",
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.host, self.port = host, port
        self.version = version
        self.zone = zone
        self.state = "ready"
        self.slots = 16
        self.pieces = 10
        self.gap = 0.1
        self.reading = 0.0
        self.work = 0.05
        self.runs = []
        self.rejected = 0
        self.active = 0
        self.extra_headers = {}
        self.is_up = False
        self._sequence = 0
        self._born = 0
        self._server = None
        self._beats = None
        self._writers = set()
        self._tasks = set()

    async def start(self, *, first_beat: float = 0.0) -> None:
        """Starts the server; it writes its entry after some time, then periodically."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.state = "ready"
        self.is_up = True
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self._beats = asyncio.create_task(self._beat(first_beat))

    async def _beat(self, delay: float) -> None:
        await asyncio.sleep(delay)
        while True:
            self.write_entry()
            await asyncio.sleep(BEAT_SECONDS)

    def write_entry(self) -> None:
        """Writes the entry of this start."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self.store.beat(self.name, entry)

    def stop_beats(self) -> None:
        """Ends the writing of entries."""
        if self._beats is not None:
            self._beats.cancel()

    async def crash(self) -> None:
        """Ends the server at once; its connections are reset."""
        self.is_up = False
        self.stop_beats()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            abort(writer)
        self._writers.clear()
        self.active = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self._handle(head, body, writer):
                    return
        except (ConnectionError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        method, path, _ = head.start.split(" ", 2)
        request = head.get("goldcrestvane-request-id")
        headers = {"goldcrestvane-request-id": request, **self.extra_headers}
        headers["goldcrestvane-server-load"] = f"{self.active},0,{self.slots}"
        if path == "/health":
            headers["goldcrestvane-instance-id"] = self.name
            writer.write(encode_message("HTTP/1.1 200 OK", headers))
            return True
        expected = head.get("goldcrestvane-expected-instance", self.name)
        if expected != self.name or self.active >= self.slots:
            self.rejected += 1
            status = 421 if expected != self.name else 503
            headers["goldcrestvane-not-executed"] = "1"
            writer.write(encode_message(f"HTTP/1.1 {status} -", headers))
            await writer.drain()
            return True
        run = Run(self, self.version, request, path, body, head.headers)
        self.runs.append(run)
        self.active += 1
        headers["goldcrestvane-response-signature"] = f"{self.name}.{request}"
        try:
            if method == "POST" and "/stream/" in path:
                await self._send_stream(head, headers, run, writer)
            else:
                await asyncio.sleep(self.work)
                data = f"{self.name} ran {request}".encode()
                writer.write(encode_message("HTTP/1.1 200 OK", headers, data))
                await writer.drain()
            run.ended = time.monotonic()
        finally:
            self.active = max(0, self.active - 1)
        return True

    def count_pieces(self, path: str) -> int:
        """Returns the number of events of a stream: the number at the end of its path."""
        text = path.rpartition("/")[2]
        return int(text) if text.isdigit() and int(text) > 1 else self.pieces

    async def _send_stream(
        self,
        head: Head,
        headers: dict[str, str],
        run: Run,
        writer: asyncio.StreamWriter,
    ) -> None:
        last = int(head.get("last-event-id", "0") or 0)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        pieces = self.count_pieces(run.path)
        await asyncio.sleep(self.reading)
        for number in range(last + 1, pieces + 1):
            await asyncio.sleep(self.gap)
            data = f"{number} of {pieces} by version {run.version} of {self.name}"
            writer.write(encode_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def abort(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
