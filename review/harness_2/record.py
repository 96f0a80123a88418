"""Record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the run to a file.

    Attributes:
        last: The last line.
    """

    def __init__(self, path: Path) -> None:
        """Creates an empty record."""
        self._began = time.monotonic()
        self._file = path.open("w")
        self.last = ""

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def write(self, source: str, text: str) -> None:
        """Writes one line."""
        self.last = f"{self.now:8.3f} {source}: {text}"
        self._file.write(self.last + "\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
