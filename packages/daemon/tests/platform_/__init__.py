"""Tests of the platform's adapter; the name leaves the standard library's module free."""
