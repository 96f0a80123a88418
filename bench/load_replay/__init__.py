"""Replays recorded load patterns against the decisions on waiting, in virtual time."""
