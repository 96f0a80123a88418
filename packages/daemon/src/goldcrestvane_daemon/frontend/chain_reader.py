"""Reads chains of turns from the cache and, page by page, from the ledger.

Load pattern that this module handles: many programs with long chains continue at once. The
size of a chain is known only once a member has told it. Memory is therefore reserved
before each page is asked for, and for the rest of the chain as soon as its size is known.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import final

from goldcrestvane_common.ids import CallId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend import metrics
from goldcrestvane_daemon.frontend.ledger_answers import find_missing_turn
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable, TurnNotFound
from goldcrestvane_daemon.frontend.memory_budget import MemoryReservation
from goldcrestvane_daemon.ledger.messages import Turn, TurnChain
from goldcrestvane_daemon.ledger.turn_cache import TurnCache, get_text_size
from goldcrestvane_daemon.ledger.turn_reader import (
    MAX_CHAIN_BYTES,
    MAX_INLINE_CHAIN_BYTES,
)

MAX_PAGE_ATTEMPTS = 3
"""Number of times that a page is asked for, each time with room for what a member has."""

logger = get_logger("ledger")

ReadPage = Callable[[CallId, int], Awaitable[TurnChain]]


def get_chain_size(chain: Sequence[Turn]) -> int:
    """Returns the size of the inputs and outputs of a chain in bytes."""
    return sum(map(get_text_size, chain))


@final
class ChainReader:
    """Completes chains of turns.

    Attributes:
        cache: Turns that were written or read lately.
    """

    def __init__(self, read_page: ReadPage, cache: TurnCache) -> None:
        """Creates a reader.

        Args:
            read_page: Returns a turn and turns before it that fit into a number of bytes.
                Raises LedgerUnavailable and TurnNotFound.
            cache: Cache of turns.
        """
        self._read_page = read_page
        self.cache = cache

    async def start(self, call: CallId | None, memory: MemoryReservation) -> list[Turn]:
        """Returns a turn and the turns before it, newest first, as far as cached.

        Also reserves memory for a chain that comes with the response to a write, if any of
        it is missing. Raises MemoryFull if there is no memory.
        """
        chain = self.cache.get_chain(call)
        is_whole = find_missing_turn(chain, call) is None
        size = get_chain_size(chain) + (0 if is_whole else MAX_INLINE_CHAIN_BYTES)
        # Turns that are evicted during the wait would stay in memory beyond the budget.
        chain.clear()
        await memory.resize(size)
        return self.cache.get_chain(call)

    async def complete(
        self, chain: list[Turn], call: CallId | None, memory: MemoryReservation
    ) -> None:
        """Adds the older turns to a chain from the cache and from the ledger.

        The chain may be larger than the cache.

        Args:
            chain: The newest turns of the chain, newest first.
            call: The newest turn of the whole chain.
            memory: Memory of the chain. It has the size of the chain afterwards.

        Raises:
            LedgerUnavailable: Too few members answered.
            MemoryFull: There is no memory for the chain.
            TurnNotFound: A turn of the chain does not exist.
        """
        while (wanted := find_missing_turn(chain, call)) is not None:
            held = get_chain_size(chain)
            await _ensure(memory, held + get_chain_size(self.cache.get_chain(wanted)))
            cached = self.cache.get_chain(wanted)
            if cached:
                chain += cached
                continue
            try:
                chain += await self._read(wanted, held, memory)
            except TurnNotFound:
                if chain:
                    metrics.BROKEN_CHAINS.inc()
                    logger.error(
                        "a turn of a kept chain does not exist",
                        extra={"call": call, "missing": wanted, "found": len(chain)},
                    )
                raise
        await memory.resize(get_chain_size(chain))

    async def _read(
        self, call: CallId, held: int, memory: MemoryReservation
    ) -> list[Turn]:
        """Returns a turn and turns before it, for which memory is reserved.

        Args:
            call: The turn.
            held: Size of the newer turns, which the memory contains already.
            memory: Memory of the whole chain.
        """
        if memory.size <= held:
            await _ensure(memory, held + MAX_CHAIN_BYTES)
        for _ in range(MAX_PAGE_ATTEMPTS):
            page = await self._read_page(call, memory.size - held)
            self.cache.put_all(page.turns)
            # Also reserves memory for the turns that the next pages will have.
            await _ensure(memory, held + page.chain_bytes)
            if page.turns:
                return page.turns
        raise LedgerUnavailable(
            f"No member sent turn {call} in {MAX_PAGE_ATTEMPTS} attempts."
        )

    async def read_turn(self, call: CallId) -> Turn:
        """Returns one turn, without a bound on its memory.

        Raises:
            LedgerUnavailable: Too few members answered.
            TurnNotFound: The turn does not exist.
        """
        turn = self.cache.get(call)
        room = MAX_CHAIN_BYTES
        for _ in range(MAX_PAGE_ATTEMPTS):
            if turn is not None:
                return turn
            page = await self._read_page(call, room)
            self.cache.put_all(page.turns)
            turn = page.turns[0] if page.turns else None
            room = page.chain_bytes
        raise LedgerUnavailable(
            f"No member sent turn {call} in {MAX_PAGE_ATTEMPTS} attempts."
        )


async def _ensure(memory: MemoryReservation, size: int) -> None:
    if memory.size < size:
        await memory.resize(size)
