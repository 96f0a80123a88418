"""Starts calls: reserves their budgets and records the starts in the journal.

The start of an at-most-once call is durable before any byte is sent to the target. That
of a stream is durable or held by a witness, unless neither responds for some time.
A started at-most-once call whose outcome is unknown is never run again.
"""

from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import DeadlineExceeded
from goldcrestvane_common.messages import (
    DispatchRequest,
    Instance,
    ModelRequest,
)
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.allotments import AllotmentManager
from goldcrestvane_daemon.owner.budgets import (
    Reservation,
    check_calls,
    has_token_budget,
    reserve_tokens,
)
from goldcrestvane_daemon.owner.calls import Call
from goldcrestvane_daemon.owner.outcomes import build_store_unavailable
from goldcrestvane_daemon.owner.refusals import (
    build_wrong_owner,
)
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)

RESERVATION_WAIT_SECONDS = 0.05
AT_MOST_ONCE_WAIT_SECONDS = 2.0


@final
class CallStarter:
    """Reserves budgets for the calls of owned shards and records their starts."""

    def __init__(self, allotments: AllotmentManager) -> None:
        self._allotments = allotments

    async def start(
        self, shard: OwnedShard, call: Call, dispatch: DispatchRequest, target: Instance
    ) -> DispatchRequest:
        """Starts a call and returns its dispatch, limited by budgets and deadline.

        Raises:
            BudgetExceeded: The call does not fit its program's or team's budget.
            Unavailable: The start of an at-most-once call did not become durable, so
                the call must not be sent.
            WrongOwner: The shard has another owner.
        """
        if call.at_most_once and shard.journal.store_unavailable:
            raise build_store_unavailable()
        reservation = await self._reserve(shard, call)
        if not shard.admitting:
            raise build_wrong_owner(shard.shard)
        # There is no checkpoint between the reservation and its record, so no other
        # task can reserve the same budget.
        started = _build_call_started(call, dispatch, target, reservation)
        if call.at_most_once:
            await self._wait_until_durable(shard, call, shard.append(started))
        elif call.stream:
            # The next owner can join a stream only if it knows the start.
            await shard.commit_or_replicate(started)
        elif has_token_budget(shard.state, call.program):
            await shard.commit(started, timeout_seconds=RESERVATION_WAIT_SECONDS)
        else:
            shard.append(started)
        model = dispatch.model
        if model is not None:
            model = ModelRequest(model.messages, reservation.max_tokens)
        seconds_left = max(0.0, call.deadline - trio.current_time())
        return msgspec.structs.replace(
            dispatch, model=model, deadline_seconds=seconds_left
        )

    async def _reserve(self, shard: OwnedShard, call: Call) -> Reservation:
        """Returns a reservation that fits the budgets of the program and the team.

        The caller must record it before the next checkpoint.
        """
        team = call.request.team
        while True:
            check_calls(shard.state, call.program)
            reservation = Reservation()
            if call.request.model is not None:
                model_request = ModelRequest(
                    call.messages, call.request.model.max_tokens
                )
                reservation = reserve_tokens(shard.state, call.program, model_request)
            tokens = reservation.total
            if self._allotments.fits(shard, team, call.team_budget, tokens=tokens):
                return reservation
            await self._allotments.request_more(
                shard, team, call.team_budget, tokens=tokens
            )

    async def _wait_until_durable(
        self, shard: OwnedShard, call: Call, durable: trio.Event
    ) -> None:
        timeout_seconds = min(
            AT_MOST_ONCE_WAIT_SECONDS, call.deadline - trio.current_time()
        )
        is_durable = await shard.wait_durable(
            durable, timeout_seconds=max(0.0, timeout_seconds)
        )
        if is_durable and trio.current_time() < call.deadline:
            return
        shard.append(build_rollback(call))
        if not is_durable:
            raise build_store_unavailable()
        raise DeadlineExceeded(
            "The deadline passed before the call was sent. Send it with more time.",
            retry_after=1.0,
        )


def build_rollback(call: Call, *, spent_tokens: int = 0) -> records.CallRolledBack:
    """Returns the record that frees the sequence number of a started call."""
    return records.CallRolledBack(
        team=call.request.team,
        program=call.request.program,
        sequence=call.request.sequence,
        spent_tokens=spent_tokens,
    )


def _build_call_started(
    call: Call, dispatch: DispatchRequest, target: Instance, reservation: Reservation
) -> records.CallStarted:
    return records.CallStarted(
        team=call.request.team,
        program=call.request.program,
        sequence=call.request.sequence,
        request_hash=call.request_hash,
        call=dispatch.call,
        target=target.instance,
        incarnation=dispatch.incarnation,
        reserved_tokens=reservation.total,
        once=call.at_most_once,
    )
