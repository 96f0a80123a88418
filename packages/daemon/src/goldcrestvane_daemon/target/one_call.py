"""Header of requests whose connection carries no other call."""

ONE_CALL_HEADERS = {"connection": "close"}
"""Responses of tools and engines name no call. On a reused connection, a late copy of one
would be taken for the response to the next call. Targets run beside this process, so that
new connections are cheap."""
