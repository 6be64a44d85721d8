"""Routes, services, client accounts and limits, as the operators write them.

Durations are `datetime.timedelta`.
"""

import datetime
import enum
import typing

import attrs


class RouteKind(enum.Enum):
    """How the requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service of a route and its weight in the distribution of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routing and limits of the requests to one host and path prefix.

    Attributes:
      timeout: The maximum duration of a request.
      objective: The target time to the response, or to the first event of a stream.
      max_attempts: The maximum number of times that one request is sent to a backend server.
      rank: The importance; 0 is the highest.
      is_public: Whether requests need no key.
      resumable: Whether another server may continue a stream after its last event.
      max_event_gap: The longest gap between events with which a stream meets its objective, None if
        there is no such limit.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: datetime.timedelta
    objective: datetime.timedelta
    max_attempts: int = 1
    rank: int = 0
    is_public: bool = False
    resumable: bool = False
    max_event_gap: datetime.timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class Scaling:
    """Bounds on the number of servers to order for a service, in each data centre.

    `boot` is the time that a server takes to start.  `prices` holds, by data centre, the price of
    an on-demand server per second; a reclaimable one costs `reclaimable_price` times as much.
    """

    minimum: int
    maximum: int
    boot: datetime.timedelta
    reclaimable_price: float
    prices: typing.Mapping[str, float]


@attrs.frozen
class MemoryMoves:
    """How the engines of a service copy the memory of a running request to each other.

    Attributes:
      token_bytes: The bytes of a token in an engine's memory.
      bandwidth_mbps: The bandwidth of an engine's link, in megabits per second.
      event_tokens: The tokens that each event of a stream adds.
    """

    token_bytes: int
    bandwidth_mbps: float
    event_tokens: int = 1


@attrs.frozen
class PartTelling:
    """How the engines of a service tell which prompt parts they keep in memory.

    Attributes:
      max_waiting_calls: How many calls for events an engine keeps waiting.
      token_bytes: The bytes of a token in an engine's memory.
    """

    max_waiting_calls: int
    token_bytes: int


@attrs.frozen
class EngineLimits:
    """Capacity of one engine: requests in its batch and tokens in its memory.

    `bandwidth_mbps` is that of its link, None if the configuration does not state it.
    `moves` is None if running requests must not be moved between the engines, `telling` if they do
    not tell which prompt parts they keep.
    """

    slots: int
    tokens: int
    bandwidth_mbps: float | None = None
    moves: MemoryMoves | None = None
    telling: PartTelling | None = None


@attrs.frozen
class Service:
    """A serving pool or a plain service."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    scaling: Scaling | None = None


@attrs.frozen
class ClientAccount:
    """A client account: its keys and its quota.

    `rate` (units per second) and `burst` (units) are 0 if there is no quota.  A unit is a token
    if `counts_tokens` is set, else a request; a request without a token count is charged
    `default_tokens`.  `rank` is its importance, 0 the highest; if it is None, only the route's rank
    counts.
    """

    name: str
    keys: frozenset[str]
    rate: float = 0.0
    burst: float = 0.0
    rank: int | None = None
    counts_tokens: bool = False
    default_tokens: int = 0


@attrs.frozen
class QuotaOverage:
    """How much more than its quota an account may be admitted.

    Attributes:
      share: The share of what the quota admits within the window, burst included.
      tolerance: What may be admitted in addition to that, in units.
      window: The length of any window in which it is measured.
    """

    share: float = 0.0
    tolerance: float = 0.0
    window: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class RequestLimits:
    """Size and time limits on what a caller sends."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@attrs.frozen
class Configuration:
    """One version of the configuration; `accounts` is None if no request needs a key."""

    version: int
    routes: tuple[Route, ...]
    services: typing.Mapping[str, Service]
    limits: RequestLimits
    accounts: tuple[ClientAccount, ...] | None = None
