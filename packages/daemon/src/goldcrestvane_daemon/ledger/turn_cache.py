"""In-memory cache of turns, which saves reads from the ledger and from its disks."""

from typing import final

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.ledger.messages import Turn

TURN_OVERHEAD_BYTES = 600
"""Memory of a cached turn besides its input and output: objects, ids, table entry."""


@final
class TurnCache:
    """LRU cache of turns with a limit on the total size in bytes.

    Attributes:
        size: Memory of the cached turns in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._turns: dict[CallId, Turn] = {}
        self.size = 0

    def get(self, call: CallId) -> Turn | None:
        """Returns a turn, or None if it is not cached."""
        turn = self._turns.pop(call, None)
        if turn is not None:
            self._turns[call] = turn
        return turn

    def get_chain(self, call: CallId | None) -> list[Turn]:
        """Returns a turn and the preceding turns, newest first, as far as cached."""
        chain = []
        while call is not None and (turn := self.get(call)) is not None:
            chain.append(turn)
            call = turn.previous
        return chain

    def put_all(self, turns: list[Turn]) -> None:
        """Adds turns and evicts the least recently used ones."""
        for turn in turns:
            if turn.call not in self._turns:
                self._turns[turn.call] = turn
                self.size += _get_size(turn)
        while self.size > self._limit and len(self._turns) > 1:
            self.discard(next(iter(self._turns)))

    def discard(self, call: CallId) -> None:
        """Removes a turn, if it is cached."""
        turn = self._turns.pop(call, None)
        if turn is not None:
            self.size -= _get_size(turn)


def get_text_size(turn: Turn) -> int:
    """Returns the size of a turn's input and output in bytes."""
    return len(turn.input) + len(turn.output)


def _get_size(turn: Turn) -> int:
    return get_text_size(turn) + TURN_OVERHEAD_BYTES
