"""Queue of the calls of one service that wait in this process for a target."""

import math
import random
from collections.abc import Callable
from typing import final

import trio
from sortedcontainers import SortedKeyList

from goldcrestvane_common.ids import (
    AccountId,
    DomainId,
    InstanceId,
    ServiceId,
    StreamOrigin,
    hash_text,
)
from goldcrestvane_daemon.accounts.fairness import AccountCalls
from goldcrestvane_daemon.frontend.admission import (
    STARTING_CLASSES,
    AdmissionClass,
    RetrySchedule,
    estimate_queue_wait,
    get_max_permit_wait,
    get_max_wait,
    get_queue_key,
)
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.dispatch_window import DispatchWindow
from goldcrestvane_daemon.frontend.queue_refusals import (
    build_no_target,
    build_program_refusal,
    build_queue_full,
    build_rate_limited,
)
from goldcrestvane_daemon.frontend.rate_limits import TargetRateLimits
from goldcrestvane_daemon.frontend.service_rates import CompletionRate, EventAverage
from goldcrestvane_daemon.frontend.target_selection import (
    build_candidates,
    choose_target,
)
from goldcrestvane_daemon.frontend.waiter import Waiter
from goldcrestvane_daemon.placement.health import HealthTracker
from goldcrestvane_daemon.placement.prompt_reading import PromptReading, PromptRequest
from goldcrestvane_daemon.targets import ReportedLoad, Target, TargetTable

MAX_WAITING_CALLS = 1000
"""Maximum number of calls that wait for one service: 2 MB at 2 KB for each call."""

MAX_ASKED_PERMITS = 3
"""Number of targets that are asked in turn if all of them limit their rates."""

RECHECK_SECONDS = 0.02
"""Interval at which waiting calls check again for free targets."""


