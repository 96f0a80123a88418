"""The history of a team's subtree: records in its document, older ones archived.

The document holds the latest records. Before older ones leave it, they are written to
``audit/{team}/{number of the first record}`` as an object that is only ever created,
so that a record is always in one place at least.
"""

from collections.abc import Iterable, Sequence
from typing import final

import msgspec

from goldcrestvane_common.ids import TeamId, Version
from goldcrestvane_common.objects import (
    ObjectClient,
    ObjectVersionConflict,
    StoredObject,
    WriteOutcomeUnknown,
)
from goldcrestvane_common.settings import MAX_AUDIT_RECORDS, AuditRecord

AUDIT_PREFIX = "audit/"
ARCHIVE_BATCH_SIZE = 25
"""Records that leave the document together; at most `MAX_AUDIT_RECORDS`."""
MAX_AUDIT_BYTES = 256 * 1024
"""Size of the document's records above which the older half is archived too."""


@final
class AuditArchiveMismatch(Exception):
    """An archive holds other records than the document; nothing was trimmed."""


class AuditTrail(msgspec.Struct, frozen=True):
    """Records of a document.

    Attributes:
        start: Number of earlier records.
        records: Records from that number on, oldest first.
    """

    start: int
    records: list[AuditRecord]


def build_archive_key(team: TeamId, start: int) -> str:
    """Returns the key of the archive that begins with a record number."""
    return f"{AUDIT_PREFIX}{team}/{start}"


async def archive_oldest_records(
    objects: ObjectClient, team: TeamId, trail: AuditTrail
) -> AuditTrail:
    """Makes room for one more record, and returns the records that stay.

    Raises:
        ObjectStoreUnavailable: The archive was not written; the document stays as it
            is.
        WriteOutcomeUnknown: The archive may have been written; trying again is safe.
        AuditArchiveMismatch: Another history is archived under the same number.
    """
    count = _count_leaving(trail.records)
    if not count:
        return trail
    key = build_archive_key(team, trail.start)
    leaving = trail.records[:count]
    try:
        await objects.write(key, leaving, expected_version=Version(0))
    except (ObjectVersionConflict, WriteOutcomeUnknown) as error:
        leaving = await _read_archive(objects, key, trail.records, cause=error)
    count = len(leaving)
    return AuditTrail(trail.start + count, trail.records[count:])


def _count_leaving(records: Sequence[AuditRecord]) -> int:
    if len(records) >= MAX_AUDIT_RECORDS:
        return ARCHIVE_BATCH_SIZE
    if len(msgspec.json.encode(records)) > MAX_AUDIT_BYTES:
        return (len(records) + 1) // 2
    return 0


async def _read_archive(
    objects: ObjectClient,
    key: str,
    records: Sequence[AuditRecord],
    *,
    cause: ObjectVersionConflict | WriteOutcomeUnknown,
) -> list[AuditRecord]:
    """Returns an archive that exists already, after a check against the document."""
    stored = await objects.read(key)
    if stored is None:
        raise cause
    archived = stored.decode(list[AuditRecord])
    if not archived or archived != list(records[: len(archived)]):
        raise AuditArchiveMismatch(
            f"Got other records in {key} than in the team's document, expected the "
            "same; compare both with the object API, then move the archive aside."
        ) from cause
    return archived


async def read_archived_records(
    objects: ObjectClient, team: TeamId, *, before: int
) -> list[AuditRecord]:
    """Returns the archived records with numbers below `before`, oldest first."""
    listed = await objects.list(f"{AUDIT_PREFIX}{team}/")
    return decode_archives(listed.objects, before=before)


def decode_archives(
    archives: Iterable[StoredObject], *, before: int
) -> list[AuditRecord]:
    """Returns the records of one team's archives with numbers below `before`.

    An archive that begins at `before` or later was written for a change that did not
    come to be; its records are in the document still.
    """
    starts = {int(stored.key.rpartition("/")[2]): stored for stored in archives}
    records: list[AuditRecord] = []
    for start in sorted(starts):
        if start < before:
            records.extend(starts[start].decode(list[AuditRecord]))
    return records
