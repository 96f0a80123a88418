"""Prometheus metrics of the clients of the platform."""

from prometheus_client import Counter

UNREADABLE_OBJECTS = Counter(
    "goldcrestvane_unreadable_objects",
    "Objects in responses of the platform's store that cannot be decoded",
    ["kind"],
)
