import unittest

import msgspec
import trio
from fakes import FakeNetwork

from goldcrestvane_common.control_exchange import (
    ControlRoutes,
    pull_control,
    push_control,
)
from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.errors import InvalidRequest
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.paths import (
    CONTROL_PATH,
)
from goldcrestvane_common.routing import (
    Router,
)

SMALL_RESPONSE_BYTES = 200


def build(key, version):
    return StoredObject(key=key, version=version, value=msgspec.Raw(b'"x"'))


class ControlExchangeTests(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.peer = self.add_peer("peer")
        self.local = self.add_peer("local")

    def add_peer(self, name):
        replica = ControlReplica()
        routes = ControlRoutes(
            replica, lambda found: len(replica.merge(found)), lambda: True
        )
        self.network.routers[name] = Router()
        routes.add_routes(self.network.routers[name])
        return replica

    def pull(self):
        trio.run(
            pull_control,
            self.network,
            "peer",
            self.local,
            lambda found: len(self.local.merge(found)),
        )

    def test_object_below_the_highest_held_version_is_not_skipped(self):
        self.peer.merge([build("control/a", 3), build("control/b", 9)])
        self.local.merge([build("control/b", 9)])
        self.pull()
        self.assertEqual(self.local.get("control/a").version, 3)

    def test_equal_copies_exchange_one_small_response(self):
        objects = [build(f"control/settings/{n}", n + 1) for n in range(2000)]
        self.peer.merge(objects)
        self.local.merge(objects)
        self.pull()
        self.assertEqual(len(self.network.sent), 1)
        self.assertLess(self.network.sent[0][2], SMALL_RESPONSE_BYTES)

    def test_one_change_among_many_transfers_one_bucket(self):
        objects = [build(f"control/settings/{n}", n + 1) for n in range(2000)]
        self.peer.merge([*objects, build("control/settings/7", 5000)])
        self.local.merge(objects)
        self.pull()
        self.assertEqual(self.local.digest, self.peer.digest)
        self.assertEqual(len(self.network.sent), 2)

    def test_empty_copy_is_filled(self):
        self.peer.merge([build(f"control/settings/{n}", n + 1) for n in range(2000)])
        self.pull()
        self.assertEqual(self.local.digest, self.peer.digest)

    def test_since_lists_higher_versions(self):
        self.peer.merge([build("control/a", 3), build("control/b", 9)])
        response = trio.run(self.network.send, "GET", "peer", f"{CONTROL_PATH}?since=3")
        keys = [stored["key"] for stored in response.decode(dict)["objects"]]
        self.assertEqual(keys, ["control/b"])

    def test_push_with_a_key_outside_the_prefix_merges_nothing(self):
        with self.assertRaises(InvalidRequest):
            trio.run(
                push_control,
                self.network,
                "peer",
                [build("control/a", 1), build("journal/a", 2)],
            )
        self.assertIsNone(self.peer.get("control/a"))

    def test_query_with_invalid_numbers_is_refused(self):
        for query in ("since=x", "buckets=", "buckets=-1", "buckets=256"):
            response = trio.run(
                self.network.send, "GET", "peer", f"{CONTROL_PATH}?{query}"
            )
            with self.subTest(query), self.assertRaises(InvalidRequest) as caught:
                response.decode(dict)
            self.assertIn(caught.exception.field, query)
