"""Calls of one service that wait in this process for a target."""

import math
from collections import deque
from typing import final

import trio
from sortedcontainers import SortedKeyList

from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_daemon.frontend.admission import (
    RATE_WINDOW_SECONDS,
    STARTING_CLASSES,
    AdmissionClass,
    RetrySchedule,
    count_reserved_slots,
    estimate_queue_wait,
    get_max_wait,
    get_queue_key,
)
from goldcrestvane_daemon.frontend.refusals import NoTarget, Overloaded
from goldcrestvane_daemon.frontend.target_selection import (
    TargetCandidate,
    choose_target,
)
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.targets import ReportedLoad, Target, TargetTable

MAX_WAITING = 1000
"""Most calls that wait for one service; at 2 KB each two megabytes."""

NO_TARGET_RETRY_SECONDS = 0.3
"""Time until a service without targets is asked for again: a watch's delay."""

FIRST_RUN_SECONDS = 0.3
"""Run time assumed before a call has ended: a turn on an idle target."""

RUN_SMOOTHING = 0.1
PACE_SMOOTHING = 0.02
"""Weight of the latest pace in the service's mean, which follows some dozen calls."""

MIN_EVENT_SECONDS = 0.001
"""Time of an event below which events have arrived together and tell no pace."""

MAX_EVENT_SECONDS_RATIO = 1.5
"""Ratio to the mean beyond which a pace counts no more in it."""

SLOW_FACTOR = 1.6
"""Slowness against the usual one from which a target counts as more loaded than it is;
the load alone makes a factor of 1.5 between an idle and a full engine."""

MAX_WEIGHT = 4.0
"""Most that a call counts for; a slow target must be seen to recover."""

MIN_RETRY_SECONDS = 0.05
RECHECK_SECONDS = 0.02
"""Pause until targets that were full are tried again."""


@final
class Waiter:
    """One call that waits."""

    def __init__(
        self,
        order: float,
        key: str | None,
        excluded: frozenset[InstanceId],
        allowed: frozenset[InstanceId] | None,
        admission_class: AdmissionClass,
    ) -> None:
        self.order = order
        self.admission_class = admission_class
        self.key = key
        self.excluded = excluded
        self.allowed = allowed
        self.target: Target | None = None
        self.placed = trio.Event()


