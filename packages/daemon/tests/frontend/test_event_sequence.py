import unittest

from goldcrestvane_daemon.frontend.event_sequence import EventSequence


class EventSequenceTests(unittest.TestCase):
    def test_ids_that_increase_are_in_order_and_gaps_are_counted(self):
        for last, numbers, gaps in (
            (None, [0, 1, 2], 0),
            (None, [5, 6, 9], 1),
            (0, [1], 0),
            (2, [4, 5], 1),
        ):
            with self.subTest(last=last, numbers=numbers):
                sequence = EventSequence(last)
                self.assertTrue(all(map(sequence.advance, numbers)))
                self.assertEqual(sequence.gaps, gaps)

    def test_id_that_repeats_or_goes_back_is_out_of_order(self):
        for last, number in ((0, 0), (3, 3), (3, 2)):
            with self.subTest(last=last, number=number):
                sequence = EventSequence(last)
                self.assertFalse(sequence.advance(number))
                self.assertEqual(sequence.last, last)


if __name__ == "__main__":
    unittest.main()
