"""Structured logs: one JSON object per line, with a prefix for each component."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from goldcrestvane_common.bounded_output import BoundedHandler


def configure_logs(*, level: str, process: str) -> None:
    """Writes logs as JSON lines to standard error.

    Args:
        level: A level name of `logging`, such as ``INFO``.
        process: Name of this process, included in every line.
    """
    _install(logging.StreamHandler(sys.stderr), level=level, process=process)


def configure_bounded_logs(*, level: str, process: str) -> None:
    """Writes logs as JSON lines to standard output at a limited rate, never blocking.

    The arguments are those of `configure_logs`.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    _install(handler, level=level, process=process)


def _install(handler: logging.Handler, *, level: str, process: str) -> None:
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("hypercorn").setLevel(logging.ERROR)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


class PrefixAdapter(logging.LoggerAdapter):
    """Puts the fixed prefix of a component before each message."""

    def process(self, msg: object, kwargs: dict) -> tuple[str, dict]:  # type: ignore[override]
        """Returns the message with the prefix."""
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_logger(prefix: str) -> PrefixAdapter:
    """Returns the logger of a component, such as ``journal`` or ``membership``."""
    return PrefixAdapter(
        logging.getLogger(f"goldcrestvane.{prefix}"), {"prefix": prefix}
    )
