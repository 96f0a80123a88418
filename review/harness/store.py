"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

Its answers are linearizable, it loses nothing, and it keeps all of its history.
"""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from harness.http import BrokenMessage, Message, encode_response, read_request

PAGE_ITEMS = 500
PREFIX = "/v1/objects/"


class PlatformStore:
    """Objects by kind and name, with watches and conditional writes."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._revision = 1

    async def start(self, host: str, port: int) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, kind: str, name: str, specification: Any) -> int:
        """Writes the specification of an object; returns the revision."""
        known = self._objects.get((kind, name))
        status = known["status"] if known else None
        return self._write(kind, name, specification, status)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object, if it exists."""
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self._revision += 1
            self._add_event(kind, known, deleted=True)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object, or None."""
        return self._objects.get((kind, name))

    def _write(self, kind: str, name: str, specification: Any, status: Any) -> int:
        known = self._objects.get((kind, name))
        if known and (known["specification"], known["status"]) == (
            specification,
            status,
        ):
            return self._revision
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": status,
        }
        self._objects[kind, name] = item
        self._add_event(kind, item, deleted=False)
        return self._revision

    def _add_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self._revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, value = await self._handle(request)
                headers = {"Content-Type": "application/json"}
                body = json.dumps(value).encode()
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (BrokenMessage, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, Any]:
        method, target, _ = request.start
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, rest = url.path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        name = unquote(name)
        if method == "GET":
            if name:
                item = self.get(kind, name)
                return (200, item) if item else (404, {})
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, unquote(query.get("after", "")))
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        name = name or metadata.get("name", "")
        known = self.get(kind, name)
        expected = metadata.get("revision", query.get("revision"))
        if method == "POST" and known:
            return 409, known
        if method in ("PUT", "DELETE"):
            if known is None:
                return 404, {}
            if expected is not None and int(expected) != known["metadata"]["revision"]:
                return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if part == "status":
            assert known is not None
            self._write(kind, name, known["specification"], body.get("status"))
        else:
            status = known["status"] if known else body.get("status")
            self._write(kind, name, body.get("specification"), status)
        return 200, self.get(kind, name)

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        seconds = min(int(query.get("wait_ms", "0")), 30_000) / 1000
        end = asyncio.get_running_loop().time() + seconds
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._events
                if of_kind == kind and revision > since
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
