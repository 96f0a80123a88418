"""Shares of a machine's memory and disk that the storage of entries may use."""

import math
from enum import Enum
from typing import Self

import msgspec

MEGABYTE = 1_000_000

BASE_MEMORY_BYTES = 45 * MEGABYTE
"""Memory of a ledger process without entries: 33 MB resident after the imports, and
buffers of connections."""

MIN_USABLE_MEMORY_BYTES = 16 * MEGABYTE
DEFAULT_MEMORY_MB = 256
"""Assumed if the limit is unknown, so that the cache and the index stay bounded."""

CACHE_SHARE = 0.2
INDEX_SHARE = 0.42
UNSENT_SHARE = 0.1
PENDING_SHARE = 0.06
OUTPUT_SHARE = 0.04
"""Shares of the memory besides the base. An entry that waits for the disk exists up to
four times: as a received frame, decoded, encoded, and in its batch."""

TURN_DISK_SHARE = 0.85
"""Share of the disk from which turns are refused. The rest is for token charges, for
the rewriting of segments, and for what the file system itself needs."""

EARLY_SHARE = 0.95
"""Share of each limit from which new turns are not begun, so that running ones can still
be stored: 5 % of 20,000 turns are 1,000, twice as many as 7 members' engines run."""

SMALL_FILES_BYTES = 100_000
"""Space for the disk's id and the recorded views."""

MAX_WAITING_APPENDS = 2000
"""Limit on the writes that wait for the disk, about two seconds of writes at 1,000 per
second. Each holds the task of its request, about 10 KB. Frontends give up a request
after 0.5 s."""


class FullReason(Enum):
    """Why entries are refused."""

    MEMORY = "memory"
    DISK = "disk"
    QUEUE = "queue"
    FAILED = "failed"


REFUSAL_TEXTS = {
    FullReason.MEMORY: "the memory for the index of turns is used up",
    FullReason.DISK: "the disk has no room for further turns",
    FullReason.QUEUE: "too many writes wait for the disk",
    FullReason.FAILED: "writing to the disk failed",
}


class StorageLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what the storage of entries uses.

    Attributes:
        cache_bytes: Memory for cached turns.
        index_bytes: Memory for the index and the token accounts. Turns are refused
            from there on.
        pending_bytes: Size of the entries that wait for the disk. Turns are refused
            from there on.
        unsent_bytes: Size of the responses that wait for slow readers. Chains are
            refused from there on.
        output_bytes: Memory for outputs of turns that run. The oldest yield.
        disk_bytes: Size of the segments from which turns are refused.
    """

    cache_bytes: int
    index_bytes: int
    pending_bytes: int
    unsent_bytes: int = 0
    output_bytes: int = 0
    disk_bytes: float = math.inf

    @classmethod
    def build(cls, *, memory_mb: float, disk_mb: float) -> Self:
        """Returns the limits for a machine; 0 means that a size is unknown."""
        memory = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE
        usable = max(memory - BASE_MEMORY_BYTES, MIN_USABLE_MEMORY_BYTES)
        disk = disk_mb * MEGABYTE * TURN_DISK_SHARE - SMALL_FILES_BYTES
        return cls(
            cache_bytes=int(usable * CACHE_SHARE),
            index_bytes=int(usable * INDEX_SHARE),
            pending_bytes=int(usable * PENDING_SHARE),
            unsent_bytes=int(usable * UNSENT_SHARE),
            output_bytes=int(usable * OUTPUT_SHARE),
            disk_bytes=disk if disk_mb else math.inf,
        )


DEFAULT_LIMITS = StorageLimits.build(memory_mb=0, disk_mb=0)
