"""Exchange of control objects between processes while the platform is down.

A process that pulls sends the digest of its copy. A peer whose copy differs returns
one digest per bucket, and the process then fetches the buckets that differ. Revisions
are not compared, so an object that arrived out of order is never skipped.
"""

from collections.abc import Callable, Sequence
from typing import final

import msgspec

from goldcrestvane_common.control_replica import (
    BUCKET_COUNT,
    CONTROL_PREFIX,
    ControlReplica,
)
from goldcrestvane_common.errors import InvalidRequest
from goldcrestvane_common.ids import Version
from goldcrestvane_common.objects import StoredObject
from goldcrestvane_common.paths import (
    CONTROL_PATH,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Request,
    Response,
    Router,
)
from goldcrestvane_common.transport import ExchangeBroken, Transport

PULL_TIMEOUT_SECONDS = 2.0
BUCKETS_PER_REQUEST = 32


class ControlPullResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response of `GET` on `CONTROL_PATH`.

    Attributes:
        ready: Whether the peer has ever held a complete copy.
        digest: Digest of the peer's copy.
        buckets: One digest per bucket, if the digests of the copies differ.
        objects: The requested objects and tombstones.
    """

    ready: bool
    digest: str
    buckets: list[str] = []
    objects: list[StoredObject] = []


class ControlPushResponse(msgspec.Struct, frozen=True):
    """Response of `POST` on `CONTROL_PATH`: how many objects changed the copy."""

    changed: int


Receiver = Callable[[list[StoredObject]], int]
"""Merges objects and returns how many of them changed the copy."""


async def pull_control(
    transport: Transport, peer: str, replica: ControlReplica, receive: Receiver
) -> bool:
    """Fetches the buckets that differ from a peer's and merges their objects.

    Returns:
        Whether the peer had a complete copy, so that the local copy is complete too.

    Raises:
        TransportError: The peer does not respond, or its response is malformed.
        ServiceError: The peer refused the request.
    """
    summary = await _request_objects(transport, peer, f"digest={replica.digest}")
    if summary.buckets and len(summary.buckets) != BUCKET_COUNT:
        raise ExchangeBroken(
            f"Got {len(summary.buckets)} buckets from {peer}, expected {BUCKET_COUNT}; "
            "update the older of the two processes."
        )
    differing = [
        bucket
        for bucket, (local, remote) in enumerate(
            zip(replica.bucket_digests, summary.buckets, strict=False)
        )
        if local != remote
    ]
    for start in range(0, len(differing), BUCKETS_PER_REQUEST):
        batch = differing[start : start + BUCKETS_PER_REQUEST]
        names = ",".join(str(bucket) for bucket in batch)
        response = await _request_objects(transport, peer, f"buckets={names}")
        receive(response.objects)
    return summary.ready


async def _request_objects(
    transport: Transport, peer: str, query: str
) -> ControlPullResponse:
    response = await transport.send(
        "GET", peer, f"{CONTROL_PATH}?{query}", timeout=PULL_TIMEOUT_SECONDS
    )
    return response.decode(ControlPullResponse)


async def push_control(
    transport: Transport, peer: str, objects: Sequence[StoredObject]
) -> ControlPushResponse:
    """Sends accepted objects to a process; errors as for `pull_control`."""
    response = await transport.send(
        "POST", peer, CONTROL_PATH, value=objects, timeout=PULL_TIMEOUT_SECONDS
    )
    return response.decode(ControlPushResponse)


@final
class ControlRoutes:
    """Serves `CONTROL_PATH` from the local copy."""

    def __init__(
        self,
        replica: ControlReplica,
        receive: Receiver,
        is_ready: Callable[[], bool],
    ) -> None:
        self._replica = replica
        self._receive = receive
        self._is_ready = is_ready

    def add_routes(self, router: Router) -> None:
        """Adds the routes for pulls and pushes."""
        router.add("GET", CONTROL_PATH, self._serve_pull)
        router.add("POST", CONTROL_PATH, self._serve_push)

    async def _serve_pull(self, request: Request) -> Response:
        digest = self._replica.digest
        remote_digest = request.query.get("digest")
        if remote_digest is not None:
            buckets = [] if remote_digest == digest else self._replica.bucket_digests
            return self._build_response(buckets=buckets)
        if "buckets" in request.query:
            numbers = _read_numbers(request, "buckets")
            _check_buckets(numbers)
            return self._build_response(objects=self._replica.list_buckets(numbers))
        since = Version(_read_numbers(request, "since")[0])
        return self._build_response(objects=self._replica.list_since(since))

    def _build_response(
        self, *, buckets: Sequence[str] = (), objects: Sequence[StoredObject] = ()
    ) -> JsonResponse:
        return JsonResponse(
            value=ControlPullResponse(
                ready=self._is_ready(),
                digest=self._replica.digest,
                buckets=list(buckets),
                objects=list(objects),
            )
        )

    async def _serve_push(self, request: Request) -> Response:
        objects = request.decode(list[StoredObject])
        for stored in objects:
            if not stored.key.startswith(CONTROL_PREFIX):
                raise InvalidRequest(
                    f"Got key {stored.key!r}, expected one below {CONTROL_PREFIX}; "
                    "push control objects only.",
                    field="key",
                )
        return JsonResponse(value=ControlPushResponse(changed=self._receive(objects)))


def _read_numbers(request: Request, name: str) -> list[int]:
    text = request.query.get(name, "0")
    try:
        return [int(part) for part in text.split(",")]
    except ValueError as error:
        raise InvalidRequest(
            f"Got {name}={text!r}, expected whole numbers; correct the query.",
            field=name,
        ) from error


def _check_buckets(numbers: Sequence[int]) -> None:
    for number in numbers:
        if not 0 <= number < BUCKET_COUNT:
            raise InvalidRequest(
                f"Got bucket {number}, expected 0 to {BUCKET_COUNT - 1}; update the "
                "older of the two processes.",
                field="buckets",
            )
