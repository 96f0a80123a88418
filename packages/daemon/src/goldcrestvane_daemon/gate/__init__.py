"""The queue in front of one target, used in the sidecar beside it."""

from goldcrestvane_daemon.gate.gate import Gate, Permit
from goldcrestvane_daemon.gate.metrics import register_gate_metrics
from goldcrestvane_daemon.gate.options import GateOptions

__all__ = ["Gate", "GateOptions", "Permit", "register_gate_metrics"]
