"""Abstract classes of backend servers: model engines and plain services, one plug-in per kind."""

from cicadapond.backend._api import (
    Accepted,
    Engine,
    EngineStream,
    NotSent,
    OrderRefused,
    PlainService,
    engines,
    plain_services,
)

__all__ = [
    "Accepted",
    "Engine",
    "EngineStream",
    "NotSent",
    "OrderRefused",
    "PlainService",
    "engines",
    "plain_services",
]
