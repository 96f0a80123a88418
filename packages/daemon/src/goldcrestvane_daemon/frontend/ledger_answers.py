"""Evaluates the answers of the ledger's members."""

from typing import Any

import msgspec

from goldcrestvane_common.ids import CallId
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    Failed,
    TokenCharge,
    Turn,
    TurnChain,
    Written,
)
from goldcrestvane_daemon.ledger.view import View


class OpenedTurn(msgspec.Struct, frozen=True):
    """State of the ledger at the start of a turn.

    Attributes:
        charges: Token charges of the program's turns, including this one.
        chain: The preceding turns, newest first.
        accepts_turns: Whether the ledger has room to store the turn when it ends.
    """

    charges: dict[CallId, TokenCharge]
    chain: list[Turn]
    accepts_turns: bool = True


def has_turn(answer: Any) -> bool:
    """Returns whether a member has the turn that was asked for."""
    return isinstance(answer, TurnChain) and bool(answer.turns or answer.chain_bytes)


def is_write_vote(answer: Any) -> bool:
    """Returns whether an answer counts towards the write quorum."""
    return isinstance(answer, Written) and answer.votes


def has_write_quorum(answers: list[Any], view: View) -> bool:
    """Returns whether the answers make a write durable."""
    return sum(map(is_write_vote, answers)) >= view.write_quorum


def describe_write(answers: list[Any], members: int) -> str:
    """Returns why a write is not durable, for an error.

    Args:
        answers: Answers until the quorum was out of reach.
        members: Number of members that were asked.
    """
    votes = sum(map(is_write_vote, answers))
    text = f"{votes} of {members} members wrote the entry"
    reasons = [f"{each.reason}" for each in answers if isinstance(each, Failed)]
    without_vote = sum(1 for each in answers if isinstance(each, Written)) - votes
    if members > len(answers):
        reasons.append(f"{members - len(answers)} did not answer in time")
    if without_vote:
        reasons.append(f"{without_vote} wrote it without a vote")
    return f"{text} ({'; '.join(reasons)})" if reasons else text


def merge_charges(answers: list[Written]) -> dict[CallId, TokenCharge]:
    """Returns the charges that any of the answers contains, the newest of each call."""
    charges: dict[CallId, TokenCharge] = {}
    for written in answers:
        for charge in written.account.charges if written.account else ():
            if charge.supersedes(charges.get(charge.call)):
                charges[charge.call] = charge
    return charges


def find_missing_charges(answers: list[Written]) -> list[TokenCharge]:
    """Returns the charges that some of the answers lack that count towards a quorum."""
    known = [
        set(answer.account.charges)
        for answer in answers
        if answer.votes and answer.account
    ]
    if all(charges == known[0] for charges in known[1:]):
        return []
    return [
        charge
        for charge in merge_charges(answers).values()
        if any(charge not in charges for charges in known)
    ]


def has_room_for_turns(answers: list[Written]) -> bool:
    """Returns whether at least half of the members that answered accept turns."""
    accepting = sum(1 for answer in answers if answer.accepts_turns)
    return 2 * accepting >= len(answers)


def get_turn_size(entry: Entry) -> int:
    """Returns the size of an entry's turn in bytes; 0 if it has none."""
    turn = entry.turn
    return 0 if turn is None else len(turn.input) + len(turn.output)


def find_missing_turn(chain: list[Turn], call: CallId | None) -> CallId | None:
    """Returns the first turn that a chain lacks, or None if it is complete."""
    return chain[-1].previous if chain else call


def sum_committed_tokens(charges: dict[CallId, TokenCharge]) -> int:
    """Returns the tokens of all turns; unsettled turns count with their reservation."""
    return sum(charge.tokens for charge in charges.values())
