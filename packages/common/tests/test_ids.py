import unittest

from goldcrestvane_common.ids import hash_text, locate_shard


class HashTests(unittest.TestCase):
    def test_hash_is_xxh3_of_the_utf8_text(self):
        self.assertEqual(hash_text(""), 0x2D06800538D394C2)

    def test_sub_agents_share_the_shard_of_their_root(self):
        shard = locate_shard("team", "p-ü", shard_count=64)
        self.assertEqual(locate_shard("team", "p-ü/1/2", shard_count=64), shard)
