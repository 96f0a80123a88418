"""One running deployment for each test class, and records to judge a test by."""

import random
import signal
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
import trio
from bench.checker import CHECKS
from bench.checker.records import Evidence, ProgramKey
from bench.checker.traces import Trace
from bench.faultrun.balancer import Balancer
from bench.faultrun.caller import ProgramCaller
from bench.faultrun.plan import FITTING, MODEL, TEAMS, TOOL, build_plan
from bench.faultrun.recorder import Recorder

from goldcrestvane_common.messages import (
    ProcessStatus,
)
from goldcrestvane_common.paths import (
    STATUS_PATH,
)
from goldcrestvane_common.programs import (
    ProgramView,
)
from goldcrestvane_common.transport import ConnectFailed, ExchangeBroken, Transport
from goldcrestvane_standins.deployment import PEER_TOKEN, Deployment

GIVE_UP_SECONDS = 120.0
SETTLE_SECONDS = 0.5
CALL_SECONDS = 20.0


class DeploymentCase(unittest.TestCase):
    """Tests of one deployment; each test heals what it broke.

    A test is an asynchronous function that `run_script` runs. Its evidence is that
    of the calls made in the test.
    """

    plan = build_plan(call_seconds=CALL_SECONDS)

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.deployment = Deployment(cls.plan, Path(cls.folder.name))

        async def start():
            await cls.deployment.__aenter__()
            await cls.deployment.transport.close()

        trio.run(start)
        cls.addClassCleanup(trio.run, cls.deployment.__aexit__, None, None, None)

    def run_script(self, script):
        async def main():
            self.deployment.transport = Transport(peer_token=PEER_TOKEN)
            self.evidence = Evidence()
            self.recorder = Recorder(self.deployment, self.evidence)
            self.balancer = Balancer(self.deployment)
            with trio.fail_after(GIVE_UP_SECONDS):
                try:
                    await script()
                finally:
                    await self.heal()
            await self.deployment.transport.close()

        trio.run(main)

    async def heal(self):
        for process in self.deployment.processes.values():
            process.send_signal(signal.SIGCONT)
        await self.set_faults("objectapi")
        async with trio.open_nursery() as nursery:
            for name, process in self.deployment.processes.items():
                if not process.is_running:
                    nursery.start_soon(self.deployment.restart, name)
        for name in self.list_names("target-"):
            await self.set_faults(name)
        await self.deployment.wait_ready()

    def list_names(self, prefix):
        return [name for name in self.deployment.processes if name.startswith(prefix)]

    async def set_faults(self, name, **faults):
        await self.deployment.request(name, "PUT", "/control/faults", faults)

    async def set_tool_faults(self, **faults):
        for name in self.list_names(f"target-{TOOL}-"):
            await self.set_faults(name, **faults)

    async def set_engine_faults(self, **faults):
        for name in self.list_names(f"target-{MODEL}-"):
            await self.set_faults(name, **faults)

    def build_caller(self, program=None, *, team=TEAMS[0], **options):
        options.setdefault("call_seconds", CALL_SECONDS)
        program = program or f"p{time.time_ns()}"
        return ProgramCaller(
            self.deployment,
            self.evidence,
            ProgramKey(team, program),
            entries=self.balancer.build_round(random.Random(0)),
            **options,
        )

    async def begin(
        self,
        program=None,
        *,
        kind=FITTING,
        team=TEAMS[0],
        call_seconds=CALL_SECONDS,
        **options,
    ):
        caller = self.build_caller(program, team=team, call_seconds=call_seconds)
        options.setdefault("owner_history", True)
        self.assertTrue(await caller.begin(kind, **options))
        return caller

    async def read_view(self, caller):
        """Returns the program's state, from the first entry that knows it."""
        headers = {"goldcrestvane-team": caller.key.team}
        path = f"/v1/programs/{caller.key.program}"
        for name in self.list_names("entry-"):
            address = self.deployment.processes[name].address
            try:
                reply = await self.deployment.transport.send(
                    "GET", address, path, headers=headers
                )
            except (ConnectFailed, ExchangeBroken):
                continue
            if reply.status == 200:
                return reply.decode(ProgramView)
        raise AssertionError(f"No entry knows {caller.key}.")

    async def read_owner(self, caller):
        return (await self.read_view(caller)).owner

    async def find_running(self, service):
        """Returns the sidecar of a service at whose target a call runs."""
        found = []

        async def look():
            for name in self.list_names(f"sidecar-{service}-"):
                try:
                    reply = await self.deployment.request(name, "GET", STATUS_PATH)
                except (ConnectFailed, ExchangeBroken):
                    continue
                if reply.decode(ProcessStatus).load.running:
                    found.append(name)
                    return True
            return False

        await self.deployment.wait_until(look, f"a call runs at {service}")
        return found[0]

    def freeze(self, name):
        self.deployment.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.deployment.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name):
        self.deployment.processes[name].kill()

    async def collect(self):
        """Adds what the targets have recorded, once late work could have begun."""
        await trio.sleep(SETTLE_SECONDS)
        for name in self.list_names("target-"):
            if self.deployment.processes[name].is_running:
                await self.recorder.keep_record(name)

    async def assert_no_breach(self, *properties):
        """Checks properties on the evidence of this test."""
        await self.collect()
        trace = Trace(self.evidence)
        for name in properties:
            breaches = list(CHECKS[name](self.evidence, trace))
            shown = msgspec.json.format(msgspec.json.encode(breaches)).decode()
            self.assertEqual(breaches, [], shown)

    def count_effects(self, marker):
        return sum(effect.marker == marker for effect in self.evidence.effects)
