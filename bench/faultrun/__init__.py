"""Parts of the fault runner: plan, load, faults and the collection of evidence."""
