"""Base class of tests that share one deployment per test class."""

import random
import signal
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
import trio
from bench.checker import CHECKS
from bench.checker.evidence_index import EvidenceIndex
from bench.checker.records import Evidence, ProgramKey
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

TEST_TIMEOUT_SECONDS = 120.0
SETTLE_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 20.0


class DeploymentTestCase(unittest.TestCase):
    """Test case whose tests run against the same deployment.

    A test passes an asynchronous scenario to `run_scenario`, which restores the
    deployment afterwards. The evidence contains only the calls of the current test.
    """

    plan = build_plan(call_timeout_seconds=CALL_TIMEOUT_SECONDS)

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

    def run_scenario(self, scenario):
        async def main():
            self.deployment.transport = Transport(peer_token=PEER_TOKEN)
            self.evidence = Evidence()
            self.recorder = Recorder(self.deployment, self.evidence)
            self.balancer = Balancer(self.deployment)
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                try:
                    await scenario()
                finally:
                    await self.restore_deployment()
            await self.deployment.transport.close()

        trio.run(main)

    async def restore_deployment(self):
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
        options.setdefault("call_timeout_seconds", CALL_TIMEOUT_SECONDS)
        program = program or f"p{time.time_ns()}"
        return ProgramCaller(
            self.deployment,
            self.evidence,
            ProgramKey(team, program),
            entries=self.balancer.build_rotation(random.Random(0)),
            **options,
        )

    async def begin(
        self,
        program=None,
        *,
        kind=FITTING,
        team=TEAMS[0],
        call_timeout_seconds=CALL_TIMEOUT_SECONDS,
        **options,
    ):
        caller = self.build_caller(
            program, team=team, call_timeout_seconds=call_timeout_seconds
        )
        options.setdefault("owner_history", True)
        self.assertTrue(await caller.begin(kind, **options))
        return caller

    async def read_view(self, caller):
        """Returns the state of the program from the first entry that knows it."""
        headers = {"goldcrestvane-team": caller.key.team}
        path = f"/v1/programs/{caller.key.program}"
        for name in self.list_names("entry-"):
            address = self.deployment.processes[name].address
            try:
                response = await self.deployment.transport.send(
                    "GET", address, path, headers=headers
                )
            except (ConnectFailed, ExchangeBroken):
                continue
            if response.status == 200:
                return response.decode(ProgramView)
        raise AssertionError(f"No entry knows program {caller.key}.")

    async def read_owner(self, caller):
        return (await self.read_view(caller)).owner

    async def find_busy_sidecar(self, service):
        """Waits until a target of a service runs a call and returns its sidecar."""
        found = []

        async def has_running_call():
            for name in self.list_names(f"sidecar-{service}-"):
                try:
                    response = await self.deployment.request(name, "GET", STATUS_PATH)
                except (ConnectFailed, ExchangeBroken):
                    continue
                if response.decode(ProcessStatus).load.running:
                    found.append(name)
                    return True
            return False

        await self.deployment.wait_until(
            has_running_call, f"a target of {service} runs a call"
        )
        return found[0]

    def suspend(self, name):
        self.deployment.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.deployment.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name):
        self.deployment.processes[name].kill()

    async def collect_records(self):
        """Adds the records of the targets to the evidence.

        The delay leaves time for calls that reach a target late.
        """
        await trio.sleep(SETTLE_SECONDS)
        for name in self.list_names("target-"):
            if self.deployment.processes[name].is_running:
                await self.recorder.collect_record(name)

    async def assert_no_violation(self, *properties):
        """Checks that the evidence of this test violates none of the properties."""
        await self.collect_records()
        index = EvidenceIndex(self.evidence)
        for name in properties:
            violations = list(CHECKS[name](self.evidence, index))
            report = msgspec.json.format(msgspec.json.encode(violations)).decode()
            self.assertEqual(violations, [], report)

    def count_effects(self, marker):
        return sum(effect.marker == marker for effect in self.evidence.effects)
