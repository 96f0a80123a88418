"""Replays traces of entries, and generates the traces that are kept here."""
