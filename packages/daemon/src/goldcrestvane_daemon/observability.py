"""Health, readiness and metrics of entries and sidecars."""

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
    """Kind of a request, used as a metric label."""

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
        registry: Registry of these metrics; a process may register more.
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
        """Counts a finished request and records its latency."""
        self._requests.labels(kind.value, status).inc()
        self._latency.labels(kind.value).observe(seconds)

    def count_retry(self, reason: str) -> None:
        """Counts a retry by the reason of the failed attempt."""
        self._retries.labels(reason).inc()

    def register_in_flight_gauge(self, count: Callable[[], int]) -> None:
        """Registers a gauge of the requests being served."""
        gauge = Gauge(
            "goldcrestvane_in_flight",
            "Requests being served.",
            registry=self.registry,
        )
        gauge.set_function(count)


def add_health_and_metrics_routes(
    router: Router, *, registry: CollectorRegistry, is_ready: Callable[[], bool]
) -> None:
    """Adds the routes for health, readiness and metrics.

    Args:
        router: Router to add the routes to.
        registry: Registry of the metrics to expose.
        is_ready: Returns whether this process can serve requests.
    """

    async def serve_health(request: Request) -> Response:
        return JsonResponse(value={"status": "ok"})

    async def serve_readiness(request: Request) -> Response:
        if is_ready():
            return JsonResponse(value={"status": "ready"})
        raise Unavailable(
            "This process is not ready; use another one, or try again later.",
            retry_after=1.0,
        )

    async def serve_metrics(request: Request) -> Response:
        return BytesResponse(
            body=generate_latest(registry), content_type=CONTENT_TYPE_LATEST
        )

    router.add("GET", HEALTH_PATH, serve_health)
    router.add("GET", READY_PATH, serve_readiness)
    router.add("GET", METRICS_PATH, serve_metrics)
