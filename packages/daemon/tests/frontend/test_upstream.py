import unittest

import trio

from frontend.support import ScriptedTarget, build_response, build_target
from goldcrestvane_daemon.frontend.upstream import (
    ConnectFailed,
    TargetConnectionPool,
    TargetFailed,
    TargetRequest,
)

HEADERS = [(b"host", b"h"), (b"goldcrestvane-request-id", b"c1")]
RESPONSE_WITHOUT_LENGTH = (
    b"HTTP/1.1 200 OK\r\nGoldcrestvane-Response-Signature: s\r\n\r\nhalf"
)


class TargetRequestTests(unittest.TestCase):
    def run_calls(self, script, *, calls=1, body=b""):
        """Returns the body or the error of each call, and the target."""
        results = []

        async def main():
            target = ScriptedTarget(script)
            connections = TargetConnectionPool(lambda target, head: None)
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    await nursery.start(target.run)
                    for _ in range(calls):
                        results.append(await self.call(connections, target, body))
                    nursery.cancel_scope.cancel()
            return target

        return results, trio.run(main)

    async def call(self, connections, target, body):
        headers = list(HEADERS)
        if body:
            headers.append((b"content-length", b"%d" % len(body)))
        try:
            async with TargetRequest(connections, build_target(target.port)) as request:
                await request.send(b"POST", b"/a", headers, body, call="c1")
                return await request.read_body()
        except TargetFailed:
            return TargetFailed

    def test_idle_connection_is_reused(self):
        script = [[build_response(b"one")], [build_response(b"two")]]
        results, target = self.run_calls(script, calls=2)
        self.assertEqual(results, [b"one", b"two"])
        self.assertEqual(target.connections, 1)

    def test_connection_with_unexpected_bytes_is_not_reused(self):
        script = [
            [build_response(b"one") + b"HTTP/1.1 200 OK\r\n"],
            [build_response(b"two")],
        ]
        results, target = self.run_calls(script, calls=2)
        self.assertEqual(results, [b"one", b"two"])
        self.assertEqual(target.connections, 2)

    def test_late_response_to_another_call_is_skipped(self):
        late = build_response(b"late", call=b"c0")
        results, _ = self.run_calls([[late + build_response(b"own")]])
        self.assertEqual(results, [b"own"])

    def test_late_response_to_another_call_without_a_second_response_fails(self):
        late = build_response(b"late", call=b"c0")
        results, _ = self.run_calls([[late, None]])
        self.assertEqual(results, [TargetFailed])

    def test_incomplete_body_fails(self):
        results, _ = self.run_calls([[build_response(b"whole")[:-2], None]])
        self.assertEqual(results, [TargetFailed])

    def test_body_without_a_length_ends_with_its_connection(self):
        results, _ = self.run_calls([[RESPONSE_WITHOUT_LENGTH, None]])
        self.assertEqual(results, [b"half"])

    def test_body_without_a_length_fails_when_the_connection_is_reset(self):
        results, _ = self.run_calls(
            [[RESPONSE_WITHOUT_LENGTH, 0.05, ScriptedTarget.RESET]]
        )
        self.assertEqual(results, [TargetFailed])

    def test_invalid_response_fails(self):
        results, _ = self.run_calls([[b"\x00\x01garbage\r\n\r\n", None]])
        self.assertEqual(results, [TargetFailed])

    def test_unreachable_target_raises_connect_failed(self):
        async def main():
            request = TargetRequest(
                TargetConnectionPool(lambda target, head: None), build_target(1)
            )
            with self.assertRaises(ConnectFailed):
                async with request:
                    pass

        trio.run(main)

    def test_connection_is_closed_when_the_response_precedes_the_end_of_the_body(self):
        """Guards against a request that a target reads as the rest of an earlier body.

        The target responds before it has read the body.
        """

        async def main():
            async def serve(stream):
                nonlocal connections
                connections += 1
                await stream.receive_some(100)
                await stream.send_all(build_response(b"early", status="413 Too Large"))
                await trio.sleep_forever()

            connections = 0
            pool = TargetConnectionPool(lambda target, head: None)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                body = b"x" * 20_000_000
                headers = [*HEADERS, (b"content-length", b"%d" % len(body))]
                for _ in range(2):
                    with trio.fail_after(5):
                        async with TargetRequest(pool, build_target(port)) as request:
                            head = await request.send(
                                b"POST", b"/", headers, body, call="c1"
                            )
                            self.assertEqual(head.status, 413)
                            self.assertEqual(await request.read_body(), b"early")
                nursery.cancel_scope.cancel()
            self.assertEqual(connections, 2)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
