import trio

from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.programs import serve_router

GIVE_UP_SECONDS = 60.0
POLL_SECONDS = 0.002


def run_against(build_router, check):
    """Serves a stand-in in this process and runs a check against it."""

    async def main():
        async with trio.open_nursery() as nursery:
            peer = await nursery.start(serve_router, build_router, "127.0.0.1:0")
            async with Transport() as transport:
                await check(transport, peer)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_until(condition):
    """Polls an asynchronous condition until it holds."""
    with trio.fail_after(GIVE_UP_SECONDS):
        while True:
            if await condition():
                return
            await trio.sleep(POLL_SECONDS)
