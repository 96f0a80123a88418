import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestvane_common.json_parts import (
    JsonStructureError,
    decode_or,
    split_array,
    split_object,
)

FUZZ = settings(derandomize=True, deadline=None, database=None)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(min_size=1), inner),
    max_leaves=12,
)
UNDECODABLE = (
    rb'"\ud800"',
    b'"\xff"',
    rb'"\q"',
    b'"\x01"',
    b"NaN",
    b"01",
    b"[" * 5000 + b"]" * 5000,
    rb'{"a":["]","\"}",tru]}',
)


class JsonPartsTests(unittest.TestCase):
    @FUZZ
    @given(st.lists(VALUES))
    def test_elements_of_an_array_are_those_that_were_encoded(self, values):
        parts = split_array(msgspec.json.encode(values))
        self.assertEqual([msgspec.json.decode(part) for part in parts], values)

    @FUZZ
    @given(st.dictionaries(st.text(min_size=1), VALUES))
    def test_members_of_an_object_are_those_that_were_encoded(self, values):
        parts = split_object(msgspec.json.format(msgspec.json.encode(values), indent=2))
        decoded = {key: msgspec.json.decode(part) for key, part in parts.items()}
        self.assertEqual(decoded, values)

    def test_value_that_cannot_be_decoded_is_a_part_like_any_other(self):
        for value in UNDECODABLE:
            with self.subTest(value=value[:20]):
                text = b'[{"a": %b , "b":[1,{}]},2]' % value
                first, second = split_array(text)
                self.assertEqual(second, b"2")
                self.assertEqual(split_object(first), {"a": value, "b": b"[1,{}]"})

    def test_key_that_cannot_be_decoded_is_left_out(self):
        self.assertEqual(split_object(rb'{"\ud800":1,"b":2}'), {"b": b"2"})

    def test_text_whose_structure_is_broken_is_rejected(self):
        for text in (b"", b"1", b"[", b"[1", b'["]', b"[}", b"[1]]", b"[1] 2", b"{1]"):
            with self.subTest(text), self.assertRaises(JsonStructureError):
                split_array(text)
        for text in (b"[]", b'{"a"}', b'{"a":1:2}', b'{"a":1,2}', b'{"a":1,"b"}'):
            with self.subTest(text), self.assertRaises(JsonStructureError):
                split_object(text)

    def test_default_stands_for_a_part_that_is_missing_or_of_another_type(self):
        for text in (None, b'"5"', rb'"\ud800"', b"[" * 5000):
            with self.subTest(text=text and text[:10]):
                self.assertEqual(decode_or(text, int, 7), 7)
        self.assertEqual(decode_or(b"5", int, 7), 5)
