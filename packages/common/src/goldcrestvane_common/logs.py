"""Structured logs: one JSON object a line, each message with its part's prefix."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


def configure_logs(*, level: str, process: str, stream: TextIO = sys.stderr) -> None:
    """Sends logs as JSON lines to a stream.

    Args:
        level: A level name of `logging`, such as ``INFO``.
        process: Name of this process, written into every line.
        stream: Where the lines go.
    """
    handler = logging.StreamHandler(stream)
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
    """Puts the fixed prefix of a part before each message."""

    def process(self, msg: object, kwargs: dict) -> tuple[str, dict]:  # type: ignore[override]
        """Returns the message with the prefix."""
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_logger(prefix: str) -> PrefixAdapter:
    """Returns the logger of one part, such as ``journal`` or ``membership``."""
    return PrefixAdapter(
        logging.getLogger(f"goldcrestvane.{prefix}"), {"prefix": prefix}
    )
