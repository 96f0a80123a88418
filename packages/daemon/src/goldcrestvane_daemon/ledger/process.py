"""Process of the ledger role, which runs a member or a standby for one."""

import errno
import socket
from pathlib import Path
from typing import NamedTuple, final

import trio

from goldcrestvane_common.logs import get_logger
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.ledger.compaction import Compactor
from goldcrestvane_daemon.ledger.frames import UnsentResponses, serve_frames
from goldcrestvane_daemon.ledger.limits import StorageLimits
from goldcrestvane_daemon.ledger.log import EntryLog
from goldcrestvane_daemon.ledger.membership import LedgerMembership
from goldcrestvane_daemon.ledger.messages import Failed, Request
from goldcrestvane_daemon.ledger.quotas import QuotaIssuer
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.view import Member
from goldcrestvane_daemon.listening import measure_start
from goldcrestvane_daemon.metrics_server import serve_metrics
from goldcrestvane_daemon.platform.machine import MachineSettings
from goldcrestvane_daemon.platform.store import StoreClient
from goldcrestvane_daemon.settings import InvalidSettings
from goldcrestvane_daemon.shutdown_signals import handle_signals

REQUEST_FAILED = Failed("the request met an unexpected error; see the member's log")

DISK_RETRY_SECONDS = 1.0

UNUSABLE_FOLDER_ERRORS = frozenset(
    (
        errno.EACCES,
        errno.EEXIST,
        errno.EISDIR,
        errno.ENOTDIR,
        errno.EPERM,
        errno.EROFS,
    )
)
"""Errors that do not pass by themselves. Those of full, slow or failing disks may."""

logger = get_logger("ledger")


@final
class LedgerProcess:
    """Runs one ledger process until it receives a shutdown signal."""

    def __init__(
        self, settings: MachineSettings, listener: socket.socket | None
    ) -> None:
        """Creates the process.

        Args:
            settings: Settings of the machine.
            listener: Socket that listens on the address for peers.
        """
        self._settings = settings
        self._listener = listener

    async def run(self) -> None:
        """Runs until SIGTERM."""
        settings = self._settings
        if settings.data_folder is None or self._listener is None:
            raise InvalidSettings(
                "The ledger needs a disk; run it on a machine with a data directory."
            )
        shutdown = trio.Event()
        # The process is not yet in a nursery while it waits for its disk.
        trio.lowlevel.spawn_system_task(handle_signals, shutdown)
        limits = StorageLimits.build(
            memory_mb=settings.memory_mb, disk_mb=settings.disk_mb
        )
        opened = await open_log(settings.data_folder, limits, shutdown)
        if opened is None:
            logger.info("stopped before the disk worked")
            return
        log, state, record_count = opened
        service = LedgerService(settings.instance, log, state)
        view = log.read_view()
        if view is not None:
            service.adopt(view)
        service.quotas = QuotaIssuer(
            instance=settings.instance,
            log=log,
            tolerance=settings.quota_tolerance,
            get_pending=lambda: service.holdings.pending,
        )
        local_member = Member(
            instance=settings.instance,
            address=settings.peer_address,
            domain=settings.domain,
            disk=log.disk,
        )
        logger.info(
            "started",
            extra={
                "start_ms": measure_start(),
                "disk": log.disk,
                "records": record_count,
                "turns": len(state.turns),
                "used": log.used_bytes,
                "votes": service.votes,
            },
        )
        async with Transport() as transport, trio.open_nursery() as nursery:
            membership = LedgerMembership(
                local_member=local_member,
                tolerated_losses=settings.tolerated_losses,
                store=StoreClient(transport, settings.store_address),
                service=service,
                state=state,
                log=log,
                nursery=nursery,
            )

            service.enable_forwarding(membership.call_member, nursery)

            unsent = UnsentResponses(
                limits.unsent_bytes, Failed("too many responses wait for slow readers")
            )

            async def serve(stream: trio.SocketStream) -> None:
                await serve_frames(
                    stream, Request, service.handle, unsent, failure=REQUEST_FAILED
                )

            nursery.start_soon(log.run)
            nursery.start_soon(Compactor(log, state).run)
            nursery.start_soon(service.run_expiry)
            nursery.start_soon(membership.run)
            nursery.start_soon(serve_metrics, settings.host)
            wrapped = trio.socket.from_stdlib_socket(self._listener)
            nursery.start_soon(
                trio.serve_listeners, serve, [trio.SocketListener(wrapped)]
            )
            await shutdown.wait()
            nursery.cancel_scope.cancel()
        log.close()
        logger.info("stopped")


class OpenedLog(NamedTuple):
    """The log of a member that has read its disk.

    Attributes:
        log: The log.
        state: State that was restored from it.
        record_count: Number of restored records.
    """

    log: EntryLog
    state: LedgerState
    record_count: int


async def open_log(
    folder: Path, limits: StorageLimits, shutdown: trio.Event
) -> OpenedLog | None:
    """Returns the log in a folder once the disk works, or None after a shutdown.

    Raises:
        InvalidSettings: The folder cannot be used until an operator changes it.
    """
    reported = ""
    while not shutdown.is_set():
        state = LedgerState(limits)
        log = EntryLog(folder, state)
        try:
            return OpenedLog(log, state, await log.open())
        except OSError as error:
            log.close()
            if error.errno in UNUSABLE_FOLDER_ERRORS:
                raise InvalidSettings(
                    f"data_directory: got {str(folder)!r}: {error}; give the process a "
                    "folder that it may write."
                ) from error
            if str(error) != reported:
                logger.error(
                    "the disk does not work; trying again", extra={"reason": str(error)}
                )
            reported = str(error)
        with trio.move_on_after(DISK_RETRY_SECONDS):
            await shutdown.wait()
    return None
