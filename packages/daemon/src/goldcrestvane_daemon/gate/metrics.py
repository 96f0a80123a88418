"""Metrics of a gate, computed when they are collected."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge

from goldcrestvane_daemon.gate.gate import Gate


def register_gate_metrics(gate: Gate, registry: CollectorRegistry) -> None:
    """Registers the metrics of a gate in a registry."""
    metrics: dict[str, tuple[str, Callable[[], float]]] = {
        "running": ("Calls at the target.", lambda: gate.load().running),
        "queued": (
            "Calls that wait, held ones included.",
            lambda: gate.load().queued,
        ),
        "held": (
            "Calls of new programs that wait for room in the cache or the queue.",
            gate.count_deferred,
        ),
        "service_seconds": (
            "Mean time that a call holds a slot.",
            lambda: gate.service_seconds,
        ),
        "cache_planned_tokens": (
            "Tokens that resident programs take, or will take on average.",
            lambda: gate.load().cached_tokens,
        ),
        "cache_capacity_tokens": (
            "Size of the engine's prefix cache; 0 if unknown.",
            lambda: gate.load().cache_capacity_tokens,
        ),
    }
    for name, (text, read) in metrics.items():
        gauge = Gauge(f"goldcrestvane_gate_{name}", text, registry=registry)
        gauge.set_function(read)
