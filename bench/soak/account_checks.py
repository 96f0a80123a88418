"""Checks of the rules on client accounts, by what clients and targets observe.

As in `checks`, only those in `TIMED_ACCOUNT_CHECKS` and `QUOTA_CHECKS` depend on the speed
of the machine.
"""

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator

from bench.soak.checks import (
    NOT_RUN_STATUSES,
    PROPAGATION_SECONDS,
    REVOCATION_SECONDS,
    STORE_ACCESS,
    is_disturbed,
    list_excuses,
)
from bench.soak.records import (
    Attempt,
    Disturbance,
    Evidence,
    QuotaChange,
    RequestKind,
)
from goldcrestvane_common.ids import AccountId

QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_TOLERANCE = 20
"""Bounds that machines have without settings."""

RETENTION_SECONDS = 60.0
"""Time for which turns are kept where a route does not state another one."""

KEY_LEARNING_SECONDS = 1.0
"""Age up to which a copy of the configuration may reject unknown keys."""

FOREIGN_TURN_STATUSES = NOT_RUN_STATUSES | {0, 401, 404, 504}
"""Statuses of a turn that names another account's turn. Only 404 refuses it for that
reason; the others come before the turn is looked up, or without an answer."""

DELAYING_FAULTS = frozenset(("freeze", "outage", STORE_ACCESS))
"""Faults during which a process does not learn of a new configuration."""


def find_disclosed_keys(evidence: Evidence) -> Iterator[str]:
    """Finds API keys in requests at targets and in logs."""
    for arrival in evidence.arrivals:
        if arrival.has_key:
            yield f"{arrival.call} reached {arrival.target} with a key"
    for log in evidence.logs_with_keys:
        yield f"{log} contains a key"


def find_wrong_accounts(evidence: Evidence) -> Iterator[str]:
    """Finds requests at targets that name another account than the key's."""
    attempts = {attempt.call: attempt for attempt in evidence.attempts}
    for arrival in evidence.arrivals:
        attempt = attempts.get(arrival.call)
        if attempt is None:
            continue
        owner = find_owner(evidence, attempt)
        allowed = {owner}
        if attempt.kind is RequestKind.ANONYMOUS:
            allowed.add(None)  # the frontend may not know the key yet
        if arrival.account not in allowed:
            yield f"{arrival.call} of {owner} reached a target as {arrival.account}"


def find_missing_accounts(evidence: Evidence) -> Iterator[str]:
    """Finds anonymous requests without the account of a key known for long enough."""
    attempts = {attempt.call: attempt for attempt in evidence.attempts}
    excuses = list_excuses(evidence)
    for arrival in evidence.arrivals:
        attempt = attempts.get(arrival.call)
        if attempt is None or attempt.kind is not RequestKind.ANONYMOUS:
            continue
        if arrival.account is None and _is_settled(evidence, attempt, excuses):
            owner = find_owner(evidence, attempt)
            yield f"{arrival.call} of {owner} reached a target without it"


def _is_settled(
    evidence: Evidence, attempt: Attempt, excuses: list[Disturbance]
) -> bool:
    """Returns whether every frontend must have known the attempt's key throughout."""
    life = evidence.keys.get(attempt.key or "")
    return (
        life is not None
        and life.added_at + PROPAGATION_SECONDS < attempt.began_at
        and attempt.began_at <= attempt.ended_at <= life.revoked_at
        and not is_disturbed(excuses, attempt)
    )


def find_runs_of_unknown_keys(evidence: Evidence) -> Iterator[str]:
    """Finds requests that ran with a key that no configuration contained, or none."""
    for attempt in _list_executed(evidence):
        if attempt.kind is RequestKind.ANONYMOUS or not evidence.keys:
            continue
        if attempt.key not in evidence.keys:
            yield f"{attempt.call} ran at {attempt.frontend} with key {attempt.key}"


def find_runs_of_revoked_keys(evidence: Evidence) -> Iterator[str]:
    """Finds requests that ran though they were sent after the revocation bound.

    The time before the request was sent counts, so that a busy machine causes no breach.
    """
    named = {arrival.call for arrival in evidence.arrivals if arrival.account}
    for attempt in _list_executed(evidence):
        life = evidence.keys.get(attempt.key or "")
        may_run = attempt.kind is RequestKind.ANONYMOUS and attempt.call not in named
        if life is None or may_run:
            continue
        late = attempt.began_at - life.revoked_at - REVOCATION_SECONDS
        if late > 0:
            yield (
                f"{attempt.call} ran at {attempt.frontend} with {attempt.key}, sent "
                f"{late:.2f} s after the bound"
            )


