import unittest

from goldcrestvane_common.messages import Instance, Role
from goldcrestvane_daemon.owner.ranking import (
    HEIR_COUNT,
    HEIR_PROBE_SECONDS,
    rank_heirs,
)


def build_sidecars(count, domains=3):
    return [
        Instance(f"s{number}", Role.SIDECAR, f"h:{number}", f"d{number % domains}")
        for number in range(count)
    ]


class HeirsTest(unittest.TestCase):
    def test_first_heirs_stand_in_other_domains_than_the_owner_and_each_other(self):
        sidecars = build_sidecars(30)
        for owner in sidecars:
            heirs = rank_heirs(owner.instance, sidecars)[:HEIR_COUNT]
            domains = {owner.domain, *(heir.domain for heir in heirs)}
            self.assertEqual(len(domains), HEIR_COUNT + 1)

    def test_each_sidecar_is_heir_of_few_owners(self):
        sidecars = build_sidecars(60)
        counts = {item.instance: 0 for item in sidecars}
        for owner in sidecars:
            for heir in rank_heirs(owner.instance, sidecars)[:HEIR_COUNT]:
                counts[heir.instance] += 1
        self.assertEqual(sum(counts.values()), 60 * HEIR_COUNT)
        self.assertLessEqual(max(counts.values()), 4 * HEIR_COUNT)

    def test_the_loss_of_the_first_heir_leaves_the_others_in_order(self):
        sidecars = build_sidecars(12, domains=12)
        ranked = rank_heirs("s3", sidecars)
        left = [item for item in sidecars if item != ranked[0]]
        self.assertEqual(rank_heirs("s3", left), ranked[1:])

    def test_the_first_heir_probes_most_often(self):
        self.assertEqual(list(HEIR_PROBE_SECONDS), sorted(HEIR_PROBE_SECONDS))


if __name__ == "__main__":
    unittest.main()
