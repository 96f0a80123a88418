"""Runs suspects alone, as the quarantine asks."""

from typing import final

import msgspec
import trio

from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_daemon.quarantine import Quarantine, Verdict, build_refusal


@final
class SuspectGuard:
    """Claims and settles requests with which a target died."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    async def check(self, dispatch: DispatchRequest) -> DispatchRequest:
        """Returns the dispatch, marked to run alone when the request is a suspect.

        Raises:
            RequestQuarantined: The request is refused for good.
            Unavailable: The suspect cannot be claimed now.
        """
        verdict = self._quarantine.get_verdict(dispatch.service, dispatch.fingerprint)
        if verdict is Verdict.FREE:
            return dispatch
        if verdict is Verdict.REFUSED:
            raise build_refusal()
        await self._quarantine.claim_alone(
            dispatch.service, dispatch.fingerprint, seconds=dispatch.deadline_seconds
        )
        return msgspec.structs.replace(dispatch, alone=True)

    async def settle(self, dispatch: DispatchRequest, *, survived: bool) -> None:
        """Clears a suspect that ran well, or gives its claim back."""
        if not dispatch.alone:
            return
        with trio.CancelScope(shield=True):
            await self._quarantine.settle(
                dispatch.service, dispatch.fingerprint, survived=survived
            )
