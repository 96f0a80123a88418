"""Isolates requests that are suspected of crashing targets."""

from typing import final

import msgspec
import trio

from goldcrestvane_common.messages import (
    DispatchRequest,
)
from goldcrestvane_daemon.quarantine import (
    Quarantine,
    QuarantineStatus,
    build_quarantine_error,
)


@final
class SuspectGuard:
    """Claims suspect requests in the quarantine and reports how they ended."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    async def check(self, dispatch: DispatchRequest) -> DispatchRequest:
        """Returns the dispatch, marked to run alone if the request is a suspect.

        Raises:
            RequestQuarantined: The request is rejected permanently.
            Unavailable: The suspect cannot be claimed now.
        """
        status = self._quarantine.get_status(dispatch.service, dispatch.fingerprint)
        if status is QuarantineStatus.UNRESTRICTED:
            return dispatch
        if status is QuarantineStatus.REFUSED:
            raise build_quarantine_error()
        await self._quarantine.claim_exclusive(
            dispatch.service, dispatch.fingerprint, seconds=dispatch.deadline_seconds
        )
        return msgspec.structs.replace(dispatch, alone=True)

    async def release(
        self, dispatch: DispatchRequest, *, target_survived: bool
    ) -> None:
        """Releases the claim of a suspect and clears it if its target survived."""
        if not dispatch.alone:
            return
        with trio.CancelScope(shield=True):
            await self._quarantine.release_claim(
                dispatch.service, dispatch.fingerprint, target_survived=target_survived
            )
