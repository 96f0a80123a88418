import unittest
from unittest import mock

from frontend.frontend_case import FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget, SharedScript
from goldcrestvane_daemon.frontend.stream_origins import MAX_STREAM_SECONDS
from goldcrestvane_daemon.placement.health import HealthTracker

UNNUMBERED = b"data: d\n\n"


class EventOrderTests(FrontendCase):
    """The ids of the events that a client receives increase."""

    def run_streams(self, script, *streams):
        """Runs two targets; each request gets the next stream, at either target."""
        answers = SharedScript(streams)
        self.run_frontend(script, answers, answers)

    def list_positions(self, frontend):
        """Returns what each request names as the last event."""
        names = [
            request.lower().partition(b"last-event-id: ")[2]
            for request in frontend.requests
        ]
        return [name.partition(b"\r\n")[0] for name in names]

    def test_events_that_a_target_repeats_after_a_resumption_are_not_forwarded(self):
        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertEqual(response.body, build_events([1, 2, 3, 4]))
            self.assertTrue(response.whole)
            self.assertCountEqual(self.list_positions(frontend), [b"", b"2", b"2"])

        for repeated in ([1, 2, 3], [2, 3]):
            with self.subTest(repeated=repeated):
                self.run_streams(
                    script,
                    build_stream([1, 2], end=False),
                    [b"".join(build_stream(repeated))],
                    build_stream([3, 4]),
                )

    def test_events_that_the_client_has_are_not_sent_again(self):
        async def script(frontend):
            # Without a record, a stream goes on only at a lasting version.
            frontend.table_seconds += MAX_STREAM_SECONDS
            response = await frontend.send("/resume/x", Last_Event_Id=2)
            self.assertEqual(response.body, build_events([3, 4]))

        self.run_streams(script, [b"".join(build_stream([2, 3]))], build_stream([3, 4]))

    def test_position_that_a_client_makes_up_is_no_failure_of_the_targets(self):
        """Guards against a client that ejects all targets of a service."""

        async def script(frontend):
            frontend.table_seconds += MAX_STREAM_SECONDS
            with mock.patch.object(HealthTracker, "record_failure") as record:
                response = await frontend.send("/resume/x", Last_Event_Id=1000)
            self.assertNotEqual(response.status, 200)
            record.assert_not_called()

        self.run_streams(script, *[[b"".join(build_stream([1, 2]))]] * 9)

    def test_event_zero_is_not_sent_again_after_a_resumption(self):
        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertEqual(response.body, build_events([0, 1, 2]))
            self.assertEqual(sorted(self.list_positions(frontend)), [b"", b"0"])

        self.run_streams(script, build_stream([0], end=False), build_stream([1, 2]))

    def test_stream_goes_on_before_data_without_an_id(self):
        """No target can tell where a stream goes on after such data."""

        async def script(frontend):
            response = await frontend.send_turn("/resume/x")
            self.assertEqual(response.body, build_events([1, 2, 3]))
            self.assertTrue(response.whole)
            self.assertCountEqual(self.list_positions(frontend), [b"", b"1"])

        head = build_stream([1], end=False)[:-1]
        chunk = b"%x\r\n%s\r\n" % (len(UNNUMBERED), UNNUMBERED)
        self.run_streams(script, [*head, chunk, None], build_stream([2, 3]))

    def test_stream_that_goes_back_is_cut_off_and_not_stored(self):
        async def script(frontend):
            response = await frontend.send_turn("/kept/x")
            self.assertEqual(response.body, build_events([1, 2]))
            self.assertFalse(response.whole)
            self.assertNotIn("c1", frontend.ledger.turns)

        for back in (1, 2):
            with self.subTest(back=back):
                apart = build_stream([1, 2, back], end=False)[:-1]
                together = b"".join(build_stream([1, 2, back, 3]))
                self.run_frontend(script, [[*apart, ScriptedTarget.WAIT]])
                self.run_frontend(script, [[together]])


if __name__ == "__main__":
    unittest.main()
