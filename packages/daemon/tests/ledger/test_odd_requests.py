"""Requests with odd values on the port of a member, beside a turn that is recorded."""

import functools
import math
import unittest
from unittest import mock

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestvane_daemon.accounts.quota_items import QuotaItem, QuotaLimit
from goldcrestvane_daemon.ledger.frames import LENGTH
from goldcrestvane_daemon.ledger.messages import (
    AcquirePermit,
    AcquireQuota,
    Announce,
    Entry,
    ExchangeObservations,
    ExtendOutput,
    ForwardWrite,
    Frontend,
    RateLimit,
    ReadChain,
    ReadOutput,
    RenewTurns,
    ReportLimit,
    TokenAccount,
    TokenCharge,
    Turn,
    ViewStamp,
    Write,
)
from goldcrestvane_daemon.ledger.observations import TargetObservation
from goldcrestvane_daemon.ledger.stream_outputs import Mark
from ledger.support import HOST, run_ledger

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=150)

STAMP = ViewStamp(1, 0)
WRITE = Write(
    STAMP,
    Entry(
        account=TokenAccount("p", [TokenCharge("c", 1)], 60.0),
        turn=Turn("c", None, b"in", b"out", 60.0),
    ),
)
LIMIT = RateLimit("t", 1.0, 0.0)
REQUESTS = (
    WRITE,
    ForwardWrite(WRITE, [f"{HOST}:1"], 2),
    RenewTurns(STAMP, ["c"], 60.0),
    ReadChain(STAMP, "c", 100),
    ExtendOutput("c", 0, b"out", [Mark(1, 3)]),
    ReadOutput("c", 1),
    Announce(Frontend(f"{HOST}:1", "d"), 1),
    AcquirePermit(LIMIT, 1.0),
    ReportLimit(LIMIT),
    ExchangeObservations(
        "s", [TargetObservation("t", 1, 1, 0, 4, 1.0, 0.0)], "f", 0, 0
    ),
    AcquireQuota([QuotaItem("a", QuotaLimit(1.0, 1.0, 1), 1, 1)]),
)
ODD = st.sampled_from(
    [0, -1, 2**63, 2**64 - 1, 0.0, -1.0, 1e300, math.nan, math.inf, "", "a:b", None, []]
)
SHAPES = st.sampled_from(["value", "cut", "binary"])


def replace_leaf(value, path, odd):
    """Returns a value in which the leaf that a path leads to is replaced."""
    if not isinstance(value, list) or not value:
        return odd
    index = path[0] % len(value) if path else 0
    return [
        replace_leaf(each, path[1:], odd) if number == index else each
        for number, each in enumerate(value)
    ]


def build_frame(request, path, odd, shape):
    parts = msgspec.msgpack.decode(msgspec.msgpack.encode((1, request)))
    body = msgspec.msgpack.encode([1, replace_leaf(parts[1], path, odd)])
    if shape == "binary":
        body = body[::-1]
    frame = LENGTH.pack(len(body)) + body
    return frame[:-1] if shape == "cut" else frame


class OddRequestTests(unittest.TestCase):
    def test_odd_requests_end_no_member_and_meet_no_unexpected_error(self):
        """Guards against a value that nobody foresaw and that ends each member."""
        frames = []

        @FUZZ
        @given(
            st.sampled_from(REQUESTS),
            st.lists(st.integers(1, 12), max_size=5),
            ODD,
            SHAPES,
        )
        def collect(request, path, odd, shape):
            frames.append(build_frame(request, path, odd, shape))

        collect()

        async def script(ledger):
            port = ledger.members["a"].port
            with self.assertNoLogs("goldcrestvane.task"):
                for frame in frames:
                    stream = await trio.open_tcp_stream(HOST, port)
                    async with stream:
                        await stream.send_all(frame)
                        with trio.move_on_after(0.02):
                            await stream.receive_some()
                # The members answer; how fast the disk is does not matter here.
                call = functools.partial(ledger.client.call, timeout=60.0)
                with mock.patch.object(ledger.client, "call", call):
                    await ledger.open_turn("p1", "c1", 10)

        run_ledger(script)


if __name__ == "__main__":
    unittest.main()
