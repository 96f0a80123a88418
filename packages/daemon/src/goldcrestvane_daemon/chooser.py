"""Chooses the least loaded target, by this owner's own calls in flight."""

from collections import Counter
from typing import final

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.ids import InstanceId
from goldcrestvane_common.messages import (
    DispatchRequest,
    Instance,
    TargetLoad,
    Usage,
)
from goldcrestvane_daemon.owner.targets import TargetDirectory


@final
class LeastLoadedChooser:
    """Chooses the target with the fewest calls in flight."""

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory
        self._in_flight: Counter[InstanceId] = Counter()

    def choose(
        self, request: DispatchRequest, *, excluded: set[InstanceId]
    ) -> Instance:
        """Returns the target for a call; raises Unavailable when there is none."""
        targets = self._directory.list_targets(request.service)
        fresh = [item for item in targets if item.instance not in excluded]
        if not fresh and not targets:
            raise Unavailable(
                f"Service {request.service} has no live target. Send it again later.",
                retry_after=1.0,
            )
        return min(
            fresh or targets,
            key=lambda item: (self._in_flight[item.instance], item.instance),
        )

    def record_start(self, target: InstanceId, request: DispatchRequest) -> None:
        """Notes that a call was sent to a target."""
        self._in_flight[target] += 1

    def record_end(
        self,
        target: InstanceId,
        request: DispatchRequest,
        *,
        usage: Usage | None,
        load: TargetLoad | None,
    ) -> None:
        """Notes the end of a call; no usage means that it failed."""
        self._in_flight[target] -= 1

    def allow_retry(self, request: DispatchRequest) -> bool:
        """Returns whether one more attempt is allowed."""
        return True
