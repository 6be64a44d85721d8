"""Placement: chooses the backend server of each request of the gateway."""

from cicadapond.placing._candidate import InFlightRequest, Placement
from cicadapond.placing._health import ServerHealth
from cicadapond.placing._holding import should_hold
from cicadapond.placing._placer import (
    LONG_PREFILL_MS,
    Placer,
)
from cicadapond.placing._prefixes import PrefixCacheModel, shared_parts
from cicadapond.placing._reach import ServiceReach
from cicadapond.placing._server_load import EngineWork

__all__ = [
    "LONG_PREFILL_MS",
    "EngineWork",
    "Placement",
    "Placer",
    "PrefixCacheModel",
    "ServerHealth",
    "ServiceReach",
    "InFlightRequest",
    "shared_parts",
    "should_hold",
]
