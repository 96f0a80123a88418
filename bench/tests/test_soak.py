import unittest

from bench.soak.checks import CHECKS, TIMED_CHECKS
from bench.soak.records import (
    Arrival,
    Attempt,
    Disturbance,
    Evidence,
    RateLimit,
    RequestKind,
    StreamedEvent,
)


def build_attempt(call="c1", kind=RequestKind.LOOKUP, **changes):
    values = {
        "frontend": "frontend-0",
        "start": 1,
        "sent_at": 10.0,
        "ended_at": 10.5,
        "status": 200,
        "whole": True,
        "body": call.encode(),
        "stream": call,
    }
    return Attempt(call=call, kind=kind, **{**values, **changes})


def build_turn(call, events, **changes):
    streamed = [StreamedEvent(number, software) for number, software in events]
    return build_attempt(call, RequestKind.TURN, events=streamed, **changes)


def build_probe(version, status, sent_at, **changes):
    options = {"sent_at": sent_at, "ended_at": sent_at + 0.1, **changes}
    return build_attempt(
        f"c{sent_at}", RequestKind.PROBE, version=version, status=status, **options
    )


def build_stop(kind="term", *, subject="frontend-0", began_at=10.2, ended_at=12.0):
    return Disturbance(
        kind=kind, subject=subject, start=1, began_at=began_at, ended_at=ended_at
    )


class SoakChecksTests(unittest.TestCase):
    """Each check finds a planted breach and accepts the case beside it."""

    def check(
        self, rule, *, breaches, attempts=(), arrivals=(), disturbances=(), limits=()
    ):
        evidence = Evidence()
        evidence.attempts += attempts
        evidence.arrivals += arrivals
        evidence.disturbances += disturbances
        evidence.limits += limits
        evidence.changes = {1: 0.0, 2: 5.0}
        find = {**CHECKS, **TIMED_CHECKS}[rule]
        self.assertEqual(len(list(find(evidence))), breaches)

    def test_target_over_its_rate_limit(self):
        limit = RateLimit(
            target="i-1", rate=2.0, first_named_at=6.0, began_at=6.0, ended_at=30.0
        )
        told = build_attempt("c0", limiting="i-1")
        other = build_attempt("c9", frontend="frontend-1")

        def build_calls(count):
            attempts = [build_attempt(f"d{n}", sent_at=12.0) for n in range(count)]
            arrivals = [
                Arrival(call=each.call, target="i-1", at=12.0 + n * 3.9 / count)
                for n, each in enumerate([*attempts, other])
            ]
            return {"attempts": [told, other, *attempts], "arrivals": arrivals}

        for count, breaches in ((17, 0), (18, 1)):
            self.check("LIMIT", breaches=breaches, limits=[limit], **build_calls(count))
        self.check(
            "LIMIT",
            breaches=0,
            limits=[limit],
            disturbances=[build_stop("freeze")],
            **build_calls(18),
        )

    def test_stream_of_two_versions(self):
        first = build_turn("c1", [(1, "v1"), (2, "v1")], whole=False)
        same = build_turn("c2", [(3, "v1")], stream="c1")
        other = build_turn("c2", [(3, "v2")], stream="c1")
        self.check("ORDER", breaches=0, attempts=[first, same])
        self.check("ORDER", breaches=1, attempts=[first, other])

    def test_stream_with_a_gap(self):
        gap = build_turn("c1", [(1, "v1"), (3, "v1")])
        self.check("ORDER", breaches=1, attempts=[gap])

    def test_posting_that_ran_twice(self):
        posting = build_attempt(kind=RequestKind.POSTING)
        runs = [Arrival(call="c1", target=f"i-{n}", at=10.1) for n in range(2)]
        self.check("TWICE", breaches=0, attempts=[posting], arrivals=runs[:1])
        self.check("TWICE", breaches=1, attempts=[posting], arrivals=runs)

    def test_refused_posting_that_ran(self):
        refused = build_attempt(kind=RequestKind.POSTING, status=503)
        run = Arrival(call="c1", target="i-1", at=10.1)
        rejected = Arrival(call="c1", target="i-1", at=10.1, executed=False)
        self.check("TWICE", breaches=0, attempts=[refused], arrivals=[rejected])
        self.check("TWICE", breaches=1, attempts=[refused], arrivals=[run])

    def test_answer_of_another_request(self):
        self.check("MIXED", breaches=0, attempts=[build_attempt()])
        self.check("MIXED", breaches=1, attempts=[build_attempt(body=b"c9")])

    def test_configuration_that_regresses(self):
        new = build_probe(2, 200, 20.0)
        self.check("CONFIG", breaches=1, attempts=[new, build_probe(2, 404, 21.0)])
        restarted = build_probe(2, 404, 21.0, start=2)
        self.check("CONFIG", breaches=0, attempts=[new, restarted])

    def test_configuration_that_is_late(self):
        late = [build_probe(2, 404, 7.5)]
        self.check("CONFIG, late", breaches=0, attempts=[build_probe(2, 404, 6.9)])
        self.check("CONFIG, late", breaches=1, attempts=late)
        frozen = build_stop("freeze", began_at=4.0, ended_at=5.0)
        self.check("CONFIG, late", breaches=0, attempts=late, disturbances=[frozen])

    def test_call_to_a_target_that_leaves(self):
        told = build_attempt(leaving="i-1")
        arrival = Arrival(call="c2", target="i-1", at=13.0)
        soon = build_attempt("c2", sent_at=12.4)
        late = build_attempt("c2", sent_at=12.6)
        self.check("DRAIN", breaches=0, attempts=[told, soon], arrivals=[arrival])
        self.check("DRAIN", breaches=1, attempts=[told, late], arrivals=[arrival])
        restarted = build_attempt("c2", sent_at=12.6, start=2)
        self.check("DRAIN", breaches=0, attempts=[told, restarted], arrivals=[arrival])

    def test_call_that_a_planned_stop_cuts_off(self):
        cut = build_attempt(status=0, whole=False)
        arrival = Arrival(call="c1", target="i-1", at=10.1)
        case = {"attempts": [cut], "arrivals": [arrival]}
        self.check("LOST", breaches=1, disturbances=[build_stop()], **case)
        self.check("LOST", breaches=0, disturbances=[build_stop("kill")], **case)
        self.check("LOST", breaches=0, attempts=[cut], disturbances=[build_stop()])

    def test_call_that_a_planned_stop_holds_without_an_answer(self):
        held = build_attempt(status=0, whole=False)
        crossed = build_attempt(status=0, whole=False, ended_at=10.1)
        stops = [build_stop(began_at=10.0)]
        self.check("LOST, held", breaches=1, attempts=[held], disturbances=stops)
        self.check("LOST, held", breaches=0, attempts=[crossed], disturbances=stops)


if __name__ == "__main__":
    unittest.main()
