"""Stand-in for the object store of the Passolungo platform.

The store addresses objects by kind and name.
"""

import re
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.errors import NotFound, VersionConflict
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.routing import JsonResponse, Request, Response, Router
from goldcrestvane_standins.answers import close_without_response
from goldcrestvane_standins.objectstore import ObjectStore

OBJECT_PATH = "/v1/objects/"
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
DEFAULT_WATCH_WINDOW = 100_000
_PATH = re.compile(r"/v1/objects/([^/]+)(?:/([^/]+?)(/status)?)?$")


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Injected faults.

    Attributes:
        outage: Whether every request fails with status 503.
        lost_answers: Number of upcoming writes that take effect but whose response is
            dropped.
        delay: Seconds by which each response is delayed.
        deaf_watches: Whether watches receive no changes. When it is reset, they end
            with status 410, as after a compaction.
    """

    outage: bool = False
    lost_answers: int = 0
    delay: float = 0.0
    deaf_watches: bool = False


@final
class PlatformStore:
    """Serves objects of any kind; tests access `store` and `faults` directly."""

    def __init__(self, *, watch_window: int = DEFAULT_WATCH_WINDOW) -> None:
        self.store = ObjectStore(watch_window=watch_window)
        self.faults = PlatformFaults()
        self.calls: list[tuple[str, str]] = []

    def build_router(self) -> Router:
        """Returns the routes."""
        router = Router()
        for method in ("GET", "POST", "PUT", "DELETE"):
            router.add(method, OBJECT_PATH, self._serve)
        return router

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Writes the specification of an object and keeps its status."""
        key = f"{kind}/{name}"
        self._put(key, specification, self._read_status(key), self._get_version(key))

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        key = f"{kind}/{name}"
        self.store.delete(key, expected=self._get_version(key))

    def exists(self, kind: str, name: str) -> bool:
        """Returns whether an object exists."""
        return self._get_version(f"{kind}/{name}") != 0

    def read(self, kind: str, name: str) -> dict[str, Any]:
        """Returns an object in the platform's format."""
        item = _build_object(self.store.get(f"{kind}/{name}"))
        return dict(msgspec.json.decode(msgspec.json.encode(item)))

    async def _serve(self, request: Request) -> Response:
        self.calls.append((request.method, request.path))
        await trio.sleep(self.faults.delay)
        if self.faults.outage:
            return JsonResponse(value={"error": "outage"}, status=503)
        match = _PATH.match(request.path)
        if match is None:
            return JsonResponse(value={"error": "path"}, status=404)
        kind, name, status = match.groups()
        if request.method == "GET":
            return await self._read(request, kind, name)
        return self._write(request, kind, name, is_status=status is not None)

    async def _read(self, request: Request, kind: str, name: str | None) -> Response:
        if name is not None:
            try:
                return JsonResponse(value=self.read(kind, name))
            except NotFound:
                return JsonResponse(value={"error": "no such object"}, status=404)
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = f"{kind}/{request.query.get('after', '')}"
        found = [
            item for item in self.store.list_by_prefix(f"{kind}/") if item.key > after
        ]
        return JsonResponse(
            value={
                "items": [_build_object(item) for item in found[:PAGE_ITEMS]],
                "has_more": len(found) > PAGE_ITEMS,
                "at": self.store.revision,
            }
        )

    async def _watch(self, request: Request, kind: str) -> Response:
        since = Version(int(request.query["watch"]))
        wait = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        if not self.store.retains_changes_since(since):
            return JsonResponse(value={"error": "history is gone"}, status=410)
        prefix = f"{kind}/"
        missed_changes = False
        with trio.move_on_after(wait / 1000):
            while self.faults.deaf_watches or not self.store.list_changed(
                prefix, since
            ):
                missed_changes = missed_changes or self.faults.deaf_watches
                await self.store.wait_for_change()
                if missed_changes and not self.faults.deaf_watches:
                    return JsonResponse(value={"error": "history is gone"}, status=410)
        changed = self.store.list_changed(prefix, since)
        events = [
            {"object": _build_object(item), "deleted": item.deleted} for item in changed
        ]
        return JsonResponse(value={"events": events, "at": self.store.revision})

    def _write(
        self, request: Request, kind: str, name: str | None, *, is_status: bool
    ) -> Response:
        body = request.decode(dict)
        metadata = body.get("metadata", {})
        key = f"{kind}/{name or metadata['name']}"
        expected = metadata.get("revision")
        version = self._get_version(key)
        exists = version != 0
        if request.method == "POST" and exists:
            return JsonResponse(value=_build_object(self.store.get(key)), status=409)
        if request.method == "PUT" and not exists:
            return JsonResponse(value={"error": "no such object"}, status=404)
        if expected is not None and expected != version:
            return JsonResponse(value=_build_object(self.store.get(key)), status=409)
        specification = body.get("specification")
        status = self._read_status(key)
        if is_status:
            specification = _build_object(self.store.get(key))["specification"]
            status = body.get("status")
        self._put(key, specification, status, version)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return close_without_response()
        return JsonResponse(value=_build_object(self.store.get(key)))

    def _get_version(self, key: str) -> Version:
        try:
            return self.store.get(key).version
        except NotFound:
            return Version(0)

    def _read_status(self, key: str) -> Any:
        try:
            return _build_object(self.store.get(key))["status"]
        except NotFound:
            return None

    def _put(self, key: str, specification: Any, status: Any, version: Version) -> None:
        # Apart, since decoders reject a specification that is nested too deeply.
        value = b"\n".join(map(msgspec.json.encode, (status, specification)))
        try:
            self.store.put(key, msgspec.Raw(value), expected=version)
        except VersionConflict as error:
            raise AssertionError(
                "The version that was just read is outdated."
            ) from error


def _build_object(item: StoredObject) -> dict[str, Any]:
    value = b"null\nnull" if item.deleted else bytes(item.value)
    status, _, specification = value.partition(b"\n")
    return {
        "metadata": {
            "name": item.key.split("/", 1)[1],
            "revision": item.version,
            "created": 1,
            "finalizers": [],
            "deletion_pending": False,
        },
        "specification": msgspec.Raw(specification),
        "status": msgspec.Raw(status),
    }


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of an empty store."""
    return PlatformStore().build_router()


if __name__ == "__main__":
    # The module defines flags that conflict with those of a daemon, and tests import
    # the stand-in into a process that also imports the daemon.
    from goldcrestvane_standins.programs import run_standin

    run_standin("platformstore", build_router)
