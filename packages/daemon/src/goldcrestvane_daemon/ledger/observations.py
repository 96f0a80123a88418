"""Aggregates what frontends observe of the targets of a service.

Load pattern: targets share their machines with other workloads, which slow each of them
down for moments. Each of many frontends gets few responses of a target, so that what it
has observed itself is old when it chooses a target. One member of the ledger keeps the
newest observation of each target and returns to each frontend what others observed.

Nothing here is written to the disk. A member that restarts has no observations; it gets
those of the last two seconds with the next message of each frontend.
"""

import math
from typing import final

import msgspec

from goldcrestvane_common.ids import InstanceId, ServiceId

MAX_AGE_SECONDS = 2.0
"""Age at which an observation is dropped. Targets slow down for moments."""

MIN_INTERVAL_SECONDS = 0.2
"""Interval at which a frontend exchanges observations: below the run time of a call."""

MAX_EXCHANGES_PER_SECOND = 300.0
"""Messages about one service from all frontends together. Above 60 frontends, each of
them sends less often."""

MAX_RETURNED = 64
"""Maximum number of observations in an answer, 4.5 KB. 300 answers per second then take
11 Mbit/s of the member's link; without a bound, 212 targets took 35 Mbit/s."""

FRONTEND_TTL_SECONDS = 10.0
"""Time after its last message at which a frontend is counted no more: three times the
interval of 850 frontends."""


class TargetObservation(msgspec.Struct, frozen=True, array_like=True):
    """What a frontend has observed of one start of a target.

    Attributes:
        target: Id of the target.
        born_ms: Start of the target, as in its entry.
        running: Running calls that it reported.
        waiting: Waiting calls that it reported.
        slots: Number of calls that it runs concurrently.
        slowdown: Factor by which it reported that work takes longer than usual; None if
            it reports none.
        age: Seconds since the report.
    """

    target: InstanceId
    born_ms: int
    running: int
    waiting: int
    slots: int
    slowdown: float | None
    age: float


class _Record(msgspec.Struct):
    """The newest observation of one start of a target.

    Attributes:
        sequence: Number of its last change.
        observation: The observation.
        observed_at: Time of the report on the member's clock.
        observer: Address of the frontend that got the report.
    """

    sequence: int
    observation: TargetObservation
    observed_at: float
    observer: str

    def build(self, now: float) -> TargetObservation:
        """Returns the observation with its present age."""
        return msgspec.structs.replace(self.observation, age=now - self.observed_at)


class ObservationPage(msgspec.Struct, frozen=True):
    """What a frontend gets.

    Attributes:
        observations: What others observed since the frontend's last message.
        sequence: Number of the newest observation.
        interval_seconds: Time after which the frontend should send again.
    """

    observations: list[TargetObservation]
    sequence: int
    interval_seconds: float


@final
class ServiceObservations:
    """The newest observations of the targets of one service.

    Attributes:
        updated_at: Time of the last message.
    """

    def __init__(self) -> None:
        # Ordered by sequence number, that is, by the last change.
        self._records: dict[tuple[InstanceId, int], _Record] = {}
        self._frontends: dict[str, float] = {}
        self._sequence = 0
        self.updated_at = float("-inf")

    def __len__(self) -> int:
        return len(self._records)

    def merge(
        self, observations: list[TargetObservation], *, frontend: str, now: float
    ) -> None:
        """Takes in what a frontend has observed. The newest observation counts.

        Args:
            observations: The observations.
            frontend: Address of the frontend.
            now: Time in seconds on the member's clock.
        """
        self.updated_at = now
        self._frontends.pop(frontend, None)
        self._frontends[frontend] = now
        for observation in observations:
            if observation.age <= MAX_AGE_SECONDS:
                self._merge_one(observation, frontend, now)

    def _merge_one(
        self, observation: TargetObservation, frontend: str, now: float
    ) -> None:
        key = (observation.target, observation.born_ms)
        observed_at = now - max(0.0, observation.age)
        record = self._records.get(key)
        if record is not None and observed_at <= record.observed_at:
            return
        self._sequence += 1
        self._records.pop(key, None)
        self._records[key] = _Record(
            sequence=self._sequence,
            observation=observation,
            observed_at=observed_at,
            observer=frontend,
        )

    def read(self, *, frontend: str, since: int, now: float) -> ObservationPage:
        """Returns what others than a frontend observed.

        If that is more than an answer may have, it has an even selection of the targets.
        The newest ones alone would leave out slow targets, which are called less often.

        Args:
            frontend: Address of the frontend.
            since: Number of the newest observation that it has; 0 returns all.
            now: Time in seconds on the member's clock.
        """
        self._drop_expired(now)
        found: list[_Record] = []
        for record in reversed(self._records.values()):
            if record.sequence <= since:
                break
            if (
                record.observer != frontend
                and now - record.observed_at <= MAX_AGE_SECONDS
            ):
                found.append(record)
        step = math.ceil(len(found) / MAX_RETURNED) or 1
        chosen = found[self._sequence % step :: step]
        interval = max(
            MIN_INTERVAL_SECONDS, len(self._frontends) / MAX_EXCHANGES_PER_SECOND
        )
        observations = [record.build(now) for record in chosen]
        return ObservationPage(observations, self._sequence, interval)

    def _drop_expired(self, now: float) -> None:
        """Drops the records and frontends at the front that are too old."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if now - record.observed_at <= MAX_AGE_SECONDS:
                break
            del self._records[key]
        while self._frontends:
            frontend, seen = next(iter(self._frontends.items()))
            if now - seen <= FRONTEND_TTL_SECONDS:
                break
            del self._frontends[frontend]


@final
class ObservationAggregator:
    """The observations of all services for which frontends ask this member.

    Attributes:
        start: Id of this start of the member. A frontend that names another one gets
            all observations, since the sequence numbers begin again.
    """

    def __init__(self, start: int) -> None:
        self.start = start
        self._services: dict[ServiceId, ServiceObservations] = {}

    def exchange(
        self,
        service: ServiceId,
        observations: list[TargetObservation],
        *,
        frontend: str,
        start: int,
        since: int,
        now: float,
    ) -> ObservationPage:
        """Takes in a frontend's observations and returns those of the others.

        Args:
            service: The service.
            observations: What the frontend has observed itself.
            frontend: Address of the frontend.
            start: Start of the member to which `since` belongs.
            since: Number of the newest observation that the frontend has.
            now: Time in seconds on the member's clock.
        """
        self._drop_unused(now)
        kept = self._services.setdefault(service, ServiceObservations())
        kept.merge(observations, frontend=frontend, now=now)
        known = since if start == self.start else 0
        return kept.read(frontend=frontend, since=known, now=now)

    def _drop_unused(self, now: float) -> None:
        for service, kept in list(self._services.items()):
            if now - kept.updated_at > FRONTEND_TTL_SECONDS:
                del self._services[service]