def find_refused_keys(evidence: Evidence) -> Iterator[str]:
    """Finds requests with a valid key, or that need none, that got a 401."""
    for attempt in evidence.attempts:
        if attempt.status != 401:
            continue
        if attempt.kind is RequestKind.ANONYMOUS or not evidence.keys:
            yield f"{attempt.call} got 401 from {attempt.frontend} but needs no key"
            continue
        life = evidence.keys.get(attempt.key or "")
        if life is None or attempt.ended_at > life.revoked_at:
            continue
        valid = attempt.began_at - life.added_at
        if valid > KEY_LEARNING_SECONDS:
            yield (
                f"{attempt.call} got 401 from {attempt.frontend} with {attempt.key}, "
                f"valid for {valid:.2f} s"
            )


def find_continued_foreign_turns(evidence: Evidence) -> Iterator[str]:
    """Finds turns that continue another account's turn and were not refused."""
    attempts = {attempt.call: attempt for attempt in evidence.attempts}
    reached = {arrival.call for arrival in evidence.arrivals}
    for attempt in evidence.attempts:
        if attempt.previous is None:
            continue
        owner = find_owner(evidence, attempts[attempt.previous])
        if owner in (None, find_owner(evidence, attempt)):
            continue
        if attempt.call in reached or attempt.status not in FOREIGN_TURN_STATUSES:
            yield f"{attempt.call} continues a turn of {owner}: {attempt.status}"


def find_forgotten_turns(evidence: Evidence) -> Iterator[str]:
    """Finds turns that continue a turn of their account that was said not to exist.

    This holds during all faults.
    """
    attempts = {attempt.call: attempt for attempt in evidence.attempts}
    for attempt in evidence.attempts:
        if attempt.previous is None or attempt.status not in (404, 410):
            continue
        previous = attempts[attempt.previous]
        age = attempt.ended_at - previous.ended_at
        owner = find_owner(evidence, attempt)
        is_own = owner is not None and owner == find_owner(evidence, previous)
        if is_own and age < RETENTION_SECONDS:
            yield f"{attempt.call} continues {previous.call}, {age:.2f} s old, and got 404"


def find_exceeded_quotas(evidence: Evidence) -> Iterator[str]:
    """Finds windows in which an account ran more requests than its quota allows."""
    runs: dict[AccountId, list[float]] = defaultdict(list)
    for arrival in evidence.arrivals:
        if arrival.executed and arrival.account is not None:
            runs[arrival.account].append(arrival.at)
    for account, times in runs.items():
        quotas = _list_quotas(evidence, account)
        times.sort()
        for last, time in enumerate(times):
            began_at = time - QUOTA_WINDOW_SECONDS
            count = last + 1 - bisect_left(times, began_at)
            allowed = max(
                (
                    (quota.rate * QUOTA_WINDOW_SECONDS + quota.burst)
                    * (1 + QUOTA_OVERAGE)
                    + QUOTA_TOLERANCE
                    for quota, ended_at in quotas
                    if quota.changed_at <= time and began_at <= ended_at
                ),
                default=math.inf,
            )
            if count > allowed:
                yield f"{account} ran {count} requests by {time:.2f}, allowed {allowed}"


def _list_quotas(
    evidence: Evidence, account: AccountId
) -> list[tuple[QuotaChange, float]]:
    """Returns an account's quotas, each with the time until which it may be in force."""
    quotas = [each for each in evidence.quotas if each.account == account]
    ends = [_find_settled_at(evidence, each.changed_at) for each in quotas[1:]]
    return list(zip(quotas, [*ends, math.inf], strict=False))


def _find_settled_at(evidence: Evidence, changed_at: float) -> float:
    """Returns the time at which all frontends have had a change for long enough.

    Processes that are frozen or cut off from the store learn it afterwards.
    """
    settled_at = changed_at + PROPAGATION_SECONDS
    delays = [each for each in evidence.disturbances if each.kind in DELAYING_FAULTS]
    for delay in sorted(delays, key=lambda each: each.began_at):
        if delay.began_at <= settled_at and delay.ended_at >= changed_at:
            settled_at = max(settled_at, delay.ended_at + PROPAGATION_SECONDS)
    return settled_at


def find_owner(evidence: Evidence, attempt: Attempt) -> AccountId | None:
    """Returns the account that holds or held the key of an attempt."""
    life = evidence.keys.get(attempt.key or "")
    return life.account if life else None


def _list_executed(evidence: Evidence) -> Iterator[Attempt]:
    """Yields attempts that ran at a target."""
    executed = {arrival.call for arrival in evidence.arrivals if arrival.executed}
    return (attempt for attempt in evidence.attempts if attempt.call in executed)


ACCOUNT_CHECKS = {
    "KEY, disclosed": find_disclosed_keys,
    "KEY, unknown": find_runs_of_unknown_keys,
    "KEY, revoked": find_runs_of_revoked_keys,
    "KEY, refused": find_refused_keys,
    "ACCOUNT": find_wrong_accounts,
    "TURN": find_continued_foreign_turns,
    "LOST, turn": find_forgotten_turns,
}
TIMED_ACCOUNT_CHECKS = {
    "ACCOUNT, late": find_missing_accounts,
}
QUOTA_CHECKS = {"QUOTA": find_exceeded_quotas}
"""Checked only if the soak limits accounts."""
