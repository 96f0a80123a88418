"""Stand-in for the platform's instance list; see docs/reference/platform.md."""

from enum import Enum
from typing import final

import msgspec
import trio
from absl import flags

from goldcrestvane_common.errors import InvalidRequest, NotFound
from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_standins.lag import LaggedValue
from goldcrestvane_standins.programs import run_standin

CONTROL_PATH = "/control/instances/"

_LAG = flags.DEFINE_float("lag", 0.0, "Seconds by which the list lags behind.")


class InstanceRole(Enum):
    """Role of the daemon that runs on an instance."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class InstanceState(Enum):
    """Lifecycle state of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance in the list; `service` is None for an entry."""

    instance: InstanceId
    role: InstanceRole
    address: str
    domain: DomainId
    state: InstanceState = InstanceState.LIVE
    service: ServiceId | None = None


class InstanceRows(msgspec.Struct, frozen=True):
    """The complete list, sorted by instance id."""

    instances: tuple[InstanceRow, ...] = ()


@final
class InstanceApi:
    """Serves the list as it was `lag` seconds ago."""

    def __init__(self, *, lag: float) -> None:
        self._rows: dict[InstanceId, InstanceRow] = {}
        self._published = LaggedValue(InstanceRows(), lag=lag)

    def build_router(self) -> Router:
        """Returns the routes."""
        router = Router()
        router.add("GET", "/v1/instances", self._list)
        router.add("PUT", CONTROL_PATH, self._put)
        router.add("DELETE", CONTROL_PATH, self._delete)
        return router

    async def _list(self, request: Request) -> Response:
        return JsonResponse(value=self._published.get())

    async def _put(self, request: Request) -> Response:
        row = request.decode(InstanceRow)
        if row.instance != _get_instance(request):
            raise InvalidRequest(
                f"Instance {row.instance} does not match the path {request.path}.",
                field="instance",
            )
        self._rows[row.instance] = row
        return self._publish()

    async def _delete(self, request: Request) -> Response:
        instance = _get_instance(request)
        if self._rows.pop(instance, None) is None:
            raise NotFound(f"Instance {instance} does not exist.", field="path")
        return self._publish()

    def _publish(self) -> Response:
        rows = tuple(self._rows[instance] for instance in sorted(self._rows))
        self._published.set(InstanceRows(rows))
        return JsonResponse(value=self._published.get_latest())


def _get_instance(request: Request) -> InstanceId:
    return InstanceId(request.path.removeprefix(CONTROL_PATH))


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of a list that is configured by the flags."""
    return InstanceApi(lag=_LAG.value).build_router()


if __name__ == "__main__":
    run_standin("instances", build_router)
