"""Client of the platform's object API: conditional updates and watches."""

from typing import Any, final
from urllib.parse import quote

import msgspec

from goldcrestvane_common.ids import Version
from goldcrestvane_common.json_parts import (
    JsonStructureError,
    decode_or,
    split_array,
    split_object,
)
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.transport import (
    ClientResponse,
    ConnectFailed,
    ExchangeBroken,
    Transport,
)

REQUEST_TIMEOUT_SECONDS = 5.0
WATCH_MARGIN_SECONDS = 5.0
MAX_VALUE_BYTES = 1024 * 1024
UNKNOWN_OUTCOME_STATUSES = (500, 502, 504)
"""Statuses after which the service, or one behind it, may have run the write."""

logger = get_logger("objects")


class StoredObject(msgspec.Struct, frozen=True, omit_defaults=True):
    """One object.

    Attributes:
        key: Key of the object.
        version: Version of the last change; 0 if it cannot be read.
        value: Undecoded JSON; null if `deleted`, or if the object cannot be decoded.
        deleted: Whether the object was deleted.
    """

    key: str
    version: Version
    value: msgspec.Raw = msgspec.Raw(b"null")
    deleted: bool = False

    def decode(self, value_type: type[Any]) -> Any:
        """Decodes the value to a type."""
        return msgspec.json.decode(self.value, type=value_type)


class ObjectList(msgspec.Struct, frozen=True):
    """Objects below a prefix, as of one revision of the store."""

    revision: Version
    objects: list[StoredObject]


class WriteRequest(msgspec.Struct, frozen=True):
    """Body of a conditional update; version 0 creates the object."""

    value: Any
    expected_version: Version


class WriteResult(msgspec.Struct, frozen=True):
    """Response to a conditional update that took effect."""

    key: str
    version: Version


class ObjectStoreError(Exception):
    """Base class of the failures of an object API request."""


@final
class ObjectVersionConflict(ObjectStoreError):
    """The object does not have the expected version; nothing was written."""


