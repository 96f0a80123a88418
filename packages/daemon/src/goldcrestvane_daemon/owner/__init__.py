"""Ownership of shards: call order, budgets, history and recovery of their programs."""
