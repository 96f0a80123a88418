"""Admission queue of one target with ordering, limits, deadlines and fencing."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import (
    AnswerIncomplete,
    DeadlineExceeded,
    OutcomeUnknown,
    Overloaded,
    ServiceError,
    Unavailable,
    WrongOwner,
)
from goldcrestvane_common.ids import Epoch, ProgramId, ShardId, TeamId
from goldcrestvane_common.messages import (
    DispatchRequest,
    TargetLoad,
)
from goldcrestvane_common.settings import ServiceKind
from goldcrestvane_daemon.gate.cache_residency import (
    CacheResidency,
    ProgramKey,
)
from goldcrestvane_daemon.gate.epochs import EpochFence
from goldcrestvane_daemon.gate.estimate import (
    MIN_RETRY_SECONDS,
    SERVICE_SMOOTHING,
    MovingMean,
    estimate_wait,
)
from goldcrestvane_daemon.gate.options import GateOptions
from goldcrestvane_daemon.gate.order import OrderKey, Waiter, build_order_key
from goldcrestvane_daemon.gate.starvation import StarvationGuard


class Permit(msgspec.Struct, frozen=True):
    """A slot at the target.

    Attributes:
        waited_seconds: Time that the call waited for the slot.
        deadline: Time on trio's clock at which the gate cancels the call.
    """

    waited_seconds: float
    deadline: float


@final
class Gate:
    """Admission queue of one target.

    All methods run in one trio thread, and all except `admit` and `wait_idle` are
    atomic.
    """

    def __init__(self, options: GateOptions) -> None:
        self._options = options
        self._service = MovingMean(
            SERVICE_SMOOTHING, initial=options.first_service_seconds
        )
        self._epoch_fence = EpochFence()
        self._residency = CacheResidency()
        self._starvation_guard = StarvationGuard()
        self._waiting: dict[Waiter, None] = {}
        self._running: set[Waiter] = set()
        self._closed = False
        self._idle = trio.Event()
        self._arrivals = 0

    @asynccontextmanager
    async def admit(self, request: DispatchRequest) -> AsyncIterator[Permit]:
        """Waits for a slot and occupies it for the body of the context.

        The body is cancelled at the call's deadline. The epoch is checked on arrival
        and again after the wait, without a checkpoint between the check and the body.

        Raises:
            Overloaded: The queue is full, or the wait would exceed the deadline.
            DeadlineExceeded: The deadline passed before the call started.
            Unavailable: The target is leaving.
            WrongOwner: A higher epoch of the call's shard is known.
            OutcomeUnknown: The deadline cancelled the body of a call that must not
                be repeated.
            AnswerIncomplete: The deadline cancelled the body of a repeatable call.
        """
        waiter = self._enqueue(request)
        try:
            await self._wait_for_start(waiter)
            started = trio.current_time()
            permit = Permit(
                waited_seconds=started - waiter.arrived, deadline=waiter.deadline
            )
            with trio.CancelScope(deadline=waiter.deadline) as scope:
                yield permit
            self._service.record(trio.current_time() - started)
            if scope.cancelled_caught:
                raise build_timeout(request)
        finally:
            self._remove(waiter)

    def apply(self, options: GateOptions) -> None:
        """Applies new options.

        Running calls keep their slots, and queued calls stay even if they exceed a
        lower queue limit.
        """
        self._options = options
        self._start_waiting()

    def fence(self, shard: ShardId, epoch: Epoch) -> None:
        """Rejects all calls of a shard with a lower epoch, including queued ones."""
        if not self._epoch_fence.advance(shard, epoch):
            return
        for waiter in list(self._waiting):
            try:
                self._epoch_fence.check(waiter.request)
            except WrongOwner as error:
                self._refuse_waiter(waiter, error)
        self._start_waiting()

    def get_epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest known epoch of a shard; 0 if there is none."""
        return self._epoch_fence.get(shard)

    def close(self) -> None:
        """Rejects new and queued calls; running calls continue."""
        self._closed = True
        for waiter in list(self._waiting):
            self._refuse_waiter(waiter, self._build_leaving())
        self._update_idle()

    async def wait_idle(self) -> None:
        """Waits until the gate is closed and no call is running."""
        await self._idle.wait()

    def set_cache_capacity(self, tokens: int) -> None:
        """Sets the capacity of the engine's prefix cache; 0 disables deferring."""
        self._residency.capacity_tokens = tokens
        self._start_waiting()

    def record_cached_tokens(self, request: DispatchRequest, tokens: int) -> None:
        """Records the tokens that a finished model call leaves in the cache."""
        self._residency.record_usage(request, tokens=tokens, now=trio.current_time())

    def release_program(self, team: TeamId, program: ProgramId) -> None:
        """Records that the engine released the prefixes of a program."""
        self._residency.release(ProgramKey(team, program), now=trio.current_time())
        self._start_waiting()

    def load(self) -> TargetLoad:
        """Returns the load, with the cache usage that the gate plans with."""
        return TargetLoad(
            running=len(self._running),
            queued=len(self._waiting),
            slots=self._options.slots,
            cached_tokens=self._residency.count_tokens(),
            cache_capacity_tokens=self._residency.capacity_tokens,
        )

    def count_deferred(self) -> int:
        """Returns the number of queued calls that are deferred for lack of room."""
        return sum(self._is_deferred(each) for each in self._waiting)

    @property
    def service_seconds(self) -> float:
        """Expected time that a call occupies a slot."""
        return self._service.value

    def _enqueue(self, request: DispatchRequest) -> Waiter:
        """Starts or queues a call, or rejects it immediately."""
        if self._closed:
            raise self._build_leaving()
        self._epoch_fence.check(request)
        self.fence(request.shard, request.epoch)
        if request.deadline_seconds <= 0:
            raise build_deadline_exceeded(request)
        self._arrivals += 1
        waiter = Waiter(request, now=trio.current_time(), number=self._arrivals)
        if (
            not self._waiting
            and self._can_start(waiter)
            and not self._is_deferred(waiter)
        ):
            self._start(waiter)
            return waiter
        self._check_wait(waiter)
        self._reject_if_full(waiter)
        self._waiting[waiter] = None
        self._start_waiting()
        return waiter

    async def _wait_for_start(self, waiter: Waiter) -> None:
        """Waits until a call may start and checks its deadline and epoch again."""
        while waiter in self._waiting and trio.current_time() < waiter.deadline:
            end = trio.current_time() + self._options.aging_seconds
            with trio.move_on_at(min(end, waiter.deadline)):
                await waiter.decided.wait()
            self._start_waiting()
        if waiter.refusal is not None:
            raise waiter.refusal
        if trio.current_time() >= waiter.deadline:
            raise build_deadline_exceeded(waiter.request)
        self._epoch_fence.check(waiter.request)

    def _check_wait(self, waiter: Waiter) -> None:
        """Rejects a call whose expected wait exceeds its deadline."""
        wait = self._estimate_wait(waiter)
        deadline = waiter.request.deadline_seconds
        if wait <= deadline:
            return
        raise self._build_overloaded(
            f"expected wait is {wait:.2f} s, got a deadline of {deadline:.2f} s",
            retry_after=wait,
        )

    def _estimate_wait(self, waiter: Waiter) -> float:
        """Returns the expected wait of a call that cannot start immediately."""
        key = self._build_key(waiter)
        before = [each for each in self._waiting if self._build_key(each) < key]
        if self._is_deferred(waiter):
            deferred = sum(map(self._starts_program, before))
            return (deferred + 1) * self._residency.release_seconds
        return estimate_wait(
            ahead=len(before),
            slots=self._options.slots,
            service_seconds=self._service.value,
        )

    def _reject_if_full(self, new_call: Waiter) -> None:
        """Rejects the last call in the order if the queue is full.

        Only classes that use more than their share of the queue lose calls. The
        new call counts as part of the queue.
        """
        if len(self._waiting) < self._options.queue_limit:
            return
        last = self._choose_rejected(new_call)
        error = self._build_overloaded(
            f"queue is full with {len(self._waiting)} calls, expected fewer than "
            f"{self._options.queue_limit}",
            retry_after=estimate_wait(
                ahead=len(self._waiting),
                slots=self._options.slots,
                service_seconds=self._service.value,
            ),
        )
        if last is new_call:
            raise error
        self._refuse_waiter(last, error)

    def _choose_rejected(self, new_call: Waiter) -> Waiter:
        """Returns the call that a full queue rejects."""
        counts = [0, 0, 0]
        calls = [*self._waiting, new_call]
        for waiter in calls:
            counts[waiter.rank] += 1
        share = self._options.class_share * self._options.queue_limit
        over_share = [waiter for waiter in calls if counts[waiter.rank] > share]
        return max(over_share or calls, key=self._build_key)

    def _start_waiting(self) -> None:
        """Starts queued calls in order while slots are free."""
        while self._waiting and len(self._running) < self._options.slots:
            best = self._choose_next()
            if best is None or not self._can_start(best):
                return
            del self._waiting[best]
            self._start(best)

    def _choose_next(self) -> Waiter | None:
        """Returns the call to start next; None if all are deferred."""
        starved = [each for each in self._waiting if self._is_starved(each)]
        if starved:
            return min(starved, key=self._build_key)
        has_room = self._has_room()
        ready = [
            each for each in self._waiting if has_room or not self._starts_program(each)
        ]
        return min(ready, key=self._build_key, default=None)

    def _is_starved(self, waiter: Waiter) -> bool:
        """Returns whether the class of a call is below its minimum rate of starts."""
        return self._starvation_guard.is_starved(
            waiter.request.priority,
            now=trio.current_time(),
            seconds=self._options.class_start_seconds,
        )

    def _is_deferred(self, waiter: Waiter) -> bool:
        """Returns whether a call waits for room in the queue or the cache."""
        if self._is_starved(waiter):
            return False
        return self._starts_program(waiter) and not self._has_room()

    def _starts_program(self, waiter: Waiter) -> bool:
        """Returns whether a model call below the first class starts a new program."""
        request = waiter.request
        if request.kind is not ServiceKind.MODEL or waiter.rank == 0:
            return False
        return not self._residency.is_resident(request)

    def _has_room(self) -> bool:
        """Returns whether the queue and the cache have room for a new program."""
        backlog = sum(not self._starts_program(each) for each in self._waiting)
        if backlog >= self._options.slots:
            return False
        return self._residency.has_room(now=trio.current_time())

    def _can_start(self, waiter: Waiter) -> bool:
        """Returns whether a call may run concurrently with the running calls."""
        if waiter.request.alone:
            return not self._running
        if any(other.request.alone for other in self._running):
            return False
        return len(self._running) < self._options.slots

    def _start(self, waiter: Waiter) -> None:
        self._running.add(waiter)
        waiter.decided.set()
        self._starvation_guard.record_start(
            waiter.request.priority, now=trio.current_time()
        )
        if waiter.request.kind is ServiceKind.MODEL:
            self._residency.record_start(waiter.request, now=trio.current_time())

    def _refuse_waiter(self, waiter: Waiter, error: ServiceError) -> None:
        self._waiting.pop(waiter, None)
        waiter.refuse(error)

    def _remove(self, waiter: Waiter) -> None:
        """Releases the slot or the place in the queue of a call."""
        self._waiting.pop(waiter, None)
        self._running.discard(waiter)
        self._start_waiting()
        self._update_idle()

    def _update_idle(self) -> None:
        if self._closed and not self._running:
            self._idle.set()

    def _build_key(self, waiter: Waiter) -> OrderKey:
        return build_order_key(
            waiter,
            now=trio.current_time(),
            aging_seconds=self._options.aging_seconds,
            service_seconds=self._service.value,
        )

    def _build_overloaded(self, reason: str, *, retry_after: float) -> Overloaded:
        retry_after = max(MIN_RETRY_SECONDS, round(retry_after, 3))
        return Overloaded(
            f"{reason}; send the call again after {retry_after} s or to another target",
            retry_after=retry_after,
        )

    def _build_leaving(self) -> Unavailable:
        return Unavailable(
            "target is leaving and takes no new calls; send the call to another target",
            retry_after=MIN_RETRY_SECONDS,
        )


def build_deadline_exceeded(request: DispatchRequest) -> DeadlineExceeded:
    """Returns the error of a call whose deadline passed before it started."""
    return DeadlineExceeded(
        f"deadline of {request.deadline_seconds:.2f} s passed before call "
        f"{request.call} started; allow more time or lower the load"
    )


def build_timeout(request: DispatchRequest) -> ServiceError:
    """Returns the error of a call that its deadline cancelled at the target."""
    message = (
        f"deadline of {request.deadline_seconds:.2f} s passed while call "
        f"{request.call} was at its target"
    )
    if request.idempotent:
        return AnswerIncomplete(f"{message}; it may be sent again")
    return OutcomeUnknown(f"{message}; it may have run and is not sent again")
