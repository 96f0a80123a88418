"""Runs a bare byte forwarder, with which the frontend is compared."""

import sys

import trio

from cost.forwarder import Forwarder


async def main(peer: str) -> None:
    """Prints the address of the forwarder, then forwards to a peer until killed."""
    forwarder = Forwarder(peer)
    async with trio.open_nursery() as nursery:
        await nursery.start(forwarder.serve)
        print(forwarder.address, flush=True)


if __name__ == "__main__":
    trio.run(main, sys.argv[1])
