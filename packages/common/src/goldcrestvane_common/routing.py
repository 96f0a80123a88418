"""Requests, responses and the route table of a server."""

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, final

import msgspec

from goldcrestvane_common.errors import InvalidRequest, NotFound


@final
@dataclass(frozen=True, kw_only=True)
class Request:
    """One HTTP request with its complete body.

    Attributes:
        method: HTTP method in upper case.
        path: Decoded path.
        query: Query parameters; the last value of a repeated name is used.
        headers: Header pairs in the order received, names in lower case.
        body: Raw body.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Returns the value of a header that may occur once, or None if absent.

        Raises:
            InvalidRequest: The header occurs more than once.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise InvalidRequest(
                f"Header {name} was sent {len(values)} times; send it once.",
                field=name,
            )
        return values[0] if values else None

    def decode(self, body_type: type[Any]) -> Any:
        """Decodes the JSON body to a type.

        Raises:
            InvalidRequest: The body is not JSON or does not match the type.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidRequest(
                f"The body is not valid: {error}. Send JSON as in the reference.",
                field="body",
            ) from error


@final
@dataclass(frozen=True, kw_only=True)
class JsonResponse:
    """A complete response whose JSON body is any value that msgspec encodes."""

    value: Any = None
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True)
class BytesResponse:
    """A complete response with an encoded body."""

    body: bytes
    content_type: str = "application/json"
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


@final
@dataclass(frozen=True, kw_only=True)
class StreamResponse:
    """A response that is sent chunk by chunk.

    If the iterator raises, the connection is closed without the last chunk, so that
    the receiver does not take the body for a complete one. The iterator is started
    before the head is sent and closed when the receiver disconnects, so that its
    resources are always released.
    """

    chunks: AsyncGenerator[bytes, None]
    content_type: str = "text/event-stream"
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)


Response = JsonResponse | BytesResponse | StreamResponse
Handler = Callable[[Request], Awaitable[Response]]


class Router:
    """A route table that prefers exact paths, then the longest matching prefix."""

    def __init__(self) -> None:
        self._exact: dict[tuple[str, str], Handler] = {}
        self._prefixes: list[tuple[str, str, Handler]] = []

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Adds a route; a path that ends with ``/`` matches every path below it."""
        if not path.endswith("/"):
            self._exact[method, path] = handler
            return
        self._prefixes.append((method, path, handler))
        self._prefixes.sort(key=lambda route: -len(route[1]))

    def find(self, method: str, path: str) -> Handler:
        """Returns the handler of a request.

        Raises:
            NotFound: No route matches.
        """
        handler = self._exact.get((method, path))
        if handler is not None:
            return handler
        for route_method, prefix, handler in self._prefixes:
            if route_method == method and path.startswith(prefix):
                return handler
        raise NotFound(
            f"No route for {method} {path}; see docs/reference/http.md.", field="path"
        )
