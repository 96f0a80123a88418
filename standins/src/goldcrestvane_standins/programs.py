"""Command-line startup code shared by all stand-ins."""

from collections.abc import Callable

import trio
from absl import app, flags

from goldcrestvane_common.logs import configure_logs
from goldcrestvane_common.routing import Router
from goldcrestvane_common.server import (
    Application,
    serve_http,
)

_LISTEN = flags.DEFINE_string(
    "listen", "127.0.0.1:0", "host:port to listen on; port 0 selects a free port."
)

RouterBuilder = Callable[[trio.Nursery], Router]


async def serve_router(
    build_router: RouterBuilder,
    address: str,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a stand-in until cancelled.

    Args:
        build_router: Builds the routes. The nursery is for background tasks of the
            stand-in.
        address: ``host:port`` to listen on.
        task_status: Receives the ``host:port`` of the listening socket.
    """
    async with trio.open_nursery() as nursery:
        router = build_router(nursery)
        bound = await nursery.start(serve_http, Application(router), address)
        task_status.started(bound)


def run_standin(name: str, build_router: RouterBuilder) -> None:
    """Parses the flags, serves a stand-in and prints its address.

    SIGTERM keeps its default action and ends the process immediately.

    Args:
        name: Process name in the log lines.
        build_router: Builds the routes after the flags are parsed.
    """

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve_router, build_router, _LISTEN.value)
            print(f"listening {bound}", flush=True)

    def main(arguments: list[str]) -> None:
        if len(arguments) > 1:
            raise app.UsageError(
                f"Unexpected arguments {arguments[1:]}; only flags are allowed."
            )
        configure_logs(level="WARNING", process=name)
        trio.run(serve)

    app.run(main)
