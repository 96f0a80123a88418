"""Token accounts of programs, kept in memory."""

from collections.abc import Iterator
from typing import final

from goldcrestvane_common.ids import CallId, ProgramId
from goldcrestvane_daemon.ledger.expiry import ExpiryBuckets
from goldcrestvane_daemon.ledger.messages import TokenAccount, TokenCharge
from goldcrestvane_daemon.ledger.segments import Segment

ACCOUNT_BYTES = 900
CHARGE_BYTES = 330
"""Memory of an account without its charges, and of a charge, with their tables."""


class StoredAccount:
    """The charges of a program.

    Attributes:
        program: The program.
        charges: Its charges by call.
        retention_seconds: Time for which it is kept after its last use.
        until: Time of the log at which it expires.
        oldest: Oldest segment with a record of it that is still needed.
    """

    __slots__ = ("charges", "oldest", "program", "retention_seconds", "until")

    def __init__(self, program: ProgramId, segment: Segment) -> None:
        self.program = program
        self.charges: dict[CallId, TokenCharge] = {}
        self.retention_seconds = 0.0
        self.until = 0.0
        self.oldest = segment

    def build(self) -> TokenAccount:
        """Returns the account with all its charges."""
        charges = list(self.charges.values())
        return TokenAccount(self.program, charges, self.retention_seconds)


@final
class TokenAccounts:
    """The token accounts of one member.

    Attributes:
        charge_count: Number of charges of all accounts.
    """

    def __init__(self) -> None:
        self._accounts: dict[ProgramId, StoredAccount] = {}
        self._expiry: ExpiryBuckets[ProgramId] = ExpiryBuckets()
        self.charge_count = 0

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def memory_bytes(self) -> int:
        """Memory of the accounts and their charges."""
        return ACCOUNT_BYTES * len(self) + CHARGE_BYTES * self.charge_count

    def get(self, program: ProgramId) -> StoredAccount | None:
        """Returns the account of a program, or None if there is none."""
        return self._accounts.get(program)

    def merge(self, account: TokenAccount, until: float, segment: Segment) -> bool:
        """Merges charges that are written in a segment; returns whether it is new."""
        known = self._accounts.get(account.program)
        is_new = known is None
        if known is None:
            known = StoredAccount(account.program, segment)
            self._accounts[account.program] = known
            segment.account_count += 1
            self._expiry.add(account.program, until)
        elif segment.number < known.oldest.number:
            self._set_oldest(known, segment)
        before = len(known.charges)
        for charge in account.charges:
            if charge.supersedes(known.charges.get(charge.call)):
                known.charges[charge.call] = charge
        self.charge_count += len(known.charges) - before
        if known.until < until:
            known.until, known.retention_seconds = until, account.retention_seconds
        return is_new

    def move(self, account: StoredAccount, segment: Segment) -> None:
        """Records that all charges of an account were written again to a segment."""
        if self._accounts.get(account.program) is account:
            self._set_oldest(account, segment)

    def _set_oldest(self, account: StoredAccount, segment: Segment) -> None:
        account.oldest.account_count -= 1
        account.oldest = segment
        segment.account_count += 1

    def iterate_up_to(self, segment: Segment) -> Iterator[StoredAccount]:
        """Yields the accounts that need a record in a segment or an older one."""
        for account in self._accounts.values():
            if account.oldest.number <= segment.number:
                yield account

    def remove_expired(self, now: float) -> list[ProgramId]:
        """Removes the expired accounts and returns their programs."""
        expired = []
        for program in self._expiry.pop_due(now):
            account = self._accounts[program]
            if account.until >= now:
                self._expiry.add(program, account.until)
                continue
            del self._accounts[program]
            account.oldest.account_count -= 1
            self.charge_count -= len(account.charges)
            expired.append(program)
        return expired
