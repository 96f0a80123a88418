"""Answers that go wrong on purpose, for all stand-ins."""

from collections.abc import AsyncIterator
from typing import final

from goldcrestvane_common.routing import StreamResponse


@final
class AnswerLost(Exception):
    """Ends a connection on purpose, without an answer."""


def close_without_answer() -> StreamResponse:
    """Returns a response that closes the connection after its head."""
    return StreamResponse(chunks=_lose_answer())


async def _lose_answer() -> AsyncIterator[bytes]:
    yield b""
    raise AnswerLost("The answer is lost on purpose.")
