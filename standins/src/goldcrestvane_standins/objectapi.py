"""Stand-in for the platform's object API; see docs/reference/platform.md."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import final

import msgspec
import trio
from absl import flags

from goldcrestvane_common.errors import (
    InvalidRequest,
    Overloaded,
    RequestTooLarge,
    ServiceError,
    Unavailable,
)
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import MAX_VALUE_BYTES, ObjectList, WriteResult
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_standins.answers import close_without_response
from goldcrestvane_standins.objectstore import ObjectStore
from goldcrestvane_standins.programs import run_standin

OBJECT_PATH = "/v1/objects/"
DEFAULT_WATCH_WINDOW = 100_000

_WATCH_WINDOW = flags.DEFINE_integer(
    "watch-window", DEFAULT_WATCH_WINDOW, "Number of changes retained for watches."
)


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults; see docs/reference/platform.md."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""
    writes_per_second: float | None = None
    reads_per_second: float | None = None


class Counts(msgspec.Struct):
    """Numbers of completed requests and of writes rejected for a version conflict."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


class PutBody(msgspec.Struct, frozen=True):
    """Body of a conditional write."""

    value: msgspec.Raw
    expected_version: Version


@final
class TokenBucket:
    """Admits `rate` requests per second, with a burst of one second's requests.

    A rate of None admits every request.
    """

    def __init__(self, rate: float | None) -> None:
        self._rate = rate
        self._burst = max(1.0, rate or 0.0)
        self._tokens = self._burst
        self._updated_at = trio.current_time()

    def take(self) -> None:
        """Takes a token.

        Raises:
            Overloaded: The bucket is empty.
        """
        if self._rate is None:
            return
        now = trio.current_time()
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0:
            wait = (1.0 - self._tokens) / self._rate if self._rate else 1.0
            raise Overloaded(
                f"The limit of {self._rate} requests per second is exceeded; "
                f"retry in {wait:.2f} s.",
                retry_after=wait,
            )
        self._tokens -= 1.0


@final
class ObjectApi:
    """Serves one object store and injects the configured faults."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._counts = Counts()
        self._set_faults(Faults())

    def build_router(self) -> Router:
        """Returns the routes."""
        router = Router()
        router.add("GET", "/v1/objects", partial(self._serve, self._list))
        router.add("GET", OBJECT_PATH, partial(self._serve, self._get))
        router.add("PUT", OBJECT_PATH, partial(self._serve, self._put))
        router.add("DELETE", OBJECT_PATH, partial(self._serve, self._delete))
        router.add("GET", "/v1/watch", partial(self._serve, self._watch))
        router.add("PUT", "/control/faults", self._put_faults)
        router.add("GET", "/control/counts", self._get_counts)
        router.add("GET", "/control/history", self._get_history)
        return router

    async def _serve(
        self, handle: Callable[[Request], Awaitable[Response]], request: Request
    ) -> Response:
        """Handles a request immediately and responds after the configured delay."""
        try:
            self._check_outage()
            response = await handle(request)
        except ServiceError:
            await trio.sleep(self._faults.delay)
            raise
        await trio.sleep(self._faults.delay)
        return response

    def _check_outage(self) -> None:
        if self._faults.outage:
            raise Unavailable("The object API has an outage; try again later.")

    async def _get(self, request: Request) -> Response:
        self._reads.take()
        self._counts.reads += 1
        return JsonResponse(value=self._store.get(_get_key(request)))

    async def _list(self, request: Request) -> Response:
        self._reads.take()
        self._counts.reads += 1
        objects = self._store.list_by_prefix(request.query.get("prefix", ""))
        return JsonResponse(value=ObjectList(self._store.revision, objects))

    async def _watch(self, request: Request) -> Response:
        self._reads.take()
        self._counts.watches += 1
        prefix = request.query.get("prefix", "")
        since = Version(int(_parse_number(request, "since")))
        timeout = _parse_number(request, "timeout")
        if not self._store.retains_changes_since(since):
            error = f"Revision {since} is no longer retained; list the prefix again."
            return JsonResponse(value={"error": error}, status=410)
        with trio.move_on_after(timeout):
            while not self._store.list_changed(prefix, since):
                await self._store.wait_for_change()
                self._check_outage()
        objects = self._store.list_changed(prefix, since)
        return JsonResponse(value=ObjectList(self._store.revision, objects))

    async def _put(self, request: Request) -> Response:
        body = request.decode(PutBody)
        if len(body.value) > MAX_VALUE_BYTES:
            raise RequestTooLarge(
                f"The value has {len(body.value)} bytes; the limit is "
                f"{MAX_VALUE_BYTES}.",
                field="value",
            )
        key = _get_key(request)
        write = partial(
            self._store.put, key, body.value, expected=body.expected_version
        )
        return self._write(key, write)

    async def _delete(self, request: Request) -> Response:
        key = _get_key(request)
        expected = Version(int(_parse_number(request, "expected_version")))
        return self._write(key, partial(self._store.delete, key, expected=expected))

    def _write(self, key: str, write: Callable[[], Version]) -> Response:
        self._writes.take()
        try:
            version = write()
        except ServiceError as error:
            self._counts.conflicts += error.status == 409
            raise
        self._counts.writes += 1
        if self._consume_lost_response(key):
            return close_without_response()
        return JsonResponse(value=WriteResult(key=key, version=version))

    def _consume_lost_response(self, key: str) -> bool:
        faults = self._faults
        if not faults.lose_answers or not key.startswith(faults.lose_prefix):
            return False
        self._faults = msgspec.structs.replace(
            faults, lose_answers=faults.lose_answers - 1
        )
        return True

    def _set_faults(self, faults: Faults) -> None:
        self._faults = faults
        self._reads = TokenBucket(faults.reads_per_second)
        self._writes = TokenBucket(faults.writes_per_second)

    async def _put_faults(self, request: Request) -> Response:
        self._set_faults(request.decode(Faults))
        self._store.wake()
        return JsonResponse(value=self._faults)

    async def _get_counts(self, request: Request) -> Response:
        return JsonResponse(value=self._counts)

    async def _get_history(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        changes = [
            change for change in self._store.changes if change.key.startswith(prefix)
        ]
        return JsonResponse(value=changes)


def _get_key(request: Request) -> str:
    return request.path.removeprefix(OBJECT_PATH)


def _parse_number(request: Request, name: str) -> float:
    try:
        return float(request.query[name])
    except (KeyError, ValueError) as error:
        raise InvalidRequest(
            f"Query parameter {name} must be a number.", field=name
        ) from error


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of an empty store that is configured by the flags."""
    return ObjectApi(ObjectStore(watch_window=_WATCH_WINDOW.value)).build_router()


if __name__ == "__main__":
    run_standin("objectapi", build_router)
