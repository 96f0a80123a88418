"""Health, readiness and metrics, the same for entries and sidecars."""

from collections.abc import Callable
from enum import Enum
from typing import final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from goldcrestvane_common.errors import Unavailable
from goldcrestvane_common.routing import (
    BytesResponse,
    JsonResponse,
    Request,
    Response,
    Router,
)

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)


class RequestKind(Enum):
    """What a request asked for, as a label of the metrics."""

    CHAT = "chat"
    CHAT_STREAM = "chat_stream"
    TOOL = "tool"
    PROGRAM_BEGIN = "program_begin"
    PROGRAM_END = "program_end"
    PROGRAM_SHOW = "program_show"


@final
class RequestMetrics:
    """Counts and latencies of the requests that one process serves.

    Attributes:
        registry: Holds these metrics; a process may add its own.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self._requests = Counter(
            "goldcrestvane_requests",
            "Requests by kind and status; 'left' when the caller left before the end.",
            ("kind", "status"),
            registry=self.registry,
        )
        self._latency = Histogram(
            "goldcrestvane_request_seconds",
            "Seconds from the request's arrival to the end of its answer.",
            ("kind",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._retries = Counter(
            "goldcrestvane_retries",
            "Attempts that were followed by another, by reason.",
            ("reason",),
            registry=self.registry,
        )

    def count_request(self, kind: RequestKind, status: str, *, seconds: float) -> None:
        """Counts a request that has ended."""
        self._requests.labels(kind.value, status).inc()
        self._latency.labels(kind.value).observe(seconds)

    def count_retry(self, reason: str) -> None:
        """Counts an attempt that is followed by another."""
        self._retries.labels(reason).inc()

    def register_in_flight_gauge(self, count: Callable[[], int]) -> None:
        """Shows the number of requests being served."""
        gauge = Gauge(
            "goldcrestvane_in_flight",
            "Requests being served.",
            registry=self.registry,
        )
        gauge.set_function(count)


def add_health_and_metrics_routes(
    router: Router, *, registry: CollectorRegistry, is_ready: Callable[[], bool]
) -> None:
    """Adds health, readiness and metrics to a route table.

    Args:
        router: Table to add to.
        registry: Metrics to show.
        is_ready: Whether this process can serve now.
    """

    async def answer_health(request: Request) -> Response:
        return JsonResponse(value={"status": "ok"})

    async def answer_ready(request: Request) -> Response:
        if is_ready():
            return JsonResponse(value={"status": "ready"})
        raise Unavailable(
            "This process is not ready yet; use another, or come back later.",
            retry_after=1.0,
        )

    async def answer_metrics(request: Request) -> Response:
        return BytesResponse(
            body=generate_latest(registry), content_type=CONTENT_TYPE_LATEST
        )

    router.add("GET", HEALTH_PATH, answer_health)
    router.add("GET", READY_PATH, answer_ready)
    router.add("GET", METRICS_PATH, answer_metrics)
