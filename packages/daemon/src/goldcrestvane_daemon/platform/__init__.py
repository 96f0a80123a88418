"""Adapter for the names, formats and calls of the Passolungo platform.

The package makes no decisions.
"""
