import unittest

import trio
import trio.testing

from frontend.frontend_case import HOST, FrontendCase, read_response
from frontend.support import build_response
from goldcrestvane_daemon.frontend.graceful_shutdown import GracefulShutdown
from goldcrestvane_daemon.listening import has_pending_connection, open_listener

OK = [build_response(b"ok")]


class ShutdownTests(FrontendCase):
    def test_requests_during_shutdown_are_answered_and_their_connections_closed(self):
        async def script(frontend):
            stream = await trio.open_tcp_stream(HOST, frontend.port)
            await stream.send_all(frontend.build_request("/once/x"))
            first = await read_response(stream)
            self.assertNotIn("connection", first.headers)
            frontend.shutdown.requested.set()
            await stream.send_all(frontend.build_request("/once/x"))
            second = await read_response(stream)
            self.assertEqual(second.status, 200)
            self.assertEqual(second.headers["connection"], "close")
            self.assertEqual(await stream.receive_some(), b"")

        self.run_frontend(script, [OK] * 2)

    def close_connections(self, frontend):
        frontend.shutdown.requested.set()
        frontend.shutdown.closing.set()

    def test_request_that_has_begun_to_arrive_is_answered(self):
        """Guards against accepted requests that are cut off without a response."""

        async def script(frontend):
            request = frontend.build_request("/once/x")
            for first_part in (request[:20], request):
                stream = await trio.open_tcp_stream(HOST, frontend.port)
                await stream.send_all(request)
                await read_response(stream)
                await stream.send_all(first_part)
                self.close_connections(frontend)
                await trio.testing.wait_all_tasks_blocked()
                await stream.send_all(request[len(first_part) :])
                self.assertEqual((await read_response(stream)).status, 200)
                frontend.shutdown.requested = trio.Event()
                frontend.shutdown.closing = trio.Event()

        self.run_frontend(script, [OK] * 4)

    def test_request_on_a_connection_from_the_backlog_is_answered(self):
        async def script(frontend):
            self.close_connections(frontend)
            stream = await trio.open_tcp_stream(HOST, frontend.port)
            await frontend.wait(lambda: frontend.clients.busy_count)
            await trio.testing.wait_all_tasks_blocked()
            await stream.send_all(frontend.build_request("/once/x"))
            response = await read_response(stream)
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["connection"], "close")
            await frontend.wait(lambda: not frontend.clients.busy_count)

        self.run_frontend(script, [OK])

    def test_idle_connections_are_closed(self):
        async def script(frontend):
            stream = await trio.open_tcp_stream(HOST, frontend.port)
            await stream.send_all(frontend.build_request("/once/x"))
            await read_response(stream)
            self.close_connections(frontend)
            self.assertEqual(await stream.receive_some(), b"")
            self.assertEqual(frontend.clients.busy_count, 0)

        self.run_frontend(script, [OK])


class WaitTests(unittest.TestCase):
    def run_wait(self, counts, held_seconds=0.0):
        """Returns the counts of requests that are left when the process stops."""
        counts = list(counts)

        async def main():
            shutdown = GracefulShutdown(8.0)
            shutdown.deduct_held(held_seconds)
            shutdown.requested.set()
            await shutdown.wait(lambda: counts.pop(0) if counts else 0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return counts

    def test_process_waits_for_requests_that_were_just_accepted(self):
        """Guards against a stop between a request's arrival and its first step."""
        self.assertEqual(self.run_wait([0, 0, 1, 1, 0, 0]), [])

    def test_process_stops_before_it_is_killed(self):
        self.assertGreater(len(self.run_wait([1] * 1000)), 500)

    def test_process_that_was_stopped_during_its_start_stops_before_it_is_killed(self):
        """Guards against a grace period that begins only when the start has ended."""
        left = [len(self.run_wait([1] * 1000, seconds)) for seconds in (0.0, 3.0, 9.0)]
        polls_per_second = 20
        self.assertEqual(left[1] - left[0], 3 * polls_per_second)
        self.assertGreater(left[2], left[1])

    def test_connection_in_the_backlog_is_pending(self):
        with open_listener(f"{HOST}:0") as listener:
            self.assertFalse(has_pending_connection(listener))

            async def connect():
                port = listener.getsockname()[1]
                async with await trio.open_tcp_stream(HOST, port):
                    self.assertTrue(has_pending_connection(listener))

            trio.run(connect)


if __name__ == "__main__":
    unittest.main()
