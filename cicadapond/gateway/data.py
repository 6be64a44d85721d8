"""Plain immutable data types of the gateway: what callers ask, and what operators allow.

Nothing here does anything.  Durations are `datetime.timedelta`; instants are monotonic ones of
the process that holds them.
"""

import datetime
import enum
import typing

import attrs

from cicadapond.data import Endpoint

ZERO = datetime.timedelta()

# What operators allow


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go, and within which limits.

    Attributes:
      timeout: The longest time that a request may take here.
      objective: The time to the answer, or to a stream's first event, that callers aim at.
      max_attempts: The most backend servers that one request may be sent to.
      rank: Its importance; 0 is the highest.
      is_public: Whether it needs no key.
      resumable: Whether a stream may go on at another server after its last event.
      pause: The longest pause between the events of a stream that is still in time.
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
    pause: datetime.timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@attrs.frozen
class Scaling:
    """Within which bounds a service's servers may be ordered, for each data centre.

    `prices` are per data centre and second of an on-demand server; a reclaimable one costs
    `reclaimable_price` times as much.
    """

    minimum: int
    maximum: int
    boot: datetime.timedelta
    reclaimable_price: float
    prices: typing.Mapping[str, float]


@attrs.frozen
class EngineLimits:
    """What one engine of a service holds: requests in its batch, and tokens in memory."""

    slots: int
    tokens: int


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

    `rate` (units a second) and `burst` (units) are 0 where there is no quota; `counts_tokens`
    says whether a unit is a token or a request, and a request without a token count is worth
    `default_tokens`.
    """

    name: str
    keys: frozenset[str]
    rate: float = 0.0
    burst: float = 0.0
    rank: int | None = None
    counts_tokens: bool = False
    default_tokens: int = 0


@attrs.frozen
class RequestLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@attrs.frozen
class Configuration:
    """One version of what operators want; `accounts` is None where no request needs a key."""

    version: int
    routes: tuple[Route, ...]
    services: typing.Mapping[str, Service]
    limits: RequestLimits
    accounts: tuple[ClientAccount, ...] | None = None


# Backend servers


@attrs.frozen
class ServerEntry:
    """A backend server as the directory lists it.

    Attributes:
      name: The name of this start; requests are addressed to it.
      born: The start's time in Unix milliseconds, 0 if it is not told; a name may start again.
      is_leaving: Whether it takes no new requests.
      is_reclaimable: Whether its data centre may take it away.
      left: How long a leaving server still runs, if it is known.
    """

    name: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    born: int = 0
    is_leaving: bool = False
    is_reclaimable: bool = False
    left: datetime.timedelta | None = None


# Requests


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests share, by its hash, and its tokens."""

    name: str
    tokens: int


@attrs.frozen
class Generation:
    """What a request for generated tokens asks of an engine."""

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def tokens(self) -> int:
        """All tokens that the request may hold in an engine's memory."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class CallerRequest:
    """A whole request as a caller sent it, with what the product reads from its headers.

    `headers` are passed on; they leave out what concerns one connection only and what the
    product sets itself.  `patience` is how long the caller waits, None where it does not say.
    """

    id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    key: str | None = None
    patience: datetime.timedelta | None = None
    last_event_id: str | None = None
    generation: Generation | None = None


@attrs.frozen
class Dispatch:
    """What goes with a request to a backend server."""

    server: ServerEntry
    left: datetime.timedelta
    account: str | None = None
    last_event_id: str | None = None
    priority: int | None = None


# Answers


@attrs.frozen
class LoadHeader:
    """What a server says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """The head of a backend server's answer, with what the product reads from it.

    Attributes:
      headers: What is passed on to the caller.
      request_id: The request that it answers, None if it names none.
      is_signed: Whether the server vouches for it.
      refused: Whether the server says that it did not run the request.
      keep_idle: How long the server keeps an idle connection, None if it does not say.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None = None
    is_signed: bool = False
    refused: bool = False
    closes: bool = False
    load: LoadHeader | None = None
    keep_idle: datetime.timedelta | None = None
    is_encoded: bool = False


# This process


@attrs.frozen
class Bounds:
    """Figures of the deployment that decisions must keep.

    Attributes:
      revocation: No request runs by a key later than this after the key was taken away.
      grace: The time from SIGTERM to SIGKILL.
      retry_ratio: Repeats that a service may get per request, over `retry_window`.
      retry_slack: Repeats that a service may get besides.
      lease: Within this time a duty must not pass to another process and back.
      usage_window: The length of a usage report.
      usage_due: How long after a window's end its report is due.
    """

    revocation: datetime.timedelta | None
    grace: datetime.timedelta
    retry_ratio: float
    retry_window: datetime.timedelta
    retry_slack: float
    lease: datetime.timedelta
    usage_window: datetime.timedelta
    usage_due: datetime.timedelta


@attrs.frozen
class Duties:
    """Which of the platform's calls the holder of the lease makes, and how often at most."""

    reports_usage: bool
    orders_servers: bool
    calls_per_second: float


@attrs.frozen
class GatewaySettings:
    """What one gateway process is told.

    Attributes:
      callers: Where it accepts callers.
      readiness: Where it says whether it is ready.
      peers: The addresses that it may use among processes of the system.
      metrics: Where it serves counters and histograms, if at all.
      store: Where the platform's store is.
      cloud: Where the platform's cloud API is, if any duty needs it.
      is_first_start: Whether the whole system starts for the first time.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    callers: Endpoint
    readiness: Endpoint
    peers: tuple[Endpoint, ...]
    store: Endpoint
    bounds: Bounds
    store_writes_per_second: float
    store_reads_per_second: float
    duties: Duties
    cloud: Endpoint | None = None
    metrics: Endpoint | None = None
    max_descriptors: int = 1024
    is_first_start: bool = False
