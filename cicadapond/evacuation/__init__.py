"""Decides which streams leave an engine that is being withdrawn, and to which engine; no I/O."""

from cicadapond.evacuation._notices import LeavingNotices
from cicadapond.evacuation._planner import EngineRoom, Move, MovePlanner, RunningStream
from cicadapond.evacuation._transfer import TransferTimes

__all__ = [
    "EngineRoom",
    "LeavingNotices",
    "Move",
    "MovePlanner",
    "RunningStream",
    "TransferTimes",
]
