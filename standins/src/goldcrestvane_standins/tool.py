"""Stand-in for a tool service that records its side effects.

See docs/reference/platform.md.
"""

import time
from typing import final

import msgspec
import trio

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_standins.answers import close_without_response
from goldcrestvane_standins.programs import run_standin

OPERATION_PATH = "/v1/"
CALL_HEADER = "goldcrestvane-call"
CALLER_HEADER = "goldcrestvane-caller"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults.

    Attributes:
        delay: Seconds by which each call is delayed.
        hang: Number of upcoming calls that never complete.
        close_before_effect: Number of upcoming calls whose connection closes before
            the side effect.
        close_after_effect: Number of upcoming calls whose connection closes after the
            side effect.
        fail_before_effect: Number of upcoming calls that fail with an error before the
            side effect.
    """

    delay: float = 0.0
    hang: int = 0
    close_before_effect: int = 0
    close_after_effect: int = 0
    fail_before_effect: int = 0

    def take(self, name: str) -> bool:
        """Returns whether a fault applies to this call and decrements its count."""
        remaining = getattr(self, name)
        setattr(self, name, max(0, remaining - 1))
        return remaining > 0


class Effect(msgspec.Struct, frozen=True):
    """One recorded side effect; `time` is in seconds since 1970."""

    effect: int
    operation: str
    call: str | None
    body: msgspec.Raw
    time: float
    caller: str | None


class ToolResult(msgspec.Struct, frozen=True):
    """Response to a call; `result` is the body of the request."""

    result: msgspec.Raw
    effect: int


@final
class ToolService:
    """Records a side effect for each call and injects the configured faults."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._effects: list[Effect] = []

    def build_router(self) -> Router:
        """Returns the routes."""
        router = Router()
        router.add("POST", OPERATION_PATH, self._call)
        router.add("GET", "/control/record", self._get_record)
        router.add("PUT", "/control/faults", self._put_faults)
        return router

    async def _call(self, request: Request) -> Response:
        body = request.decode(msgspec.Raw) if request.body else msgspec.Raw(b"null")
        faults = self._faults
        if faults.take("hang"):
            await trio.sleep_forever()
        # The sleep is a checkpoint at which the server cancels the call if the client
        # has disconnected.
        await trio.sleep(faults.delay)
        if faults.take("close_before_effect"):
            return close_without_response()
        if faults.take("fail_before_effect"):
            raise Unavailable("The tool failed before its side effect; retry the call.")
        effect = self._record_effect(request, body)
        if faults.take("close_after_effect"):
            return close_without_response()
        return JsonResponse(value=ToolResult(result=body, effect=effect.effect))

    def _record_effect(self, request: Request, body: msgspec.Raw) -> Effect:
        effect = Effect(
            effect=len(self._effects) + 1,
            operation=request.path.removeprefix(OPERATION_PATH),
            call=request.get_header(CALL_HEADER),
            body=body,
            time=time.time(),
            caller=request.get_header(CALLER_HEADER),
        )
        self._effects.append(effect)
        return effect

    async def _get_record(self, request: Request) -> Response:
        return JsonResponse(value=self._effects)

    async def _put_faults(self, request: Request) -> Response:
        self._faults = request.decode(Faults)
        return JsonResponse(value=self._faults)


def build_router(nursery: trio.Nursery) -> Router:
    """Returns the routes of a tool service."""
    return ToolService().build_router()


if __name__ == "__main__":
    run_standin("tool", build_router)
