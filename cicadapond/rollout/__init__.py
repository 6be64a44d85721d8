"""Rollouts: shifts the traffic of a service to a new version, and back if the version is bad.

Used by the gateway.  Each process splits its own traffic and judges by itself; the holder of the
duties decides on the phases.
"""

from cicadapond.rollout._data import (
    ALL_ROUTES,
    ExposureBounds,
    Judgement,
    Observation,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutView,
    Verdict,
)
from cicadapond.rollout._next_state import next_state
from cicadapond.rollout._rollouts import Rollouts

__all__ = [
    "ALL_ROUTES",
    "ExposureBounds",
    "Judgement",
    "Observation",
    "Phase",
    "RolloutOrder",
    "RolloutState",
    "RolloutView",
    "Rollouts",
    "Verdict",
    "next_state",
]
