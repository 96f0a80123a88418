"""The entry and sidecar processes."""
