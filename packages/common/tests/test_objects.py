import unittest
from functools import partial

import msgspec
import trio

from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    StoredObject,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.transport import ClientResponse, ConnectFailed, ExchangeBroken


class FakeTransport:
    def __init__(self, outcome, body=b'{"key":"a","version":1}'):
        self.outcome = outcome
        self.body = body

    async def send(self, method, peer, path, *, value=None, timeout=None):
        await trio.lowlevel.checkpoint()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return ClientResponse(status=self.outcome, headers={}, body=self.body)


SOUND = b'{"key":"control/a","version":3,"value":{"a":1}}'
LISTED = (
    (rb'{"key":"control/b","version":4,"value":"\ud800"}', ("control/b", 4)),
    (b'{"key":"control/b","version":"4","value":1}', ("control/b", 0)),
    (b'{"key":"control/b","version":4,"deleted":5}', ("control/b", 4)),
    (b'{"key":5,"version":4}', None),
    (b"null", None),
)


class OddObjectTests(unittest.TestCase):
    """Guards against one odd object that keeps a process from all control objects."""

    def read(self, body, call):
        transport = FakeTransport(200, body)
        return trio.run(call, ObjectClient(transport, "peer"))

    def test_odd_object_hides_no_other_object_of_a_list_or_watch(self):
        async def list_objects(client):
            return await client.list("control/")

        async def watch_objects(client):
            return await client.watch("control/", since=1, timeout=1.0)

        for call in (list_objects, watch_objects):
            for odd, expected in LISTED:
                with self.subTest(odd):
                    body = b'{"revision":5,"objects":[%b,%b]}' % (odd, SOUND)
                    found = self.read(body, call)
                    self.assertEqual(found.revision, 5)
                    *others, sound = found.objects
                    self.assertEqual(sound.decode(dict), {"a": 1})
                    self.assertEqual(
                        [(each.key, each.version) for each in others],
                        [expected] if expected else [],
                    )
                    for each in others:
                        with self.assertRaises(msgspec.DecodeError):
                            each.decode(dict)

    def test_settings_of_an_odd_object_stay_in_force(self):
        """Guards against settings that are dropped as if their object were deleted."""
        replica = ControlReplica()
        replica.merge([StoredObject("control/b", 3, msgspec.Raw(b"1"))])
        for odd, _ in LISTED[:3]:
            body = b'{"revision":5,"objects":[%b]}' % odd

            async def list_objects(client):
                return await client.list("control/")

            replica.merge_snapshot(self.read(body, list_objects))
            with self.subTest(odd):
                self.assertFalse(replica.get("control/b").deleted)

    def test_malformed_response_is_an_error_of_the_object_api(self):
        for body in (b"", b"[]", b'{"objects":[]}', b'{"revision":5,"objects":[null}'):

            async def list_objects(client):
                return await client.list("control/")

            with self.subTest(body), self.assertRaises(ObjectStoreUnavailable):
                self.read(body, list_objects)


class WriteTests(unittest.TestCase):
    def test_outcome_of_a_write_is_unknown_unless_proven(self):
        for outcome, error in (
            (409, ObjectVersionConflict),
            (400, ObjectStoreUnavailable),
            (429, ObjectStoreUnavailable),
            (503, ObjectStoreUnavailable),
            (500, WriteOutcomeUnknown),
            (502, WriteOutcomeUnknown),
            (504, WriteOutcomeUnknown),
            (ConnectFailed("refused"), ObjectStoreUnavailable),
            (ExchangeBroken("cut"), WriteOutcomeUnknown),
        ):
            client = ObjectClient(FakeTransport(outcome), "peer")
            with self.subTest(outcome), self.assertRaises(error):
                trio.run(partial(client.write, "a", 1, expected_version=0))
            with self.subTest(outcome), self.assertRaises(error):
                trio.run(partial(client.delete, "a", expected_version=1))

    def test_accepted_write_returns_the_version(self):
        client = ObjectClient(FakeTransport(200), "peer")
        version = trio.run(partial(client.write, "a", 1, expected_version=0))
        self.assertEqual(version, 1)