@final
class ObjectStoreUnavailable(ObjectStoreError):
    """The object API refused or was unreachable; nothing was written.

    Attributes:
        retry_after: Seconds to wait, if the service gave a time.
    """

    def __init__(self, message: str, *, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.retry_after = retry_after


@final
class WriteOutcomeUnknown(ObjectStoreError):
    """The response was lost and the write may have run; read the object back."""


@final
class RevisionTooOld(ObjectStoreError):
    """The server no longer keeps the watch's revision; list the prefix again."""


@final
class ObjectClient:
    """Reads, writes and watches objects at one address of the platform."""

    def __init__(self, transport: Transport, peer: str) -> None:
        self._transport = transport
        self._peer = peer

    async def read(self, key: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist.

        Raises:
            ObjectStoreUnavailable: The service does not respond.
        """
        response = await self._read_response(f"/v1/objects/{quote(key)}")
        if response.status == 404:
            return None
        stored = _decode_object(response.body)
        if stored is None:
            raise ObjectStoreUnavailable(
                f"The object API's response about {key} cannot be decoded; compare it "
                "with the reference of the object API."
            )
        return stored

    async def list(self, prefix: str) -> ObjectList:
        """Returns the objects whose keys start with a prefix.

        Raises:
            ObjectStoreUnavailable: The service does not respond.
        """
        response = await self._read_response(f"/v1/objects?prefix={quote(prefix)}")
        return _decode_list(response.body)

    async def watch(self, prefix: str, *, since: Version, timeout: float) -> ObjectList:
        """Waits up to `timeout` seconds for changes after a revision; returns them.

        Raises:
            ObjectStoreUnavailable: The service does not respond.
            RevisionTooOld: The server no longer keeps changes since the revision.
        """
        path = f"/v1/watch?prefix={quote(prefix)}&since={since}&timeout={timeout}"
        response = await self._read_response(
            path, timeout=timeout + WATCH_MARGIN_SECONDS
        )
        if response.status == 410:
            raise RevisionTooOld(f"Revision {since} of {prefix} is no longer kept.")
        return _decode_list(response.body)

    async def write(
        self, key: str, value: Any, *, expected_version: Version
    ) -> Version:
        """Writes an object if it has the expected version; returns the new version.

        Args:
            key: The object's key.
            value: Any value that msgspec encodes.
            expected_version: The version to replace; 0 creates the object.

        Raises:
            ObjectVersionConflict: The version differs; nothing was written.
            ObjectStoreUnavailable: Nothing was written.
            WriteOutcomeUnknown: The write may have taken effect.
        """
        try:
            response = await self._transport.send(
                "PUT",
                self._peer,
                f"/v1/objects/{quote(key)}",
                value=WriteRequest(value, expected_version),
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        except ConnectFailed as error:
            raise ObjectStoreUnavailable(str(error)) from error
        except ExchangeBroken as error:
            raise WriteOutcomeUnknown(
                f"The response to the write of {key} was lost: {error}"
            ) from error
        _check_write(key, response)
        return msgspec.json.decode(response.body, type=WriteResult).version

    async def delete(self, key: str, *, expected_version: Version) -> None:
        """Deletes an object if it has the expected version; errors as for `write`."""
        path = f"/v1/objects/{quote(key)}?expected_version={expected_version}"
        try:
            response = await self._transport.send("DELETE", self._peer, path)
        except ConnectFailed as error:
            raise ObjectStoreUnavailable(str(error)) from error
        except ExchangeBroken as error:
            raise WriteOutcomeUnknown(
                f"The response to the write of {key} was lost: {error}"
            ) from error
        if response.status != 404:
            _check_write(key, response)

    async def _read_response(
        self, path: str, *, timeout: float = REQUEST_TIMEOUT_SECONDS
    ) -> ClientResponse:
        try:
            response = await self._transport.send(
                "GET", self._peer, path, timeout=timeout
            )
        except (ConnectFailed, ExchangeBroken) as error:
            raise ObjectStoreUnavailable(str(error)) from error
        _check_available(response)
        return response


def _decode_list(body: bytes) -> ObjectList:
    """Decodes a list, whose objects are decoded one by one if one of them is unreadable.

    Raises:
        ObjectStoreUnavailable: The list is malformed beside its objects.
    """
    try:
        return msgspec.json.decode(body, type=ObjectList)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        pass
    try:
        parts = split_object(body)
        revision = msgspec.json.decode(parts.get("revision", b""), type=Version)
        objects = [_decode_object(part) for part in split_array(parts["objects"])]
    except (JsonStructureError, KeyError, msgspec.DecodeError) as error:
        raise ObjectStoreUnavailable(
            f"The object API's list is malformed: {error}."
        ) from error
    return ObjectList(revision, [each for each in objects if each is not None])


def _decode_object(text: bytes) -> StoredObject | None:
    """Decodes one object, with the value null if it is unreadable.

    Returns:
        The object, or None if its key cannot be read.
    """
    stored = decode_or(text, StoredObject, None)
    if stored is not None:
        return stored
    try:
        parts = split_object(text)
    except JsonStructureError:
        parts = {}
    key = decode_or(parts.get("key"), str, None)
    logger.warning("object %s of the object API cannot be decoded", key)
    if key is None:
        return None
    return StoredObject(
        key=key,
        version=decode_or(parts.get("version"), Version, Version(0)),
        deleted=decode_or(parts.get("deleted"), bool, False),
    )


def _check_available(response: ClientResponse) -> None:
    if response.status != 429 and response.status < 500:
        return
    retry_after = response.headers.get("retry-after")
    raise ObjectStoreUnavailable(
        f"The object API returned status {response.status}.",
        retry_after=float(retry_after) if retry_after else None,
    )


def _check_write(key: str, response: ClientResponse) -> None:
    if response.status in UNKNOWN_OUTCOME_STATUSES:
        raise WriteOutcomeUnknown(
            f"The write of {key} returned status {response.status}."
        )
    _check_available(response)
    if response.status == 409:
        raise ObjectVersionConflict(f"Object {key} has another version; read it again.")
    if response.status >= 400:
        raise ObjectStoreUnavailable(
            f"The write of {key} returned status {response.status}."
        )