@final
class ServiceQueue:
    """Assigns the targets of one service to the calls that wait for them."""

    def __init__(
        self,
        service: ServiceId,
        *,
        table: TargetTable,
        health: HealthTracker,
        rate_limits: TargetRateLimits,
        domain: DomainId,
    ) -> None:
        self._service = service
        self._rate_limits = rate_limits
        self._table = table
        self._health = health
        self._domain = domain
        self._waiting = SortedKeyList(key=lambda waiter: waiter.queue_key)
        self._accounts = AccountCalls()
        self._window = DispatchWindow()
        self._waiting_without_account = 0
        self._completions = CompletionRate()
        self._event_average = EventAverage()
        self._retry_schedule = RetrySchedule()
        self.prompt_reading = PromptReading()
        self._rng = random.Random(hash_text(f"{domain} {service}"))

    @property
    def waiting_count(self) -> int:
        """Number of calls that are waiting."""
        return len(self._waiting)

    def measure_rate(self) -> float:
        """Returns the number of calls that end per second."""
        return self._completions.measure(trio.current_time())

    async def acquire(
        self,
        *,
        affinity: Affinity,
        priority: int,
        arrived: float,
        seconds_left: float,
        excluded: frozenset[InstanceId] = frozenset(),
        allowed: frozenset[InstanceId] | None = None,
        origin: StreamOrigin | None = None,
        admission_class: AdmissionClass = AdmissionClass.IN_PROGRESS,
        program_seconds_left: float = 0.0,
        account: AccountId | None = None,
        prompt: PromptRequest | None = None,
        on_wait: Callable[[], None] = lambda: None,
    ) -> Target:
        """Waits for a target with a free slot and reserves the slot until `release`.

        Args:
            affinity: Targets that the call prefers.
            priority: Priority of the call; 0 is the most urgent.
            arrived: Time on trio's clock at which the call arrived.
            seconds_left: Seconds until the call's deadline.
            excluded: Targets to use only if no other target is usable.
            allowed: The only targets that may be used; None allows all targets.
            origin: Origin of the stream that the call continues; None if it begins.
            admission_class: Admission class of the call.
            program_seconds_left: Seconds until the deadline of the call's program.
            account: Account that sent the call, if any. Accounts share the capacity.
            prompt: Prompt of the call, if known.
            on_wait: Called if no target is free at once.

        Raises:
            NoTarget: The service has no target that the call may use.
            Overloaded: The wait would exceed the time left or the maximum wait of a
                new program, or the rate limits of the targets leave no call in time.
        """
        rate = self.measure_rate()
        waiter = Waiter(
            get_queue_key(arrived, priority, admission_class)
            + self._accounts.compute_delay(account, calls_per_second=rate),
            affinity,
            excluded,
            allowed,
            origin,
            admission_class,
            account=account,
            prompt=prompt,
            max_permit_wait=get_max_permit_wait(
                seconds_left, program_seconds_left, admission_class
            ),
        )
        self._check_has_target(waiter)
        # The calls of an account with many calls do not count for other accounts.
        ahead = self._waiting.bisect_right(waiter) if account else len(self._waiting)
        wait = estimate_queue_wait(ahead, rate)
        free_places = MAX_WAITING_CALLS - len(self._waiting)
        if wait > seconds_left or not self._accounts.may_add(
            account, free_places=free_places
        ):
            raise build_queue_full(
                self._service,
                waiting=len(self._waiting),
                wait=wait,
                seconds_left=seconds_left,
            )
        self._waiting.add(waiter)
        self._accounts.add(account)
        self._waiting_without_account += account is None
        try:
            if self._is_next(waiter):
                self.dispatch_waiting(limit=1)
            if waiter.target is None:
                on_wait()
            await self._wait_for_target(waiter, program_seconds_left)
        except BaseException:
            if waiter.target is not None:
                self.release(waiter.target, account=account, prompt=prompt)
            else:
                self._accounts.remove(account)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            self._waiting_without_account -= account is None
            if waiter.permit_request is not None:
                self._rate_limits.close(waiter.permit_request)
        return waiter.target

    def _is_next(self, waiter: Waiter) -> bool:
        """Returns whether all calls before a waiting one wait for their permits."""
        for each in self._waiting:
            if each is waiter:
                return True
            if not each.awaits_permit:
                return False
        return False

    def _list_usable_targets(self, waiter: Waiter) -> list[Target]:
        """Returns the ready targets that a call may use."""
        ready = self._table.list_ready(self._service)
        if not waiter.is_restricted:
            return ready
        return [
            each
            for each in ready
            if waiter.may_use(each)
            # A stream goes on only where the software is certain.
            and (waiter.origin is None or not self._table.may_have_restarted(each))
        ]

    def _check_has_target(self, waiter: Waiter) -> None:
        """Checks whether a target may run a call in time.

        Raises:
            NoTarget: The call may use no target.
            Overloaded: The rate limits of the targets leave no call in time.
        """
        usable = self._list_usable_targets(waiter)
        if not usable:
            raise build_no_target(self._service, waiter.origin)
        self._check_has_permit(waiter, usable)

    def _check_has_permit(self, waiter: Waiter, usable: list[Target]) -> None:
        """Raises Overloaded if the rate limits of all targets leave no call in time."""
        if not self._are_all_limited(usable) or waiter.awaits_permit:
            return
        if any(self._may_send(waiter, target) for target in usable):
            return
        wait = min(map(self._rate_limits.get_wait, usable))
        if wait > 0 or waiter.asked_count >= MAX_ASKED_PERMITS:
            raise build_rate_limited(self._service, wait=wait)

    def _are_all_limited(self, targets: list[Target]) -> bool:
        return all(map(self._rate_limits.is_limited, targets))

    async def _wait_for_target(
        self, waiter: Waiter, program_seconds_left: float
    ) -> None:
        """Waits until a target is assigned to a waiting call.

        Raises:
            NoTarget: The last target that the call may use has left.
            Overloaded: The service is full, and the call would start a program.
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
                now = trio.current_time()
                raise build_program_refusal(
                    self._service, retry_after=self._retry_schedule.schedule_retry(now)
                )
            recheck_at = trio.current_time() + self._get_recheck_seconds(waiter)
            with trio.move_on_at(min(recheck_at, give_up_at)):
                await waiter.assigned.wait()
            if waiter.target is None:
                self.dispatch_waiting()
            if waiter.target is None:
                self._check_has_target(waiter)

    def _get_recheck_seconds(self, waiter: Waiter) -> float:
        """Returns the interval of checks, which is longer for calls further back."""
        return RECHECK_SECONDS * (1 + self._waiting.index(waiter))

    def release(
        self,
        target: Target,
        *,
        run_seconds: float | None = None,
        account: AccountId | None = None,
        prompt: PromptRequest | None = None,
    ) -> None:
        """Frees the slot of a call.

        Args:
            target: Target of the call.
            run_seconds: Run time of the call; None if it did not run.
            account: Account that was stated to `acquire`.
            prompt: Prompt that was stated to `acquire`.
        """
        self.prompt_reading.end(prompt)
        self._accounts.remove(account)
        self._table.get_load(target).running -= 1
        self._completions.running -= 1
        if run_seconds is not None:
            self._completions.record_run(run_seconds, now=trio.current_time())
        self.dispatch_waiting(limit=1)

    def compute_slowness(
        self, event_seconds: float | None, *, slowdown: float = 1.0
    ) -> float | None:
        """Returns an event interval relative to the service's average, if it shows it."""
        return self._event_average.compare(event_seconds, slowdown=slowdown)

    def update_load(self, target: Target, load: ReportedLoad | None) -> None:
        """Updates the load of a target from a report of the target."""
        if load is not None:
            self._table.get_load(target).update(load, now=trio.current_time())
            self._window.update(load, running=self._completions.running)

    def dispatch_waiting(self, *, limit: int = MAX_WAITING_CALLS) -> None:
        """Assigns targets to waiting calls while slots are free.

        Args:
            limit: Maximum number of calls that get a target.
        """
        position = 0
        skip_starting = False
        while position < len(self._waiting) and limit > 0:
            waiter = self._waiting[position]
            is_starting = waiter.admission_class in STARTING_CLASSES
            if is_starting and skip_starting:
                position += 1
                continue
            if waiter.account is not None and not self._window.has_room(
                self._completions.running
            ):
                if not self._waiting_without_account:
                    return
                position += 1
                continue
            target = self._find_target(waiter)
            if target is not None:
                self._assign(waiter, target)
                limit -= 1
            elif waiter.awaits_permit:
                position += 1
            elif is_starting or waiter.is_restricted:
                # Later calls may use targets or slots that this call may not use.
                skip_starting = is_starting
                position += 1
            else:
                return

    def _assign(self, waiter: Waiter, target: Target) -> None:
        self._table.get_load(target).running += 1
        self._completions.running += 1
        now = trio.current_time()
        if waiter.admission_class in STARTING_CLASSES:
            self._retry_schedule.record_admission(now)
        self._health.record_start(target.instance, now=now)
        self._rate_limits.use_permit(target, waiter.permit_request)
        slowdown = self._table.get_load(target).slowdown.mean
        if waiter.prompt is not None and slowdown is not None:
            self.prompt_reading.start(waiter.prompt, target.instance, now=now)
        waiter.target = target
        self._waiting.remove(waiter)
        waiter.assigned.set()

    def _may_send(self, waiter: Waiter, target: Target) -> bool:
        """Returns whether the rate limit of a target allows a call now."""
        return self._rate_limits.may_send(target, waiter.permit_request)

    def _find_target(self, waiter: Waiter) -> Target | None:
        """Returns the target for a call; asks for a permit if it needs one."""
        if waiter.permit_request is not None:
            target = self._choose_target(
                waiter, lambda each: self._may_send(waiter, each)
            )
            if target is not None or waiter.awaits_permit:
                return target
        ahead = self._are_all_limited(self._list_usable_targets(waiter))
        if ahead and waiter.asked_count >= MAX_ASKED_PERMITS:
            return None
        target = self._choose_target(
            waiter,
            lambda each: (
                self._may_send(waiter, each)
                or self._rate_limits.may_ask(each, ahead=ahead)
            ),
        )
        if target is None or self._may_send(waiter, target):
            return target
        max_wait = waiter.max_permit_wait if ahead else 0.0
        waiter.permit_request = self._rate_limits.ask(target, max_wait=max_wait)
        waiter.asked_count += 1
        return None

    def _choose_target(
        self, waiter: Waiter, is_allowed: Callable[[Target], bool]
    ) -> Target | None:
        """Returns the best target with a free slot, or None.

        Args:
            waiter: The call.
            is_allowed: Returns whether the rate limit of a target allows the call.
        """
        now = trio.current_time()
        run_seconds = self._completions.mean_run_seconds
        ready = [each for each in self._list_usable_targets(waiter) if is_allowed(each)]
        usable = [
            target
            for target in ready
            if target.instance not in waiter.excluded
            and self._health.is_usable(target.instance, now=now)
        ]
        # Excluded targets are used if there are no others, so that no call is refused.
        candidates = build_candidates(
            usable or ready,
            table=self._table,
            health=self._health,
            domain=self._domain,
            admission_class=waiter.admission_class,
            now=now,
            estimate_reading=self.prompt_reading.build_estimate(
                waiter.prompt, run_seconds=run_seconds, now=now
            ),
        )
        candidate = choose_target(candidates, waiter.affinity, self._rng)
        return None if candidate is None else self._table.get(candidate.instance)
