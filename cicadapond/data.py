"""Immutable data types that all modules share, without I/O, clock or policy.

Durations are `datetime.timedelta`, wall-clock instants aware `datetime.datetime`, and monotonic
instants a `timedelta` on the monotonic clock of the process that holds them.
"""

import datetime
import enum
import hashlib

import attrs

# Servers and hosts


@attrs.frozen
class Endpoint:
    """A TCP or UDP address: IP address and port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class ServerKind(enum.Enum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.Enum):
    """The state of a host as the platform or a notice reports it."""

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
    """One entry of the host list: a backend server and the state of its host."""

    server: BackendServer
    state: HostState


@attrs.frozen
class HostListing:
    """The host list as the platform reports it; it may be stale by an unknown time."""

    hosts: tuple[HostEntry, ...]


@attrs.frozen
class Notice:
    """An announcement that a host is about to be withdrawn.

    `left` is the time left when this process received the notice; None if the source does not say.
    `source` is "cloud", "host-list", "engine", "operator" or "peer".
    """

    server: str
    source: str
    left: datetime.timedelta | None = None


# Requests and responses


class Priority(enum.IntEnum):
    """The priority of a request; lower numbers are served first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


@attrs.frozen
class Completion:
    """A caller's request for generated text.

    `prompt` is the complete text, with chat messages rendered; `deadline` is a monotonic instant
    of the entry process that accepted it, or None for requests that no caller waits for.
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
class ServiceResponse:
    """A complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class GenerateCall:
    """One attempt to generate on one engine.

    `resume` holds the tokens that earlier attempts have already delivered; the engine continues
    after them, and its first token has sequence number len(resume).  `kv_handle` names an imported
    KV cache that covers `prompt` and `resume`.
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
    """One generated token of an attempt; `sequence` is 0 for the answer's first token.

    `stream_id` is empty where the engine's protocol does not repeat it with each token.
    """

    epoch: int
    sequence: int
    text: str
    stream_id: str = ""


@attrs.frozen
class Finished:
    """The complete end of an answer; `reason` is "stop" or "length".

    `length` is the number of the answer's tokens, those of earlier attempts included.
    `cached_tokens` is the number of prompt tokens that the engine found in its prefix cache, and
    `computed_tokens` the number that it had to prefill.
    """

    epoch: int
    length: int
    reason: str
    cached_tokens: int = 0
    computed_tokens: int = 0
    stream_id: str = ""


class FailureKind(enum.Enum):
    """Why an attempt ended before its answer was complete."""

    REFUSED = "refused"  # the engine reported that it did not accept the request
    UNREACHABLE = "unreachable"  # no connection; nothing was sent
    CRASHED = "crashed"  # the connection broke: the engine process has ended
    SILENT = "silent"  # nothing was received for longer than the silence limit
    TRUNCATED = "truncated"  # the response ended without an end event
    LEAVING = "leaving"  # the engine stops streams because its host is leaving


@attrs.frozen
class Broken:
    """An attempt that ended before its answer was complete."""

    epoch: int
    kind: FailureKind
    detail: str = ""
    retry_after: datetime.timedelta | None = None


StreamEvent = Token | Finished | Broken

# Reports of backend servers, and orders to them


@attrs.frozen
class LoadReport:
    """The load that an engine or a service reports; it may be stale.

    `kv_used` is the used share of the KV cache, 0 to 1.  `age` is how old the report was when it
    was read, zero if the server does not say.  `model` and `version` are what an engine is ready to
    serve, empty if it does not say.
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
    """The actual state of an engine, read back after orders."""

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

    `block` is the chained hash of a prefix block (see `prefix_block_hashes`); the events of one
    engine have consecutive values of `number`, so that gaps can be detected.
    """

    number: int
    stored: bool
    block: int


class OrderKind(enum.Enum):
    """Orders to an engine; each is idempotent and sets an absolute state."""

    RUN = "run"  # serve this model and version, and no other
    ADAPTERS = "adapters"  # have exactly these adapters loaded
    ROLE = "role"  # take this role
    DRAIN = "drain"  # accept no new requests
    RESUME = "resume"  # accept new requests again
    STOP = "stop"  # exit once no request is in flight


@attrs.frozen
class Order:
    """An order to an engine, with the fencing number of the lease under which it is sent."""

    kind: OrderKind
    fencing: int
    model: str | None = None
    version: str | None = None
    adapters: tuple[str, ...] = ()
    role: str | None = None


# Text and prefixes

# Block size of the engines' prefix caches, whose cache events are matched with these hashes.
PREFIX_BLOCK_TOKENS = 16
HASH_BYTES = 8


def split_tokens(text: str) -> list[str]:
    """Splits a text at white space into words, which count as tokens: no tokenizer is used."""
    return text.split()


def prefix_block_hashes(prompt: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's full prefix blocks.

    A block's hash depends on all tokens up to the block's end, so that equal hashes mean equal
    prefixes.  It is BLAKE2b over the previous block's hash and the block's text.

    Args:
      prompt: The prompt's text.

    Returns:
      One 64-bit number per full block of PREFIX_BLOCK_TOKENS tokens.
    """
    words = split_tokens(prompt)
    chain = b""
    blocks = []
    for start in range(0, len(words) - PREFIX_BLOCK_TOKENS + 1, PREFIX_BLOCK_TOKENS):
        text = " ".join(words[start : start + PREFIX_BLOCK_TOKENS])
        chain = hashlib.blake2b(chain + text.encode(), digest_size=HASH_BYTES).digest()
        blocks.append(int.from_bytes(chain, "big"))
    return tuple(blocks)


def content_hash(*parts: str | bytes) -> str:
    """Returns the 128-bit hash, in hex, of the parts of a request's content without its id.

    The length of each part is hashed as well, so that moving text between parts changes the hash.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.hexdigest()
