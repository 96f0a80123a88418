import trio

from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.programs import serve_router

TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.002


def run_with_standin(build_router, check):
    """Serves a stand-in in this process and runs a check against its address."""

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_router, build_router, "127.0.0.1:0")
            async with Transport() as transport:
                await check(transport, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_until(condition):
    """Polls an asynchronous condition until it holds."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while True:
            if await condition():
                return
            await trio.sleep(POLL_SECONDS)
