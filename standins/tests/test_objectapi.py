import unittest

import trio
import trio.testing
from serving import run_with_standin, wait_until

from goldcrestvane_common.errors import Overloaded
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    RevisionTooOld,
    WriteOutcomeUnknown,
)
from goldcrestvane_standins.objectapi import ObjectApi, TokenBucket
from goldcrestvane_standins.objectstore import ObjectStore


class ObjectApiTests(unittest.TestCase):
    def serve(self, check, *, watch_window=100):
        async def check_client(transport, address):
            async def control(method, path, value=None):
                response = await transport.send(method, address, path, value=value)
                return response.decode(object)

            await check(ObjectClient(transport, address), control)

        def build(nursery):
            return ObjectApi(ObjectStore(watch_window=watch_window)).build_router()

        run_with_standin(build, check_client)

    async def wait_for_watch(self, control):
        async def has_watch():
            return (await control("GET", "/control/counts"))["watches"] > 0

        await wait_until(has_watch)

    def test_write_takes_effect_only_on_the_expected_version(self):
        async def check(client, control):
            first = await client.write("a/1", {"n": 1}, expected_version=0)
            with self.assertRaises(ObjectVersionConflict):
                await client.write("a/1", {"n": 2}, expected_version=0)
            second = await client.write("a/1", {"n": 3}, expected_version=first)
            self.assertGreater(second, first)
            with self.assertRaises(ObjectVersionConflict):
                await client.delete("a/1", expected_version=first)
            stored = await client.read("a/1")
            self.assertEqual(stored.decode(dict), {"n": 3})
            await client.delete("a/1", expected_version=second)
            self.assertIsNone(await client.read("a/1"))
            counts = await control("GET", "/control/counts")
            self.assertEqual(counts["writes"], 3)
            self.assertEqual(counts["conflicts"], 2)

        self.serve(check)

    def test_list_and_history_contain_only_keys_with_the_prefix(self):
        async def check(client, control):
            await client.write("a/1", 1, expected_version=0)
            await client.write("b/1", 2, expected_version=0)
            listed = await client.list("a/")
            self.assertEqual([item.key for item in listed.objects], ["a/1"])
            self.assertEqual(listed.revision, 2)
            history = await control("GET", "/control/history?prefix=b/")
            self.assertEqual([item["value"] for item in history], [2])

        self.serve(check)

    def test_watch_waits_for_a_change_of_a_key_with_its_prefix(self):
        async def check(client, control):
            version = await client.write("a/1", 1, expected_version=0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_watch, client, version)
                await self.wait_for_watch(control)
                await client.write("b/1", 1, expected_version=0)
                await client.delete("a/1", expected_version=version)

        self.serve(check)

    async def check_watch(self, client, version):
        changed = await client.watch("a/", since=version, timeout=60.0)
        self.assertEqual(changed.revision, 3)
        (deleted,) = changed.objects
        self.assertEqual((deleted.key, deleted.deleted), ("a/1", True))

    def test_watch_from_a_revision_outside_the_window_is_rejected(self):
        async def check(client, control):
            for number in range(3):
                await client.write(f"a/{number}", 1, expected_version=0)
            with self.assertRaises(RevisionTooOld):
                await client.watch("a/", since=0, timeout=0.0)
            changed = await client.watch("a/", since=1, timeout=0.0)
            self.assertEqual(len(changed.objects), 2)

        self.serve(check, watch_window=2)

    def test_write_takes_effect_although_its_response_is_lost(self):
        async def check(client, control):
            faults = {"lose_answers": 1, "lose_prefix": "a/"}
            await control("PUT", "/control/faults", faults)
            await client.write("b/1", 1, expected_version=0)
            with self.assertRaises(WriteOutcomeUnknown):
                await client.write("a/1", 1, expected_version=0)
            self.assertEqual((await client.read("a/1")).version, 2)
            await client.write("a/2", 1, expected_version=0)

        self.serve(check)

    def test_outage_rejects_requests_and_ends_watches(self):
        async def check(client, control):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_watch_in_outage, client)
                await self.wait_for_watch(control)
                await control("PUT", "/control/faults", {"outage": True})
            with self.assertRaises(ObjectStoreUnavailable):
                await client.write("a/1", 1, expected_version=0)
            await control("PUT", "/control/faults", {})
            self.assertIsNone(await client.read("a/1"))

        self.serve(check)

    async def check_watch_in_outage(self, client):
        with self.assertRaises(ObjectStoreUnavailable):
            await client.watch("a/", since=0, timeout=60.0)

    def test_error_of_a_write_over_the_rate_limit_has_a_retry_delay(self):
        async def check(client, control):
            await control("PUT", "/control/faults", {"writes_per_second": 0.001})
            await client.write("a/1", 1, expected_version=0)
            with self.assertRaises(ObjectStoreUnavailable) as caught:
                await client.write("a/2", 1, expected_version=0)
            self.assertGreaterEqual(caught.exception.retry_after, 1.0)
            self.assertIsNone(await client.read("a/2"))

        self.serve(check)


class TokenBucketTests(unittest.TestCase):
    def test_bucket_refills_at_its_rate(self):
        async def main():
            bucket = TokenBucket(2.0)
            bucket.take()
            bucket.take()
            with self.assertRaises(Overloaded) as caught:
                bucket.take()
            self.assertAlmostEqual(caught.exception.retry_after, 0.5)
            await trio.sleep(0.5)
            bucket.take()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
