"""Adapter of the Passolungo platform: its names, formats and calls, and no decision."""
