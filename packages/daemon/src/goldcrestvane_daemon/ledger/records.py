"""Records of the ledger's log, and how a segment is scanned for them.

A record consists of a header, a small description and a body. The header has a checksum
of itself and the description, and one of the body. The body of a turn's record is the
turn; accounts and renewals have no body. So a scan reads headers and descriptions, and skips the
bodies.

Each record has the number of its batch. A batch is written only after the previous one
was synced. Therefore only the records of a segment's last batch can be torn. The scan
verifies their bodies and stops at the first that does not match; records from there on
were never acknowledged. Other bodies are verified when they are read.

Checksums are seeded with the segment's number, so that blocks that belonged to another
segment before are not taken for records.
"""

import os
import struct
from collections.abc import Iterator
from typing import Annotated

import msgspec
import xxhash

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.ledger.messages import Retention, TokenAccount, Turn

HEADER = struct.Struct(">QIIQQ")
"""Checksum of the rest of the header and of the description; sizes of the description
and of the body; number of the batch; checksum of the body."""

CHECKSUM_BYTES = 8
FORMAT_VERSION = 2
WINDOW_BYTES = 4096
"""Size of the reads of a scan. Larger windows would read the bodies, too."""

LogTime = Annotated[float, msgspec.Meta(ge=-1e13, le=1e13)]
"""Time of the log. A record with another value cannot be merged."""

logger = get_logger("log")


class TurnMeta(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Describes the record of a turn.

    Attributes:
        call: Id of the turn.
        previous: Preceding turn, if any.
        retention_seconds: Time for which the turn is kept after its last use.
        until: Time of the log at which the turn expires. A later turn of its chain may have
            moved it beyond the retention.
        written_at: Time of the log of the record; None in records of earlier versions.
    """

    call: CallId
    previous: CallId | None
    retention_seconds: Retention
    until: LogTime
    written_at: LogTime | None = None


def build_turn_meta(
    turn: Turn, until: float, *, written_at: float | None = None
) -> TurnMeta:
    """Returns the description of a turn that expires at a time of the log."""
    return TurnMeta(turn.call, turn.previous, turn.retention_seconds, until, written_at)


class AccountMeta(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Describes the record of token charges, and holds them.

    Attributes:
        account: The charges.
        until: Time of the log at which the account expires.
        written_at: Time of the log of the record; None in records of earlier versions.
    """

    account: TokenAccount
    until: LogTime
    written_at: LogTime | None = None


class RenewalMeta(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Describes a record that extends the retention of turns.

    Attributes:
        expiries: Times of the log at which the turns expire, by their ids.
        written_at: Time of the log of the record; None in records of earlier versions.
    """

    expiries: dict[CallId, LogTime]
    written_at: LogTime | None = None


Meta = TurnMeta | AccountMeta | RenewalMeta


class FoundRecord(msgspec.Struct, frozen=True):
    """Record that a scan found.

    Attributes:
        meta: Its description.
        offset: Its position in the segment.
        length: Its size in bytes.
        batch: Number of its batch.
    """

    meta: Meta
    offset: int
    length: int
    batch: int


class CorruptRecord(Exception):
    """A record on the disk does not match its checksum."""


_decode_meta = msgspec.msgpack.Decoder(Meta).decode
_decode_turn = msgspec.msgpack.Decoder(Turn).decode
encode_turn = msgspec.msgpack.Encoder().encode


def _get_seed(segment: int) -> int:
    return FORMAT_VERSION << 48 | segment


def encode_record(meta: Meta, body: bytes, *, segment: int, batch: int) -> bytes:
    """Returns the encoded record."""
    seed = _get_seed(segment)
    encoded = msgspec.msgpack.encode(meta)
    body_checksum = xxhash.xxh3_64_intdigest(body, seed)
    head = HEADER.pack(0, len(encoded), len(body), batch, body_checksum)
    checksum = xxhash.xxh3_64_intdigest(head[CHECKSUM_BYTES:] + encoded, seed)
    return b"".join(
        (checksum.to_bytes(CHECKSUM_BYTES, "big"), head[CHECKSUM_BYTES:], encoded, body)
    )


def decode_turn(data: bytes, *, segment: int) -> Turn:
    """Returns the turn of a record.

    Raises:
        CorruptRecord: The record does not match its checksum, or is no turn.
    """
    body = _get_body(data, segment)
    try:
        return _decode_turn(body)
    except msgspec.DecodeError as error:
        raise CorruptRecord(f"Got a record that is no turn: {error}.") from error


def _get_body(data: bytes, segment: int) -> memoryview:
    """Returns the body of an encoded record after it was verified."""
    if len(data) < HEADER.size:
        raise CorruptRecord(f"Got {len(data)} bytes, expected a record's header.")
    _, meta_size, size, _, checksum = HEADER.unpack_from(data)
    body = memoryview(data)[HEADER.size + meta_size :]
    seed = _get_seed(segment)
    if len(body) != size or xxhash.xxh3_64_intdigest(body, seed) != checksum:
        raise CorruptRecord("The body of a record does not match its checksum.")
    return body


def scan_segment(descriptor: int, *, segment: int) -> list[FoundRecord]:
    """Returns the records of a segment that may have been acknowledged.

    Raises:
        OSError: Reading failed.
    """
    found = list(_scan_headers(descriptor, segment))
    if not found:
        return found
    last_batch = found[-1].batch
    start = len(found)
    while start and found[start - 1].batch == last_batch:
        start -= 1
    for index in range(start, len(found)):
        record = found[index]
        try:
            _get_body(os.pread(descriptor, record.length, record.offset), segment)
        except CorruptRecord:
            return found[:index]
    return found


def _scan_headers(descriptor: int, segment: int) -> Iterator[FoundRecord]:
    """Yields records until the first whose header or description does not match.

    A record that matches but cannot be merged is skipped, so that it hides no later one.
    """
    file_size = os.fstat(descriptor).st_size
    seed = _get_seed(segment)
    window, window_start = b"", 0
    position = batch_before = 0
    while position + HEADER.size <= file_size:
        start = position - window_start
        if start + HEADER.size > len(window):
            window = os.pread(descriptor, WINDOW_BYTES, position)
            window_start, start = position, 0
            if len(window) < HEADER.size:
                return
        checksum, meta_size, body_size, batch, _ = HEADER.unpack_from(window, start)
        length = HEADER.size + meta_size + body_size
        if batch < batch_before or position + length > file_size:
            return
        end = start + HEADER.size + meta_size
        if end > len(window):
            window = os.pread(
                descriptor, max(WINDOW_BYTES, HEADER.size + meta_size), position
            )
            window_start, start = position, 0
            end = HEADER.size + meta_size
        described = window[start + CHECKSUM_BYTES : end]
        if xxhash.xxh3_64_intdigest(described, seed) != checksum:
            return
        try:
            meta = _decode_meta(window[start + HEADER.size : end])
        except msgspec.DecodeError as error:
            logger.warning(
                "skipped a record that cannot be merged",
                extra={"segment": segment, "offset": position, "reason": str(error)},
            )
        else:
            yield FoundRecord(meta, position, length, batch)
        batch_before = batch
        position += length
