"""Plain immutable data types that every module speaks.

Nothing here does anything: no I/O, no clock, no policy.  Durations are `datetime.timedelta`,
wall-clock instants aware `datetime.datetime`, monotonic instants a `timedelta` of the process
that holds them.
"""

import datetime
import enum
import hashlib

import attrs

# Where things are


@attrs.frozen
class Endpoint:
    """A TCP or UDP address by IP number."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class ServerKind(enum.Enum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.Enum):
    """What the platform or a notice says of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Market(enum.Enum):
    """How a host is bought."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


@attrs.frozen
class BackendServer:
    """One process that answers requests: a model engine or a plain service.

    `pool` is the serving pool (engines) or the service's name; `zone` the data centre.
    `checks_fencing` says whether it refuses orders with an old fencing number.
    """

    name: str
    kind: ServerKind
    pool: str
    zone: str
    endpoint: Endpoint
    machine_class: str = ""
    market: Market = Market.RECLAIMABLE
    checks_fencing: bool = False


@attrs.frozen
class HostEntry:
    """One line of the host list: a backend server and the state of its host."""

    server: BackendServer
    state: HostState


@attrs.frozen
class HostListing:
    """The host list as the platform gives it; it lags by an unknown time."""

    hosts: tuple[HostEntry, ...]


@attrs.frozen
class Notice:
    """An announcement that a host will be taken away.

    `left` runs from when this process learnt of it; None if the source does not say.
    `source` is "cloud", "host-list", "engine", "operator" or "peer".
    """

    server: str
    source: str
    left: datetime.timedelta | None = None


# Requests and answers


class Priority(enum.IntEnum):
    """How urgent a request is; a lower number goes first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


@attrs.frozen
class Completion:
    """A caller's request for generated text.

    `prompt` is the whole text (chat messages rendered); `deadline` is a monotonic instant of the
    entry that accepted it, or None for work that nobody waits for.
    """

    request_id: str
    account: str
    model: str
    prompt: str
    max_tokens: int
    priority: Priority = Priority.STANDARD
    adapter: str | None = None
    stop: tuple[str, ...] = ()
    seed: int = 0
    deadline: datetime.timedelta | None = None
    idempotency_key: str | None = None
    durable: bool = False


@attrs.frozen
class ServiceCall:
    """A caller's request to a plain service."""

    request_id: str
    account: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotent: bool = False
    idempotency_key: str | None = None
    priority: Priority = Priority.INTERACTIVE
    deadline: datetime.timedelta | None = None


@attrs.frozen
class Answer:
    """A whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class GenerateCall:
    """One attempt to generate on one engine.

    `resume` holds the tokens that earlier attempts have already delivered; the engine continues
    after them.  Its first token has sequence number len(resume).  `kv_handle` names imported KV
    cache that covers prompt and resume.
    """

    stream_id: str
    epoch: int
    model: str
    version: str
    prompt: str
    max_tokens: int
    priority: Priority = Priority.STANDARD
    adapter: str | None = None
    stop: tuple[str, ...] = ()
    seed: int = 0
    resume: tuple[str, ...] = ()
    kv_handle: str | None = None


@attrs.frozen
class Token:
    """One generated token of an attempt; `sequence` counts from the answer's first token, 0.

    `stream_id` is empty where the engine's protocol does not repeat it with each token.
    """

    epoch: int
    sequence: int
    text: str
    stream_id: str = ""


@attrs.frozen
class Finished:
    """The proper end of an answer; `reason` is "stop" or "length".

    `cached_tokens` is how many prompt tokens the engine found in its prefix cache, and
    `computed_tokens` how many it had to prefill.
    """

    epoch: int
    length: int
    reason: str
    cached_tokens: int = 0
    computed_tokens: int = 0
    stream_id: str = ""


class BreakKind(enum.Enum):
    """Why an attempt ended without its answer's proper end."""

    REFUSED = "refused"  # the engine said that it did not take the request
    UNREACHABLE = "unreachable"  # no connection: nothing was sent
    CRASHED = "crashed"  # the connection broke: the engine process is gone
    SILENT = "silent"  # nothing arrived for longer than the limit
    TRUNCATED = "truncated"  # the answer ended without its proper end
    LEAVING = "leaving"  # the engine stops streams because its host is leaving


@attrs.frozen
class Broken:
    """An attempt that ended without its answer's proper end."""

    epoch: int
    kind: BreakKind
    detail: str = ""
    retry_after: datetime.timedelta | None = None


StreamEvent = Token | Finished | Broken

# What backend servers report


@attrs.frozen
class LoadReport:
    """An engine's or a service's own word on its load; it lags.

    `age` is how old the report was when it was read, as far as the server says.  `model` and
    `version` are what an engine is ready to serve, empty where it does not say.
    """

    server: str
    running: int
    waiting: int
    slots: int
    kv_used: float = 0.0
    age: datetime.timedelta = datetime.timedelta()
    leaving: bool = False
    model: str = ""
    version: str = ""


@attrs.frozen
class EngineState:
    """What an engine really runs, read back after orders."""

    server: str
    model: str | None
    version: str | None
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    loading: str | None = None
    fencing: int = 0
    running: int = 0
    draining: bool = False


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache.

    `block` is the hash chain value of a prefix block (see `prefix_blocks`); events of one engine
    have consecutive `number`s, so that a gap shows.
    """

    number: int
    stored: bool
    block: int


class OrderKind(enum.Enum):
    """Orders that an engine takes; each is idempotent and absolute."""

    RUN = "run"  # run this model and version, and no other
    ADAPTERS = "adapters"  # have exactly these adapters loaded
    ROLE = "role"  # take this role
    DRAIN = "drain"  # take no new work
    RESUME = "resume"  # take new work again
    STOP = "stop"  # end once nothing is in flight


@attrs.frozen
class Order:
    """An order to an engine, with the fencing number of the lease that it is given under."""

    kind: OrderKind
    fencing: int
    model: str | None = None
    version: str | None = None
    adapters: tuple[str, ...] = ()
    role: str | None = None


# Text and prefixes

PREFIX_BLOCK_TOKENS = 16
HASH_BYTES = 8


def split_tokens(text: str) -> list[str]:
    """Splits text the way token counts are estimated: a word with the space after it."""
    return text.split()


def prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Returns the hash chain of a prompt's whole prefix blocks.

    Block i's value depends on all tokens up to its end, so that equal values mean equal
    prefixes.  The hash is BLAKE2b over the block before and the block's text.

    Args:
      prompt: The prompt's text.

    Returns:
      One 64-bit number per whole block of PREFIX_BLOCK_TOKENS tokens.
    """
    words = split_tokens(prompt)
    chain = b""
    blocks = []
    for start in range(0, len(words) - PREFIX_BLOCK_TOKENS + 1, PREFIX_BLOCK_TOKENS):
        text = " ".join(words[start : start + PREFIX_BLOCK_TOKENS])
        chain = hashlib.blake2b(chain + text.encode(), digest_size=HASH_BYTES).digest()
        blocks.append(int.from_bytes(chain, "big"))
    return tuple(blocks)


def body_hash(*parts: str | bytes) -> str:
    """Returns a hash that names a request by its content, whatever id it is sent under."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.hexdigest()
