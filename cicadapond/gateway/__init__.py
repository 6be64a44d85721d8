"""The gateway: forwards callers' requests to backend servers over the platform's protocols."""

from cicadapond.gateway._cloud import Cloud, Declined, Holder
from cicadapond.gateway._engine_calls import (
    AnotherServer,
    EngineCalls,
    KeptAtSource,
    Moved,
    MoveDeclined,
    MoveResult,
    MoveUnknown,
    NotReached,
    StatedStart,
)
from cicadapond.gateway._rollout_codec import RolloutCodec

__all__ = [
    "AnotherServer",
    "Cloud",
    "Declined",
    "EngineCalls",
    "Holder",
    "KeptAtSource",
    "MoveDeclined",
    "MoveResult",
    "MoveUnknown",
    "Moved",
    "NotReached",
    "RolloutCodec",
    "StatedStart",
]
