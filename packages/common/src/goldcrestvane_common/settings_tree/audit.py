"""Audit trail of a team's settings, with the older records moved to archives.

The team's document holds the latest records. Before older records are removed from it,
they are written to the object ``audit/{team}/{number of the first record}``. Archives
are created and never changed, so every record is always in the document or an archive.
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
"""Number of records archived together; must not exceed `MAX_AUDIT_RECORDS`."""
MAX_AUDIT_BYTES = 256 * 1024
"""Encoded size of a document's records above which the older half is archived."""


@final
class AuditArchiveMismatch(Exception):
    """An archive contradicts the document; the document was not trimmed."""


class AuditTrail(msgspec.Struct, frozen=True):
    """The part of a team's audit trail that its document holds.

    Attributes:
        start: Number of earlier records, which are archived.
        records: Records that follow the archived ones, oldest first.
    """

    start: int
    records: list[AuditRecord]


def build_archive_key(team: TeamId, start: int) -> str:
    """Returns the key of the archive whose first record has the number `start`."""
    return f"{AUDIT_PREFIX}{team}/{start}"


async def archive_oldest_records(
    objects: ObjectClient, team: TeamId, trail: AuditTrail
) -> AuditTrail:
    """Archives the oldest records if the document has no room for one more.

    Returns:
        The records that stay in the document.

    Raises:
        ObjectStoreUnavailable: The archive was not written.
        WriteOutcomeUnknown: The archive may have been written; a retry is safe.
        AuditArchiveMismatch: The archive already exists with different records.
    """
    count = _count_records_to_archive(trail.records)
    if not count:
        return trail
    key = build_archive_key(team, trail.start)
    oldest = trail.records[:count]
    try:
        await objects.write(key, oldest, expected_version=Version(0))
    except (ObjectVersionConflict, WriteOutcomeUnknown) as error:
        oldest = await _read_archive(objects, key, trail.records, cause=error)
    count = len(oldest)
    return AuditTrail(trail.start + count, trail.records[count:])


def _count_records_to_archive(records: Sequence[AuditRecord]) -> int:
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
    """Reads an existing archive and compares it with the document.

    Raises:
        ObjectVersionConflict: The archive does not exist; this is `cause`.
        WriteOutcomeUnknown: The archive does not exist; this is `cause`.
        AuditArchiveMismatch: The archive does not match the document.
    """
    stored = await objects.read(key)
    if stored is None:
        raise cause
    archived = stored.decode(list[AuditRecord])
    if not archived or archived != list(records[: len(archived)]):
        raise AuditArchiveMismatch(
            f"Archive {key} does not match the records in the team's document; "
            "compare both with the object API, then move the archive to another key."
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
    """Returns the records with numbers below `before` from one team's archives.

    An archive that begins at `before` or later was written for a change that failed
    afterwards, so the document still holds its records.
    """
    archives_by_start = {
        int(stored.key.rpartition("/")[2]): stored for stored in archives
    }
    records: list[AuditRecord] = []
    for start in sorted(archives_by_start):
        if start < before:
            records.extend(archives_by_start[start].decode(list[AuditRecord]))
    return records
