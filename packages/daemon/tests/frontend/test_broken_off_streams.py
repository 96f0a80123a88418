import unittest

import trio

from frontend.frontend_case import HOST, FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget, SharedScript, build_response
from goldcrestvane_daemon.platform.store import ObjectKind

BEGUN = [*build_stream([1, 2], end=False)[:-1], None]


async def listen(address):
    listener = trio.socket.socket()
    listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await listener.bind(address)
    listener.listen(8)
    return trio.SocketListener(listener)


class RefusedRestTests(FrontendCase):
    """A target answers the rest of a stream with an error."""

    ERROR = build_response(b"error", status="500 Internal Server Error")

    def check_response(self, answers, *, numbers, whole):
        async def script(frontend):
            # A second head inside a response is an unexpected error.
            with self.assertNoLogs("goldcrestvane.task"):
                response = await frontend.send_turn("/resume/x")
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body, build_events(numbers))
            self.assertEqual(response.whole, whole)
            self.assertEqual(len(frontend.requests), len(answers))

        script_of_both = SharedScript(answers)
        self.run_frontend(script, script_of_both, script_of_both)

    def test_stream_goes_on_at_another_attempt(self):
        answers = [BEGUN, [self.ERROR], build_stream([3, 4])]
        self.check_response(answers, numbers=[1, 2, 3, 4], whole=True)

    def test_stream_is_broken_off_after_the_last_attempt(self):
        answers = [BEGUN, *[[self.ERROR]] * 3]
        self.check_response(answers, numbers=[1, 2], whole=False)


class BrokenOffStreamTests(FrontendCase):
    """A target dies in the middle of a stream and starts again under its id."""

    async def break_off(self, frontend, target):
        """Serves one stream, which breaks off, and stops listening."""
        listener = await listen((HOST, 0))
        address = listener.socket.getsockname()
        target.port = address[1]
        frontend.list_target(target, version="v1", born=1)
        await frontend.wait_synced(ObjectKind.TARGETS)
        async with trio.open_nursery() as nursery:

            async def serve_once():
                stream = await listener.accept()
                await listener.aclose()
                await target._serve(stream)

            nursery.start_soon(serve_once)
            nursery.start_soon(self.list_another, frontend, target)
            response = await frontend.send_turn("/resume/x")
        self.assertEqual(response.body, build_events([1, 2, 3, 4]))
        return address

    async def list_another(self, frontend, target):
        """Lists another target of the same version, at which the stream goes on."""
        await frontend.wait(lambda: target.requests)
        frontend.list_target(frontend.targets[0], version="v1")
        await frontend.wait_synced(ObjectKind.TARGETS)
        target.resume.set()

    def test_stream_does_not_go_on_at_the_restarted_target_that_broke_another_off(self):
        async def script(frontend):
            other = frontend.targets[0]
            frontend.list_target(other, state="draining", version="v1")
            rest = build_stream([3, 4], call=b"c2")
            target = ScriptedTarget([[*BEGUN[:-1], ScriptedTarget.WAIT, None], rest])
            address = await self.break_off(frontend, target)
            frontend.list_target(other, state="draining", version="v1")
            await frontend.wait_synced(ObjectKind.TARGETS)
            frontend.nursery.start_soon(
                trio.serve_listeners, target._serve, [await listen(address)]
            )
            response = await frontend.send_turn(
                "/resume/x", call="c2", Last_Event_Id=2, Resumes="c1"
            )
            self.assertEqual((response.status, len(target.requests)), (503, 1))

        self.run_frontend(script, [build_stream([3, 4])])


if __name__ == "__main__":
    unittest.main()
