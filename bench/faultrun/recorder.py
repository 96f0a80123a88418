"""Collects the stand-ins' records into the evidence of a run."""

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

POLL_SECONDS = 0.5
STATUS_TIMEOUT_SECONDS = 1.0
HANGING_CALLS = 1_000_000
SETTLE_SECONDS = 0.05
EMPTY_GIVE_UP_SECONDS = 25.0
DAEMON_PREFIXES = ("entry-", "sidecar-")


@final
class Recorder:
    """Reads what the stand-ins recorded, also of those that are to be killed.

    Attributes:
        evidence: What was collected.
        up_since: When each daemon was last started or woken.
    """

    def __init__(self, deployment: Deployment, evidence: Evidence) -> None:
        self._deployment = deployment
        self.evidence = evidence
        self.up_since: dict[str, float] = {}
        for name in self.list_names(*DAEMON_PREFIXES):
            self.mark_up(name)

    def list_names(self, *prefixes: str) -> list[str]:
        """Returns the names of the processes that begin with one of the prefixes."""
        return [
            name for name in self._deployment.processes if name.startswith(prefixes)
        ]

    def mark_up(self, name: str) -> None:
        """Notes that a daemon was started or woken now."""
        self.up_since[name] = time.time()

    async def kill_target(self, name: str) -> None:
        """Kills a target and keeps its whole record.

        New calls hang first, so that none has an effect after the record is read.
        """
        await self._deployment.request(
            name, "PUT", "/control/faults", {"hang": HANGING_CALLS}
        )
        await trio.sleep(SETTLE_SECONDS)
        await self.keep_record(name)
        self._deployment.processes[name].kill()

    async def keep_record(self, name: str) -> None:
        """Adds the record of a target to the evidence."""
        rows = await self._deployment.read_record(name)
        for row in rows:
            if "effect" in row:
                self.evidence.effects.append(_build_effect(name, row))
            else:
                self.evidence.runs.append(_build_run(name, row))

    async def watch_settings(self) -> None:
        """Asks every daemon for its settings versions until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for name in self.list_names(*DAEMON_PREFIXES):
                    nursery.start_soon(self._ask_status, name)
            await trio.sleep(POLL_SECONDS)

    async def _ask_status(self, name: str) -> None:
        asked = time.time()
        try:
            reply = await self._deployment.transport.send(
                "GET",
                self._deployment.processes[name].address,
                STATUS_PATH,
                timeout=STATUS_TIMEOUT_SECONDS,
            )
            status: ProcessStatus = reply.decode(ProcessStatus)
        except (ConnectFailed, ExchangeBroken):
            return
        seen = SettingsSeen(
            process=name,
            asked=asked,
            up_since=self.up_since[name],
            versions=dict(status.settings_versions),
        )
        self.evidence.settings_seen.append(seen)

    async def keep_settings_writes(self) -> None:
        """Adds the object API's history of settings to the evidence."""
        reply = await self._deployment.request(
            "objectapi", "GET", f"/control/history?prefix={SETTINGS_PREFIX}"
        )
        for row in msgspec.json.decode(reply.body):
            write = SettingsWrite(
                team=row["key"].removeprefix(SETTINGS_PREFIX),
                version=row["version"],
                time=row["time"],
            )
            self.evidence.settings_writes.append(write)

    async def keep_sessions(self) -> None:
        """Waits until no engine holds a session, and adds what is held at last."""
        engines = self.list_names("target-llm-")
        with trio.move_on_after(EMPTY_GIVE_UP_SECONDS):
            while any([await self._read_sessions(name) for name in engines]):
                await trio.sleep(POLL_SECONDS)
        for name in engines:
            held = SessionsHeld(
                target=name,
                time=time.time(),
                sessions=await self._read_sessions(name),
            )
            self.evidence.sessions_held.append(held)

    async def _read_sessions(self, name: str) -> tuple[str, ...]:
        reply = await self._deployment.request(name, "GET", "/v1/cache")
        return tuple(msgspec.json.decode(reply.body)["sessions"])

    async def keep_all(self) -> None:
        """Adds everything that is left to collect at the end of a run."""
        await self.keep_sessions()
        await self.keep_settings_writes()
        for name in self.list_names("target-"):
            await self.keep_record(name)


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
