import unittest

from system import CLOSED_ADDRESS, run_system

from goldcrestvane_client.exit_codes import ExitCode
from goldcrestvane_common.messages import (
    Instance,
    Role,
)


class ProgramCommandTests(unittest.TestCase):
    def test_show_queries_the_next_entry_when_one_is_unreachable(self):
        async def check(system, nursery):
            await system.put_instance(
                Instance(
                    instance="a", role=Role.ENTRY, address=CLOSED_ADDRESS, domain="d"
                )
            )
            await system.start_process(nursery, "e1", Role.ENTRY)
            result = await system.call("program", "show", "alpha", "known")
            self.assertEqual(result.code, ExitCode.OK, result.stderr)
            self.assertRegex(result.stdout, r'owner +"s1"')
            unknown = await system.call("program", "show", "alpha", "other")
            self.assertEqual(unknown.code, ExitCode.NOT_FOUND)

        run_system(check)

    def test_show_without_a_live_entry_is_unavailable(self):
        async def check(system, nursery):
            await system.start_process(nursery, "s1", Role.SIDECAR)
            result = await system.call("program", "show", "alpha", "known")
            self.assertEqual(result.code, ExitCode.UNAVAILABLE)

        run_system(check)
