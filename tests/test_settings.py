import sys
import unittest
from pathlib import Path

import msgspec
import trio

from goldcrestvane_common.objects import ObjectClient, ObjectVersionConflict
from goldcrestvane_common.settings import (
    Budget,
    ProgramSettings,
    TeamDocument,
    build_settings_key,
)
from goldcrestvane_standins.plans import (
    TEAM,
    build_plan,
    build_team,
    run_with_deployment,
)

KEY = build_settings_key(TEAM)


def build_change(calls):
    settings = build_team()
    programs = {"review": ProgramSettings(budget=Budget(calls=calls))}
    return TeamDocument(msgspec.structs.replace(settings, programs=programs))


def list_daemons(deployment):
    return [
        name for name in deployment.processes if name.startswith(("entry-", "sidecar-"))
    ]


async def read_versions(deployment):
    versions = {}
    for name in list_daemons(deployment):
        response = await deployment.request(name, "GET", "/internal/status")
        status = response.decode(dict)
        versions[name] = status.get("settings_versions", {}).get(TEAM, 0)
    return versions


async def wait_for_version(deployment, version):
    async def is_in_force():
        versions = await read_versions(deployment)
        return all(active >= version for active in versions.values())

    await deployment.wait_until(is_in_force, f"version {version} is in force")


class SettingsTests(unittest.TestCase):
    def test_accepted_change_reaches_all_daemons_and_never_reverts(self):
        run_with_deployment(build_plan(), self.check_spread)

    async def check_spread(self, deployment):
        objects = ObjectClient(
            deployment.transport, deployment.processes["objectapi"].address
        )
        first = await objects.read(KEY)
        second = await objects.write(
            KEY, build_change(7), expected_version=first.version
        )
        await wait_for_version(deployment, second)
        with self.assertRaises(ObjectVersionConflict):
            await objects.write(KEY, build_change(8), expected_version=first.version)

        # An outage begins right after the next change. A push delivers the change to
        # one process.
        third = await objects.write(KEY, build_change(9), expected_version=second)
        pushed = await objects.read(KEY)
        await deployment.request(
            "objectapi", "PUT", "/control/faults", {"outage": True}
        )
        await deployment.request("entry-0", "POST", "/internal/control", [pushed])
        await wait_for_version(deployment, third)

        # A process that starts during the outage reads the version from its peers.
        # Neither a replay of an old version nor the end of the outage reverts it.
        deployment.processes["entry-1"].kill()
        await deployment.restart("entry-1")
        await wait_for_version(deployment, third)
        stale = msgspec.structs.replace(first, value=msgspec.Raw(bytes(first.value)))
        await deployment.request("entry-0", "POST", "/internal/control", [stale])
        await deployment.request("objectapi", "PUT", "/control/faults", {})
        versions = await read_versions(deployment)
        self.assertEqual(set(versions.values()), {third})

    def test_concurrent_operator_succeeds_or_gets_a_conflict(self):
        run_with_deployment(build_plan(models=1, entries=1), self.check_race)

    async def check_race(self, deployment):
        commands = [
            self.build_command(deployment, operator, calls)
            for operator, calls in (("ama", 11), ("kofi", 12))
        ]
        codes = {}

        async def run(name, command):
            result = await trio.run_process(
                command, check=False, capture_stdout=True, capture_stderr=True
            )
            codes[name] = (result.returncode, result.stderr.decode())

        async with trio.open_nursery() as nursery:
            for name, command in zip(("ama", "kofi"), commands, strict=True):
                nursery.start_soon(run, name, command)
        objects = ObjectClient(
            deployment.transport, deployment.processes["objectapi"].address
        )
        stored = await objects.read(KEY)
        document = stored.decode(TeamDocument)
        winners = [record.operator for record in document.audit]
        for name, (code, message) in codes.items():
            self.assertEqual(code, 0 if name in winners else 3, message)
        self.assertIn(len(winners), (1, 2))

    def build_command(self, deployment, operator, calls):
        program = str(Path(sys.executable).with_name("goldcrestvane"))
        return [
            program,
            f"--platform={deployment.processes['objectapi'].address}",
            f"--instances={deployment.processes['instances'].address}",
            f"--operator={operator}",
            "set",
            TEAM,
            "programs.review.budget.calls",
            str(calls),
        ]


if __name__ == "__main__":
    unittest.main()
