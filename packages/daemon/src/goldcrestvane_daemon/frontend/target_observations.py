"""What this frontend observed of targets, and what it adopts from other frontends."""

from typing import final

import trio

from goldcrestvane_common.ids import ServiceId
from goldcrestvane_daemon.ledger.observations import TargetObservation
from goldcrestvane_daemon.targets import ReportedLoad, TargetTable


@final
class TableObservations:
    """The reports of targets in a target table."""

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def collect(self, service: ServiceId) -> list[TargetObservation]:
        """Returns the reports that this frontend got from a service's targets itself."""
        now = trio.current_time()
        observations = []
        for target in self._table.list_ready(service):
            report, reported_at = self._table.get_load(target).own_report
            if report is not None and report.slowdown is not None:
                observations.append(
                    TargetObservation(
                        target=target.instance,
                        born_ms=target.born_ms,
                        running=report.running,
                        waiting=report.waiting,
                        slots=report.slots,
                        slowdown=report.slowdown,
                        age=now - reported_at,
                    )
                )
        return observations

    def adopt(self, service: ServiceId, observations: list[TargetObservation]) -> None:
        """Updates the loads of targets by reports that other frontends got."""
        now = trio.current_time()
        for each in observations:
            target = self._table.get(each.target)
            if target is None or target.service != service:
                continue
            if target.born_ms != each.born_ms:
                # The report is of an earlier or later start of the target.
                continue
            load = ReportedLoad(
                running=each.running,
                waiting=each.waiting,
                slots=each.slots,
                slowdown=each.slowdown,
            )
            self._table.get_load(target).adopt(load, reported_at=now - each.age)
