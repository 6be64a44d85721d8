"""Routing table: the route and client account of a request under the current configuration."""

from cicadapond.routes._active_configuration import ActiveConfiguration
from cicadapond.routes._table import (
    Admitted,
    BadKey,
    NoRoute,
    NotReady,
    RoutingTable,
    Verdict,
    choose_service,
)

__all__ = [
    "Admitted",
    "BadKey",
    "ActiveConfiguration",
    "NoRoute",
    "NotReady",
    "RoutingTable",
    "Verdict",
    "choose_service",
]
