"""Streams in which a target sends bytes that are no event."""

import unittest

from frontend.frontend_case import FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget, SharedScript

GARBAGE = b"\x15\x03\x01 no event\n\n"
INVALID = (
    GARBAGE,
    b"data: no id\n\n",
    b"id: x\ndata: no number\n\n",
    b"id: 7\nid: 8\ndata: two events\n\n",
    b"\x15\x03\x01 glued to an event\nid: 7\ndata: d7\n\n",
    b"HTTP/1.1 500 Internal Server Error\n\n",
    b"content-length: 5\n\n",
)
COMMENT = b": keep-alive\n\n"
BOTH = build_events([1, 2])
COMMENTS = (COMMENT, b"\n\n", b"retry: 100\n\n", b"event: ping\n\n")


def insert(bytes_between, before, after, *, end=True, call=b"c1"):
    """Returns a stream with bytes between two series of events."""
    head, *events = build_stream(before, call=call, end=False)[:-1]
    rest = build_stream(after, call=call, end=end)[1:]
    chunk = b"%x\r\n%s\r\n" % (len(bytes_between), bytes_between)
    return [head, *events, chunk, *rest]


class ForeignBytesTests(FrontendCase):
    def run_streams(self, script, *streams):
        """Runs two targets; each request gets the next stream, at either target."""
        answers = SharedScript(streams)
        self.run_frontend(script, answers, answers)

    def count_tokens(self, frontend):
        (charge,) = frontend.ledger.charges["p1"].values()
        return charge.tokens

    def test_bytes_that_are_no_event_end_up_in_no_chain(self):
        """Guards against turns that run with a line feed too many in their chain.

        See review/12.
        """

        async def script(frontend):
            response = await frontend.send_turn("/story/x")
            self.assertEqual(response.body, build_events([1, 2, 3, 4]))
            self.assertTrue(response.whole)
            self.assertEqual(frontend.ledger.turns["c1"].output, b"d1\nd2\nd3\nd4\n")
            self.assertEqual(self.count_tokens(frontend), 40)

        for invalid in INVALID:
            for before in ([], [1, 2]):
                with self.subTest(invalid, before=before):
                    after = [each for each in (1, 2, 3, 4) if each not in before]
                    self.run_streams(
                        script,
                        insert(invalid, before, [], end=False),
                        build_stream(after),
                    )

    def test_stream_is_cut_off_before_bytes_that_are_no_event(self):
        """Guards against clients that get such bytes, on a route without resumption."""

        async def script(frontend):
            response = await frontend.send_turn("/kept/x")
            self.assertEqual(response.body, build_events([1, 2]))
            self.assertFalse(response.whole)
            self.assertNotIn("c1", frontend.ledger.turns)
            await frontend.wait_settled("p1", "c1")
            self.assertEqual(self.count_tokens(frontend), 20)
            self.assertEqual(len(frontend.requests), 1)

        for invalid in INVALID:
            with self.subTest(invalid):
                apart = insert(invalid, [1, 2], [3], end=False)[:-1]
                together = b"".join(insert(invalid, [1, 2], [3]))
                self.run_frontend(script, [[*apart, ScriptedTarget.WAIT]])
                self.run_frontend(script, [[together]])

    def test_comments_are_no_output(self):
        """Guards against comments of a sound target that are charged and stored."""

        async def script(frontend):
            response = await frontend.send_turn("/story/x")
            self.assertTrue(response.whole)
            begun = response.body.removesuffix(comment if before == [1, 2] else b"")
            self.assertEqual(begun.replace(b"d1\n\n" + comment, b"d1\n\n"), BOTH)
            self.assertEqual(frontend.ledger.turns["c1"].output, b"d1\nd2\n")
            self.assertEqual(self.count_tokens(frontend), 20)

        for comment in COMMENTS:
            for before, after in (([], [1, 2]), ([1], [2]), ([1, 2], [])):
                with self.subTest(comment, before=before):
                    self.run_streams(script, insert(comment, before, after))

    def test_comment_does_not_begin_an_answer(self):
        """Guards against a stream that no other target can begin after a comment."""

        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertEqual((response.status, response.whole), (200, True))
            self.assertEqual(response.body, build_events([1, 2]))

        self.run_streams(
            script,
            [*insert(COMMENT, [], [], end=False)[:-1], ScriptedTarget.RESET],
            build_stream([1, 2]),
        )

    def test_stream_of_comments_that_ends_with_its_connection_is_broken_off(self):
        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertEqual(response.body, build_events([1, 2]))
            self.assertTrue(response.whole)

        head = build_stream([], end=False)[0]
        unframed = head.replace(b"transfer-encoding: chunked\r\n", b"")
        self.run_streams(script, [unframed + COMMENT, None], build_stream([1, 2]))


if __name__ == "__main__":
    unittest.main()
