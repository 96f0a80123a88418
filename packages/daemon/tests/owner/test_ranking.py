import unittest

from goldcrestvane_common.messages import (
    Instance,
    Role,
)
from goldcrestvane_daemon.owner.ranking import (
    SUCCESSOR_COUNT,
    SUCCESSOR_PROBE_SECONDS,
    SuccessorRing,
    find_preferred_owner,
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
        ring = SuccessorRing(sidecars)
        for owner in sidecars:
            successors = ring.find_successors(owner.instance)
            domains = {owner.domain, *(successor.domain for successor in successors)}
            self.assertEqual(len(domains), SUCCESSOR_COUNT + 1)

    def test_each_sidecar_is_heir_of_few_owners(self):
        sidecars = build_sidecars(60)
        ring = SuccessorRing(sidecars)
        counts = {item.instance: 0 for item in sidecars}
        for owner in sidecars:
            for successor in ring.find_successors(owner.instance):
                counts[successor.instance] += 1
        self.assertEqual(sum(counts.values()), 60 * SUCCESSOR_COUNT)
        self.assertLessEqual(max(counts.values()), 4 * SUCCESSOR_COUNT)

    def test_the_loss_of_the_first_heir_makes_the_second_one_first(self):
        sidecars = build_sidecars(12, domains=12)
        first, second = SuccessorRing(sidecars).find_successors("s3")
        left = [item for item in sidecars if item != first]
        self.assertEqual(SuccessorRing(left).find_successors("s3")[0], second)

    def test_an_owner_that_left_the_list_has_heirs(self):
        successors = SuccessorRing(build_sidecars(5)).find_successors("gone")
        self.assertEqual(len({item.domain for item in successors}), SUCCESSOR_COUNT)

    def test_one_domain_or_few_instances_still_give_heirs(self):
        alike = build_sidecars(5, domains=1)
        self.assertEqual(
            len(SuccessorRing(alike).find_successors("s0")), SUCCESSOR_COUNT
        )
        self.assertNotIn(alike[0], SuccessorRing(alike).find_successors("s0"))
        self.assertEqual(SuccessorRing(alike[:2]).find_successors("s0"), [alike[1]])
        self.assertEqual(SuccessorRing([]).find_successors("s0"), [])

    def test_the_first_owner_is_the_first_of_the_ranking(self):
        sidecars = build_sidecars(20)
        for shard in range(20):
            ranked = rank_owners(shard, sidecars)
            self.assertEqual(find_preferred_owner(shard, sidecars), ranked[0])

    def test_the_first_heir_probes_most_often(self):
        self.assertEqual(list(SUCCESSOR_PROBE_SECONDS), sorted(SUCCESSOR_PROBE_SECONDS))


if __name__ == "__main__":
    unittest.main()
