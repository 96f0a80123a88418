"""Inputs of placement: the call, the candidate targets and the options."""

import msgspec

from goldcrestvane_common.ids import (
    DomainId,
    InstanceId,
    ProgramId,
    ServiceId,
    TeamId,
)


class Candidate(msgspec.Struct, frozen=True):
    """A live target of the service, identified by its sidecar."""

    instance: InstanceId
    domain: DomainId


class CallProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a call that affect its placement.

    Attributes:
        team: Team of the program.
        program: Program that issued the call.
        service: Service to call.
        prompt_tokens: Number of prompt tokens; 0 for a tool call.
        alone: Whether the call must run alone on its target.
        excluded: Targets that were already tried or are leaving.
    """

    team: TeamId
    program: ProgramId
    service: ServiceId
    prompt_tokens: int = 0
    alone: bool = False
    excluded: frozenset[InstanceId] = frozenset()


class PlacementOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one owner's placement.

    Attributes:
        cross_domain_seconds: Cost of a call to another failure domain, which is the
            round-trip time.
        report_decay_seconds: Age at which a load report has lost 63% of its weight.
        default_slots: Assumed slots of a target that has not reported its load.
        max_programs: Number of programs whose cache affinity is tracked.
        random_choices: Number of targets sampled at random for each call.
        eject_consecutive_failures: Consecutive failures after which a target is
            ejected.
        eject_failure_share: Failure share from which a target with at least
            `eject_min_results` results is ejected; above 1 disables the rule.
        eject_min_results: Minimum number of results for `eject_failure_share` to apply.
        first_ejection_seconds: Duration of the first ejection; it doubles with each further one.
        max_ejection_seconds: Maximum duration of an ejection.
    """

    cross_domain_seconds: float = 0.007
    report_decay_seconds: float = 2.0
    default_slots: int = 8
    max_programs: int = 20_000
    random_choices: int = 2
    eject_consecutive_failures: int = 3
    eject_failure_share: float = 1.1
    eject_min_results: int = 5
    first_ejection_seconds: float = 1.0
    max_ejection_seconds: float = 30.0
