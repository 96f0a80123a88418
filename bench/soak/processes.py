"""Processes of a soak, whose starts and ends are recorded."""

import os
import signal
import subprocess
from pathlib import Path
from typing import final

import trio

from bench.soak.records import Evidence, ProcessEnd, ProcessStart

POLL_SECONDS = 0.05
LAST_LINES = 3
LAST_LINES_BYTES = 2000


@final
class Process:
    """One start of a process.

    Attributes:
        start: Number of the start.
    """

    def __init__(
        self,
        command: list[str],
        *,
        name: str,
        start: int,
        environment: dict[str, str],
        log: Path,
        evidence: Evidence,
    ) -> None:
        self.start = start
        self._name = name
        self._evidence = evidence
        self._log = log
        self._began_at = trio.current_time()
        self._signals: list[signal.Signals] = []
        self._handled_signals = False
        self._outlived_grace = False
        self._recorded = False
        with log.open("ab") as file:
            self._process = subprocess.Popen(
                command, env={**os.environ, **environment}, stdout=file, stderr=file
            )

    def is_running(self) -> bool:
        """Returns whether the process runs; its end is recorded once."""
        code = self._process.poll()
        if code is None:
            return True
        if not self._recorded:
            self._record_end(code)
        return False

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running():
            self._handled_signals |= self._handles(signal.SIGTERM)
            self._signals.append(number)
            self._process.send_signal(number)

    async def send_after(self, number: signal.Signals, seconds: float) -> None:
        """Sends a signal after some time."""
        await trio.sleep(seconds)
        self.send(number)

    def kill_after_grace(self) -> None:
        """Kills the process if it has not stopped by itself."""
        self._outlived_grace = self.is_running()
        self.send(signal.SIGKILL)

    async def wait(self) -> None:
        """Waits until the process has ended."""
        while self.is_running():
            await trio.sleep(POLL_SECONDS)

    def end(self) -> None:
        """Kills the process, if it still runs, and waits for its end."""
        self.send(signal.SIGKILL)
        self._process.wait()
        self.is_running()

    def record_start(self) -> None:
        """Records that the process accepts connections."""
        self._evidence.starts.append(
            ProcessStart(
                process=self._name,
                start=self.start,
                seconds=trio.current_time() - self._began_at,
            )
        )

    def _handles(self, number: signal.Signals) -> bool:
        """Returns whether the process blocks or catches a signal."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return False
        fields = dict(line.split(":", 1) for line in status.splitlines())
        masks = (int(fields[name], 16) for name in ("SigBlk", "SigCgt", "SigIgn"))
        return any(mask >> (number - 1) & 1 for mask in masks)

    def _record_end(self, code: int) -> None:
        self._recorded = True
        lines = self._log.read_bytes()[-LAST_LINES_BYTES:].decode(errors="replace")
        self._evidence.ends.append(
            ProcessEnd(
                process=self._name,
                start=self.start,
                seconds=trio.current_time() - self._began_at,
                code=code,
                signals=tuple(self._signals),
                handled_signals=self._handled_signals,
                outlived_grace=self._outlived_grace,
                last_lines=" | ".join(lines.splitlines()[-LAST_LINES:]),
            )
        )
