import unittest

import trio

from goldcrestvane_common.control_exchange import push_control
from goldcrestvane_common.feed import ControlFeed
from goldcrestvane_common.objects import ObjectClient, StoredObject
from goldcrestvane_common.routing import (
    Router,
)
from goldcrestvane_common.server import (
    Application,
    serve_http,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.objectapi import ObjectApi
from goldcrestvane_standins.objectstore import ObjectStore
from goldcrestvane_standins.programs import serve_router

TEST_TIMEOUT_SECONDS = 60
KEY = "control/settings/alpha"


def build_document(weight):
    return {"settings": {"cache_weight": weight}}


def build_platform(nursery):
    return ObjectApi(ObjectStore(watch_window=100)).build_router()


class ServedFeedTests(unittest.TestCase):
    """Feeds that reach the stand-in of the platform and each other over HTTP."""

    async def start_feed(self, nursery, transport, platform, addresses):
        feed = ControlFeed(
            objects=ObjectClient(transport, platform),
            transport=transport,
            peers=lambda: addresses,
            instance=f"i{len(addresses)}",
        )
        router = Router()
        feed.add_routes(router)
        address = await nursery.start(serve_http, Application(router), "127.0.0.1:0")
        addresses.append(address)
        nursery.start_soon(feed.run)
        return feed

    async def wait_for_weight(self, feed, weight):
        count = feed.change_count
        while True:
            settings = feed.get_team("alpha")
            if settings is not None and settings.cache_weight == weight:
                return
            count = await feed.wait_for_change(count)

    async def check(self, nursery, transport):
        platform = await nursery.start(serve_router, build_platform, "127.0.0.1:0")
        objects = ObjectClient(transport, platform)
        addresses = []
        feeds = [
            await self.start_feed(nursery, transport, platform, addresses)
            for _ in range(3)
        ]
        for feed in feeds:
            await feed.ready.wait()
        version = await objects.write(KEY, build_document(0.1), expected_version=0)
        for feed in feeds:
            await self.wait_for_weight(feed, 0.1)

        faults = {"outage": True}
        await transport.send("PUT", platform, "/control/faults", value=faults)
        accepted = {"key": KEY, "version": version + 1, "value": build_document(0.2)}
        reply = await transport.send(
            "POST", addresses[0], "/internal/control", value=[accepted]
        )
        self.assertEqual(reply.decode(dict), {"changed": 1})
        for feed in feeds:
            await self.wait_for_weight(feed, 0.2)
        late = await self.start_feed(nursery, transport, platform, addresses)
        await late.ready.wait()
        await self.wait_for_weight(late, 0.2)

        stale = StoredObject(key=KEY, version=version)
        response = await push_control(transport, addresses[0], [stale])
        self.assertEqual(response.changed, 0)

    def test_change_spreads_by_watch_and_in_an_outage_by_peers(self):
        async def main():
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with Transport() as transport, trio.open_nursery() as nursery:
                    await self.check(nursery, transport)
                    nursery.cancel_scope.cancel()

        trio.run(main)
