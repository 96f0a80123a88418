import unittest

from goldcrestvane_daemon.frontend.affinity import Affinity, build_affinity


class AffinityTests(unittest.TestCase):
    def build(self, **changes):
        values = {"chain_root": None, "chain_target": None, "program": "p1"}
        return build_affinity(**{**values, "resource": "o", **changes})

    def test_programs_that_continue_one_chain_prefer_the_same_targets(self):
        built = {
            self.build(chain_root="c0", chain_target="t1", program=program)
            for program in ("p1", "p2")
        }
        self.assertEqual(built, {Affinity(key="c0", target="t1")})

    def test_call_without_a_stored_chain_has_the_key_of_its_program(self):
        self.assertEqual(self.build(), Affinity(key="p1"))

    def test_call_without_a_program_has_the_key_of_its_resource(self):
        for resource in ("o", None):
            affinity = self.build(program=None, resource=resource)
            self.assertEqual(affinity, Affinity(key=resource))


if __name__ == "__main__":
    unittest.main()
