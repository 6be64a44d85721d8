"""What a controller decides to do; each is idempotent and says what shall be."""

import dataclasses

from cicadapond.capacity import Target
from cicadapond.data import BackendServer, Order


@dataclasses.dataclass(frozen=True, slots=True)
class Buy:
    """Buy one host."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give a host back."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Have every process send a server no new work."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Have a server take new work again."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """Give an engine an order; the fencing number is put in as it leaves."""

    server: BackendServer
    order: Order


Action = Buy | Release | BeginDrain | EndDrain | EngineOrder
