"""Replays traces of entries and generates the traces in ``bench/traces``."""
