"""Calls that wait for a target."""

from typing import final

import trio

from goldcrestvane_common.ids import AccountId, InstanceId, StreamOrigin
from goldcrestvane_daemon.frontend.admission import AdmissionClass
from goldcrestvane_daemon.frontend.affinity import Affinity
from goldcrestvane_daemon.frontend.rate_limits import PermitRequest
from goldcrestvane_daemon.placement.prompt_reading import PromptRequest
from goldcrestvane_daemon.targets import Target


@final
class Waiter:
    """A call that waits for a target.

    Attributes:
        account: Account that sent the call, if any.
        prompt: Prompt of the call, if known.
        max_permit_wait: Seconds for which the call can wait for a permit.
        permit_request: Last request for a permit, if any.
        asked_count: Number of permits that were asked for.
    """

    def __init__(
        self,
        queue_key: float,
        affinity: Affinity,
        excluded: frozenset[InstanceId],
        allowed: frozenset[InstanceId] | None,
        origin: StreamOrigin | None,
        admission_class: AdmissionClass,
        account: AccountId | None,
        prompt: PromptRequest | None,
        max_permit_wait: float,
    ) -> None:
        self.queue_key = queue_key
        self.account = account
        self.prompt = prompt
        self.max_permit_wait = max_permit_wait
        self.permit_request: PermitRequest | None = None
        self.asked_count = 0
        self.admission_class = admission_class
        self.affinity = affinity
        self.excluded = excluded
        self.allowed = allowed
        self.origin = origin
        self.target: Target | None = None
        self.assigned = trio.Event()

    @property
    def awaits_permit(self) -> bool:
        """Whether the call has a permit to wait for, or has asked for one."""
        return self.permit_request is not None and self.permit_request.is_open

    @property
    def is_restricted(self) -> bool:
        """Whether the call may not use every target of the service."""
        return self.allowed is not None or self.origin is not None

    def may_use(self, target: Target) -> bool:
        """Returns whether the call may use a target."""
        if self.origin is not None and target.origin != self.origin:
            return False
        return self.allowed is None or target.instance in self.allowed
