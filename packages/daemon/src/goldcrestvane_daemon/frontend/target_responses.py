"""Checks of targets' responses before they are forwarded."""

from goldcrestvane_daemon.frontend.upstream import TargetFailed
from goldcrestvane_daemon.platform.headers import ResponseHead


def validate_response(head: ResponseHead) -> None:
    """Raises TargetFailed if a response does not come from a working target."""
    if 200 <= head.status < 300 and not head.has_signature:
        raise TargetFailed(f"Got status {head.status} without a signature.")
    if head.status in (408, 421, 429, 503):
        # These statuses promise the client that the call has not run, but the target
        # made no such promise.
        raise TargetFailed(f"Got status {head.status} for a call that may have run.")
    if head.has_content_encoding:
        raise TargetFailed("Got a body with a content encoding that was not requested.")


def remove_content_length(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns headers for a body whose length may change."""
    return [(name, value) for name, value in headers if name != b"content-length"]
