"""Collects the records of the stand-ins as evidence of a run."""

import time
from typing import Any, final

import msgspec
import trio

from bench.checker.records import (
    ChatMessage,
    Effect,
    EngineRun,
    Evidence,
    SessionsHeld,
    SettingsSeen,
    SettingsWrite,
)
from goldcrestvane_common.messages import (
    ProcessStatus,
)
from goldcrestvane_common.paths import (
    STATUS_PATH,
)
from goldcrestvane_common.settings import SETTINGS_PREFIX
from goldcrestvane_common.transport import (
    ConnectFailed,
    ExchangeBroken,
)
from goldcrestvane_standins.deployment import Deployment

POLL_INTERVAL_SECONDS = 0.5
STATUS_TIMEOUT_SECONDS = 1.0
HANGING_CALL_COUNT = 1_000_000
"""Number of upcoming calls that hang. No run sends more, so all new calls hang."""
SETTLE_SECONDS = 0.05
"""Time for calls that a tool received earlier to record their effects."""
SESSION_RELEASE_TIMEOUT_SECONDS = 25.0
DAEMON_PREFIXES = ("entry-", "sidecar-")


@final
class Recorder:
    """Reads the records of the stand-ins, also those of targets that are killed.

    Attributes:
        evidence: The collected evidence.
        up_since: Time at which each daemon was last started or resumed.
    """

    def __init__(self, deployment: Deployment, evidence: Evidence) -> None:
        self._deployment = deployment
        self.evidence = evidence
        self.up_since: dict[str, float] = {}
        for name in self.list_names(*DAEMON_PREFIXES):
            self.record_start(name)

    def list_names(self, *prefixes: str) -> list[str]:
        """Returns the names of processes that begin with one of the prefixes."""
        return [
            name for name in self._deployment.processes if name.startswith(prefixes)
        ]

    def record_start(self, name: str) -> None:
        """Records that a daemon was started or resumed now."""
        self.up_since[name] = time.time()

    async def kill_target(self, name: str) -> None:
        """Kills a target after adding its record to the evidence.

        Before the record is read, new calls are made to hang, so that none has an
        effect afterwards.
        """
        await self._deployment.request(
            name, "PUT", "/control/faults", {"hang": HANGING_CALL_COUNT}
        )
        await trio.sleep(SETTLE_SECONDS)
        await self.collect_record(name)
        self._deployment.processes[name].kill()

    async def collect_record(self, name: str) -> None:
        """Adds the record of a target to the evidence."""
        rows = await self._deployment.read_record(name)
        for row in rows:
            if "effect" in row:
                self.evidence.effects.append(_build_effect(name, row))
            else:
                self.evidence.runs.append(_build_run(name, row))

    async def poll_settings(self) -> None:
        """Records the settings versions of every daemon until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for name in self.list_names(*DAEMON_PREFIXES):
                    nursery.start_soon(self._record_settings, name)
            await trio.sleep(POLL_INTERVAL_SECONDS)

    async def _record_settings(self, name: str) -> None:
        asked = time.time()
        try:
            response = await self._deployment.transport.send(
                "GET",
                self._deployment.processes[name].address,
                STATUS_PATH,
                timeout=STATUS_TIMEOUT_SECONDS,
            )
            status: ProcessStatus = response.decode(ProcessStatus)
        except (ConnectFailed, ExchangeBroken):
            return
        seen = SettingsSeen(
            process=name,
            asked=asked,
            up_since=self.up_since[name],
            versions=dict(status.settings_versions),
        )
        self.evidence.settings_seen.append(seen)

    async def collect_settings_writes(self) -> None:
        """Adds the settings history of the object API to the evidence."""
        response = await self._deployment.request(
            "objectapi", "GET", f"/control/history?prefix={SETTINGS_PREFIX}"
        )
        for row in msgspec.json.decode(response.body):
            write = SettingsWrite(
                team=row["key"].removeprefix(SETTINGS_PREFIX),
                version=row["version"],
                time=row["time"],
            )
            self.evidence.settings_writes.append(write)

    async def collect_sessions(self) -> None:
        """Adds the sessions that engines still hold to the evidence.

        The method first waits up to `SESSION_RELEASE_TIMEOUT_SECONDS` until no engine
        holds a session.
        """
        engines = self.list_names("target-llm-")
        with trio.move_on_after(SESSION_RELEASE_TIMEOUT_SECONDS):
            while any([await self._read_sessions(name) for name in engines]):
                await trio.sleep(POLL_INTERVAL_SECONDS)
        for name in engines:
            held = SessionsHeld(
                target=name,
                time=time.time(),
                sessions=await self._read_sessions(name),
            )
            self.evidence.sessions_held.append(held)

    async def _read_sessions(self, name: str) -> tuple[str, ...]:
        response = await self._deployment.request(name, "GET", "/v1/cache")
        return tuple(msgspec.json.decode(response.body)["sessions"])

    async def collect_all(self) -> None:
        """Adds all records that remain to be collected at the end of a run."""
        await self.collect_sessions()
        await self.collect_settings_writes()
        for name in self.list_names("target-"):
            await self.collect_record(name)


def _build_effect(target: str, row: dict[str, Any]) -> Effect:
    return Effect(
        target=target,
        effect=row["effect"],
        operation=row["operation"],
        marker=row["body"]["marker"],
        time=row["time"],
    )


def _build_run(target: str, row: dict[str, Any]) -> EngineRun:
    messages = tuple(
        ChatMessage(message["role"], message["content"]) for message in row["messages"]
    )
    return EngineRun(
        target=target,
        stream_id=row["stream_id"],
        session=row["session"],
        messages=messages,
        time=row["time"],
        state=row["state"],
        tokens=row["tokens"],
    )
