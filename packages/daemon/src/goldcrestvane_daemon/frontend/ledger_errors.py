"""Errors of the ledger's client."""


class LedgerUnavailable(Exception):
    """No quorum answered. The entry may or may not have been written."""


class TurnNotFound(Exception):
    """A quorum of members has no such turn."""
