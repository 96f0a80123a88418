import unittest

from goldcrestvane_common.messages import (
    ShardMap,
)
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.paths import (
    SHARD_MAP_KEY,
)
from goldcrestvane_standins.plans import (
    MODEL,
    build_caller,
    build_plan,
    run_with_deployment,
)


async def read_owners(deployment):
    address = deployment.processes["objectapi"].address
    stored = await ObjectClient(deployment.transport, address).read(SHARD_MAP_KEY)
    return {entry.owner for entry in stored.decode(ShardMap).shards if entry}


class TakeoverTests(unittest.TestCase):
    def test_shards_of_a_killed_owner_get_a_new_owner(self):
        run_with_deployment(build_plan(models=3, tools=3), self.check_takeovers)

    async def check_takeovers(self, deployment):
        for number in range(3):
            name = sorted(await read_owners(deployment))[0]
            deployment.processes[name].kill()

            async def is_replaced(name=name):
                return name not in await read_owners(deployment)

            await deployment.wait_until(is_replaced, f"{name} owns no shard")
            caller = build_caller(deployment, f"review-{number}")
            await caller.begin("review")
            result = await caller.chat(MODEL, "explain the variance")
            self.assertIsNone(result.error)
            await deployment.restart(name)


if __name__ == "__main__":
    unittest.main()
