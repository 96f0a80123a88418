"""Stand-in of a tool service that records its side effects.

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
from goldcrestvane_standins.answers import close_without_answer
from goldcrestvane_standins.programs import run_program

OPERATION_PATH = "/v1/"
CALL_HEADER = "goldcrestvane-call"
CALLER_HEADER = "goldcrestvane-caller"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Counts of coming calls that meet a fault, and the delay of each in seconds."""

    delay: float = 0.0
    hang: int = 0
    close_before_effect: int = 0
    close_after_effect: int = 0
    fail_before_effect: int = 0

    def take(self, name: str) -> bool:
        """Returns whether this call meets a fault, and counts it off."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


class Effect(msgspec.Struct, frozen=True):
    """One side effect; `time` is in seconds since 1970."""

    effect: int
    operation: str
    call: str | None
    body: msgspec.Raw
    time: float
    caller: str | None


class ToolResult(msgspec.Struct, frozen=True):
    """Answer to a call; `result` is the body that was sent."""

    result: msgspec.Raw
    effect: int


@final
class ToolService:
    """Has a side effect for each call, with the faults that a test sets."""

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
        # Sleeping lets the server cancel a call whose caller has left.
        await trio.sleep(faults.delay)
        if faults.take("close_before_effect"):
            return close_without_answer()
        if faults.take("fail_before_effect"):
            raise Unavailable("The tool failed before its side effect; call again.")
        effect = self._add_effect(request, body)
        if faults.take("close_after_effect"):
            return close_without_answer()
        return JsonResponse(value=ToolResult(result=body, effect=effect.effect))

    def _add_effect(self, request: Request, body: msgspec.Raw) -> Effect:
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
    run_program("tool", build_router)
