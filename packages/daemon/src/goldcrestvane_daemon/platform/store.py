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
from goldcrestvane_daemon.platform.store_responses import (
    StoreObject,
    decode_events,
    decode_page,
)

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
        path = _build_path(kind)
        response = await self._read(path, timeout)
        page = decode_page(kind.value, response.body)
        # Later pages may be newer. A watch from the first page's revision repeats the
        # changes made between the pages and misses none.
        revision = page.revision
        objects = page.objects
        last_names: set[str] = set()
        while page.has_more and not page.is_empty:
            last_name = page.objects[-1].name if page.objects else None
            if last_name is None or last_name in last_names:
                raise ObjectStoreUnavailable(
                    f"The list of {kind.value} cannot be continued after "
                    f"{len(objects)} objects: a page has no further name that can be "
                    "read. Remove the objects without a valid name."
                )
            last_names.add(last_name)
            response = await self._read(
                f"{path}?after={quote(last_name, safe='')}", timeout
            )
            page = decode_page(kind.value, response.body)
            objects += page.objects
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
        objects, revision = decode_events(kind.value, response.body)
        return StoreChanges(objects, revision)

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
