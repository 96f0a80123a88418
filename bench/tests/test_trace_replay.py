import random
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
import trio

sys.path.append(str(Path(__file__).parents[1]))

from generate_traces import write_scenario
from goldcrestvane_common.errors import OutcomeUnknown, Unavailable
from goldcrestvane_common.routing import (
    BytesResponse,
    JsonResponse,
    Router,
)
from goldcrestvane_common.server import (
    Application,
    serve_http,
)
from goldcrestvane_common.trace import (
    ChatShape,
    MessageShape,
    Trace,
    TraceHeader,
    TraceRecord,
    parse_trace,
)
from goldcrestvane_common.transport import Transport
from trace_replay import sender as sender_module
from trace_replay.bodies import build_body
from trace_replay.outcomes import ExpectedOutcome, count_outcomes, find_differences
from trace_replay.player import Player
from trace_replay.scenarios import SCENARIOS
from trace_replay.sender import RequestResult, Sender

BENCH = Path(__file__).parents[1]
HEADER = TraceHeader(0.0, False)


def build_record(path="/v1/programs/begin", **fields):
    return TraceRecord(at=0.0, method="POST", path=path, **fields)


class StoredTraceTests(unittest.TestCase):
    def test_stored_files_equal_those_generated_from_the_seed(self):
        with tempfile.TemporaryDirectory() as folder:
            for build in SCENARIOS:
                write_scenario(build(random.Random(1)), Path(folder))
            names = sorted(path.name for path in Path(folder).iterdir())
            stored = BENCH / "traces"
            self.assertEqual(names, sorted(path.name for path in stored.iterdir()))
            for name in names:
                self.assertEqual(
                    (Path(folder) / name).read_bytes(), (stored / name).read_bytes()
                )

    def test_expected_outcomes_cover_every_request(self):
        for path in (BENCH / "traces").glob("*.jsonl"):
            trace = parse_trace(path.read_bytes().splitlines())
            expected = msgspec.json.decode(
                path.with_suffix(".expected.json").read_bytes(), type=ExpectedOutcome
            )
            self.assertEqual(sum(expected.requests.values()), len(trace.records))


class BodyTests(unittest.TestCase):
    def test_redacted_chat_keeps_sizes_and_equality_of_texts(self):
        shapes = [
            MessageShape("user", 100, "a"),
            MessageShape("assistant", 7, "b"),
            MessageShape("user", 100, "a"),
            MessageShape("user", 0, "c"),
        ]
        record = build_record(chat=ChatShape("small", shapes, True, 5))
        body = msgspec.json.decode(build_body(record))
        texts = [message["content"] for message in body["messages"]]
        self.assertEqual([len(text) for text in texts], [100, 7, 100, 0])
        self.assertEqual(texts[0], texts[2])
        self.assertEqual((body["stream"], body["max_tokens"]), (True, 5))

    def test_redacted_tool_body_keeps_its_size(self):
        self.assertEqual(len(build_body(build_record(body_bytes=500))), 500)
        self.assertEqual(build_body(build_record(body_bytes=0)), b"")

    def test_whole_body_is_sent_as_recorded(self):
        record = build_record(body=msgspec.Raw(b'{"a":1}'))
        self.assertEqual(build_body(record), b'{"a":1}')


class SlowSender:
    """Records requests; those of a parent program take longer."""

    def __init__(self):
        self.sent = []

    async def send(self, record):
        if "/" not in record.program:
            await trio.sleep(0.05)
        self.sent.append((record.program, record.path.rsplit("/", 1)[1]))
        return RequestResult(record=record, outcome="complete", seconds=0.0, attempts=1)


class PlayerTests(unittest.TestCase):
    def test_sub_agent_begins_after_and_ends_before_its_parent(self):
        records = [
            build_record(f"/v1/programs/{step}", team="t", program=program)
            for step, program in (("begin", "p/c"), ("end", "p/c"))
        ]
        records += [
            build_record(f"/v1/programs/{step}", team="t", program="p")
            for step in ("begin", "end")
        ]
        sender = SlowSender()
        player = Player(Trace(HEADER, records), sender, speed=1.0)
        results = trio.run(player.play)
        self.assertEqual(
            sender.sent,
            [("p", "begin"), ("p/c", "begin"), ("p/c", "end"), ("p", "end")],
        )
        counts = count_outcomes(results)
        self.assertEqual(counts, {"begin complete": 2, "end complete": 2})
        self.assertEqual(
            find_differences({"end complete": 3}, counts),
            [
                "begin complete: got 2, expected 0",
                "end complete: got 2, expected 3",
            ],
        )


class SenderTests(unittest.TestCase):
    def send(self, *answers):
        """Returns the result of a request whose attempts get the answers in order."""
        remaining = list(answers)

        async def handle(request):
            answer = remaining.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer

        async def main():
            router = Router()
            router.add("POST", "/v1/", handle)
            async with Transport() as transport, trio.open_nursery() as nursery:
                peer = await nursery.start(
                    serve_http, Application(router), "127.0.0.1:0"
                )
                sender = Sender(transport, ["127.0.0.1:1", peer], tokens={})
                result = await sender.send(build_record())
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    def setUp(self):
        self.retry_delay_seconds = sender_module.RETRY_DELAY_SECONDS
        sender_module.RETRY_DELAY_SECONDS = 0.01

    def tearDown(self):
        sender_module.RETRY_DELAY_SECONDS = self.retry_delay_seconds

    def test_call_that_did_not_run_is_retried(self):
        result = self.send(Unavailable("later", retry_after=0.01), JsonResponse())
        self.assertEqual((result.outcome, result.attempts), ("complete", 4))

    def test_unknown_outcome_is_final(self):
        result = self.send(OutcomeUnknown("lost"))
        self.assertEqual((result.outcome, result.attempts), ("outcome_unknown", 2))

    def test_stream_without_end_mark_is_retried(self):
        def stream(body):
            return BytesResponse(body=body, content_type="text/event-stream")

        half, whole = b"data: {}\n\n", b"data: {}\n\ndata: [DONE]\n\n"
        result = self.send(stream(half), stream(whole))
        self.assertEqual((result.outcome, result.attempts), ("complete", 4))
