"""Admission queue of one target, which its sidecar runs."""

from goldcrestvane_daemon.gate.gate import Gate, Permit
from goldcrestvane_daemon.gate.metrics import register_gate_metrics
from goldcrestvane_daemon.gate.options import GateOptions

__all__ = ["Gate", "GateOptions", "Permit", "register_gate_metrics"]
