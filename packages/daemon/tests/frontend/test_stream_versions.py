import unittest

import trio

from frontend.frontend_case import (
    HOST,
    FrontendCase,
    build_events,
    build_stream,
)
from frontend.stream_case import SharedFrontendsCase
from frontend.support import ScriptedTarget, SharedScript
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from goldcrestvane_daemon.frontend.stream_origins import MAX_STREAM_SECONDS
from goldcrestvane_daemon.ledger.messages import TokenCharge
from goldcrestvane_daemon.platform.store import ObjectKind

REST = build_stream([3, 4])
REST_OF_C2 = build_stream([3, 4], call=b"c2")
VERSIONS = ("v1", "v1", "v2", "v2")
WAITING = [*build_stream([1, 2], end=False)[:-1], ScriptedTarget.WAIT]


class StreamVersionTests(FrontendCase):
    """A stream goes on only at the software version that brought its first event."""

    async def list_versions(self, frontend, versions, states):
        """Lists the targets; the states are given by their first letters."""
        entries = zip(frontend.targets, versions, states, strict=True)
        for target, version, state in entries:
            state = "ready" if state == "r" else "draining"
            frontend.list_target(target, state=state, version=version)
        await frontend.wait_synced(ObjectKind.TARGETS)

    def list_used(self, frontend):
        return [target for target in frontend.targets if target.requests]

    def test_broken_stream_goes_on_at_a_target_of_the_same_version(self):
        async def script(frontend):
            # Only the first target is used until the stream begins. Of idle targets the
            # one that has been ready for the longest time is preferred.
            await self.list_versions(frontend, VERSIONS, states="rddd")
            async with trio.open_nursery() as nursery:

                async def send():
                    response = await frontend.send_turn("/resume/x")
                    self.assertEqual(response.body, build_events([1, 2, 3, 4]))
                    self.assertTrue(response.whole)

                nursery.start_soon(send)
                await frontend.wait(lambda: self.list_used(frontend))
                await self.list_versions(frontend, VERSIONS, states="rdrr")
                await self.list_versions(frontend, VERSIONS, states="rrrr")
                frontend.targets[0].resume.set()
            self.assertEqual(
                {target.port for target in self.list_used(frontend)},
                {target.port for target in frontend.targets[:2]},
            )

        same = SharedScript([[*WAITING, None], REST])
        self.run_frontend(script, same, same, [REST], [REST])

    def test_broken_stream_ends_when_no_target_of_its_version_is_left(self):
        async def script(frontend):
            await self.list_versions(frontend, ["v1", "v2"], states="rd")
            async with trio.open_nursery() as nursery:

                async def send():
                    response = await frontend.send_turn("/resume/x")
                    self.assertEqual(response.body, build_events([1, 2]))
                    self.assertFalse(response.whole)

                nursery.start_soon(send)
                await frontend.wait(lambda: self.list_used(frontend))
                await self.list_versions(frontend, ["v1", "v2"], states="dr")
                frontend.targets[0].resume.set()
            self.assertEqual(len(self.list_used(frontend)), 1)

        self.run_frontend(script, [[*WAITING, None]], [REST])


