"""A bare forwarder of bytes as a program, to measure the frontend against."""

import sys

import trio

from cost.forwarder import Forwarder


async def main(peer: str) -> None:
    """Forwards to a peer until killed, after printing the own address."""
    forwarder = Forwarder(peer)
    async with trio.open_nursery() as nursery:
        await nursery.start(forwarder.serve)
        print(forwarder.address, flush=True)


if __name__ == "__main__":
    trio.run(main, sys.argv[1])
