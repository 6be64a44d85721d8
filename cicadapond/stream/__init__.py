"""Token streams: responses assembled over several attempts, time-outs, and migration.

Streams migrate off an engine when its host is about to be reclaimed.
"""

from cicadapond.stream._answer import (
    AttemptBroken,
    DropReason,
    ProcessedEvents,
    ResponseState,
    Whole,
)
from cicadapond.stream._moving import (
    Movable,
    Move,
    MoveKind,
    MoveTarget,
    MovingPolicy,
    MovingSettings,
    moving_policies,
)
from cicadapond.stream._silence import PauseDetector, SilenceLimits

__all__ = [
    "ResponseState",
    "AttemptBroken",
    "DropReason",
    "Movable",
    "Move",
    "MoveKind",
    "MoveTarget",
    "MovingPolicy",
    "MovingSettings",
    "PauseDetector",
    "ProcessedEvents",
    "SilenceLimits",
    "Whole",
    "moving_policies",
]
