import unittest

from goldcrestvane_daemon.frontend.affinity import choose_affinity_key


class AffinityKeyTests(unittest.TestCase):
    def test_programs_that_continue_one_chain_have_its_key(self):
        keys = {
            choose_affinity_key(chain_root="c0", program=program, resource="o")
            for program in ("p1", "p2")
        }
        self.assertEqual(keys, {"c0"})

    def test_call_without_a_stored_chain_has_the_key_of_its_program(self):
        key = choose_affinity_key(chain_root=None, program="p1", resource="o")
        self.assertEqual(key, "p1")

    def test_call_without_a_program_has_the_key_of_its_resource(self):
        for resource in ("o", None):
            key = choose_affinity_key(chain_root=None, program=None, resource=resource)
            self.assertEqual(key, resource)


if __name__ == "__main__":
    unittest.main()
