"""Settings: in force everywhere soon after they were accepted, and for good."""

from collections.abc import Iterator

from bench.checker.records import Breach, Evidence, Property, SettingsSeen
from bench.checker.traces import Trace

IN_FORCE_SECONDS = 4.0


def check_settings(evidence: Evidence, trace: Trace) -> Iterator[Breach]:
    """Yields versions that fell, and versions that came too late.

    A process that was started or woken has the same time from then on.
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
        yield from _find_late(evidence, seen)


def _find_late(evidence: Evidence, seen: SettingsSeen) -> Iterator[Breach]:
    due: dict[str, int] = {}
    for write in evidence.settings_writes:
        if max(write.time, seen.up_since) + IN_FORCE_SECONDS < seen.asked:
            due[write.team] = max(due.get(write.team, 0), write.version)
    for team, version in due.items():
        got = seen.versions.get(team, 0)
        if got < version:
            yield Breach(
                Property.SETTINGS,
                f"{seen.process} had version {got} of {team} when {version} was due.",
                (f"asked {seen.asked:.3f}, up since {seen.up_since:.3f}",),
            )
