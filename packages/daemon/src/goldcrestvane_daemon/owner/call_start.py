"""Starts a call: reserves its budgets and makes the start durable.

The claim of a call that must not be repeated is durable before any byte leaves for
the target. A claim without an outcome is never run again.
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

RESERVE_WAIT_SECONDS = 0.05
CLAIM_WAIT_SECONDS = 2.0


@final
class CallStarter:
    """Reserves and claims calls of owned shards."""

    def __init__(self, accounts: AllotmentManager) -> None:
        self._accounts = accounts

    async def start(
        self, shard: OwnedShard, call: Call, dispatch: DispatchRequest, target: Instance
    ) -> DispatchRequest:
        """Starts a call and returns its dispatch, bounded by budgets and deadline.

        Raises:
            BudgetExceeded: The call does not fit its program's or team's budget.
            Unavailable: The claim is not durable; the call is not sent.
            WrongOwner: The shard has another owner.
        """
        if call.at_most_once and shard.journal.store_unavailable:
            raise build_store_unavailable()
        reservation = await self._reserve(shard, call)
        if not shard.admitting:
            raise build_wrong_owner(shard.shard)
        # No checkpoint stands between the reservation and its record.
        durable = shard.append(_build_start(call, dispatch, target, reservation))
        if call.at_most_once:
            await self._wait_claim(shard, call, durable)
        elif call.stream or has_token_budget(shard.state, call.program):
            await shard.wait_durable(durable, wait=RESERVE_WAIT_SECONDS)
        model = dispatch.model
        if model is not None:
            model = ModelRequest(model.messages, reservation.max_tokens)
        left = max(0.0, call.deadline - trio.current_time())
        return msgspec.structs.replace(dispatch, model=model, deadline_seconds=left)

    async def _reserve(self, shard: OwnedShard, call: Call) -> Reservation:
        """Returns what the call may take; the caller records it at once."""
        team = call.request.team
        while True:
            check_calls(shard.state, call.program)
            reservation = Reservation()
            if call.request.model is not None:
                body = ModelRequest(call.messages, call.request.model.max_tokens)
                reservation = reserve_tokens(shard.state, call.program, body)
            tokens = reservation.total
            if self._accounts.fits(shard, team, call.team_budget, tokens=tokens):
                return reservation
            await self._accounts.request_more(
                shard, team, call.team_budget, tokens=tokens
            )

    async def _wait_claim(
        self, shard: OwnedShard, call: Call, durable: trio.Event
    ) -> None:
        wait = min(CLAIM_WAIT_SECONDS, call.deadline - trio.current_time())
        is_durable = await shard.wait_durable(durable, wait=max(0.0, wait))
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
    """Returns the record that gives a started call's number back."""
    return records.CallRolledBack(
        team=call.request.team,
        program=call.request.program,
        sequence=call.request.sequence,
        spent_tokens=spent_tokens,
    )


def _build_start(
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
