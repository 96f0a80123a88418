"""Parts of the bench of what the path costs."""
