"""Backend servers as abstract classes: model engines and plain services, one plug-in a kind."""

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
