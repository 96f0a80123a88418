"""What placement knows of a call and of the targets that can take it."""

import msgspec

from goldcrestvane_common.ids import (
    DomainId,
    InstanceId,
    ProgramId,
    ServiceId,
    TeamId,
)


class Candidate(msgspec.Struct, frozen=True):
    """A live target of the service, named by the sidecar beside it."""

    instance: InstanceId
    domain: DomainId


class CallProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The facts of a call that bear on its placement.

    Attributes:
        team: Team of the program.
        program: Program that issues the call.
        service: Service to call.
        prompt_tokens: Tokens of the prompt; 0 for a tool call.
        alone: Whether the call must run alone on its target.
        excluded: Targets that were tried already or are leaving.
    """

    team: TeamId
    program: ProgramId
    service: ServiceId
    prompt_tokens: int = 0
    alone: bool = False
    excluded: frozenset[InstanceId] = frozenset()


class PlacementOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Constants of one owner's placement.

    Attributes:
        cross_domain_seconds: Cost of a call to another failure domain: its round trip.
        report_decay_seconds: Age at which a load report has lost 63% of its weight.
        default_slots: Slots of a target that has not reported yet.
        max_programs: Programs whose cache affinity is remembered.
        random_choices: Targets drawn at random for each call.
        eject_consecutive_failures: Failures in a row after which a target is left out.
        eject_share: Share of failures among the latest results from which a target is
            left out, once it has `eject_min_results` of them; above 1 never.
        eject_min_results: Results that a share needs.
        eject_seconds: First time that a target is left out; doubles each time.
        max_eject_seconds: Longest time that a target is left out.
    """

    cross_domain_seconds: float = 0.007
    report_decay_seconds: float = 2.0
    default_slots: int = 8
    max_programs: int = 20_000
    random_choices: int = 2
    eject_consecutive_failures: int = 3
    eject_share: float = 1.1
    eject_min_results: int = 5
    eject_seconds: float = 1.0
    max_eject_seconds: float = 30.0
