import unittest

from goldcrestvane_common.messages import (
    Instance,
    Role,
)
from goldcrestvane_daemon.owner.ranking import (
    HEIR_COUNT,
    HEIR_PROBE_SECONDS,
    HeirRing,
    find_first_owner,
    rank_owners,
)


def build_sidecars(count, domains=3):
    return [
        Instance(f"s{number}", Role.SIDECAR, f"h:{number}", f"d{number % domains}")
        for number in range(count)
    ]


class HeirsTest(unittest.TestCase):
    def test_first_heirs_stand_in_other_domains_than_the_owner_and_each_other(self):
        sidecars = build_sidecars(30)
        ring = HeirRing(sidecars)
        for owner in sidecars:
            heirs = ring.find_heirs(owner.instance)
            domains = {owner.domain, *(heir.domain for heir in heirs)}
            self.assertEqual(len(domains), HEIR_COUNT + 1)

    def test_each_sidecar_is_heir_of_few_owners(self):
        sidecars = build_sidecars(60)
        ring = HeirRing(sidecars)
        counts = {item.instance: 0 for item in sidecars}
        for owner in sidecars:
            for heir in ring.find_heirs(owner.instance):
                counts[heir.instance] += 1
        self.assertEqual(sum(counts.values()), 60 * HEIR_COUNT)
        self.assertLessEqual(max(counts.values()), 4 * HEIR_COUNT)

    def test_the_loss_of_the_first_heir_makes_the_second_one_first(self):
        sidecars = build_sidecars(12, domains=12)
        first, second = HeirRing(sidecars).find_heirs("s3")
        left = [item for item in sidecars if item != first]
        self.assertEqual(HeirRing(left).find_heirs("s3")[0], second)

    def test_an_owner_that_left_the_list_has_heirs(self):
        heirs = HeirRing(build_sidecars(5)).find_heirs("gone")
        self.assertEqual(len({item.domain for item in heirs}), HEIR_COUNT)

    def test_one_domain_or_few_instances_still_give_heirs(self):
        alike = build_sidecars(5, domains=1)
        self.assertEqual(len(HeirRing(alike).find_heirs("s0")), HEIR_COUNT)
        self.assertNotIn(alike[0], HeirRing(alike).find_heirs("s0"))
        self.assertEqual(HeirRing(alike[:2]).find_heirs("s0"), [alike[1]])
        self.assertEqual(HeirRing([]).find_heirs("s0"), [])

    def test_the_first_owner_is_the_first_of_the_ranking(self):
        sidecars = build_sidecars(20)
        for shard in range(20):
            ranked = rank_owners(shard, sidecars)
            self.assertEqual(find_first_owner(shard, sidecars), ranked[0])

    def test_the_first_heir_probes_most_often(self):
        self.assertEqual(list(HEIR_PROBE_SECONDS), sorted(HEIR_PROBE_SECONDS))


if __name__ == "__main__":
    unittest.main()
