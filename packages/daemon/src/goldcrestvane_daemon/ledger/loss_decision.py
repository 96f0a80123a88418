"""Decides whether a member of the ledger is lost, from what the others say of it."""

from typing import Any, final

from goldcrestvane_common.ids import InstanceId
from goldcrestvane_daemon.ledger.messages import MemberState


@final
class LossPoll:
    """Answers of the members that were asked whether they reach a suspected one.

    A single process that fails to reach a member proves nothing: its own links may be cut.
    Members that are lost at the same time cannot answer, so a missing answer is no
    objection while no more members than tolerated are missing.
    """

    def __init__(
        self, suspect: InstanceId, *, asked: int, tolerated_losses: int
    ) -> None:
        """Creates a poll without answers.

        Args:
            suspect: The member that may be lost.
            asked: Number of other members, all of which are asked.
            tolerated_losses: Number of members that may be lost at the same time.
        """
        self._suspect = suspect
        self._asked = asked
        self._tolerated_losses = tolerated_losses
        self._answered = 0
        self._agreeing = 0

    def record(self, answer: Any) -> None:
        """Records the answer of one member; other answers than its state do not count."""
        if not isinstance(answer, MemberState):
            return
        self._answered += 1
        self._agreeing += self._suspect in answer.unreachable

    @property
    def is_lost(self) -> bool:
        """Whether the suspect is lost.

        That is so if more than half of the members that were asked cannot reach it, or
        if all that answered cannot, and the others with it are no more than tolerated.
        """
        if 2 * self._agreeing > self._asked:
            return True
        missing = self._asked - self._answered + 1
        is_unanimous = 0 < self._agreeing == self._answered
        return is_unanimous and missing <= self._tolerated_losses
