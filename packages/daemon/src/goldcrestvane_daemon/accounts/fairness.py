"""Fair queueing among the accounts whose calls are under way at one service.

Load pattern: one account sends many times its usual load while the targets are nearly
full. In order of arrival its calls take most of the slots as they become free, and the
calls of the other accounts wait behind them.

A call is ordered as if it had arrived later, by the time that it would wait in fair
queueing with equal weights behind the other calls of its account. The first call of an
account has no delay.
"""

from collections import Counter
from typing import final

from goldcrestvane_common.ids import AccountId

MAX_FAIR_DELAY_SECONDS = 2.0
"""Maximum delay of a call. A call that has waited for longer precedes all calls that
arrive, so no call starves."""


def compute_fair_delay(
    *, account_calls: int, accounts: int, calls_per_second: float
) -> float:
    """Returns the seconds that a call waits for the earlier calls of its account.

    Each account is served at an equal part of the rate.

    Args:
        account_calls: Calls of the account that wait or run already.
        accounts: Accounts with such calls, this one included.
        calls_per_second: Calls of all accounts that end per second.
    """
    if account_calls == 0:
        return 0.0
    return min(account_calls * accounts / calls_per_second, MAX_FAIR_DELAY_SECONDS)


@final
class AccountCalls:
    """Counts the calls of each account that wait for one service or run there.

    Running calls count, too: an account whose calls occupy the slots has had more than
    its part even if few of its calls wait.
    """

    def __init__(self) -> None:
        self._counts: Counter[AccountId] = Counter()

    def add(self, account: AccountId | None) -> None:
        """Counts a call that begins to wait."""
        if account is not None:
            self._counts[account] += 1

    def remove(self, account: AccountId | None) -> None:
        """Drops a call that neither waits nor runs any more."""
        if account is None:
            return
        self._counts[account] -= 1
        if self._counts[account] <= 0:
            del self._counts[account]

    def compute_delay(
        self, account: AccountId | None, *, calls_per_second: float
    ) -> float:
        """Returns the delay in seconds of a call that is about to wait."""
        if account is None:
            return 0.0
        count = self._counts.get(account, 0)
        return compute_fair_delay(
            account_calls=count,
            accounts=len(self._counts) + (count == 0),
            calls_per_second=calls_per_second,
        )

    def may_add(self, account: AccountId | None, *, free_places: int) -> bool:
        """Returns whether another call of an account may wait.

        An account has at most as many calls as there are free places in the queue. One
        account therefore fills half of it at most, and others always find a place.
        """
        if account is None:
            return free_places > 0
        return self._counts.get(account, 0) < free_places
