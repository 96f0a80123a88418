"""In-memory cache of turns, which saves reads from the ledger."""

from typing import final

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.ledger.messages import Turn


@final
class TurnCache:
    """LRU cache of turns with a limit on the total size in bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._turns: dict[CallId, Turn] = {}
        self._bytes = 0

    def get_chain(self, call: CallId | None) -> list[Turn]:
        """Returns a turn and the preceding turns, newest first, as far as cached."""
        chain = []
        while call is not None and (turn := self._turns.pop(call, None)) is not None:
            self._turns[call] = turn
            chain.append(turn)
            call = turn.previous
        return chain

    def put_all(self, turns: list[Turn]) -> None:
        """Adds turns and evicts the least recently used ones."""
        for turn in turns:
            if turn.call not in self._turns:
                self._turns[turn.call] = turn
                self._bytes += len(turn.input) + len(turn.output)
        while self._bytes > self._limit and len(self._turns) > 1:
            oldest = self._turns.pop(next(iter(self._turns)))
            self._bytes -= len(oldest.input) + len(oldest.output)
