"""Streams: whole answers from attempts that break, limits of silence, moving on a notice."""

from cicadapond.stream._answer import AnswerState, Broke, Dropped, Taken, Whole
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
    "Dropped",
    "Movable",
    "Move",
    "MoveKind",
    "MoveTarget",
    "MovingPolicy",
    "MovingSettings",
    "PauseWatch",
    "SilenceLimits",
    "Taken",
    "Whole",
    "moving_policies",
]
