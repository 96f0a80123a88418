"""Client accounts: API keys, quotas and fairness. Nothing here does input or output."""
