import unittest

import trio

from frontend.frontend_case import HOST, FrontendCase, build_events, build_stream
from frontend.support import ScriptedTarget
from goldcrestvane_daemon.ledger.messages import TokenCharge
from goldcrestvane_daemon.platform.store import ObjectKind

REST = build_stream([3, 4], call=b"c2")


class RestartedTargetTests(FrontendCase):
    """A target starts again under its id while the frontend has its former entry."""

    async def restart_target(self, frontend):
        """Lets a call find that a target has ended, and starts the target again."""
        target = ScriptedTarget([REST])
        listener = trio.socket.socket()
        await listener.bind((HOST, 0))
        target.port = listener.getsockname()[1]
        frontend.list_target(target, version="v1", born=1)
        await frontend.wait_synced(ObjectKind.TARGETS)
        response = await frontend.send_turn("/resume/x", call="c0")
        self.assertEqual(response.status, 503)
        listener.listen(8)
        frontend.nursery.start_soon(
            trio.serve_listeners, target._serve, [trio.SocketListener(listener)]
        )
        return target

    async def resume(self, frontend):
        charge = TokenCharge("c1", 5, True, origin="s1 v1")
        frontend.ledger.charges["p1"]["c1"] = charge
        return await frontend.send_turn(
            "/resume/x", call="c2", Last_Event_Id=2, Resumes="c1"
        )

    def test_stream_does_not_go_on_at_a_restarted_target_with_its_former_entry(self):
        async def script(frontend):
            target = await self.restart_target(frontend)
            response = await self.resume(frontend)
            self.assertEqual((response.status, target.requests), (503, []))

        self.run_frontend(script)

    def test_stream_goes_on_at_a_restarted_target_of_the_same_version(self):
        async def script(frontend):
            target = await self.restart_target(frontend)
            frontend.list_target(target, version="v1", born=2)
            await frontend.wait_synced(ObjectKind.TARGETS)
            response = await self.resume(frontend)
            self.assertEqual(response.body, build_events([3, 4]))

        self.run_frontend(script)


if __name__ == "__main__":
    unittest.main()
