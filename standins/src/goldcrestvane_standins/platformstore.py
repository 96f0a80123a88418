"""Stand-in of the Passolungo platform's store of objects by kind and name."""

import re
from typing import Any, final

import msgspec
import trio

from goldcrestvane_common.errors import NotFound, VersionConflict
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.routing import JsonResponse, Request, Response, Router
from goldcrestvane_standins.answers import close_without_answer
from goldcrestvane_standins.objectstore import ObjectStore

OBJECT_PATH = "/v1/objects/"
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
DEFAULT_WATCH_WINDOW = 100_000
_PATH = re.compile(r"/v1/objects/([^/]+)(?:/([^/]+?)(/status)?)?$")


class PlatformFaults(msgspec.Struct, kw_only=True):
    """What goes wrong.

    Attributes:
        outage: Every call gets status 503.
        lost_answers: Number of writes to come that are done but not answered.
        delay: Seconds by which each answer is late.
        deaf_watches: Watches hear of no change and end with status 410, as after a
            compaction, when this is set back.
    """

    outage: bool = False
    lost_answers: int = 0
    delay: float = 0.0
    deaf_watches: bool = False


@final
class PlatformStore:
    """Serves objects of any kind; tests reach `store` and `faults` directly."""

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
        """Writes an object as its owner would."""
        key = f"{kind}/{name}"
        self._put(key, specification, self._read_status(key), self._get_version(key))

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        key = f"{kind}/{name}"
        self.store.delete(key, expected=self._get_version(key))

    def read(self, kind: str, name: str) -> dict[str, Any]:
        """Returns an object as the platform shows it."""
        return _show(self.store.get(f"{kind}/{name}"))

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
        found = [item for item in self.store.list_below(f"{kind}/") if item.key > after]
        return JsonResponse(
            value={
                "items": [_show(item) for item in found[:PAGE_ITEMS]],
                "has_more": len(found) > PAGE_ITEMS,
                "at": self.store.revision,
            }
        )

    async def _watch(self, request: Request, kind: str) -> Response:
        since = Version(int(request.query["watch"]))
        wait = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        if not self.store.keeps_changes_since(since):
            return JsonResponse(value={"error": "history is gone"}, status=410)
        prefix = f"{kind}/"
        deaf = False
        with trio.move_on_after(wait / 1000):
            while self.faults.deaf_watches or not self.store.list_changed(
                prefix, since
            ):
                deaf = deaf or self.faults.deaf_watches
                await self.store.wait_for_change()
                if deaf and not self.faults.deaf_watches:
                    return JsonResponse(value={"error": "history is gone"}, status=410)
        changed = self.store.list_changed(prefix, since)
        events = [{"object": _show(item), "deleted": item.deleted} for item in changed]
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
            return JsonResponse(value=_show(self.store.get(key)), status=409)
        if request.method == "PUT" and not exists:
            return JsonResponse(value={"error": "no such object"}, status=404)
        if expected is not None and expected != version:
            return JsonResponse(value=_show(self.store.get(key)), status=409)
        specification = body.get("specification")
        status = self._read_status(key)
        if is_status:
            specification = self.read(*key.split("/", 1))["specification"]
            status = body.get("status")
        self._put(key, specification, status, version)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return close_without_answer()
        return JsonResponse(value=_show(self.store.get(key)))

    def _get_version(self, key: str) -> Version:
        try:
            return self.store.get(key).version
        except NotFound:
            return Version(0)

    def _read_status(self, key: str) -> Any:
        try:
            return _show(self.store.get(key))["status"]
        except NotFound:
            return None

    def _put(self, key: str, specification: Any, status: Any, version: Version) -> None:
        value = msgspec.json.encode({"specification": specification, "status": status})
        try:
            self.store.put(key, msgspec.Raw(value), expected=version)
        except VersionConflict as error:
            raise AssertionError("The version was read just now.") from error


def _show(item: StoredObject) -> dict[str, Any]:
    value = {} if item.deleted else msgspec.json.decode(item.value)
    return {
        "metadata": {
            "name": item.key.split("/", 1)[1],
            "revision": item.version,
            "created": 1,
            "finalizers": [],
            "deletion_pending": False,
        },
        "specification": value.get("specification"),
        "status": value.get("status"),
    }


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of an empty store."""
    return PlatformStore().build_router()


if __name__ == "__main__":
    # Imported here, since its flags clash with those of a daemon in the same process.
    from goldcrestvane_standins.programs import run_program

    run_program("platformstore", build_router)
