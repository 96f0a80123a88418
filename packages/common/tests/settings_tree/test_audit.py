import unittest

import trio
from fakes import FakeObjects

from goldcrestvane_common.objects import ObjectStoreUnavailable
from goldcrestvane_common.settings import MAX_AUDIT_RECORDS, AuditRecord
from goldcrestvane_common.settings_tree.audit import (
    ARCHIVE_BATCH_SIZE,
    MAX_AUDIT_BYTES,
    AuditArchiveMismatch,
    AuditTrail,
    archive_oldest_records,
    build_archive_key,
    read_archived_records,
)


def build_records(count, *, first=0, changes=()):
    return [
        AuditRecord(
            time=1.0,
            operator="ada",
            action="apply",
            token=str(first + number),
            changes=list(changes),
        )
        for number in range(count)
    ]


class AuditTests(unittest.TestCase):
    def setUp(self):
        self.objects = FakeObjects()

    def archive(self, trail):
        return trio.run(archive_oldest_records, self.objects, "alpha", trail)

    def test_trail_below_the_limits_is_not_archived(self):
        trail = AuditTrail(0, build_records(MAX_AUDIT_RECORDS - 1))
        self.assertEqual(self.archive(trail), trail)
        self.assertEqual(self.objects.objects, {})

    def test_full_trail_is_archived_before_it_is_trimmed(self):
        records = build_records(MAX_AUDIT_RECORDS)
        trail = self.archive(AuditTrail(100, records))
        self.assertEqual(trail.start, 100 + ARCHIVE_BATCH_SIZE)
        self.assertEqual(trail.records, records[ARCHIVE_BATCH_SIZE:])
        stored = self.objects.objects[build_archive_key("alpha", 100)]
        self.assertEqual(stored.decode(list[AuditRecord]), records[:ARCHIVE_BATCH_SIZE])

    def test_large_records_are_archived_below_the_count_limit(self):
        records = build_records(3, changes=["x" * (MAX_AUDIT_BYTES // 2)])
        trail = self.archive(AuditTrail(0, records))
        self.assertEqual(trail.start, 2)

    def test_archive_of_a_failed_change_is_reused(self):
        records = build_records(MAX_AUDIT_RECORDS)
        self.objects.put(build_archive_key("alpha", 0), records[:10])
        self.assertEqual(
            self.archive(AuditTrail(0, records)), AuditTrail(10, records[10:])
        )

    def test_lost_response_is_resolved_by_reading_back(self):
        self.objects.lose_answers = 1
        trail = self.archive(AuditTrail(0, build_records(MAX_AUDIT_RECORDS)))
        self.assertEqual(trail.start, ARCHIVE_BATCH_SIZE)

    def test_archive_with_different_records_is_never_overwritten(self):
        self.objects.put(build_archive_key("alpha", 0), build_records(5, first=900))
        with self.assertRaises(AuditArchiveMismatch):
            self.archive(AuditTrail(0, build_records(MAX_AUDIT_RECORDS)))

    def test_outage_trims_nothing(self):
        self.objects.outage = True
        with self.assertRaises(ObjectStoreUnavailable):
            self.archive(AuditTrail(0, build_records(MAX_AUDIT_RECORDS)))

    def test_archives_are_read_in_numeric_order(self):
        for start in (0, 9, 10, 11):
            key = build_archive_key("alpha", start)
            self.objects.put(key, build_records(1, first=start))
        self.objects.put(build_archive_key("alphabet", 0), build_records(1, first=77))
        found = trio.run(
            lambda: read_archived_records(self.objects, "alpha", before=11)
        )
        self.assertEqual([record.token for record in found], ["0", "9", "10"])
