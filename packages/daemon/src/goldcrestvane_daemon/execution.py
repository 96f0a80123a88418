"""One running call: its answer as it grows, and any number of readers.

The owner and the sidecar beside the target both keep running calls in this form, so
that a reader whose connection broke takes the answer up at its offset.
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
    """A call under way or ended.

    Attributes:
        request_hash: Hash of the request; a repeated call must have the same.
        started_at: Value of trio's clock at the start, in seconds.
        partially_delivered: Whether a reader has been given a part of the answer.
        call: Id of the attempt under way.
        target: Instance beside the target that runs it.
        answer: JSON of the whole answer, once ended well.
        usage: Tokens taken.
        finish_reason: Why the answer ended: ``stop``, or ``length`` when it was cut.
        waited_seconds: Time that the call waited at its target's gate, if known.
        load: Load of its target when the call ended, itself included, if known.
        error: Why there is no answer.
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
        """Characters of the answer so far."""
        return self._length

    def get_text(self) -> str:
        """Returns the answer so far."""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def add_text(self, text: str) -> None:
        """Adds the next characters of the answer."""
        self._parts.append(text)
        self._length += len(text)
        self._notify()

    def discard_text(self) -> None:
        """Forgets the answer so far, before another attempt runs from the start."""
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

    async def wait_first_text(self) -> None:
        """Waits until the answer has begun or the call has ended."""
        while not self._length and not self.done.is_set():
            await self._changed.wait()

    async def read_text(self, offset: int) -> AsyncIterator[StreamDelta]:
        """Yields the answer from an offset on, as it grows, until the call ends."""
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
        """Yields the frames of a streamed answer from an offset on."""
        await self.wait_first_text()
        if self.error is None:
            yield StreamHead(self.target, owner, self.call)
        async for delta in self.read_text(offset):
            yield delta
        if self.error is not None:
            yield StreamFailure(self.error.to_body())
            return
        yield StreamEnd(self.usage, self.finish_reason)
