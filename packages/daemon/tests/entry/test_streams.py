import unittest

import msgspec
import trio

from entry.support import (
    CHAT,
    HEADERS,
    TEST_TIMEOUT_SECONDS,
    break_exchange,
    hang,
    raise_later,
    run_with_owner,
    stream_frames,
    wait_until,
)
from goldcrestvane_common.errors import Outcome, Overloaded, Unavailable
from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.messages import (
    StreamDelta,
    StreamEnd,
    StreamFailure,
    StreamHead,
    TokenUsage,
)


def read_events(body):
    """Returns the joined text, the error if any, and whether the stream is complete."""
    text, error = "", None
    for event in body.decode().strip().split("\n\n"):
        if event == "data: [DONE]":
            return text, error, True
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        data = msgspec.json.decode(lines["data"])
        if lines.get("event") == "error":
            error = data["error"]
            continue
        text += data["choices"][0]["delta"].get("content", "")
    return text, error, False


def return_later(response):
    async def respond():
        return response

    return respond


class StreamTests(unittest.TestCase):
    async def check_complete_stream(self, entry):
        response = await entry.chat(stream=True)
        self.assertEqual(response.status, 200)
        text, error, complete = read_events(response.body)
        self.assertEqual((text, error, complete), ("one two three four", None, True))
        return response

    def test_stream_ends_with_usage_and_done(self):
        async def check(entry, owner, owners):
            response = await self.check_complete_stream(entry)
            last = response.body.decode().split("\n\n")[-3]
            self.assertEqual(
                msgspec.json.decode(last[6:])["usage"]["total_tokens"], 5 + 4
            )
            self.assertEqual(response.headers["goldcrestvane-target"], "target")

        run_with_owner(check)

    def test_error_before_the_stream_is_returned_as_a_normal_response(self):
        async def check(entry, owner, owners):
            owner.faults = [raise_later(Overloaded("full", retry_after=3.0))]
            response = await entry.chat(stream=True)
            self.assertEqual(response.status, 429)
            self.assertEqual(response.headers["retry-after"], "3")

        run_with_owner(check)

    def test_stream_broken_before_its_head_is_restarted(self):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange]
            await self.check_complete_stream(entry)
            self.assertIsNone(owner.calls[1].resume)

        run_with_owner(check)

    def test_broken_stream_is_resumed_without_lost_or_repeated_text(self):
        async def check(entry, owner, owners):
            for frames in (1, 2, 4):
                owner.calls.clear()
                begun = owner.list_frames(end=False)[:frames]
                owner.faults = [return_later(stream_frames(begun, cut=True))]
                await self.check_complete_stream(entry)
                sent = len("".join(owner.tokens[: frames - 1]))
                self.assertEqual(owner.calls[1].resume.offset, sent)
                self.assertEqual(owner.calls[1].resume.stream_id, "stream-1")

        run_with_owner(check)

    def test_stream_that_ends_early_or_skips_text_is_resumed(self):
        async def check(entry, owner, owners):
            frames = owner.list_frames()
            for faulty in (frames[:3], [frames[0], *frames[2:]], frames[1:]):
                owner.faults = [return_later(stream_frames(faulty))]
                await self.check_complete_stream(entry)

        run_with_owner(check)

    def test_repeated_text_is_dropped(self):
        async def check(entry, owner, owners):
            head, *deltas = owner.list_frames(end=False)
            again = StreamDelta(4, "two three four")
            end = StreamEnd(TokenUsage())
            owner.faults = [
                return_later(stream_frames([head, *deltas[:2], again, end]))
            ]
            await self.check_complete_stream(entry)

        run_with_owner(check)

    async def check_error(self, entry, text, kind):
        response = await entry.chat(stream=True)
        got, error, complete = read_events(response.body)
        self.assertEqual((got, complete), (text, False))
        self.assertEqual(error["kind"], kind)
        self.assertEqual(error["outcome"], "incomplete")

    def test_failure_frame_ends_the_stream_without_done(self):
        async def check(entry, owner, owners):
            frames = owner.list_frames(end=False)[:2]
            failure = StreamFailure(Unavailable("target died").to_body())
            self.assertEqual(failure.error.outcome, Outcome.NOT_RUN)
            owner.faults = [return_later(stream_frames([*frames, failure]))]
            await self.check_error(entry, "one ", "answer_incomplete")
            count = await entry.count(
                "goldcrestvane_requests_total",
                kind="chat_stream",
                status="answer_incomplete",
            )
            self.assertEqual(count, 1.0)

        run_with_owner(check)

    def test_restarted_stream_is_not_joined_to_the_previous_one(self):
        async def check(entry, owner, owners):
            begun = owner.list_frames(end=False)[:3]
            other = StreamHead(InstanceId("target"), owner.name, "stream-2")
            owner.faults = [
                return_later(stream_frames(begun, cut=True)),
                return_later(stream_frames([other, *owner.list_frames()[1:]])),
            ]
            await self.check_error(entry, "one two ", "answer_incomplete")

        run_with_owner(check)

    def test_stream_that_cannot_be_resumed_fails_with_incomplete(self):
        async def check(entry, owner, owners):
            begun = owner.list_frames(end=False)[:3]
            owner.faults = [return_later(stream_frames(begun, cut=True))]
            owner.faults += [break_exchange] * 1000
            await self.check_error(entry, "one two ", "answer_incomplete")

        run_with_owner(check)

    def test_disconnect_of_the_caller_frees_its_slots(self):
        async def check(entry, owner, owners):
            async def write():
                for frame in owner.list_frames(end=False):
                    yield msgspec.json.encode(frame) + b"\n"
                await trio.sleep_forever()

            response = stream_frames([])
            object.__setattr__(response, "chunks", write())
            owner.faults = [return_later(response), hang]
            for _ in range(2):
                with trio.move_on_after(0.3):
                    await entry.chat(stream=True)
            await wait_until(lambda: entry.application.in_flight == 0)
            await wait_until(lambda: owner.application.in_flight == 0)
            count = await entry.count(
                "goldcrestvane_requests_total", kind="chat_stream", status="left"
            )
            self.assertEqual(count, 2.0)

        run_with_owner(check)

    def test_deadline_ends_a_silent_stream(self):
        async def check(entry, owner, owners):
            async def write():
                yield msgspec.json.encode(owner.list_frames()[0]) + b"\n"
                await trio.sleep_forever()

            response = stream_frames([])
            object.__setattr__(response, "chunks", write())
            owner.faults = [return_later(response)]
            headers = {**HEADERS, "goldcrestvane-timeout": "0.3"}
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                reply = await entry.post(
                    "/v1/chat/completions", {**CHAT, "stream": True}, headers=headers
                )
            text, error, complete = read_events(reply.body)
            self.assertEqual((text, complete), ("", False))
            self.assertEqual(error["outcome"], "incomplete")

        run_with_owner(check)
