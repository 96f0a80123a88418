"""Checks that accepted settings are soon in force everywhere and stay in force."""

from collections.abc import Iterator

from bench.checker.evidence_index import EvidenceIndex
from bench.checker.records import Breach, Evidence, Property, SettingsSeen

PROPAGATION_LIMIT_SECONDS = 4.0
"""Time within which an accepted settings version must be in force."""


def check_settings(evidence: Evidence, index: EvidenceIndex) -> Iterator[Breach]:
    """Yields reports of a version older than one reported before or one required.

    A version is required `PROPAGATION_LIMIT_SECONDS` after its write. If the process
    was started or resumed after the write, the limit counts from that time.
    """
    highest: dict[tuple[str, str], int] = {}
    for seen in sorted(evidence.settings_seen, key=lambda item: item.asked):
        for team, version in seen.versions.items():
            known = highest.get((seen.process, team), 0)
            if version < known:
                yield Breach(
                    Property.SETTINGS,
                    f"{seen.process} went back from version {known} of {team} to "
                    f"{version}.",
                    (f"asked {seen.asked:.3f}",),
                )
            highest[seen.process, team] = max(known, version)
        yield from _find_outdated(evidence, seen)


def _find_outdated(evidence: Evidence, seen: SettingsSeen) -> Iterator[Breach]:
    required: dict[str, int] = {}
    for write in evidence.settings_writes:
        if max(write.time, seen.up_since) + PROPAGATION_LIMIT_SECONDS < seen.asked:
            required[write.team] = max(required.get(write.team, 0), write.version)
    for team, version in required.items():
        reported = seen.versions.get(team, 0)
        if reported < version:
            yield Breach(
                Property.SETTINGS,
                f"{seen.process} had version {reported} of {team} in force when "
                f"{version} was required.",
                (f"asked {seen.asked:.3f}, up since {seen.up_since:.3f}",),
            )
