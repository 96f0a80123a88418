"""What a case sent, what was answered and what ran."""

import json
import time
from pathlib import Path


class Record:
    """Events of one run, written to a file as they happen.

    Attributes:
        events: The events.
        bodies: Body of the last run of each request at a replica, by the request's id.
    """

    def __init__(self, path: Path) -> None:
        self.events: list[dict[str, object]] = []
        self.bodies: dict[str, bytes] = {}
        self._began = time.monotonic()
        self._file = path.open("w")

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def add(self, kind: str, **fields: object) -> dict[str, object]:
        """Adds an event."""
        event = {"t": round(self.now, 3), "kind": kind, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()
        return event

    def list_runs(self, call: str) -> list[dict[str, object]]:
        """Returns the runs of a request at replicas."""
        return [
            each
            for each in self.events
            if each["kind"] == "run" and each["call"] == call
        ]
