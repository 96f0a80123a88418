"""Exchanges observations of targets with other frontends through the ledger.

One member of the ledger aggregates the observations of a service. Rendezvous hashing of
the service over the slots of the view ranks the members; if the first one does not
answer, the next one is asked. Without an answer this frontend decides by its own
observations.
"""

from collections.abc import Iterable
from typing import Any, Protocol, final

import trio

from goldcrestvane_common.ids import ServiceId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.frontend.metrics import OBSERVATION_EXCHANGES, OBSERVATIONS
from goldcrestvane_daemon.ledger.frames import PeerUnreachable
from goldcrestvane_daemon.ledger.messages import (
    ExchangeObservations,
    Failed,
    ObservationsShared,
)
from goldcrestvane_daemon.ledger.observations import (
    MAX_AGE_SECONDS,
    MIN_INTERVAL_SECONDS,
    TargetObservation,
)
from goldcrestvane_daemon.ledger.view import Member, View
from goldcrestvane_daemon.tasks import Task, run_supervised

ANSWER_TIMEOUT_SECONDS = 0.15
"""Time for which a member is asked. An answer takes a round trip between domains."""

BACKOFF_SECONDS = 1.0
"""Time for which a member that did not answer is not asked."""

ASKED_MEMBERS = 2
"""Number of members that may be asked about a service. Each further one would have the
observations of fewer frontends."""

ACTIVE_SECONDS = 10.0
"""Time after the last report with a slowdown at which the exchange about a service
ends."""

logger = get_logger("observations")


class ObservedTargets(Protocol):
    """What this frontend knows of targets."""

    def collect(self, service: ServiceId) -> list[TargetObservation]:
        """Returns what this frontend itself observed of a service's targets."""

    def adopt(self, service: ServiceId, observations: list[TargetObservation]) -> None:
        """Takes in what other frontends observed."""


class MemberCaller(Protocol):
    """Calls members of the ledger."""

    view: View | None

    async def call(self, address: str, request: Any) -> Any:
        """Returns the answer of a member; raises PeerUnreachable."""


def select_new(
    observations: Iterable[TargetObservation], *, seconds: float
) -> list[TargetObservation]:
    """Returns the observations that were made within the last seconds."""
    limit = min(seconds, MAX_AGE_SECONDS)
    return [each for each in observations if each.age < limit]


@final
class _Session:
    """State of the exchange with one member about one service.

    Attributes:
        start: Start of the member that answered last; 0 if none did.
        sequence: Number of the newest observation that the member returned.
        sent_at: Time of the last message that it answered.
    """

    def __init__(self) -> None:
        self.start = 0
        self.sequence = 0
        self.sent_at = float("-inf")

    def record_answer(self, answer: ObservationsShared, *, sent_at: float) -> None:
        """Records an answer. A member that has restarted gets everything again."""
        is_restarted = self.start not in (0, answer.start)
        self.sent_at = float("-inf") if is_restarted else sent_at
        self.start = answer.start
        self.sequence = answer.sequence


@final
class ObservationExchange:
    """Exchanges observations about the services whose targets report a slowdown."""

    def __init__(
        self,
        ledger: MemberCaller,
        targets: ObservedTargets,
        *,
        frontend: str,
        nursery: trio.Nursery,
    ) -> None:
        """Creates the exchange.

        Args:
            ledger: Calls members of the ledger.
            targets: What this frontend knows of targets.
            frontend: Address of this frontend.
            nursery: Runs a task for each service while its targets report slowdowns.
        """
        self._ledger = ledger
        self._targets = targets
        self._frontend = frontend
        self._nursery = nursery
        self._reported_at: dict[ServiceId, float] = {}
        self._sessions: dict[tuple[ServiceId, str], _Session] = {}
        self._backoff_until: dict[str, float] = {}

    def record_slowdown(self, service: ServiceId) -> None:
        """Records that a target of a service has reported a slowdown."""
        is_new = service not in self._reported_at
        self._reported_at[service] = trio.current_time()
        if is_new:
            self._nursery.start_soon(
                run_supervised, Task.OBSERVATIONS, self._run, service
            )

    async def _run(self, service: ServiceId) -> None:
        """Exchanges observations about a service while its targets report slowdowns."""
        logger.info("sharing observations", extra={"service": service})
        try:
            while True:
                started_at = trio.current_time()
                if started_at - self._reported_at[service] > ACTIVE_SECONDS:
                    break
                interval = await self._exchange(service)
                await trio.sleep_until(started_at + interval)
        finally:
            # The next report of a slowdown starts the exchange again.
            del self._reported_at[service]
            for key in [key for key in self._sessions if key[0] == service]:
                del self._sessions[key]
        logger.info("sharing no observations", extra={"service": service})

    async def _exchange(self, service: ServiceId) -> float:
        """Sends one message; returns the seconds until the next one."""
        for member in self._list_members(service):
            answer = await self._ask(service, member)
            if answer is None:
                continue
            OBSERVATION_EXCHANGES.labels("answered").inc()
            OBSERVATIONS.labels("received").inc(len(answer.observations))
            if answer.observations:
                self._targets.adopt(service, answer.observations)
            return max(MIN_INTERVAL_SECONDS, answer.interval_seconds)
        OBSERVATION_EXCHANGES.labels("unavailable").inc()
        return MIN_INTERVAL_SECONDS

    def _list_members(self, service: ServiceId) -> list[Member]:
        """Returns the members that may be asked about a service, the first one first."""
        view = self._ledger.view
        if view is None:
            return []
        now = trio.current_time()
        return [
            member
            for member in view.rank_permit_issuers(service)[:ASKED_MEMBERS]
            if self._backoff_until.get(member.address, 0.0) <= now
        ]

    async def _ask(
        self, service: ServiceId, member: Member
    ) -> ObservationsShared | None:
        """Sends the new observations to a member; returns None without an answer."""
        now = trio.current_time()
        session = self._sessions.setdefault((service, member.address), _Session())
        new = select_new(self._targets.collect(service), seconds=now - session.sent_at)
        request = ExchangeObservations(
            service, new, self._frontend, session.start, session.sequence
        )
        answer: Any = Failed("no answer in time")
        try:
            # A late answer is no reason to close the connection.
            with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                answer = await self._ledger.call(member.address, request)
        except PeerUnreachable as error:
            answer = Failed(str(error))
        if isinstance(answer, ObservationsShared):
            session.record_answer(answer, sent_at=now)
            OBSERVATIONS.labels("sent").inc(len(new))
            return answer
        self._backoff_until[member.address] = now + BACKOFF_SECONDS
        logger.info(
            "a member shares no observations",
            extra={"member": member.instance, "answer": str(answer)},
        )
        return None
