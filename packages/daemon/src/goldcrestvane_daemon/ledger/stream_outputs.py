"""Outputs of turns that still run, in the memory of a member.

A frontend that ends in the middle of a stream has the only copy of what it forwarded. The
client may take the stream up at another frontend, which needs that output to store the
whole turn. The copies need not last: a stream whose output is lost begins again.
"""

from typing import final

import msgspec
import trio

from goldcrestvane_common.ids import CallId

OUTPUT_SECONDS = 60.0
"""Time after its last change at which an output is dropped. Clients take up a stream for
several timeouts of its route."""

OUTPUT_OVERHEAD_BYTES = 400
MARK_BYTES = 100
"""Memory of an output besides its data, and of one of its marks."""


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """Place in an output at which an event ends.

    Attributes:
        event: Id of the event.
        end: Size in bytes of the output up to the end of the event.
    """

    event: int
    end: int


@final
class StreamOutput:
    """Output of one attempt, as far as this member has it.

    Attributes:
        data: The output.
        marks: Its marks, in order.
        changed_at: Time on trio's clock of the last change.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.marks: list[Mark] = []
        self.changed_at = 0.0

    @property
    def memory_bytes(self) -> int:
        """Memory of the output."""
        return OUTPUT_OVERHEAD_BYTES + len(self.data) + MARK_BYTES * len(self.marks)

    def cut(self, event: int) -> bytes | None:
        """Returns the output up to the end of an event; None if it is not known."""
        for mark in reversed(self.marks):
            if mark.event == event:
                return bytes(self.data[: mark.end])
        return None


@final
class StreamOutputs:
    """Outputs of the attempts that run.

    Only one frontend extends the output of an attempt, so all copies agree as far as they go.

    Attributes:
        size: Memory of all outputs in bytes.
    """

    def __init__(self, limit: int) -> None:
        """Creates an empty table.

        Args:
            limit: Maximum memory in bytes. The outputs that were not extended for the
                longest time yield.
        """
        self._limit = limit
        self._outputs: dict[CallId, StreamOutput] = {}
        self.size = 0

    def extend(self, call: CallId, start: int, data: bytes, marks: list[Mark]) -> int:
        """Adds a part of an output, unless a part before it is missing.

        Args:
            call: The attempt.
            start: Position of the part.
            data: The part.
            marks: Its marks.

        Returns:
            Size of the output that is known now.
        """
        self.drop_expired()
        output = self._outputs.pop(call, None)
        if output is None:
            output = StreamOutput()
        else:
            self.size -= output.memory_bytes
        self._outputs[call] = output
        if start == len(output.data):
            output.data += data
            output.marks += marks
        output.changed_at = trio.current_time()
        self.size += output.memory_bytes
        while self.size > self._limit:
            self.drop(next(iter(self._outputs)))
        return len(output.data) if call in self._outputs else 0

    def cut(self, call: CallId, event: int) -> bytes | None:
        """Returns the output of an attempt up to an event; None if it is not known."""
        output = self._outputs.get(call)
        return None if output is None else output.cut(event)

    def drop(self, call: CallId) -> None:
        """Drops the output of an attempt, if it is known."""
        output = self._outputs.pop(call, None)
        if output is not None:
            self.size -= output.memory_bytes

    def drop_expired(self) -> None:
        """Drops the outputs that were not extended for `OUTPUT_SECONDS`."""
        oldest = trio.current_time() - OUTPUT_SECONDS
        while self._outputs:
            call = next(iter(self._outputs))
            if self._outputs[call].changed_at >= oldest:
                return
            self.drop(call)
