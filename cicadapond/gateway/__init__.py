"""The gateway: forwards callers' requests to backend servers over the platform's protocols."""

from cicadapond.gateway._cloud import Cloud, Declined, Holder, ServerOrder
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
from cicadapond.gateway._header_codec import HeaderCodec, Malformed
from cicadapond.gateway._rollout_codec import RolloutCodec

__all__ = [
    "AnotherServer",
    "Cloud",
    "Declined",
    "EngineCalls",
    "HeaderCodec",
    "Holder",
    "KeptAtSource",
    "Malformed",
    "MoveDeclined",
    "MoveResult",
    "MoveUnknown",
    "Moved",
    "NotReached",
    "RolloutCodec",
    "ServerOrder",
    "StatedStart",
]
