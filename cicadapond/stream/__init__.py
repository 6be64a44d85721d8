"""Token streams: responses assembled over several attempts, time-outs, and migration.

Streams migrate off an engine when its host is about to be reclaimed.
"""

from cicadapond.stream._answer import AnswerState, Broke, DropReason, ProcessedEvents, Whole
from cicadapond.stream._moving import (
    Movable,
    Move,
    MoveKind,
    MoveTarget,
    MovingPolicy,
    MovingSettings,
    moving_policies,
)
from cicadapond.stream._silence import PauseWatch, SilenceLimits

__all__ = [
    "AnswerState",
    "Broke",
    "DropReason",
    "Movable",
    "Move",
    "MoveKind",
    "MoveTarget",
    "MovingPolicy",
    "MovingSettings",
    "PauseWatch",
    "ProcessedEvents",
    "SilenceLimits",
    "Whole",
    "moving_policies",
]
