"""Tests of the platform adapter; the underscore avoids a clash with `platform`."""
