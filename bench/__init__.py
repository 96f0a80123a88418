"""Benches, and the checker that judges recorded runs."""
