"""The queue in front of one target: order, bounds, deadlines and fences."""

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
        waited_seconds: Time that the call waited for its slot.
        deadline: Time on trio's clock at which the gate cancels the call.
    """

    waited_seconds: float
    deadline: float


@final
class Gate:
    """Queue in front of one target.

    All methods run in one trio thread and are atomic but for `admit` and `wait_idle`.
    """

    def __init__(self, options: GateOptions) -> None:
        self._options = options
        self._service = MovingMean(
            SERVICE_SMOOTHING, first=options.first_service_seconds
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
        """Waits for a slot and holds it for the body of the context.

        The body is cancelled at the call's deadline. The epoch is checked on arrival
        and once more after the wait, with no checkpoint between check and body.

        Raises:
            Overloaded: The queue is full, or the wait would exceed the deadline.
            DeadlineExceeded: The deadline passed before the call left the gate.
            Unavailable: The target is leaving.
            WrongOwner: A higher epoch of the call's shard was seen.
            OutcomeUnknown: The deadline cancelled the body of a call that must not
                be repeated.
            AnswerIncomplete: The deadline cancelled the body of a repeatable call.
        """
        waiter = self._enqueue(request)
        try:
            await self._wait_turn(waiter)
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
        """Puts new options in force.

        Running calls keep their slots. Waiting calls beyond a smaller queue stay.
        """
        self._options = options
        self._start_waiting()

    def fence(self, shard: ShardId, epoch: Epoch) -> None:
        """Refuses all calls of a shard below an epoch, waiting ones at once."""
        if not self._epoch_fence.advance(shard, epoch):
            return
        for waiter in list(self._waiting):
            try:
                self._epoch_fence.check(waiter.request)
            except WrongOwner as error:
                self._refuse_waiter(waiter, error)
        self._start_waiting()

    def get_epoch(self, shard: ShardId) -> Epoch:
        """Returns the highest epoch seen of a shard; 0 if none was seen."""
        return self._epoch_fence.get(shard)

    def close(self) -> None:
        """Refuses new and waiting calls; running ones go on."""
        self._closed = True
        for waiter in list(self._waiting):
            self._refuse_waiter(waiter, self._build_leaving())
        self._note_idle()

    async def wait_idle(self) -> None:
        """Waits until a closed gate has no call left."""
        await self._idle.wait()

    def set_cache_capacity(self, tokens: int) -> None:
        """Sets the size of the engine's prefix cache; 0 holds no program back."""
        self._residency.capacity_tokens = tokens
        self._start_waiting()

    def record_cached_tokens(self, request: DispatchRequest, tokens: int) -> None:
        """Notes the tokens that an ended model call leaves in the cache."""
        self._residency.record_usage(request, tokens=tokens, now=trio.current_time())

    def release_program(self, team: TeamId, program: ProgramId) -> None:
        """Notes that a program's prefixes were released at the engine."""
        self._residency.release(ProgramKey(team, program), now=trio.current_time())
        self._start_waiting()

    def load(self) -> TargetLoad:
        """Returns the load; the cache's figures are those that the gate plans with."""
        return TargetLoad(
            running=len(self._running),
            queued=len(self._waiting),
            slots=self._options.slots,
            cached_tokens=self._residency.count_tokens(),
            cache_capacity_tokens=self._residency.capacity_tokens,
        )

    def count_deferred(self) -> int:
        """Returns the waiting calls of new programs for which there is no room."""
        return sum(self._is_held(each) for each in self._waiting)

    @property
    def service_seconds(self) -> float:
        """Expected time that a call holds a slot."""
        return self._service.value

    def _enqueue(self, request: DispatchRequest) -> Waiter:
        """Takes a call in, or refuses it at once."""
        if self._closed:
            raise self._build_leaving()
        self._epoch_fence.check(request)
        self.fence(request.shard, request.epoch)
        if request.deadline_seconds <= 0:
            raise build_late(request)
        self._arrivals += 1
        waiter = Waiter(request, now=trio.current_time(), number=self._arrivals)
        if not self._waiting and self._can_start(waiter) and not self._is_held(waiter):
            self._start(waiter)
            return waiter
        self._check_wait(waiter)
        self._make_room(waiter)
        self._waiting[waiter] = None
        self._start_waiting()
        return waiter

    async def _wait_turn(self, waiter: Waiter) -> None:
        """Waits for the start of a call, and checks it before it leaves the gate."""
        while waiter in self._waiting and trio.current_time() < waiter.deadline:
            end = trio.current_time() + self._options.aging_seconds
            with trio.move_on_at(min(end, waiter.deadline)):
                await waiter.decided.wait()
            self._start_waiting()
        if waiter.refusal is not None:
            raise waiter.refusal
        if trio.current_time() >= waiter.deadline:
            raise build_late(waiter.request)
        self._epoch_fence.check(waiter.request)

    def _check_wait(self, waiter: Waiter) -> None:
        """Refuses a call whose expected wait exceeds its deadline."""
        wait = self._estimate_wait(waiter)
        deadline = waiter.request.deadline_seconds
        if wait <= deadline:
            return
        raise self._build_overloaded(
            f"expected wait is {wait:.2f} s, got a deadline of {deadline:.2f} s",
            retry_after=wait,
        )

    def _estimate_wait(self, waiter: Waiter) -> float:
        """Returns the expected wait of a call that cannot start at once."""
        key = self._build_key(waiter)
        before = [each for each in self._waiting if self._build_key(each) < key]
        if self._is_held(waiter):
            held = sum(map(self._is_new, before))
            return (held + 1) * self._residency.release_seconds
        return estimate_wait(
            ahead=len(before),
            slots=self._options.slots,
            service_seconds=self._service.value,
        )

    def _make_room(self, newcomer: Waiter) -> None:
        """Refuses the last call in the order if the queue is full.

        Only classes that hold more than their share of the queue give up calls; the
        newcomer counts as held.
        """
        if len(self._waiting) < self._options.queue_limit:
            return
        last = self._find_last(newcomer)
        error = self._build_overloaded(
            f"queue is full with {len(self._waiting)} calls, expected fewer than "
            f"{self._options.queue_limit}",
            retry_after=estimate_wait(
                ahead=len(self._waiting),
                slots=self._options.slots,
                service_seconds=self._service.value,
            ),
        )
        if last is newcomer:
            raise error
        self._refuse_waiter(last, error)

    def _find_last(self, newcomer: Waiter) -> Waiter:
        """Returns the call that a full queue gives up."""
        counts = [0, 0, 0]
        present = [*self._waiting, newcomer]
        for waiter in present:
            counts[waiter.rank] += 1
        share = self._options.class_share * self._options.queue_limit
        over = [waiter for waiter in present if counts[waiter.rank] > share]
        return max(over or present, key=self._build_key)

    def _start_waiting(self) -> None:
        """Starts waiting calls in order while there are slots."""
        while self._waiting and len(self._running) < self._options.slots:
            best = self._find_first()
            if best is None or not self._can_start(best):
                return
            del self._waiting[best]
            self._start(best)

    def _find_first(self) -> Waiter | None:
        """Returns the call that starts next; None if all are held."""
        due = [each for each in self._waiting if self._is_starved(each)]
        if due:
            return min(due, key=self._build_key)
        room = self._has_room()
        ready = [each for each in self._waiting if room or not self._is_new(each)]
        return min(ready, key=self._build_key, default=None)

    def _is_starved(self, waiter: Waiter) -> bool:
        """Tells whether a call's class has waited for its least rate of starts."""
        return self._starvation_guard.is_starved(
            waiter.request.priority,
            now=trio.current_time(),
            seconds=self._options.class_start_seconds,
        )

    def _is_held(self, waiter: Waiter) -> bool:
        """Tells whether a new program waits for room in the queue or the cache."""
        if self._is_starved(waiter):
            return False
        return self._is_new(waiter) and not self._has_room()

    def _is_new(self, waiter: Waiter) -> bool:
        """Tells whether a call may be held; those of the first class never are."""
        request = waiter.request
        if request.kind is not ServiceKind.MODEL or waiter.rank == 0:
            return False
        return not self._residency.is_resident(request)

    def _has_room(self) -> bool:
        """Tells whether a new program may start: the cache and the queue have room."""
        backlog = sum(not self._is_new(each) for each in self._waiting)
        if backlog >= self._options.slots:
            return False
        return self._residency.has_room(now=trio.current_time())

    def _can_start(self, waiter: Waiter) -> bool:
        """Tells whether a call may run beside those that run now."""
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
        """Gives the slot or the place in the queue back."""
        self._waiting.pop(waiter, None)
        self._running.discard(waiter)
        self._start_waiting()
        self._note_idle()

    def _note_idle(self) -> None:
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


def build_late(request: DispatchRequest) -> DeadlineExceeded:
    """Returns the error of a call whose deadline passed at the gate."""
    return DeadlineExceeded(
        f"deadline of {request.deadline_seconds:.2f} s passed before call "
        f"{request.call} started; allow more time or lower the load"
    )


def build_timeout(request: DispatchRequest) -> ServiceError:
    """Returns the error of a call that was cancelled at its target."""
    message = (
        f"deadline of {request.deadline_seconds:.2f} s passed while call "
        f"{request.call} was at its target"
    )
    if request.idempotent:
        return AnswerIncomplete(f"{message}; it may be sent again")
    return OutcomeUnknown(f"{message}; it may have run and is not sent again")
