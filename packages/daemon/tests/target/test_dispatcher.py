import unittest

import msgspec
import trio
import trio.testing

from goldcrestvane_common.messages import (
    DispatchRequest,
    StreamEnd,
    TokenUsage,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.gate import Gate, GateOptions
from goldcrestvane_daemon.pause_detector import PauseDetector
from goldcrestvane_daemon.quarantine import QuarantineStatus
from goldcrestvane_daemon.target.dispatcher import Dispatcher
from goldcrestvane_daemon.target.engine import EngineClient


class EmptyQuarantine:
    def get_status(self, service, fingerprint):
        return QuarantineStatus.UNRESTRICTED


def build_request(call):
    return DispatchRequest(
        call=call,
        incarnation="i1",
        shard=1,
        epoch=1,
        team="shop",
        program=f"program-{call}",
        service="llm",
        kind=ServiceKind.MODEL,
        deadline_seconds=60.0,
    )


class DispatcherTests(unittest.TestCase):
    def run_dispatcher(self, script):
        async def run_call(request, execution):
            await trio.sleep(2.0)
            execution.finish(msgspec.Raw(b'"text"'), TokenUsage(30, 10, 5))

        async def main():
            engine = EngineClient(Transport(), "127.0.0.1:1")
            engine.run_call = run_call
            engine.cache_capacity_tokens = 1000
            pause_detector = PauseDetector()
            self.gate = Gate(GateOptions(slots=1))
            dispatcher = Dispatcher(
                instance="llm-1",
                incarnation="i1",
                service="llm",
                gate=self.gate,
                client=engine,
                quarantine=EmptyQuarantine(),
                pause_detector=pause_detector,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause_detector.run)
                await nursery.start(dispatcher.run)
                await script(dispatcher)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_response_has_the_wait_and_a_load_that_includes_the_call(self):
        async def script(dispatcher):
            first = dispatcher.start(build_request("a"))
            await trio.testing.wait_all_tasks_blocked()
            second = dispatcher.start(build_request("b"))
            await second.wait()
            self.assertEqual(dispatcher.build_response(first).waited_seconds, 0.0)
            self.assertEqual(dispatcher.build_response(first).load.queued, 1)
            response = dispatcher.build_response(second)
            self.assertEqual(response.waited_seconds, 2.0)
            self.assertEqual((response.load.running, response.load.queued), (1, 0))

        self.run_dispatcher(script)

    def test_last_frame_of_a_stream_has_the_wait_and_the_load(self):
        async def script(dispatcher):
            request = build_request("a")
            execution = dispatcher.start(request)
            frames = [
                frame async for frame in dispatcher._encode_frames(request, execution)
            ]
            end = msgspec.json.decode(frames[-1], type=StreamEnd)
            self.assertEqual((end.waited_seconds, end.load.running), (0.0, 1))

        self.run_dispatcher(script)

    def test_finished_call_updates_the_cache_figures_of_the_gate(self):
        async def script(dispatcher):
            await dispatcher.start(build_request("a")).wait()
            load = self.gate.load()
            self.assertEqual(load.cached_tokens, 35)
            self.assertEqual(load.cache_capacity_tokens, 1000)

        self.run_dispatcher(script)


if __name__ == "__main__":
    unittest.main()
