import unittest

from prometheus_client import REGISTRY

from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_daemon.platform.store_responses import (
    UNKNOWN_VERSION,
    StoreObject,
    decode_events,
    decode_page,
)

KIND = "servers"
SOUND = (
    b'{"metadata":{"name":"i-1","revision":4},"specification":{"a":"]"},"status":{}}'
)
SOUND_OBJECT = StoreObject("i-1", 4, b'{"a":"]"}', b"{}")
DEEP = b"[" * 5000 + b"]" * 5000
ODD = StoreObject("odd", 5)
METADATA = b'"metadata":{"name":"odd","revision":5}'

NAMED = {
    "half a surrogate pair": rb'{%b,"specification":{"a":"\ud800"}}' % METADATA,
    "an unknown escape": rb'{%b,"specification":"\q"}' % METADATA,
    "a control character": b'{%b,"specification":"\x01"}' % METADATA,
    "a value that is none": b'{%b,"specification":NaN}' % METADATA,
    "a bad string beside a deep value": (
        rb'{%b,"specification":{"a":"\ud800","b":%b}}' % (METADATA, DEEP)
    ),
    "a bad status": rb'{%b,"specification":{},"status":"\ud800"}' % METADATA,
    "a bad finalizer": (
        rb'{"metadata":{"finalizers":["\ud800"],"name":"odd","revision":5}}'
    ),
}
UNVERSIONED = {
    "a revision of another type": b'{"metadata":{"name":"odd","revision":"5"}}',
    "no number as revision": b'{"metadata":{"name":"odd","revision":null}}',
}
NAMELESS = {
    "null": b"null",
    "a number": b"5",
    "no metadata": b'{"specification":{}}',
    "no object as metadata": b'{"metadata":[]}',
    "a name of another type": b'{"metadata":{"name":5,"revision":5}}',
    "a bad name": rb'{"metadata":{"name":"\ud800","revision":5}}',
}


class OddObjectTests(unittest.TestCase):
    """Guards against one object of another writer that hides all the others."""

    def count_unreadable(self):
        name = "goldcrestvane_unreadable_objects_total"
        return REGISTRY.get_sample_value(name, {"kind": KIND}) or 0

    def check(self, body_format, decode):
        expected = (
            (NAMED, [ODD]),
            (UNVERSIONED, [StoreObject("odd", UNKNOWN_VERSION)]),
            (NAMELESS, []),
        )
        for texts, odd in expected:
            for reason, text in texts.items():
                with self.subTest(reason):
                    before = self.count_unreadable()
                    self.assertEqual(
                        decode(KIND, body_format % (SOUND, text, SOUND)),
                        ([SOUND_OBJECT, *odd, SOUND_OBJECT], 7),
                    )
                    self.assertEqual(self.count_unreadable(), before + 1)

    def test_odd_object_hides_no_other_object_of_a_list(self):
        def decode(kind, body):
            page = decode_page(kind, body)
            self.assertTrue(page.has_more)
            return page.objects, page.revision

        self.check(b'{"items":[%b,%b,%b],"at":7,"has_more":true}', decode)

    def test_odd_object_hides_no_other_object_of_a_watch(self):
        self.check(
            b'{"events":[{"object":%b},{"object":%b},{"object":%b}],"at":7}',
            decode_events,
        )

    def test_odd_event_names_its_object_as_far_as_that_can_be_read(self):
        for event, expected in (
            (b'{"object":%b,"deleted":"yes"}' % SOUND, [StoreObject("i-1", 4)]),
            (
                b'{"object":%b,"deleted":true}' % NAMED["half a surrogate pair"],
                [StoreObject("odd", 5, deleted=True)],
            ),
            (b"null", []),
            (b'{"deleted":true}', []),
        ):
            with self.subTest(event):
                body = b'{"events":[%b,{"object":%b}],"at":7}' % (event, SOUND)
                self.assertEqual(
                    decode_events(KIND, body), ([*expected, SOUND_OBJECT], 7)
                )

    def test_deep_value_is_dropped_from_an_object_that_is_otherwise_sound(self):
        body = b'{"items":[{%b,"specification":{"a":1,"b":%b}}],"at":7}'
        (found,) = decode_page(KIND, body % (METADATA, DEEP)).objects
        self.assertEqual((found.name, found.version), ("odd", 5))
        self.assertTrue(found.value.startswith(b'{"a":1,"b":['))

    def test_response_that_is_malformed_beside_its_objects_is_rejected(self):
        for body in (
            b"",
            b"[]",
            b'{"items":[null]}',
            b'{"items":[null],"at":"7"}',
            b'{"items":null,"at":7}',
            b'{"items":[null],"at":7,"has_more":5}',
            b'{"items":[%b],"at":7' % SOUND,
        ):
            with self.subTest(body), self.assertRaises(ObjectStoreUnavailable):
                decode_page(KIND, body)
        with self.assertRaises(ObjectStoreUnavailable):
            decode_events(KIND, b'{"events":[null]}')


if __name__ == "__main__":
    unittest.main()
