import unittest
from functools import partial

import trio

from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.transport import ClientResponse, ConnectFailed, ExchangeBroken


class FakeTransport:
    def __init__(self, outcome):
        self.outcome = outcome

    async def send(self, method, peer, path, *, value=None, timeout=None):
        await trio.lowlevel.checkpoint()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return ClientResponse(
            status=self.outcome, headers={}, body=b'{"key":"a","version":1}'
        )


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
