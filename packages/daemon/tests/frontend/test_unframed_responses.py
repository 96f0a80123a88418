import unittest

from frontend.frontend_case import EVENT, FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget, SharedScript, build_response

HEAD = (
    b"HTTP/1.1 200 OK\r\nGoldcrestvane-Request-Id: c1\r\n"
    b"Goldcrestvane-Response-Signature: s\r\n"
)
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n\r\n"


def build_unframed_stream(numbers, *, end=None):
    """Returns a stream that ends with its connection, which is closed by default."""
    return [STREAM_HEAD, *(EVENT % (number, number) for number in numbers), end]


class UnframedBodyTests(FrontendCase):
    """Bodies with neither a length nor chunks, which end with their connection."""

    def test_body_is_forwarded_with_a_length(self):
        async def script(frontend):
            response = await frontend.send("/get/x", method="GET", body=b"")
            self.assertEqual((response.status, response.body), (200, b"whole"))
            self.assertEqual(response.headers["content-length"], "5")

        self.run_frontend(script, [[HEAD + b"\r\nwho", b"le", None]])

    def test_next_call_gets_another_connection(self):
        async def script(frontend):
            for _ in range(2):
                response = await frontend.send("/get/x", method="GET", body=b"")
                self.assertEqual(response.body, b"whole")
            self.assertEqual(frontend.targets[0].connections, 2)

        self.run_frontend(script, [[HEAD + b"\r\nwhole", None]] * 2)

    def test_body_that_is_reset_is_asked_of_another_target(self):
        async def script(frontend):
            response = await frontend.send("/get/x", method="GET", body=b"")
            self.assertEqual((response.status, response.body), (200, b"whole"))
            self.assertEqual(len(frontend.requests), 2)

        cut = [HEAD + b"\r\nwho", 0.05, ScriptedTarget.RESET]
        script_of_both = SharedScript([cut, [build_response(b"whole")]])
        self.run_frontend(script, script_of_both, script_of_both)

    def test_body_of_a_call_that_may_run_once_is_not_whole_after_a_reset(self):
        async def script(frontend):
            response = await frontend.send("/once/x")
            self.assertNotEqual(response.status, 200)
            self.assertEqual(len(frontend.requests), 1)

        self.run_frontend(script, [[HEAD + b"\r\nwho", 0.05, ScriptedTarget.RESET]])


class UnframedStreamTests(FrontendCase):
    """Streams with neither a length nor chunks."""

    def test_stream_that_ends_with_its_connection_is_whole(self):
        async def script(frontend):
            response = await frontend.send_turn("/kept/x")
            self.assertTrue(response.whole)
            self.assertEqual(response.body, build_events([1, 2]))
            self.assertEqual(frontend.ledger.turns["c1"].output, b"d1\nd2\n")

        self.run_frontend(script, [build_unframed_stream([1, 2])])

    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        """Guards against a cut that is taken for the end, and stored as a whole turn."""
        event = EVENT % (2, 2)
        for size in range(1, len(event)):
            with self.subTest(size=size):

                async def script(frontend):
                    response = await frontend.send_turn("/kept/x")
                    self.assertFalse(response.whole)
                    self.assertEqual(response.body, build_events([1]))
                    self.assertNotIn("c1", frontend.ledger.turns)

                pieces = build_unframed_stream([1])[:-1]
                self.run_frontend(script, [[*pieces, event[:size], None]])

    def test_stream_that_is_reset_between_events_is_broken_off(self):
        async def script(frontend):
            response = await frontend.send_turn("/kept/x")
            self.assertFalse(response.whole)
            self.assertNotIn("c1", frontend.ledger.turns)

        pieces = build_unframed_stream([1, 2])[:-1]
        self.run_frontend(script, [[*pieces, 0.1, ScriptedTarget.RESET]])

    def test_stream_without_an_event_is_broken_off(self):
        async def script(frontend):
            response = await frontend.send_turn("/kept/x")
            self.assertFalse(response.whole and response.status == 200)
            self.assertNotIn("c1", frontend.ledger.turns)

        self.run_frontend(script, [build_unframed_stream([])])

    def test_broken_stream_goes_on_at_another_target(self):
        for rest in (build_unframed_stream([3, 4]), build_stream([3, 4])):

            async def script(frontend):
                response = await frontend.send_turn("/resume/x")
                self.assertTrue(response.whole)
                self.assertEqual(response.body, build_events([1, 2, 3, 4]))
                requests = b"".join(frontend.requests).lower()
                self.assertEqual(requests.count(b"last-event-id: 2\r\n"), 1)

            cut = [*build_unframed_stream([1, 2])[:-1], b"id: 3\nda", None]
            script_of_both = SharedScript([cut, rest])
            self.run_frontend(script, script_of_both, script_of_both)

    def test_stream_without_an_event_begins_at_another_target(self):
        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertTrue(response.whole)
            self.assertEqual(response.body, build_events([1, 2]))

        streams = [build_unframed_stream([]), build_unframed_stream([1, 2])]
        script_of_both = SharedScript(streams)
        self.run_frontend(script, script_of_both, script_of_both)


if __name__ == "__main__":
    unittest.main()
