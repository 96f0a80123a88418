import unittest

from goldcrestvane_standins.runs import Message, build_answer


class AnswerTests(unittest.TestCase):
    def test_answer_depends_only_on_the_messages(self):
        first = build_answer((Message("user", "one"),))
        self.assertEqual(first, build_answer((Message("user", "one"),)))
        self.assertNotEqual(first, build_answer((Message("user", "two"),)))
        self.assertTrue(12 <= len(first) <= 40)
