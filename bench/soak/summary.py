"""Summary of a soak: what happened and which rules were broken."""

from collections import Counter

from bench.soak.account_checks import find_owner
from bench.soak.outages import ALL_FRONTENDS
from bench.soak.records import Evidence
from goldcrestvane_common.ids import CallId

MAX_PRINTED = 3


def summarize(evidence: Evidence) -> str:
    """Returns the numbers of attempts by kind and status, and of faults by kind."""
    attempts = Counter(f"{a.kind.value} {a.status}" for a in evidence.attempts)
    faults = Counter(each.kind for each in evidence.disturbances)
    resumed = sum(a.stream != a.call and a.status == 200 for a in evidence.attempts)
    text = (
        f"{dict(attempts)} resumed {resumed}, {count_resumed_after_kills(evidence)} "
        f"after kills of all frontends; faults {dict(faults)}"
    )
    if not evidence.keys:
        return text
    revoked = sum(not life.is_valid for life in evidence.keys.values())
    owners = {a.call: find_owner(evidence, a) for a in evidence.attempts}
    continued = Counter(
        f"{'own' if owners[a.previous] == owners[a.call] else 'other'} {a.status}"
        for a in evidence.attempts
        if a.previous is not None and owners[a.call] is not None
    )
    return (
        f"{text} keys {len(evidence.keys)} revoked {revoked} "
        f"previous turns {dict(continued)}"
    )


def count_resumed_after_kills(evidence: Evidence) -> int:
    """Returns the number of streams that went on after a kill of all frontends."""
    kills = [each for each in evidence.disturbances if each.kind == ALL_FRONTENDS]
    attempts = {each.call: each for each in evidence.attempts}
    resumed = {
        each.stream
        for each in evidence.attempts
        if each.stream != each.call and each.status == 200 and each.events
    }
    return sum(
        any(kill.began_at <= attempts[call].ended_at <= kill.ended_at for kill in kills)
        for call in map(CallId, resumed)
    )


def print_breaches(breaches: list[str]) -> None:
    """Prints the number of breaches of each rule and the first of them."""
    rules = [breach.partition(":")[0] for breach in breaches]
    for rule, count in Counter(rules).items():
        print(f"  {rule}: {count}")
        found = [each for each in breaches if each.startswith(f"{rule}:")]
        for breach in found[:MAX_PRINTED]:
            print(f"    {breach}", flush=True)
