"""Stand-ins for external systems, used by the tests, benchmarks and demo."""
