"""Client of the platform's object store with lists, watches and conditional updates."""

from enum import Enum
from typing import Any, final
from urllib.parse import quote

import msgspec

from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import (
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    RevisionTooOld,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    Transport,
)
from goldcrestvane_daemon.platform.deep_values import drop_deep_values

CALL_TIMEOUT_SECONDS = 2.0
"""A healthy store responds within milliseconds."""

WATCH_MARGIN_SECONDS = 2.0
CHECK_TIMEOUT_SECONDS = 1.0
"""Timeout of a call that asks for changes and does not wait for them."""


BATCH_SECONDS = 0.2
"""Pause between two watches of a kind. Without it, a burst of changes costs each process
one call for each change."""


class ObjectKind(Enum):
    """Kinds of objects that the system reads or writes."""

    CONFIGURATION = "config"
    TARGETS = "servers"
    RETIREMENTS = "retirements"
    LEDGER = "goldcrestvane-ledger"


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    revision: int = 0
    deletion_pending: bool = False


class _WireObject(msgspec.Struct, frozen=True):
    """An object whose `specification` and `status` may be any JSON values."""

    metadata: _Metadata
    specification: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _WireList(msgspec.Struct, frozen=True):
    items: list[_WireObject]
    at: int
    has_more: bool = False


class _WireEvent(msgspec.Struct, frozen=True):
    object: _WireObject
    deleted: bool = False


class _WireEvents(msgspec.Struct, frozen=True):
    events: list[_WireEvent]
    at: int


class StoreObject(msgspec.Struct, frozen=True):
    """One object of the store.

    Attributes:
        name: Name, unique within the kind.
        version: Revision of the last change.
        value: Specification as encoded JSON.
        status: Reported status as encoded JSON.
        deleted: Whether the object is deleted or its deletion is pending.
    """

    name: str
    version: Version
    value: bytes = b"null"
    status: bytes = b"null"
    deleted: bool = False


class StoreChanges(msgspec.Struct, frozen=True):
    """Changed objects, complete up to a revision of the store."""

    objects: list[StoreObject]
    revision: Version


