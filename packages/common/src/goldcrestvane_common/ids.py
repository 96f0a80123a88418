"""Identifiers that processes exchange."""

from typing import NewType

import xxhash

TeamId = NewType("TeamId", str)
ProgramId = NewType("ProgramId", str)
"""A program's path: the id of the root program, then one part for each sub-agent level.

Parts are separated by ``/``. All programs of a tree hash to the same shard, so that
the owner of the children also decides about the budget and the end of their parent.
"""
CallId = NewType("CallId", str)
InstanceId = NewType("InstanceId", str)
DomainId = NewType("DomainId", str)
ServiceId = NewType("ServiceId", str)
ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
Fingerprint = NewType("Fingerprint", str)
AccountId = NewType("AccountId", str)
KeyId = NewType("KeyId", str)
"""Short digest that names an API key in log lines."""

Version = NewType("Version", int)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a target's software, as its entry states it; versions have no order."""

StreamOrigin = NewType("StreamOrigin", str)
"""Service and software version that began a stream; only these can continue it."""


def get_root_program(program: ProgramId) -> ProgramId:
    """Returns the id of the program at the root of a program's tree."""
    return ProgramId(program.split("/", 1)[0])


def get_parent_program(program: ProgramId) -> ProgramId | None:
    """Returns the id of the program that started this one, or None for a root."""
    parent, separator, _ = program.rpartition("/")
    return ProgramId(parent) if separator else None


def get_program_depth(program: ProgramId) -> int:
    """Returns the number of ancestors of a program."""
    return program.count("/")


def hash_text(text: str) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


def locate_shard(team: TeamId, program: ProgramId, *, shard_count: int) -> ShardId:
    """Returns the shard that holds a program and all its sub-agents."""
    return ShardId(hash_text(f"{team}\n{get_root_program(program)}") % shard_count)
