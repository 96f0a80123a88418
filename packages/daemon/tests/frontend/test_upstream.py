import unittest
from unittest import mock

import trio

from frontend.support import CALL_ID, ScriptedTarget, build_response, build_target
from goldcrestvane_daemon.frontend.upstream import (
    ConnectFailed,
    TargetConnectionPool,
    TargetFailed,
    TargetRequest,
)

HEADERS = [(b"host", b"h")]
RESPONSE_WITHOUT_LENGTH = (
    b"HTTP/1.1 200 OK\r\nGoldcrestvane-Response-Signature: s\r\n\r\nhalf"
)


class RepeatingTarget:
    """Sends each response of a connection once more, `delay` requests later.

    The body of a response is the body of its request.
    """

    def __init__(self, *, names_calls, delay):
        self.names_calls = names_calls
        self.delay = delay
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        responses = [b""] * self.delay
        while request := await stream.receive_some():
            body = request.partition(b"\r\n\r\n")[2]
            named = CALL_ID.search(request) if self.names_calls else None
            responses.append(build_response(body, call=named and named[1]))
            await stream.send_all(responses[-1 - self.delay] + responses[-1])


class LateCopyTests(unittest.TestCase):
    """Guards against a late copy of a response that another call gets as its own."""

    def run_calls(self, calls, *, names_calls=True, delay=1):
        """Returns the body that each call got, and the number of connections."""
        bodies = []

        async def main():
            target = RepeatingTarget(names_calls=names_calls, delay=delay)
            pool = TargetConnectionPool(lambda target, head: None)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, target.serve, listeners)
                for number, call in enumerate(calls):
                    body = b"%d" % number
                    bodies.append(await send(pool, build_target(port), call, body))
                nursery.cancel_scope.cancel()
            return target.connections

        return bodies, trio.run(main)

    def test_copy_for_another_call_is_skipped(self):
        bodies, connections = self.run_calls(["c1", "c2"])
        self.assertEqual((bodies, connections), ([b"0", b"1"], 1))

    def test_call_does_not_get_the_copy_of_its_earlier_attempt(self):
        """Guards against a call that runs and is reported as rejected.

        The copy would be that of the rejection of its earlier attempt.
        """
        for delay, calls in ((1, ["c1", "c1"]), (2, ["c1", "c2", "c1"])):
            with self.subTest(calls=calls):
                bodies, _ = self.run_calls(calls, delay=delay)
                self.assertEqual(bodies, [b"0", b"1", b"2"][: len(calls)])

    def test_call_without_an_id_does_not_get_a_copy(self):
        for calls in ([None, None], ["c1", None], [None, "c1"]):
            with self.subTest(calls=calls):
                bodies, _ = self.run_calls(calls)
                self.assertEqual(bodies, [b"0", b"1"])

    def test_copy_that_names_no_call_reaches_no_other_call(self):
        bodies, _ = self.run_calls(["c1", "c2"], names_calls=False)
        self.assertEqual(bodies, [b"0", b"1"])

    def test_response_that_names_no_call_on_a_used_connection_fails(self):
        with mock.patch.object(RepeatingTarget, "serve", serve_without_later_ids):
            bodies, _ = self.run_calls(["c1", "c2"])
        self.assertEqual(bodies, [b"own", TargetFailed])


async def serve_without_later_ids(_, stream):
    await stream.receive_some()
    await stream.send_all(build_response(b"own"))
    await stream.receive_some()
    await stream.send_all(build_response(b"whose", call=b""))


async def send(pool, target, call, body):
    """Returns the body of the response, or `TargetFailed`."""
    headers = list(HEADERS)
    if call:
        headers.append((b"goldcrestvane-request-id", call.encode()))
    if body:
        headers.append((b"content-length", b"%d" % len(body)))
    try:
        async with TargetRequest(pool, target, call=call) as request:
            await request.send(b"POST", b"/a", headers, [body])
            return await request.read_body()
    except TargetFailed:
        return TargetFailed


class TargetRequestTests(unittest.TestCase):
    def run_calls(self, script, *, calls=1, body=b""):
        """Returns the body or the error of each call, and the target.

        The n-th call has the id c<n>.
        """
        results = []

        async def main():
            target = ScriptedTarget(script)
            connections = TargetConnectionPool(lambda target, head: None)
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    await nursery.start(target.run)
                    listed = build_target(target.port)
                    for number in range(1, calls + 1):
                        results.append(
                            await send(connections, listed, f"c{number}", body)
                        )
                    nursery.cancel_scope.cancel()
            return target

        return results, trio.run(main)

    def test_idle_connection_is_reused(self):
        script = [[build_response(b"one")], [build_response(b"two", call=b"c2")]]
        results, target = self.run_calls(script, calls=2)
        self.assertEqual(results, [b"one", b"two"])
        self.assertEqual(target.connections, 1)

    def test_connection_with_unexpected_bytes_is_not_reused(self):
        script = [
            [build_response(b"one") + b"HTTP/1.1 200 OK\r\n"],
            [build_response(b"two", call=b"c2")],
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
                TargetConnectionPool(lambda target, head: None),
                build_target(1),
                call="c1",
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
                call = b"c%d" % connections
                await stream.send_all(
                    build_response(b"early", status="413 Too Large", call=call)
                )
                await trio.sleep_forever()

            connections = 0
            pool = TargetConnectionPool(lambda target, head: None)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                body = b"x" * 20_000_000
                headers = [*HEADERS, (b"content-length", b"%d" % len(body))]
                for call in ("c1", "c2"):
                    with trio.fail_after(5):
                        async with TargetRequest(
                            pool, build_target(port), call=call
                        ) as request:
                            head = await request.send(b"POST", b"/", headers, [body])
                            self.assertEqual(head.status, 413)
                            self.assertEqual(await request.read_body(), b"early")
                nursery.cancel_scope.cancel()
            self.assertEqual(connections, 2)

        trio.run(main)

    def test_target_that_pauses_before_it_reads_a_large_request_answers_it(self):
        """Guards against a connection that the kernel closes during a target's pause.

        The request exceeds the buffers of the kernel, and the pause exceeds the 3 s
        after which a dead target is given up.
        """

        async def main():
            async def serve(stream):
                await trio.sleep(4.5)
                received = 0
                while received < len(body):
                    received += len(await stream.receive_some())
                await stream.send_all(build_response(b"ok"))
                await trio.sleep_forever()

            body = b"x" * 20_000_000
            pool = TargetConnectionPool(lambda target, head: None)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                self.assertEqual(
                    await send(pool, build_target(port), "c1", body), b"ok"
                )
                nursery.cancel_scope.cancel()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