class ResumedStreamTests(SharedFrontendsCase):
    """A client takes its stream up again at another frontend."""

    async def list_targets(self, frontends, entries):
        for target, (version, state) in zip(frontends[0].targets, entries, strict=True):
            frontends[0].list_target(target, state=state, version=version)
        for frontend in frontends:
            await frontend.wait_synced(ObjectKind.TARGETS)

    async def prefer(self, frontends, position):
        """Lists both versions so that an idle target at a position is preferred."""
        states = ["draining", "draining"]
        for index in (position, 1 - position):
            states[index] = "ready"
            await self.list_targets(frontends, [("v1", states[0]), ("v2", states[1])])

    async def begin(self, frontend, *, fail_first=None):
        """Begins a stream, reads its first two events and breaks the connection."""
        stream = await trio.open_tcp_stream(HOST, frontend.port)
        async with stream:
            request = frontend.build_request(
                "/resume/x",
                Goldcrestvane_Program_Id="p1",
                Goldcrestvane_Token_Budget=100,
                Goldcrestvane_Token_Usage="10,40",
            )
            await stream.send_all(request)
            if fail_first is not None:
                await fail_first()
            received = b""
            while b"data: d2" not in received:
                received += await stream.receive_some()

    async def resume(self, frontend, *, resumes="c1"):
        headers = {} if resumes is None else {"Resumes": resumes}
        return await frontend.send_turn(
            "/resume/x", call="c2", Last_Event_Id=2, **headers
        )

    def check_resumed(self, response):
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, build_events([3, 4]))

    def test_resumed_stream_goes_on_at_the_version_that_began_it(self):
        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            await self.begin(first)
            await self.prefer(frontends, 1)
            for _ in range(4):
                self.check_resumed(await self.resume(second))
            self.assertEqual(first.targets[1].requests, [])

        self.run_frontends(script, [WAITING, *[REST_OF_C2] * 4], [REST_OF_C2] * 4)

    def test_resumed_stream_is_refused_when_its_version_is_gone(self):
        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            await self.begin(first)
            await self.list_targets(frontends, [("v1", "draining"), ("v2", "ready")])
            response = await self.resume(second)
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(first.targets[1].requests, [])

        self.run_frontends(script, [WAITING], [REST_OF_C2])

    def test_stream_that_began_at_its_second_target_resumes_at_that_version(self):
        async def script(*frontends):
            first, second = frontends

            async def fail_first():
                await first.wait(lambda: first.targets[0].requests)
                await self.list_targets(
                    frontends, [("v1", "draining"), ("v2", "ready")]
                )
                first.targets[0].resume.set()

            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            await self.begin(first, fail_first=fail_first)
            await self.prefer(frontends, 0)
            for _ in range(4):
                self.check_resumed(await self.resume(second))
            self.assertEqual(len(first.targets[0].requests), 1)

        rest = [REST_OF_C2] * 4
        failing = [ScriptedTarget.WAIT, None]
        self.run_frontends(script, [failing, *rest], [WAITING, *rest])

    def test_version_of_a_stream_is_durable_before_its_first_event(self):
        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "ready")])
            await self.begin(first)
            used = [bool(target.requests) for target in first.targets]
            await self.prefer(frontends, used.index(False))
            for _ in range(4):
                self.check_resumed(await self.resume(second))
            again = [len(target.requests) > 1 for target in first.targets]
            self.assertEqual(again, used)

        answers = SharedScript([WAITING, *[REST_OF_C2] * 4])
        self.run_frontends(script, answers, answers)

    def test_resumed_stream_of_an_unknown_version_is_refused_beside_two_versions(self):
        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "ready")])
            response = await self.resume(second, resumes="unknown")
            self.assertEqual(response.status, 503)
            self.assertEqual(first.requests, [])

        self.run_frontends(script, [REST_OF_C2], [REST_OF_C2])

    def test_resumed_stream_of_an_unknown_version_goes_on_if_there_was_only_one(self):
        """Goes on only if no other version can have begun the stream."""

        async def script(*frontends):
            second = frontends[1]
            await self.list_targets(frontends, [("v1", "ready")])
            response = await self.resume(second, resumes="unknown")
            self.assertEqual(response.status, 503)
            second.table_seconds += MAX_STREAM_SECONDS
            self.check_resumed(await self.resume(second, resumes="unknown"))

        self.run_frontends(script, [REST_OF_C2])

    def test_stream_is_not_resumed_at_the_version_that_is_left_after_a_restart(self):
        """Guards against joined streams after a kill of all frontends.

        No record tells the version, and the restarted frontends have only seen the new
        one: the targets that began the stream have left.
        """

        async def fail(*_):
            raise LedgerUnavailable("out")

        async def script(*frontends):
            first, _ = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            # The killed frontend does not settle the turn either.
            first.ledger.settle = fail
            await self.begin(first)
            first.list_target(first.targets[1], version="v2")
            first.platform.delete("servers", f"i-{first.targets[0].port}")
            restarted = await self.start_another(first)
            for _ in range(3):
                response = await self.resume(restarted)
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)
            self.assertEqual(first.targets[1].requests, [])

        self.run_frontends(script, [WAITING], [REST_OF_C2] * 3)

    def test_recorded_stream_goes_on_after_a_restart_of_all_frontends(self):
        """Also if the client does not name the attempt: the program had one version."""

        async def script(*frontends):
            first, _ = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            await self.begin(first)
            await self.prefer(frontends, 1)
            restarted = await self.start_another(first)
            for _ in range(2):
                self.check_resumed(await self.resume(restarted))
                self.check_resumed(await self.resume(restarted, resumes=None))
            self.assertEqual(first.targets[1].requests, [])

        self.run_frontends(script, [WAITING, *[REST_OF_C2] * 4], [REST_OF_C2] * 4)

    def test_unnamed_stream_of_a_program_with_two_versions_is_not_resumed(self):
        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v1", "ready"), ("v2", "draining")])
            await self.begin(first)
            charges = first.ledger.charges["p1"]
            charges["c0"] = TokenCharge("c0", 5, True, origin="s1 v2")
            response = await self.resume(second, resumes=None)
            self.assertEqual(response.status, 503)

        self.run_frontends(script, [WAITING], [])

    def test_unnamed_stream_without_a_record_does_not_go_on_at_the_others_version(self):
        """The frontend that began it was killed while the ledger did not answer."""

        async def fail(*_):
            raise LedgerUnavailable("out")

        async def script(*frontends):
            first, second = frontends
            await self.list_targets(frontends, [("v2", "ready"), ("v1", "draining")])
            first.ledger.charges["p1"] = {"c0": TokenCharge("c0", 5, True, "s1 v1")}
            first.ledger.settle = fail
            await self.begin(first)
            await self.list_targets(frontends, [("v2", "ready"), ("v1", "ready")])
            response = await self.resume(second, resumes=None)
            self.assertEqual(response.status, 503)

        self.run_frontends(script, [WAITING], [REST_OF_C2])


if __name__ == "__main__":
    unittest.main()
