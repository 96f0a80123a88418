import unittest

import msgspec
import trio
from serving import run_with_standin, wait_until

from goldcrestvane_common.transport import ExchangeBroken
from goldcrestvane_standins.batch import BatchSettings
from goldcrestvane_standins.engine import Engine, EngineSettings
from goldcrestvane_standins.runs import Message, build_answer

COMPLETIONS = "/v1/chat/completions"
DONE_EVENT = "[DONE]"


def build_settings(*, token_seconds=0.0005, **settings):
    batch = BatchSettings(
        slots=2,
        token_seconds=token_seconds,
        prefill_token_seconds=0.0,
        stream_retention_seconds=3600.0,
    )
    return EngineSettings(batch=batch, **settings)


def build_body(content, **fields):
    return {"messages": [{"role": "user", "content": content}], **fields}


def get_answer(content):
    return " ".join(build_answer((Message("user", content),)))


def read_events(body):
    lines = body.decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


def join_tokens(events):
    chunks = [msgspec.json.decode(event) for event in events if event != DONE_EVENT]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


class EngineTests(unittest.TestCase):
    def serve(self, check, **settings):
        async def check_engine(transport, address):
            async def send(method, path, value=None):
                return await transport.send(method, address, path, value=value)

            self.open_stream = lambda *arguments, **fields: transport.stream(
                arguments[0], address, *arguments[1:], **fields
            )
            await check(send)

        run_with_standin(
            lambda nursery: Engine(build_settings(**settings), nursery).build_router(),
            check_engine,
        )

    def test_streamed_and_unstreamed_answers_have_the_same_text(self):
        async def check(send):
            completion = (await send("POST", COMPLETIONS, build_body("hi you"))).decode(
                dict
            )
            choice = completion["choices"][0]
            self.assertEqual(choice["message"]["content"], get_answer("hi you"))
            self.assertEqual(choice["finish_reason"], "stop")
            response = await send(
                "POST", COMPLETIONS, build_body("hi you", stream=True)
            )
            events = read_events(response.body)
            self.assertEqual(join_tokens(events), get_answer("hi you"))
            self.assertEqual(events[-1], DONE_EVENT)
            self.assertEqual(
                msgspec.json.decode(events[-2])["usage"], completion["usage"]
            )

        self.serve(check)

    def test_cut_stream_keeps_generating_and_resumes_at_an_offset(self):
        async def check(send):
            await send("PUT", "/control/faults", {"cut_streams_after": 3})
            body = build_body("hi", stream=True, stream_id="x")
            parts = []
            with self.assertRaises(ExchangeBroken):
                async with self.open_stream(
                    "POST", COMPLETIONS, value=body
                ) as response:
                    async for part in response.iterate():
                        parts.append(part)
            received = read_events(b"".join(parts))
            await send("PUT", "/control/faults", {})
            response = await send("GET", f"/v1/streams/x?offset={len(received)}")
            rest = read_events(response.body)
            self.assertEqual(join_tokens(received + rest), get_answer("hi"))
            record = (await send("GET", "/control/record")).decode(list)
            self.assertEqual(len(record), 1)
            self.assertEqual((await send("GET", "/v1/streams/y?offset=0")).status, 404)

        self.serve(check)

    def test_cancelled_stream_frees_its_slot(self):
        async def check(send):
            async with trio.open_nursery() as nursery:
                body = build_body("hi", stream_id="x")
                nursery.start_soon(send, "POST", COMPLETIONS, body)

                async def is_running():
                    load = (await send("GET", "/v1/load")).decode(dict)
                    return load["running"] == 1

                await wait_until(is_running)
                response = await send("DELETE", "/v1/streams/x")
                self.assertEqual(response.decode(dict)["state"], "cancelled")
            load = (await send("GET", "/v1/load")).decode(dict)
            self.assertEqual((load["running"], load["queued"]), (0, 0))

        self.serve(check, token_seconds=3600.0)

    def test_load_report_lags_behind(self):
        async def check(send):
            await send("POST", COMPLETIONS, build_body("hi", session="s"))
            load = (await send("GET", "/v1/load")).decode(dict)
            self.assertEqual(load["cached_tokens"], 0)

        self.serve(check, load_lag=3600.0)

    def test_prefix_is_exported_to_another_session_and_released(self):
        async def check(send):
            await send("POST", COMPLETIONS, build_body("hi you", session="s"))
            content = (await send("GET", "/v1/cache/export/s")).decode(dict)
            token_count = len(content["words"])
            await send("POST", "/v1/cache/import", {**content, "session": "t"})
            cache = (await send("GET", "/v1/cache")).decode(dict)
            self.assertEqual(cache["sessions"], {"s": token_count, "t": token_count})
            await send("POST", "/v1/cache/release", {"session": "s", "fence": 1})
            events = (await send("GET", "/v1/cache/events?since=3")).decode(dict)
            self.assertEqual(events["events"][0]["kind"], "evicted")
            self.assertEqual(events["next"], 4)

        self.serve(check)

    def test_outdated_fence_is_rejected_only_by_a_fenced_engine(self):
        for fenced, status in ((True, 409), (False, 200)):

            async def check(send, status=status):
                command = {"kind": "load_model", "name": "m", "fence": 2}
                await send("POST", "/v1/orders", command)
                response = await send("POST", "/v1/orders", {**command, "fence": 1})
                self.assertEqual(response.status, status)
                release = {"session": "s", "fence": 2}
                await send("POST", "/v1/cache/release", release)
                response = await send(
                    "POST", "/v1/cache/release", {**release, "fence": 1}
                )
                self.assertEqual(response.status, status)

            with self.subTest(fenced=fenced):
                self.serve(check, fenced=fenced)
