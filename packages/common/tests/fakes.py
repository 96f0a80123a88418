"""In-memory fakes of the platform's object API and of the network to peers."""

import logging
from urllib.parse import parse_qsl, urlsplit

import msgspec
import trio

from goldcrestvane_common.errors import ServiceError, encode_error
from goldcrestvane_common.objects import (
    ObjectList,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    RevisionTooOld,
    StoredObject,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.routing import (
    Request,
    Router,
)
from goldcrestvane_common.transport import ClientResponse, ConnectFailed

logging.getLogger("goldcrestvane").addHandler(logging.NullHandler())


class FakeObjects:
    """Replaces ObjectClient; `outage`, `oldest` and `lose_answers` inject faults."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.outage = False
        self.oldest = 0
        self.lose_answers = 0
        self.calls = []
        self._changed = trio.Event()

    def wake(self):
        self._changed.set()
        self._changed = trio.Event()

    def put(self, key, value, *, version=None, deleted=False):
        self.revision = version or self.revision + 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        stored = StoredObject(
            key=key, version=self.revision, value=raw, deleted=deleted
        )
        self.objects[key] = stored
        self.wake()
        return stored

    def set_outage(self, outage):
        self.outage = outage
        self.wake()

    def _check(self, name):
        self.calls.append((trio.current_time(), name))
        if self.outage:
            raise ObjectStoreUnavailable("The object API returned status 503.")

    async def read(self, key):
        await trio.lowlevel.checkpoint()
        self._check("read")
        stored = self.objects.get(key)
        return None if stored is None or stored.deleted else stored

    async def list(self, prefix):
        await trio.lowlevel.checkpoint()
        self._check("list")
        found = [o for k, o in self.objects.items() if k.startswith(prefix)]
        return ObjectList(self.revision, [o for o in found if not o.deleted])

    async def watch(self, prefix, *, since, timeout):
        await trio.lowlevel.checkpoint()
        with trio.move_on_after(timeout):
            while True:
                self._check("watch")
                if since < self.oldest:
                    raise RevisionTooOld("too old")
                changed = [o for o in self.objects.values() if o.version > since]
                changed = [o for o in changed if o.key.startswith(prefix)]
                if changed or self.revision < since:
                    return ObjectList(self.revision, changed)
                await self._changed.wait()
        return ObjectList(self.revision, [])

    async def write(self, key, value, *, expected_version):
        await trio.lowlevel.checkpoint()
        self._check("write")
        held = self.objects.get(key)
        current = 0 if held is None or held.deleted else held.version
        if current != expected_version:
            raise ObjectVersionConflict(f"{key} is at {current}.")
        stored = self.put(key, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise WriteOutcomeUnknown("lost")
        return stored.version


class FakeNetwork:
    """Replaces Transport; passes requests to the routers of named peers."""

    def __init__(self):
        self.routers: dict[str, Router] = {}
        self.sent = []

    async def send(self, method, peer, path, *, value=None, timeout=None):
        await trio.lowlevel.checkpoint()
        if peer not in self.routers:
            raise ConnectFailed(f"No connection to {peer}.")
        parts = urlsplit(path)
        body = b"" if value is None else msgspec.json.encode(value)
        request = Request(
            method=method,
            path=parts.path,
            query=dict(parse_qsl(parts.query, keep_blank_values=True)),
            body=body,
        )
        try:
            handler = self.routers[peer].find(method, parts.path)
            response = await handler(request)
        except ServiceError as error:
            return ClientResponse(
                status=error.status, headers={}, body=encode_error(error)
            )
        body = msgspec.json.encode(response.value)
        self.sent.append((peer, path, len(body)))
        return ClientResponse(status=200, headers={}, body=body)
