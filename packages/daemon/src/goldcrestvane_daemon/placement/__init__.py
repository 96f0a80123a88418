"""Placement: the owner of a program chooses a target for each of its calls."""

from goldcrestvane_daemon.placement.budget import RetryBudget
from goldcrestvane_daemon.placement.choice import Choice, TargetEstimate, choose_target
from goldcrestvane_daemon.placement.inputs import (
    CallProfile,
    Candidate,
    PlacementOptions,
)
from goldcrestvane_daemon.placement.pause_policy import PauseAction, choose_pause_action
from goldcrestvane_daemon.placement.placement import Attempt, Placement

__all__ = [
    "Attempt",
    "CallProfile",
    "Candidate",
    "Choice",
    "PauseAction",
    "Placement",
    "PlacementOptions",
    "RetryBudget",
    "TargetEstimate",
    "choose_pause_action",
    "choose_target",
]
