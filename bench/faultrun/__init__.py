"""Parts of the fault runner: plan, callers, faults and the collection of records."""
