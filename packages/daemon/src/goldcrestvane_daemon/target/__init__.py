"""The sidecar's side of its target: the only way that a call reaches the target."""
