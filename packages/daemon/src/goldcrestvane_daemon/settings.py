"""Settings of a daemon process, read from flags and environment variables.

Each flag has an environment variable: ``--target_address`` is also read from
``GOLDCRESTVANE_TARGET_ADDRESS``. The flag takes precedence. All faults are reported
together.
"""

import os
from collections.abc import Mapping
from typing import final

import msgspec
from absl import flags

from goldcrestvane_common.ids import DomainId, InstanceId, ServiceId
from goldcrestvane_common.messages import (
    Role,
)
from goldcrestvane_common.settings import ServiceKind

ENVIRONMENT_PREFIX = "GOLDCRESTVANE_"
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MAX_SHARDS = 16_384

FLAGS = flags.FLAGS

flags.DEFINE_string(
    "role",
    None,
    "What this process does: entry or sidecar; on the platform frontend or ledger.",
)
flags.DEFINE_string("instance", None, "Unique id of this instance.")
flags.DEFINE_string("domain", None, "Failure domain of this instance.")
flags.DEFINE_string("listen", "127.0.0.1:0", "host:port to listen on.")
flags.DEFINE_string("platform", None, "host:port of the platform's object API.")
flags.DEFINE_string("instances", None, "host:port of the platform's instance list.")
flags.DEFINE_string("service", None, "Service of the target beside a sidecar.")
flags.DEFINE_string("target_kind", None, "Kind of the target: model or tool.")
flags.DEFINE_string("target_address", None, "host:port of the target.")
flags.DEFINE_integer("target_slots", 8, "Calls that the target runs at a time.")
flags.DEFINE_integer("shard_count", 32, "Shards in all; the same in every process.")
flags.DEFINE_string("log_level", "INFO", "Lowest level that is logged.")
flags.DEFINE_string(
    "peer_token",
    "",
    "Secret that all processes share; set it by the environment. Empty trusts the "
    "network.",
)
flags.DEFINE_string("trace_file", None, "File to which an entry records a trace.")

SETTING_NAMES = (
    "role",
    "instance",
    "domain",
    "listen",
    "platform",
    "instances",
    "service",
    "target_kind",
    "target_address",
    "target_slots",
    "shard_count",
    "log_level",
    "peer_token",
    "trace_file",
)


@final
class InvalidSettings(Exception):
    """The settings are not valid; the message lists all faults and how to fix them."""


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings of one process; the help of the flags describes each field."""

    role: Role
    instance: InstanceId
    domain: DomainId
    listen: str
    platform: str
    instances: str
    service: ServiceId | None = None
    target_kind: ServiceKind | None = None
    target_address: str | None = None
    target_slots: int = 8
    shard_count: int = 32
    log_level: str = "INFO"
    peer_token: str = ""
    trace_file: str | None = None


def read_environment(environment: Mapping[str, str]) -> None:
    """Sets each flag that is not on the command line from the environment.

    Raises:
        InvalidSettings: A value cannot be parsed.
    """
    faults = []
    for name in SETTING_NAMES:
        value = environment.get(ENVIRONMENT_PREFIX + name.upper())
        if value is None or FLAGS[name].present:
            continue
        try:
            FLAGS[name].parse(value)
        except flags.IllegalFlagValueError as error:
            faults.append(f"{ENVIRONMENT_PREFIX}{name.upper()}: {error}")
    if faults:
        raise InvalidSettings("\n".join(faults))


def load_settings() -> DaemonSettings:
    """Returns the validated settings of this process.

    Raises:
        InvalidSettings: The settings have faults; the message has one per line.
    """
    read_environment(os.environ)
    values = {name: getattr(FLAGS, name) for name in SETTING_NAMES}
    faults = _find_faults(values)
    if faults:
        raise InvalidSettings("\n".join(faults))
    return msgspec.convert(values, type=DaemonSettings)


def _find_faults(values: dict[str, object]) -> list[str]:
    required = ["role", "instance", "domain", "platform", "instances"]
    if values["role"] == Role.SIDECAR.value:
        required += ["service", "target_kind", "target_address"]
    faults = [
        f"--{name} is missing; give it as a flag or as "
        f"{ENVIRONMENT_PREFIX}{name.upper()}."
        for name in required
        if not values[name]
    ]
    choices = {
        "role": [role.value for role in Role],
        "target_kind": [kind.value for kind in ServiceKind],
        "log_level": list(LOG_LEVELS),
    }
    for name, allowed in choices.items():
        if values[name] and values[name] not in allowed:
            faults.append(
                f"--{name}: got {values[name]!r}, expected one of {', '.join(allowed)}."
            )
    for name in ("listen", "platform", "instances", "target_address"):
        if values[name] and not _is_address(str(values[name])):
            faults.append(f"--{name}: got {values[name]!r}, expected host:port.")
    limits = {"target_slots": 100_000, "shard_count": MAX_SHARDS}
    for name, limit in limits.items():
        number = values[name]
        if not isinstance(number, int) or not 1 <= number <= limit:
            faults.append(f"--{name}: got {number!r}, expected 1 to {limit}.")
    return faults


def _is_address(text: str) -> bool:
    host, separator, port = text.rpartition(":")
    return bool(host and separator) and port.isdigit() and int(port) < 65_536
