import unittest

from goldcrestvane_daemon.platform.deep_values import MAX_DEPTH, drop_deep_values


def nest(inner, depth):
    return b"[" * depth + inner + b"]" * depth


class DeepValueTests(unittest.TestCase):
    def test_only_deep_values_are_dropped(self):
        body = nest(b'{"a":[1]},2', MAX_DEPTH - 1)
        self.assertEqual(drop_deep_values(body), nest(b'{"a":null},2', MAX_DEPTH - 1))
        self.assertEqual(drop_deep_values(nest(b"1", MAX_DEPTH)), nest(b"1", MAX_DEPTH))

    def test_brackets_in_strings_do_not_count(self):
        text = b'"' + b"[" * 100 + rb"\"[\\" + b'"'
        self.assertEqual(drop_deep_values(b"[%b,1]" % text), b"[%b,1]" % text)
        deep = nest(nest(text + b',"]"', 2), MAX_DEPTH)
        self.assertEqual(drop_deep_values(deep), nest(b"null", MAX_DEPTH))


if __name__ == "__main__":
    unittest.main()