@final
class ServiceQueue:
    """Gives the targets of one service to the calls that wait for them."""

    def __init__(
        self,
        service: ServiceId,
        *,
        table: TargetTable,
        health: HealthTracker,
        domain: DomainId,
    ) -> None:
        self._service = service
        self._table = table
        self._health = health
        self._domain = domain
        self._waiting = SortedKeyList(key=lambda waiter: waiter.order)
        self._ended: deque[float] = deque(maxlen=256)
        self._run_seconds = FIRST_RUN_SECONDS
        self._event_seconds: float | None = None
        self._running = 0
        self._returns = RetrySchedule()

    @property
    def waiting_count(self) -> int:
        """Calls that wait now."""
        return len(self._waiting)

    def measure_rate(self) -> float:
        """Returns the calls a second that end, by the last ones and those that run."""
        now = trio.current_time()
        while self._ended and self._ended[0] < now - RATE_WINDOW_SECONDS:
            self._ended.popleft()
        expected = max(self._running, 1) / self._run_seconds
        return max(len(self._ended) / RATE_WINDOW_SECONDS, expected)

    async def acquire(
        self,
        *,
        key: str | None,
        priority: int,
        arrived: float,
        seconds_left: float,
        excluded: frozenset[InstanceId] = frozenset(),
        allowed: frozenset[InstanceId] | None = None,
        admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS,
        program_seconds_left: float = 0.0,
    ) -> Target:
        """Returns a target with room, which counts the call until `release`.

        Args:
            key: What the target should have seen before.
            priority: Rank of the call, 0 first.
            arrived: Time on trio's clock at which the call arrived.
            seconds_left: Time that the call has.
            excluded: Targets to use only if there is no other.
            allowed: The only targets to use, if not all.
            admission_class: How far the call's program has come.
            program_seconds_left: Time that the call's program has, in seconds.

        Raises:
            NoTarget: The service has no target.
            Overloaded: The wait would exceed the time left, or a new program's patience.
        """
        if not self._table.list_ready(self._service):
            raise NoTarget(
                f"No target of service {self._service} takes calls; come back later.",
                retry_after=NO_TARGET_RETRY_SECONDS,
            )
        wait = estimate_queue_wait(len(self._waiting), self.measure_rate())
        if wait > seconds_left or len(self._waiting) >= MAX_WAITING:
            raise Overloaded(
                f"{len(self._waiting)} calls wait for service {self._service}, "
                f"about {wait:.2f} s; {seconds_left:.2f} s are left.",
                retry_after=max(MIN_RETRY_SECONDS, wait - seconds_left),
            )
        waiter = Waiter(
            get_queue_key(arrived, priority, admission_class),
            key,
            excluded,
            allowed,
            admission_class,
        )
        self._waiting.add(waiter)
        try:
            if self._waiting[0] is waiter:
                self.dispatch_waiting(limit=1)
            await self._wait_placed(waiter, program_seconds_left)
        except BaseException:
            if waiter.target is not None:
                self.release(waiter.target)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        return waiter.target

    async def _wait_placed(self, waiter: Waiter, program_seconds_left: float) -> None:
        """Returns once a waiting call has a target.

        Raises:
            NoTarget: The last target has left.
            Overloaded: The service is full, and the call would begin a program.
        """
        give_up_at = math.inf
        if waiter.admission_class in STARTING_CLASSES:
            max_wait = get_max_wait(program_seconds_left)
            ahead = self._waiting.index(waiter) if waiter.target is None else 0
            if estimate_queue_wait(ahead, self.measure_rate()) > max_wait:
                max_wait = 0.0
            give_up_at = trio.current_time() + max_wait
        while waiter.target is None:
            if trio.current_time() >= give_up_at:
                raise Overloaded(
                    f"Programs under way need all targets of service {self._service}; "
                    "begin later.",
                    retry_after=self._returns.schedule_retry(trio.current_time()),
                )
            recheck_at = trio.current_time() + self._get_recheck_seconds(waiter)
            with trio.move_on_at(min(recheck_at, give_up_at)):
                await waiter.placed.wait()
            if waiter.target is None:
                self.dispatch_waiting()
                if not self._table.list_ready(self._service):
                    raise NoTarget(
                        f"The last target of service {self._service} has left.",
                        retry_after=NO_TARGET_RETRY_SECONDS,
                    )

    def _get_recheck_seconds(self, waiter: Waiter) -> float:
        """Returns when a waiting call looks again; later ones look less often."""
        return RECHECK_SECONDS * (1 + self._waiting.index(waiter))

    def release(self, target: Target, *, run_seconds: float | None = None) -> None:
        """Gives back the room of a call.

        Args:
            target: Where the call was.
            run_seconds: How long it ran; None if it did not run.
        """
        self._table.get_load(target).running -= 1
        self._running -= 1
        if run_seconds is not None:
            self._ended.append(trio.current_time())
            self._run_seconds += RUN_SMOOTHING * (run_seconds - self._run_seconds)
        self.dispatch_waiting(limit=1)

    def compute_slowness(self, event_seconds: float | None) -> float | None:
        """Returns a pace against the mean of the service, and learns from it."""
        if event_seconds is None or event_seconds < MIN_EVENT_SECONDS:
            return None
        if self._event_seconds is None:
            self._event_seconds = event_seconds
        ratio = event_seconds / self._event_seconds if self._event_seconds > 0 else 1.0
        # Slow targets must not pull the mean up to themselves.
        counted = min(event_seconds, MAX_EVENT_SECONDS_RATIO * self._event_seconds)
        self._event_seconds += PACE_SMOOTHING * (counted - self._event_seconds)
        return ratio

    def update_load(self, target: Target, load: ReportedLoad | None) -> None:
        """Takes in the load that a target stated."""
        if load is not None:
            self._table.get_load(target).update(load, now=trio.current_time())

    def dispatch_waiting(self, *, limit: int = MAX_WAITING) -> None:
        """Gives targets to waiting calls for as long as there is room.

        Args:
            limit: Calls for which room has become free.
        """
        position = 0
        full_for_beginnings = False
        while position < len(self._waiting) and limit > 0:
            waiter = self._waiting[position]
            is_beginning = waiter.admission_class in STARTING_CLASSES
            if is_beginning and full_for_beginnings:
                position += 1
                continue
            target = self._find_target(waiter)
            if target is not None:
                self._place(waiter, target)
                limit -= 1
            elif is_beginning or waiter.allowed is not None:
                # Others may use targets and slots that this call may not.
                full_for_beginnings = is_beginning
                position += 1
            else:
                return

    def _place(self, waiter: Waiter, target: Target) -> None:
        self._table.get_load(target).running += 1
        self._running += 1
        now = trio.current_time()
        if waiter.admission_class in STARTING_CLASSES:
            self._returns.record_admission(now)
        self._health.record_start(target.instance, now=now)
        waiter.target = target
        self._waiting.remove(waiter)
        waiter.placed.set()

    def _measure_slowness(self, targets: list[Target]) -> float:
        """Returns the usual slowness of the targets now: their lower median.

        Under load all targets slow down together, which is no fault of any of them.
        """
        values = sorted(self._health.get(each.instance).slowness for each in targets)
        return values[(len(values) - 1) // 2] if values else 1.0

    def _weigh(self, target: Target, usual: float) -> float:
        """Returns how much heavier each call weighs on a target slower than usual."""
        ratio = self._health.get(target.instance).slowness / usual
        return min(ratio, MAX_WEIGHT) if ratio >= SLOW_FACTOR else 1.0

    def _find_target(self, waiter: Waiter) -> Target | None:
        now = trio.current_time()
        ready = self._table.list_ready(self._service)
        if waiter.allowed is not None:
            ready = [each for each in ready if each.instance in waiter.allowed]
        usable = [
            target
            for target in ready
            if target.instance not in waiter.excluded
            and self._health.is_usable(target.instance, now=now)
        ]
        usual = self._measure_slowness(usable or ready)
        # With none left the exclusions are dropped, rather than the call.
        choices = [
            TargetCandidate(
                instance=target.instance,
                load=load.estimate(now) * self._weigh(target, usual),
                slots=target.slots,
                reserved_slots=count_reserved_slots(
                    target.slots, waiter.admission_class
                ),
                local=target.domain == self._domain,
            )
            for target in usable or ready
            if (load := self._table.get_load(target)).rejects_until <= now
        ]
        choice = choose_target(choices, waiter.key)
        return None if choice is None else self._table.get(choice.instance)
