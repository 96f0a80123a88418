"""Responses that stand-ins deliberately drop."""

from collections.abc import AsyncIterator
from typing import final

from goldcrestvane_common.routing import StreamResponse


@final
class ResponseDropped(Exception):
    """Closes the connection of a response that is deliberately incomplete."""


def close_without_response() -> StreamResponse:
    """Returns a response whose connection closes right after the headers."""
    return StreamResponse(chunks=_drop_response())


async def _drop_response() -> AsyncIterator[bytes]:
    yield b""
    raise ResponseDropped("The response is dropped on purpose.")
