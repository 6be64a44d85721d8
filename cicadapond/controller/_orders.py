"""Actions of a controller; each is idempotent and states the desired result."""

import dataclasses

from cicadapond.capacity import Target
from cicadapond.data import BackendServer, Order


@dataclasses.dataclass(frozen=True, slots=True)
class Buy:
    """Buy one host."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a host."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Make all processes stop sending new work to a server."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Let a server accept new work again."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """Send an order to an engine; the fencing number is set when it is sent."""

    server: BackendServer
    order: Order


Action = Buy | Release | BeginDrain | EndDrain | EngineOrder
