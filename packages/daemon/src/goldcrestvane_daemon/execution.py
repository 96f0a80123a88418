"""A running call whose growing answer any number of readers can follow.

Both the owner and the target's sidecar hold running calls in this form, so that a
reader whose connection broke can resume the answer at its offset.
"""

from collections.abc import AsyncIterator
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import ServiceError
from goldcrestvane_common.ids import CallId, InstanceId
from goldcrestvane_common.messages import (
    StreamDelta,
    StreamEnd,
    StreamFailure,
    StreamFrame,
    StreamHead,
    TargetLoad,
    TokenUsage,
)

MAX_FRAME_CHARACTERS = 64 * 1024


@final
class Execution:
    """A call that is running or has ended.

    Attributes:
        request_hash: Hash of the request; a repeated call must have the same hash.
        started_at: Time of the start on trio's clock, in seconds.
        partially_delivered: Whether a reader has received a part of the answer.
        call: Id of the current attempt.
        target: Sidecar of the target that runs the call.
        answer: JSON of the complete answer; None until the call succeeds.
        usage: Tokens that the call used.
        finish_reason: ``stop``, or ``length`` if the answer was truncated.
        waited_seconds: Time that the call waited at its target's gate, if known.
        load: Load of the target when the call ended, this call included, if known.
        error: Error of a failed call; None otherwise.
        done: Set when the call has ended.
        scope: Cancels the task that runs the call.
    """

    def __init__(self, request_hash: str) -> None:
        self.request_hash = request_hash
        self.started_at = trio.current_time()
        self.partially_delivered = False
        self.call = CallId("")
        self.target = InstanceId("")
        self.answer: msgspec.Raw | None = None
        self.usage = TokenUsage()
        self.finish_reason = "stop"
        self.waited_seconds: float | None = None
        self.load: TargetLoad | None = None
        self.error: ServiceError | None = None
        self.done = trio.Event()
        self.scope = trio.CancelScope()
        self._parts: list[str] = []
        self._length = 0
        self._changed = trio.Event()

    @property
    def length(self) -> int:
        """Number of characters of the answer so far."""
        return self._length

    def get_text(self) -> str:
        """Returns the answer so far."""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def add_text(self, text: str) -> None:
        """Appends text to the answer and wakes the readers."""
        self._parts.append(text)
        self._length += len(text)
        self._notify()

    def discard_text(self) -> None:
        """Discards the answer so far, before another attempt starts from the beginning."""
        self._parts.clear()
        self._length = 0

    def finish(
        self, answer: msgspec.Raw, usage: TokenUsage, *, finish_reason: str = "stop"
    ) -> None:
        """Ends the call with its answer."""
        self.finish_reason = finish_reason
        self.answer = answer
        self.usage = usage
        self.done.set()
        self._notify()

    def fail(self, error: ServiceError) -> None:
        """Ends the call with an error."""
        self.error = error
        self.done.set()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self) -> None:
        """Waits for the end of the call.

        Raises:
            ServiceError: The call ended with an error.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error

    async def wait_for_first_text(self) -> None:
        """Waits until the answer has some text or the call has ended."""
        while not self._length and not self.done.is_set():
            await self._changed.wait()

    async def read_text(self, offset: int) -> AsyncIterator[StreamDelta]:
        """Yields the answer from an offset, as text arrives, until the call ends."""
        while True:
            if self._length > offset:
                self.partially_delivered = True
                text = self.get_text()[offset : offset + MAX_FRAME_CHARACTERS]
                yield StreamDelta(offset, text)
                offset += len(text)
                continue
            if self.done.is_set():
                return
            await self._changed.wait()

    async def read_frames(
        self, *, owner: InstanceId, offset: int
    ) -> AsyncIterator[StreamFrame]:
        """Yields the frames of a streamed answer from an offset."""
        await self.wait_for_first_text()
        if self.error is None:
            yield StreamHead(self.target, owner, self.call)
        async for delta in self.read_text(offset):
            yield delta
        if self.error is not None:
            yield StreamFailure(self.error.to_body())
            return
        yield StreamEnd(self.usage, self.finish_reason)
