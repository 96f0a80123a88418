"""Decodes the store's lists and watches, in which other writers have objects too.

Each object is decoded by itself if the response cannot be decoded as a whole. An object that
cannot be decoded keeps its name, as far as that can be read, and has the value null, which is
no valid value of any kind.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from goldcrestvane_common.ids import Version
from goldcrestvane_common.json_parts import (
    JsonStructureError,
    decode_or,
    split_array,
    split_object,
)
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_daemon.platform.deep_values import drop_deep_values
from goldcrestvane_daemon.platform.metrics import UNREADABLE_OBJECTS

MAX_LOGGED_NAMES = 5
"""Names of unreadable objects that one log line has."""

UNKNOWN_VERSION = Version(0)
"""Version of an object whose revision cannot be read; the store's revisions are above 0."""

logger = get_logger("directory")


class StoreObject(msgspec.Struct, frozen=True):
    """One object of the store.

    Attributes:
        name: Name, unique within the kind.
        version: Revision of the last change; `UNKNOWN_VERSION` if it cannot be read.
        value: Specification as encoded JSON; null if the object cannot be decoded.
        status: Reported status as encoded JSON; null if the object cannot be decoded.
        deleted: Whether the object is deleted or its deletion is pending.
    """

    name: str
    version: Version
    value: bytes = b"null"
    status: bytes = b"null"
    deleted: bool = False


class StorePage(NamedTuple):
    """One page of a list.

    Attributes:
        objects: The objects with names that can be read.
        revision: Revision of the store.
        has_more: Whether there are further objects.
        is_empty: Whether the page has no objects, readable or not.
    """

    objects: list[StoreObject]
    revision: Version
    has_more: bool
    is_empty: bool


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    revision: int = 0
    deletion_pending: bool = False


class _WireObject(msgspec.Struct, frozen=True):
    """An object whose `specification` and `status` may be any JSON values."""

    metadata: _Metadata
    specification: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _WireEvent(msgspec.Struct, frozen=True):
    object: _WireObject
    deleted: bool = False


class _WireList(msgspec.Struct, frozen=True):
    items: list[_WireObject]
    at: int
    has_more: bool = False


class _WireEvents(msgspec.Struct, frozen=True):
    events: list[_WireEvent]
    at: int


class _ListEnd(msgspec.Struct, frozen=True):
    """What a list says of itself, beside its objects."""

    at: int
    has_more: bool = False


def decode_page(kind: str, body: bytes) -> StorePage:
    """Decodes one page of a list of objects.

    Raises:
        ObjectStoreUnavailable: The page is malformed beside its objects.
    """
    try:
        page = msgspec.json.decode(body, type=_WireList)
    except (msgspec.DecodeError, RecursionError):
        end, objects = _decode_apart(kind, body, "items", _salvage_object)
        return StorePage(objects, Version(end.at), end.has_more, is_empty=False)
    objects = [_convert_object(each) for each in page.items]
    return StorePage(objects, Version(page.at), page.has_more, is_empty=not objects)


def decode_events(kind: str, body: bytes) -> tuple[list[StoreObject], Version]:
    """Decodes the changed objects that a watch returns, and the store's revision.

    Raises:
        ObjectStoreUnavailable: The response is malformed beside its objects.
    """
    try:
        response = msgspec.json.decode(body, type=_WireEvents)
    except (msgspec.DecodeError, RecursionError):
        end, objects = _decode_apart(kind, body, "events", _salvage_event)
        return objects, Version(end.at)
    objects = [_convert_event(each) for each in response.events]
    return objects, Version(response.at)


def _decode_apart(
    kind: str,
    body: bytes,
    field: str,
    salvage: Callable[[bytes], tuple[StoreObject | None, bool]],
) -> tuple[_ListEnd, list[StoreObject]]:
    """Decodes the objects of a response one by one, and counts the unreadable ones."""
    try:
        parts = split_object(body)
        elements = split_array(parts.pop(field, b""))
        end = _ListEnd(
            at=msgspec.json.decode(parts.get("at", b""), type=int),
            has_more=msgspec.json.decode(parts.get("has_more", b"false"), type=bool),
        )
    except (JsonStructureError, msgspec.DecodeError, RecursionError) as error:
        raise ObjectStoreUnavailable(
            f"The object store's response is malformed: {error}."
        ) from error
    objects, unreadable = [], []
    for element in elements:
        item, is_readable = salvage(element)
        if item is not None:
            objects.append(item)
        if not is_readable:
            unreadable.append(None if item is None else item.name)
    if unreadable:
        UNREADABLE_OBJECTS.labels(kind).inc(len(unreadable))
        logger.warning(
            "objects of the store cannot be decoded and are not used",
            extra={
                "kind": kind,
                "count": len(unreadable),
                "objects": unreadable[:MAX_LOGGED_NAMES],
            },
        )
    return end, objects


def _salvage_object(text: bytes) -> tuple[StoreObject | None, bool]:
    """Returns an object, None without a name, and whether it can be decoded."""
    found = _decode_alone(text, _WireObject)
    if found is not None:
        return _convert_object(found), True
    return _read_name(_split_or_empty(text)), False


def _salvage_event(text: bytes) -> tuple[StoreObject | None, bool]:
    """Returns an event's object, None without a name, and whether it can be decoded."""
    found = _decode_alone(text, _WireEvent)
    if found is not None:
        return _convert_event(found), True
    event = _split_or_empty(text)
    item = _read_name(_split_or_empty(event.get("object")))
    if item is not None and decode_or(event.get("deleted"), bool, False):
        item = msgspec.structs.replace(item, deleted=True)
    return item, False


def _decode_alone(text: bytes, wire_type: type[Any]) -> Any:
    """Decodes a part of a response; returns None if that is not possible."""
    found = decode_or(text, wire_type, None)
    return found or decode_or(drop_deep_values(text), wire_type, None)


def _read_name(parts: dict[str, bytes]) -> StoreObject | None:
    """Returns an unreadable object by its name, or None if that cannot be read."""
    metadata = _split_or_empty(parts.get("metadata"))
    name = decode_or(metadata.get("name"), str, None)
    if name is None:
        return None
    return StoreObject(
        name=name,
        version=decode_or(metadata.get("revision"), Version, UNKNOWN_VERSION),
        deleted=decode_or(metadata.get("deletion_pending"), bool, False),
    )


def _split_or_empty(text: bytes | None) -> dict[str, bytes]:
    try:
        return split_object(text or b"")
    except JsonStructureError:
        return {}


def _convert_object(item: _WireObject, deleted: bool = False) -> StoreObject:
    return StoreObject(
        name=item.metadata.name,
        version=Version(item.metadata.revision),
        value=bytes(item.specification),
        status=bytes(item.status),
        deleted=deleted or item.metadata.deletion_pending,
    )


def _convert_event(event: _WireEvent) -> StoreObject:
    return _convert_object(event.object, event.deleted)
