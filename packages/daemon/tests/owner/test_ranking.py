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


class RankingTests(unittest.TestCase):
    def test_owner_and_its_successors_are_in_different_domains(self):
        sidecars = build_sidecars(30)
        ring = SuccessorRing(sidecars)
        for owner in sidecars:
            successors = ring.find_successors(owner.instance)
            domains = {owner.domain, *(successor.domain for successor in successors)}
            self.assertEqual(len(domains), SUCCESSOR_COUNT + 1)

    def test_each_sidecar_is_successor_of_few_owners(self):
        sidecars = build_sidecars(60)
        ring = SuccessorRing(sidecars)
        counts = {item.instance: 0 for item in sidecars}
        for owner in sidecars:
            for successor in ring.find_successors(owner.instance):
                counts[successor.instance] += 1
        self.assertEqual(sum(counts.values()), 60 * SUCCESSOR_COUNT)
        self.assertLessEqual(max(counts.values()), 4 * SUCCESSOR_COUNT)

    def test_second_successor_becomes_first_if_the_first_is_lost(self):
        sidecars = build_sidecars(12, domains=12)
        first, second = SuccessorRing(sidecars).find_successors("s3")
        remaining = [item for item in sidecars if item != first]
        self.assertEqual(SuccessorRing(remaining).find_successors("s3")[0], second)

    def test_unlisted_owner_has_successors(self):
        successors = SuccessorRing(build_sidecars(5)).find_successors("gone")
        self.assertEqual(len({item.domain for item in successors}), SUCCESSOR_COUNT)

    def test_successors_are_found_with_one_domain_or_few_instances(self):
        same_domain = build_sidecars(5, domains=1)
        self.assertEqual(
            len(SuccessorRing(same_domain).find_successors("s0")), SUCCESSOR_COUNT
        )
        self.assertNotIn(
            same_domain[0], SuccessorRing(same_domain).find_successors("s0")
        )
        self.assertEqual(
            SuccessorRing(same_domain[:2]).find_successors("s0"), [same_domain[1]]
        )
        self.assertEqual(SuccessorRing([]).find_successors("s0"), [])

    def test_preferred_owner_is_the_first_of_the_ranking(self):
        sidecars = build_sidecars(20)
        for shard in range(20):
            ranked = rank_owners(shard, sidecars)
            self.assertEqual(find_preferred_owner(shard, sidecars), ranked[0])

    def test_first_successor_probes_most_often(self):
        self.assertEqual(list(SUCCESSOR_PROBE_SECONDS), sorted(SUCCESSOR_PROBE_SECONDS))


if __name__ == "__main__":
    unittest.main()
