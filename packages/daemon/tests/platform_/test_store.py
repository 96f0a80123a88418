import unittest
from unittest import mock

import msgspec
import trio

from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_common.transport import ClientResponse, Transport
from goldcrestvane_daemon.platform import store as store_module
from goldcrestvane_daemon.platform.object_decoding import decode_target
from goldcrestvane_daemon.platform.store import ObjectKind, StoreClient

BODY = msgspec.json.encode({"items": [], "at": 3})
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(BODY), BODY)
ODD_VALUE = rb'{"a":"\ud800"}'
OTHER_VALUE = b'{"a":"]"}'
TEST_TIMEOUT_SECONDS = 60


async def serve_on_loopback(handler, *, task_status):
    await trio.serve_tcp(handler, 0, host="127.0.0.1", task_status=task_status)


class SilentStore:
    """Answers requests until `silent` is set; its connections then stay open."""

    def __init__(self):
        self.silent = False
        self.open_count = 0

    async def serve(self, stream):
        self.open_count += 1
        async with stream:
            while await stream.receive_some():
                # Two calls at a time need two connections.
                await trio.sleep(0.05)
                if not self.silent:
                    await stream.send_all(RESPONSE)
        self.open_count -= 1


class StoreClientTests(unittest.TestCase):
    def test_call_without_a_response_closes_the_idle_connections_too(self):
        async def main():
            server = SilentStore()
            async with Transport() as transport, trio.open_nursery() as nursery:
                listeners = await nursery.start(serve_on_loopback, server.serve)
                port = listeners[0].socket.getsockname()[1]
                store = StoreClient(transport, f"127.0.0.1:{port}")
                async with trio.open_nursery() as calls:
                    for _ in range(3):
                        calls.start_soon(store.list, ObjectKind.TARGETS)
                self.assertEqual(server.open_count, 3)
                server.silent = True
                with self.assertRaises(ObjectStoreUnavailable):
                    await store.get_changes(ObjectKind.TARGETS, 3)
                while server.open_count:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        async def run():
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                await main()

        with mock.patch.object(store_module, "CHECK_TIMEOUT_SECONDS", 0.2):
            trio.run(run)

    def test_object_that_is_nested_too_deeply_hides_no_other_object(self):
        """Guards against an object of another writer that ends the process."""
        value = b"[" * 5000 + b"]" * 5000
        items = [
            b'{"metadata":{"name":"%b"},"specification":%b}' % pair
            for pair in ((b"a", value), (b"b", OTHER_VALUE))
        ]
        body = b'{"items":[%b],"at":3}' % b",".join(items)

        async def serve(stream):
            await stream.receive_some()
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
            )

        async def main():
            async with Transport() as transport, trio.open_nursery() as nursery:
                listeners = await nursery.start(serve_on_loopback, serve)
                port = listeners[0].socket.getsockname()[1]
                store = StoreClient(transport, f"127.0.0.1:{port}")
                deep, other = (await store.list(ObjectKind.TARGETS)).objects
                nursery.cancel_scope.cancel()
            self.assertIsNone(decode_target(deep.name, deep.value))
            self.assertEqual((other.name, other.value), ("b", OTHER_VALUE))

        trio.run(main)

    def test_list_goes_on_after_a_page_without_a_readable_object(self):
        """Guards against targets that are lost behind a page of odd objects."""
        found = list_pages(
            {
                "": build_page(["a", "b"], ODD_VALUE, has_more=True),
                "b": build_page(["c"], OTHER_VALUE, extra=b",null", has_more=True),
                "c": build_page(["d"], OTHER_VALUE),
            }
        )
        self.assertEqual([each.name for each in found.objects], ["a", "b", "c", "d"])
        self.assertEqual(found.objects[0].value, b"null")
        self.assertEqual(found.objects[3].value, OTHER_VALUE)
        self.assertEqual(found.revision, 3)

    def test_list_that_cannot_be_continued_is_not_taken_for_a_whole_one(self):
        """Guards against targets that are removed as if the list did not have them."""
        nameless = build_page([], b"", extra=b"null,5", has_more=True)
        same = build_page(["a"], ODD_VALUE, has_more=True)
        other = build_page(["b"], ODD_VALUE, has_more=True)
        for pages in (
            {"": nameless},
            {"": same, "a": same},
            {"": same, "a": other, "b": same},
        ):
            with self.subTest(pages):
                with self.assertRaisesRegex(ObjectStoreUnavailable, "continued after"):
                    list_pages(pages)


def build_page(names, value, *, extra=b"", has_more=False):
    """Returns a page of objects with one value, and with further elements behind them."""
    items = [
        b'{"metadata":{"name":"%b"},"specification":%b}' % (name.encode(), value)
        for name in names
    ]
    flag = b"true" if has_more else b"false"
    return b'{"items":[%b%b],"at":3,"has_more":%b}' % (b",".join(items), extra, flag)


def list_pages(pages):
    """Lists the targets of a store that has these pages, by the name they follow."""

    async def send(method, address, path, **options):
        await trio.lowlevel.checkpoint()
        after = path.partition("?after=")[2]
        return ClientResponse(status=200, headers={}, body=pages[after])

    store = StoreClient(mock.Mock(send=send), "store")
    return trio.run(store.list, ObjectKind.TARGETS)


if __name__ == "__main__":
    unittest.main()
