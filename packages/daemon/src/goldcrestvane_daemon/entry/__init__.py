"""The entry: receives callers' requests and forwards them to the owners of shards."""

from goldcrestvane_daemon.entry._directories import OwnerDirectory, TeamDirectory
from goldcrestvane_daemon.entry._limits import EntryLimits
from goldcrestvane_daemon.entry._service import EntryService
from goldcrestvane_daemon.entry._trace import TraceOptions

__all__ = [
    "EntryLimits",
    "EntryService",
    "OwnerDirectory",
    "TeamDirectory",
    "TraceOptions",
]
