"""Data types of configuration, backend servers and requests, which decisions and programs share.

Apart from derived properties they have no behaviour.
"""

from cicadapond.serving._configuration import (
    ClientAccount,
    Configuration,
    EngineLimits,
    MemoryMoves,
    PartTelling,
    QuotaOverage,
    RequestLimits,
    Route,
    RouteKind,
    Scaling,
    Service,
    WeightedService,
)
from cicadapond.serving._requests import (
    CallerRequest,
    Dispatch,
    Generation,
    MemoryHandle,
    PromptPart,
    ResponseHead,
)
from cicadapond.serving._servers import LoadHeader, ServerEntry, ServerOrder

__all__ = [
    "CallerRequest",
    "ClientAccount",
    "Configuration",
    "Dispatch",
    "EngineLimits",
    "Generation",
    "LoadHeader",
    "MemoryHandle",
    "MemoryMoves",
    "PartTelling",
    "PromptPart",
    "QuotaOverage",
    "RequestLimits",
    "ResponseHead",
    "Route",
    "RouteKind",
    "Scaling",
    "ServerEntry",
    "ServerOrder",
    "Service",
    "WeightedService",
]
