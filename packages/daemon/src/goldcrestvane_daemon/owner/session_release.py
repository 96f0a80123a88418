"""Frees engine memory of ended programs and ends programs that exceed their time."""

import time
from collections.abc import Callable, Iterable
from typing import final

import trio

from goldcrestvane_common.errors import BudgetExceeded, ServiceError
from goldcrestvane_common.ids import InstanceId, ProgramId, TeamId
from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.messages import (
    ReleaseRequest,
)
from goldcrestvane_common.paths import (
    RELEASE_PATH,
)
from goldcrestvane_common.programs import (
    ProgramEndRequest,
)
from goldcrestvane_daemon.owner import records
from goldcrestvane_daemon.owner.budgets import get_remaining_seconds
from goldcrestvane_daemon.owner.shard import (
    OwnedShard,
)
from goldcrestvane_daemon.owner.state import Program
from goldcrestvane_daemon.owner.target_connector import TargetConnector, TargetDirectory

RELEASE_INTERVAL_SECONDS = 0.5

logger = get_logger("release")


@final
class SessionReleaser:
    """Tells engines to free the memory of ended programs.

    The command is repeated until each engine has executed it or its instance is no
    longer listed. The journal contains the targets of each program, so the next owner
    continues after a takeover.
    """

    def __init__(
        self,
        *,
        connector: TargetConnector,
        directory: TargetDirectory,
        list_shards: Callable[[], Iterable[OwnedShard]],
        forget_program: Callable[[TeamId, ProgramId], None],
    ) -> None:
        """Creates a releaser.

        Args:
            connector: Sends the commands.
            directory: Finds the sidecars beside the engines.
            list_shards: Returns the owned shards.
            forget_program: Called for each program whose engine memory is free.
        """
        self._forget_program = forget_program
        self._connector = connector
        self._directory = directory
        self._list_shards = list_shards

    async def run(self) -> None:
        """Releases and ends programs until cancelled."""
        while True:
            for shard in list(self._list_shards()):
                try:
                    await self._process_shard(shard)
                except ServiceError as error:
                    logger.info("shard %s cannot be processed: %s", shard.shard, error)
            await trio.sleep(RELEASE_INTERVAL_SECONDS)

    async def _process_shard(self, shard: OwnedShard) -> None:
        for program in list(shard.state.programs.values()):
            if program.is_open:
                await self._end_overdue(shard, program)
            elif program.sessions and not self._has_calls(shard, program):
                await self._release(shard, program)

    def _has_calls(self, shard: OwnedShard, program: Program) -> bool:
        return any(key == program.key for key, _ in shard.executions)

    async def _end_overdue(self, shard: OwnedShard, program: Program) -> None:
        try:
            get_remaining_seconds(shard.state, program, now=time.time())
        except BudgetExceeded:
            logger.info("program %s has exhausted its time budget", program.key[1])
            await shard.end_program(
                ProgramEndRequest(*program.key), reason="budget.seconds"
            )

    async def _release(self, shard: OwnedShard, program: Program) -> None:
        command = ReleaseRequest(*program.key, shard.shard, shard.journal.epoch)
        freed = [
            await self._release_at(instance, command)
            for instance in sorted(program.sessions)
        ]
        if all(freed):
            shard.append(records.SessionsReleased(*program.key))
            self._forget_program(*program.key)

    async def _release_at(self, instance: InstanceId, command: ReleaseRequest) -> bool:
        target = self._directory.find_instance(instance)
        if target is None:
            return True
        return await self._connector.send_command(target, RELEASE_PATH, command)
