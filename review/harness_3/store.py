"""Stand-in for the store of the platform, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from harness_3.http import encode_message, read_body, read_head

BEAT_SECONDS = 1.2
"""heartbeat_interval_ms of the deployment."""

SILENT_BEATS = 3
"""Intervals of silence after which the entry of a server is removed."""


def _strip(entry: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in entry.items() if name != "sequence"}


class StoreState(Enum):
    """How the store treats calls."""

    SERVING = "serving"
    BUSY = "busy"
    """Each call gets 503."""

    SILENT = "silent"
    """No call gets an answer."""


class Store:
    """Objects by kind and name, with one revision counter, lists and watches."""

    def __init__(self) -> None:
        self.state = StoreState.SERVING
        self.revision = 1
        self.objects = {}
        self.events = []
        self._changed = asyncio.Event()
        self._server = None
        self._expiry = None
        self._beaten = {}

    async def start(self, host: str, port: int) -> None:
        """Serves on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self._expiry = asyncio.create_task(self._remove_silent())

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Writes an object as the operator or a server."""
        known = self.objects.get((kind, name))
        self._write(kind, name, specification, known and known["status"])

    def beat(self, name: str, entry: dict[str, Any]) -> None:
        """Writes the entry of a server; it changes when more than `sequence` changes."""
        self._beaten[name] = asyncio.get_running_loop().time()
        known = self.objects.get(("servers", name))
        if known is None or _strip(known["specification"]) != _strip(entry):
            self.put("servers", name, entry)

    async def _remove_silent(self) -> None:
        """Removes the entries of servers that have been silent for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            oldest = asyncio.get_running_loop().time() - SILENT_BEATS * BEAT_SECONDS
            for name, beaten_at in list(self._beaten.items()):
                if beaten_at < oldest:
                    del self._beaten[name]
                    self.delete("servers", name)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self._add_event(kind, item, deleted=True)

    def _write(
        self, kind: str, name: str, specification: Any, status: Any
    ) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if (
            known is not None
            and known["specification"] == specification
            and known["status"] == status
        ):
            return known
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": status,
        }
        self.objects[kind, name] = item
        self._add_event(kind, item, deleted=False)
        return item

    def _add_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        event = {"object": json.loads(json.dumps(item)), "deleted": deleted}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ")
                if self.state is StoreState.SERVING:
                    status, value = await self._answer(method, target, body)
                elif self.state is StoreState.BUSY:
                    status, value = 503, {"error": "busy"}
                if self.state is StoreState.SILENT:
                    await asyncio.sleep(3600)
                data = json.dumps(value).encode()
                headers = {"content-type": "application/json"}
                writer.write(encode_message(f"HTTP/1.1 {status} -", headers, data))
                await writer.drain()
        except (ConnectionError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(each) for each in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is not None:
            item = self.objects.get((kind, name))
            return (404, {}) if item is None else (200, item)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        value = json.loads(body) if body else {}
        return self._change(method, kind, name, parts, value, query)

    def _list(self, kind: str, after: str) -> tuple[int, dict[str, Any]]:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, each] for each in names[:500]]
        return 200, {"items": items, "has_more": len(names) > 500, "at": self.revision}

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [e for at, k, e in self.events if k == kind and at > since]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _change(
        self,
        method: str,
        kind: str,
        name: str | None,
        parts: list[str],
        value: dict[str, Any],
        query: dict[str, str],
    ) -> tuple[int, dict[str, Any]]:
        metadata = value.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get((kind, name))
        expected = metadata.get("revision", query.get("revision"))
        if method == "POST" and known is not None:
            return 409, known
        if method != "POST" and known is None:
            return 404, {}
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if parts[-1] == "status" and len(parts) == 3:
            return 200, self._write(
                kind, name, known["specification"], value.get("status")
            )
        status = known and known["status"]
        return 200, self._write(kind, name, value.get("specification"), status)
