"""Settings file that the platform provides for each process."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from goldcrestvane_common.ids import DomainId, InstanceId
from goldcrestvane_daemon.accounts.directory import QuotaTolerance
from goldcrestvane_daemon.settings import InvalidSettings

SETTINGS_PATH_VARIABLE = "GOLDCRESTVANE_BOOT"


class UnusableSettingsFile(InvalidSettings):
    """The settings file is missing, unreadable or malformed, perhaps half written."""


class _ListenAddresses(msgspec.Struct, frozen=True):
    frontend: str | None = None
    ready: str | None = None
    control_plane: str | None = None


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float = 0
    file_descriptors: int = 1024
    disk_mb: float = 0


class _Tolerance(msgspec.Struct, frozen=True):
    machines: int = 0


class _Bounds(msgspec.Struct, frozen=True):
    drain_ms: float = 2000
    grace_s: float = 8
    stable_window_ms: float = 3000
    config_propagation_ms: float = 2000
    revocation_strict: bool = False
    revocation_ms: float = 5000
    quota_window_s: float = 5
    quota_overage: float = 0.1
    quota_tolerance: float = 20


class _Platform(msgspec.Struct, frozen=True):
    address: str = ""


class _SettingsFile(msgspec.Struct, frozen=True):
    """Schema of the file; unknown keys are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_port_range: list[int]
    platform: _Platform
    bootstrap: bool = False
    heartbeat_interval_ms: float = 1200
    data_directory: str | None = None
    seeds: list[str] = []
    listen_addresses: _ListenAddresses = _ListenAddresses()
    limits: _Limits = _Limits()
    fault_tolerance: _Tolerance = _Tolerance()
    bounds: _Bounds = _Bounds()


class MachineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the machine and of the deployment.

    Attributes:
        instance: Name of the machine, which runs at most one process of each role.
        domain: Failure domain of the machine.
        host: IP address of the machine.
        peer_port: First port for traffic between the system's processes.
        peer_port_count: Number of ports for that traffic.
        store_address: ``host:port`` of the platform's object store.
        client_address: ``host:port`` on which to serve clients, if any.
        frontend_peer_address: ``host:port`` on which to serve other frontends.
        frontend_seeds: Peer addresses of a few frontends, some of which may be stale.
        ready_address: ``host:port`` for the load balancer's readiness probes, if any.
        data_folder: Folder on the machine's disk, if it has one.
        tolerated_losses: Number of machines with disks that may be lost simultaneously.
        drain_seconds: Time after which a leaving target must get no new calls.
        propagation_seconds: Time within which a configuration must be in force.
        stable_seconds: Time after an outage within which the copies of the platform's
            objects must be current.
        heartbeat_seconds: Interval at which a target writes its entry.
        grace_seconds: Time between the shutdown signal and the kill.
        memory_mb: Memory limit at which the platform kills the process.
        disk_mb: Size of the machine's disk.
        revocation_seconds: Time after which no call with a revoked API key may run, on
            any machine; None if revocations have no bound of their own.
        quota_tolerance: Bounds within which quotas are enforced.
    """

    instance: InstanceId
    domain: DomainId
    host: str
    peer_port: int
    peer_port_count: int
    store_address: str
    client_address: str | None = None
    frontend_peer_address: str | None = None
    frontend_seeds: tuple[str, ...] = ()
    ready_address: str | None = None
    data_folder: Path | None = None
    tolerated_losses: int = 1
    drain_seconds: float = 2.0
    propagation_seconds: float = 2.0
    stable_seconds: float = 3.0
    heartbeat_seconds: float = 1.2
    grace_seconds: float = 8.0
    memory_mb: float = 0
    disk_mb: float = 0
    revocation_seconds: float | None = None
    quota_tolerance: QuotaTolerance = QuotaTolerance()

    @property
    def peer_address(self) -> str:
        """``host:port`` on which this machine's ledger process serves its peers."""
        return f"{self.host}:{self.peer_port}"


def read_machine_settings(
    environment: Mapping[str, str] = os.environ,
) -> MachineSettings:
    """Returns the settings of this machine.

    Raises:
        UnusableSettingsFile: The file is missing, unreadable or malformed.
        InvalidSettings: The environment does not name a file.
    """
    path = environment.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise InvalidSettings(
            f"{SETTINGS_PATH_VARIABLE} is not set; give it the path of the settings "
            "file, or use the roles entry and sidecar."
        )
    try:
        return decode_machine_settings(Path(path).read_text())
    except OSError as error:
        raise UnusableSettingsFile(f"{path} cannot be read: {error}.") from error
    except (ValueError, msgspec.ValidationError) as error:
        raise UnusableSettingsFile(f"{path}: {error}.") from error


def decode_machine_settings(text: str) -> MachineSettings:
    """Decodes the text of a settings file."""
    raw = msgspec.convert(tomllib.loads(text), type=_SettingsFile)
    first, last = raw.internal_port_range
    return MachineSettings(
        instance=InstanceId(raw.node_name),
        domain=DomainId(raw.zone),
        host=raw.ip,
        peer_port=first,
        peer_port_count=last - first + 1,
        store_address=raw.platform.address,
        client_address=raw.listen_addresses.frontend,
        # The control plane address is available for traffic between the
        # system's processes.
        frontend_peer_address=raw.listen_addresses.control_plane,
        frontend_seeds=tuple(raw.seeds),
        ready_address=raw.listen_addresses.ready,
        data_folder=Path(raw.data_directory) if raw.data_directory else None,
        tolerated_losses=raw.fault_tolerance.machines,
        drain_seconds=raw.bounds.drain_ms / 1000,
        propagation_seconds=raw.bounds.config_propagation_ms / 1000,
        stable_seconds=raw.bounds.stable_window_ms / 1000,
        heartbeat_seconds=raw.heartbeat_interval_ms / 1000,
        grace_seconds=raw.bounds.grace_s,
        memory_mb=raw.limits.memory_mb,
        disk_mb=raw.limits.disk_mb,
        revocation_seconds=raw.bounds.revocation_ms / 1000
        if raw.bounds.revocation_strict
        else None,
        quota_tolerance=QuotaTolerance(
            window_seconds=raw.bounds.quota_window_s,
            overage=raw.bounds.quota_overage,
            requests=raw.bounds.quota_tolerance,
        ),
    )
