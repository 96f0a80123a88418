"""Order of the events of a stream, by their ids."""

from typing import final


@final
class EventSequence:
    """Compares the id of each event with that of the event before it.

    Ids increase within a stream. They need not be consecutive.

    Attributes:
        last: Id of the last event in order; None before the first one.
        is_stated: Whether no target has sent an event yet, so that `last` is what the client
            states.
        gaps: Number of events in order whose id is not the next integer.
    """

    def __init__(self, last: int | None = None) -> None:
        """Creates a sequence.

        Args:
            last: Id of the last event that the client has; None if it has none.
        """
        self.last = last
        self.is_stated = True
        self.gaps = 0

    def advance(self, number: int) -> bool:
        """Moves on to an event; returns False, and stays, if it is out of order.

        Args:
            number: Id of the event.
        """
        if self.last is not None:
            if number <= self.last:
                return False
            self.gaps += number > self.last + 1
        self.last = number
        self.is_stated = False
        return True
