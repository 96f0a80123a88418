"""Exchange of control objects between processes, for when the platform is down.

The one that pulls sends the digest of its copy. A peer with another copy answers with
one digest a bucket, and the puller fetches the buckets that differ. No revision is
involved, so that an object which came out of order is never skipped.
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


class ControlAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `GET` on `CONTROL_PATH`.

    Attributes:
        ready: Whether the peer has once held a complete copy.
        digest: Digest of the peer's copy.
        buckets: One digest a bucket, when the digests differ.
        objects: Objects and tombstones asked for.
    """

    ready: bool
    digest: str
    buckets: list[str] = []
    objects: list[StoredObject] = []


class PushAnswer(msgspec.Struct, frozen=True):
    """Answer of `POST` on `CONTROL_PATH`: how many objects were news."""

    changed: int


Receiver = Callable[[list[StoredObject]], int]
"""Takes objects in and returns how many were news."""


async def pull_control(
    transport: Transport, peer: str, replica: ControlReplica, receive: Receiver
) -> bool:
    """Takes in what a peer holds and this process lacks.

    Returns:
        Whether the peer had a complete copy, and so now this process.

    Raises:
        TransportError: The peer does not answer, or not in the agreed form.
        ServiceError: The peer refused.
    """
    answer = await _ask(transport, peer, f"digest={replica.digest}")
    if answer.buckets and len(answer.buckets) != BUCKET_COUNT:
        raise ExchangeBroken(
            f"Got {len(answer.buckets)} buckets from {peer}, expected {BUCKET_COUNT}; "
            "update the older of the two processes."
        )
    differing = [
        bucket
        for bucket, (own, other) in enumerate(
            zip(replica.bucket_digests, answer.buckets, strict=False)
        )
        if own != other
    ]
    for start in range(0, len(differing), BUCKETS_PER_REQUEST):
        part = differing[start : start + BUCKETS_PER_REQUEST]
        names = ",".join(str(bucket) for bucket in part)
        found = await _ask(transport, peer, f"buckets={names}")
        receive(found.objects)
    return answer.ready


async def _ask(transport: Transport, peer: str, query: str) -> ControlAnswer:
    reply = await transport.send(
        "GET", peer, f"{CONTROL_PATH}?{query}", timeout=PULL_TIMEOUT_SECONDS
    )
    return reply.decode(ControlAnswer)


async def push_control(
    transport: Transport, peer: str, objects: Sequence[StoredObject]
) -> PushAnswer:
    """Hands accepted objects to a process; errors as for `pull_control`."""
    reply = await transport.send(
        "POST", peer, CONTROL_PATH, value=objects, timeout=PULL_TIMEOUT_SECONDS
    )
    return reply.decode(PushAnswer)


@final
class ControlRoutes:
    """Serves `CONTROL_PATH` from the held copy."""

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
        asked = request.query.get("digest")
        if asked is not None:
            buckets = [] if asked == digest else self._replica.bucket_digests
            return self._build_answer(buckets=buckets)
        if "buckets" in request.query:
            numbers = _read_numbers(request, "buckets")
            _check_buckets(numbers)
            return self._build_answer(objects=self._replica.list_buckets(numbers))
        since = Version(_read_numbers(request, "since")[0])
        return self._build_answer(objects=self._replica.list_since(since))

    def _build_answer(
        self, *, buckets: Sequence[str] = (), objects: Sequence[StoredObject] = ()
    ) -> JsonResponse:
        return JsonResponse(
            value=ControlAnswer(
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
        return JsonResponse(value=PushAnswer(changed=self._receive(objects)))


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
