"""The stored turns that precede a call, which are in memory only while it needs them."""

from collections.abc import Sequence
from typing import final

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.frontend.memory_budget import MemoryReservation
from goldcrestvane_daemon.ledger.messages import Turn
from goldcrestvane_daemon.ledger.turn_cache import get_text_size

RECORD_OVERHEAD_BYTES = 600
"""Size of a turn's record beside its input and output: a header and the ids, twice."""


@final
class CallChain:
    """Chain of one call.

    A call holds its turns from the moment at which it has a target until that target has
    answered. A call that waits for a target holds only their ids.

    Attributes:
        calls: Ids of the turns, newest first.
        size: Size of their records in bytes at most, by which members measure what they
            send.
        memory: Memory of the turns.
        turns: The turns, newest first; None if there are some and they are not in memory.
    """

    def __init__(self, turns: Sequence[Turn], memory: MemoryReservation) -> None:
        """Creates a chain whose turns are in memory.

        Args:
            turns: The turns, newest first.
            memory: Memory that was reserved for them.
        """
        self.calls: list[CallId] = [turn.call for turn in turns]
        self.size = sum(get_text_size(turn) + RECORD_OVERHEAD_BYTES for turn in turns)
        self.memory = memory
        self.turns: Sequence[Turn] | None = turns

    def drop(self) -> None:
        """Releases the turns and their memory."""
        if self.calls:
            self.turns = None
        self.memory.release()

    def list_parts(self) -> list[bytes]:
        """Returns the text of the turns, oldest first. They must be in memory."""
        assert self.turns is not None
        return [
            part for turn in reversed(self.turns) for part in (turn.input, turn.output)
        ]