@final
class StoreClient:
    """Client of the object store at one address.

    Attributes:
        call_count: Number of requests sent.
    """

    def __init__(self, transport: Transport, address: str) -> None:
        self._transport = transport
        self._address = address
        self.call_count = 0

    async def list(
        self, kind: ObjectKind, *, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> StoreChanges:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            timeout: Seconds without progress after which a call fails.

        Raises:
            ObjectStoreUnavailable: The store cannot be read.
        """
        objects: list[StoreObject] = []
        revision: Version | None = None
        path = _build_path(kind)
        while True:
            suffix = f"?after={quote(objects[-1].name, safe='')}" if objects else ""
            page = _decode(await self._read(path + suffix, timeout), _WireList)
            # Later pages may be newer. A watch from the first page's revision repeats
            # the changes made between the pages and misses none.
            revision = Version(page.at) if revision is None else revision
            objects += [_convert(item) for item in page.items]
            if not page.has_more or not page.items:
                return StoreChanges(objects, revision)

    async def watch(
        self, kind: ObjectKind, since: Version, seconds: float
    ) -> StoreChanges:
        """Waits for changes of a kind after a revision.

        Raises:
            ObjectStoreUnavailable: The store cannot be read.
            RevisionTooOld: The store no longer has the changes after the revision.
        """
        return await self._watch(kind, since, seconds, seconds + WATCH_MARGIN_SECONDS)

    async def get_changes(
        self,
        kind: ObjectKind,
        since: Version,
        *,
        timeout: float = CHECK_TIMEOUT_SECONDS,
    ) -> StoreChanges:
        """Returns the changes of a kind after a revision, at once and also if none.

        Raises the same errors as `watch`.
        """
        return await self._watch(kind, since, 0.0, timeout)

    async def _watch(
        self, kind: ObjectKind, since: Version, seconds: float, timeout: float
    ) -> StoreChanges:
        path = f"{_build_path(kind)}?watch={since}&wait_ms={int(seconds * 1000)}"
        response = await self._read(path, timeout)
        if response.status == 410:
            raise RevisionTooOld(f"Revision {since} of {kind.value} is too old.")
        changes = _decode(response, _WireEvents)
        objects = [_convert(each.object, each.deleted) for each in changes.events]
        return StoreChanges(objects, Version(changes.at))

    async def create(self, kind: ObjectKind, name: str, value: Any) -> None:
        """Creates an object; raises the same errors as `replace`."""
        body = {"metadata": {"name": name}, "specification": value}
        await self._write("POST", _build_path(kind), name, body)

    async def replace(
        self, kind: ObjectKind, name: str, value: Any, expected: Version
    ) -> None:
        """Replaces an object's value if the object has the expected version.

        Raises:
            ObjectVersionConflict: The version differs, or the object does not exist.
            ObjectStoreUnavailable: The object was not written.
            WriteOutcomeUnknown: The write may have taken effect or may still do so.
        """
        metadata = {"name": name, "revision": expected}
        body = {"metadata": metadata, "specification": value}
        await self._write("PUT", _build_path(kind, name), name, body)

    async def write_status(self, kind: ObjectKind, name: str, status: Any) -> None:
        """Replaces an object's status; raises the same errors as `replace`."""
        path = _build_path(kind, name) + "/status"
        body = {"metadata": {"name": name}, "status": status}
        await self._write("PUT", path, name, body)

    async def _write(self, method: str, path: str, name: str, body: Any) -> None:
        self.call_count += 1
        try:
            response = await self._transport.send(
                method,
                self._address,
                path,
                value=body,
                timeout=CALL_TIMEOUT_SECONDS,
                allow_unframed=True,
            )
        except ConnectFailed as error:
            raise ObjectStoreUnavailable(str(error)) from error
        except ExchangeBroken as error:
            raise WriteOutcomeUnknown(
                f"The response to the write of {name} was lost: {error}"
            ) from error
        if response.status in (404, 409):
            raise ObjectVersionConflict(
                f"Object {name} does not have the expected version; read it again."
            )
        if response.status in (429, 503):
            raise ObjectStoreUnavailable(
                f"The object store returned status {response.status}."
            )
        if response.status >= 400:
            raise WriteOutcomeUnknown(
                f"The write of {name} returned status {response.status}."
            )

    async def _read(self, path: str, timeout: float) -> ClientResponse:
        self.call_count += 1
        try:
            response = await self._transport.send(
                "GET", self._address, path, timeout=timeout, allow_unframed=True
            )
        except ConnectFailed as error:
            raise ObjectStoreUnavailable(str(error)) from error
        except ExchangeBroken as error:
            # What silenced this connection may have silenced the idle ones too.
            await self._transport.close_idle(self._address)
            raise ObjectStoreUnavailable(str(error)) from error
        if response.status not in (200, 410):
            raise ObjectStoreUnavailable(
                f"The object store returned status {response.status}."
            )
        return response


def _build_path(kind: ObjectKind, name: str | None = None) -> str:
    path = f"/v1/objects/{kind.value}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _convert(item: _WireObject, deleted: bool = False) -> StoreObject:
    return StoreObject(
        name=item.metadata.name,
        version=Version(item.metadata.revision),
        value=bytes(item.specification),
        status=bytes(item.status),
        deleted=deleted or item.metadata.deletion_pending,
    )


def _decode(response: ClientResponse, body_type: type[Any]) -> Any:
    try:
        try:
            return msgspec.json.decode(response.body, type=body_type)
        except RecursionError:
            # One object of another writer must not hide the others.
            body = drop_deep_values(response.body)
            return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ObjectStoreUnavailable(
            f"The object store's response is malformed: {error}."
        ) from error
