"""Stand-in for the platform's metadata store."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from harness_2.http import Request, build_message, serve_connection

PREFIX = "/v1/objects/"


class Store:
    """Keeps objects by kind and name, and their history."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.revision = 100
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._is_stopped = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Serves the store at an address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await serve_connection(reader, writer, self._handle)
            finally:
                writer.close()

        self._server = await asyncio.start_server(serve, host, port)

    def stop(self) -> None:
        """Accepts no connections any more."""
        self._is_stopped = True
        self._wake()
        if self._server is not None:
            self._server.close()

    def get(self, kind: str, name: str) -> Any:
        """Returns the specification of an object, or None."""
        found = self._objects.get(kind, {}).get(name)
        return found["specification"] if found else None

    def get_status(self, kind: str, name: str) -> Any:
        """Returns the status of an object, or None."""
        found = self._objects.get(kind, {}).get(name)
        return found["status"] if found else None

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Writes an object as the operator or a replica does."""
        known = self._objects.get(kind, {}).get(name)
        self._change(kind, name, specification, known["status"] if known else None)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            event = {"deleted": True, "object": item}
            self._history.append((self.revision, kind, event))
            self._wake()

    def _change(self, kind: str, name: str, specification: Any, status: Any) -> dict:
        known = self._objects.setdefault(kind, {}).get(name)
        if known and (known["specification"], known["status"]) == (
            specification,
            status,
        ):
            return known
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": status,
        }
        self._objects[kind][name] = item
        self._history.append((self.revision, kind, {"deleted": False, "object": item}))
        self._wake()
        return item

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        status, value = await self._serve(request)
        headers = {"Content-Type": "application/json"}
        body = json.dumps(value).encode()
        writer.write(build_message(f"HTTP/1.1 {status} X", headers, body))

    async def _serve(self, request: Request) -> tuple[int, Any]:
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, *rest = parts.path.removeprefix(PREFIX).split("/")
        name = unquote(rest[0]) if rest else None
        if request.method == "GET":
            return await self._read(kind, name, query)
        body = json.loads(request.body) if request.body else {}
        return self._write(request.method, kind, name, rest[1:], body)

    async def _read(
        self, kind: str, name: str | None, query: dict[str, str]
    ) -> tuple[int, Any]:
        objects = self._objects.get(kind, {})
        if name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in query:
            since, wait = int(query["watch"]), int(query.get("wait_ms", "0")) / 1000
            return 200, await self._watch(kind, since, wait)
        items = [objects[key] for key in sorted(objects)]
        return 200, {"items": items, "has_more": False, "at": self.revision}

    async def _watch(self, kind: str, since: int, wait: float) -> Any:
        until = asyncio.get_running_loop().time() + wait
        while True:
            events = [
                event
                for revision, each, event in self._history
                if revision > since and each == kind
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0 or self._is_stopped:
                return {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(
        self, method: str, kind: str, name: str | None, rest: list[str], body: Any
    ) -> tuple[int, Any]:
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self._objects.get(kind, {}).get(name)
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self._change(kind, name, body.get("specification"), None)
        if known is None:
            return 404, {}
        expected = metadata.get("revision")
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if rest == ["status"]:
            specification, status = known["specification"], body.get("status")
        else:
            specification, status = body.get("specification"), known["status"]
        return 200, self._change(kind, name, specification, status)
