"""Draws the requests of a soak's callers, and how a caller sends one and reads its answer."""

import hashlib
import itertools
import random

import attrs

from cicadapond.platform.standin import Pace, StreamShape, Upload
from cicadapond.soak._operator import MAX_SENT_BODY_BYTES
from cicadapond.soak._records import LONG, LOOKUP, PLAIN, PROBE, STREAM, STREAMS, VARYING

WEIGHTS = {PLAIN: 0.4, LOOKUP: 0.3, STREAM: 0.3, VARYING: 0.15, PROBE: 0.1}
STREAM_WEIGHTS = {STREAM: 0.3, LONG: 0.7}
_PREFIXES = {PLAIN: "/post/", LOOKUP: "/peek/", STREAM: "/stream/"}
_EVENTS = {STREAM: (3, 24), LONG: (8, 64)}
_MIN_GAP_S, _MAX_GAP_S = 0.02, 0.08
_EVENT_BYTES = (0, 60, 360, 4000)
TIME_LIMITS_S = {LONG: 12.0}
DEFAULT_TIME_LIMIT_S = 3.0
_UNFRAMED_SHARE = 0.4
_MAX_PIECES = 12
_PAUSED_SHARE, _MAX_PAUSE_S = 0.3, 0.05
_SLOW_SHARE, _SLOW_READ_BYTES = 0.1, 4096
_MIN_READ_PAUSE_S, _MAX_READ_PAUSE_S = 0.01, 0.05
_LEAVING_SHARE, _MAX_STAY_S = 0.05, 1.5
_HALF_CLOSING_SHARE = 0.02
_LEFT_EVENTS, _LEFT_GAP_S, _LEFT_LIMIT_S = 40, 0.1, 8.0
_MIN_LEFT_STAY_S, _MAX_LEFT_STAY_S = 0.4, 1.4
# Half of the streams that are left are short.
_SHORT_LEFT_SHARE, _SHORT_LEFT_EVENTS = 0.5, 4
_MIN_SHORT_STAY_S, _MAX_SHORT_STAY_S = 0.15, 0.35


@attrs.frozen
class Behaviour:
    """One request, and what its caller does.

    Attributes:
      kind: Its kind.
      target: Its target.
      upload: Its body.
      shape: How long its stream is.
      time_limit: The time that it allows, in seconds.
      stay_s: After how long the caller leaves, in seconds after it has sent the request; None if
        it stays until the end.
      half_closes: Whether it closes its side of the connection once it has sent the request.
    """

    kind: str
    target: str
    upload: Upload
    shape: StreamShape
    time_limit: float
    stay_s: float | None = None
    half_closes: bool = False

    @property
    def method(self) -> str:
        """The request's method."""
        return "GET" if self.kind in (LOOKUP, PROBE) else "POST"

    def digest(self) -> bytes:
        """Returns the SHA-256 digest of the body."""
        return hashlib.sha256(b"".join(self.upload.pieces)).digest()


def draw_behaviour(
    rng: random.Random, weights: dict[str, float], probe_prefixes: list[str]
) -> Behaviour:
    """Returns what a caller does next.

    Args:
      rng: Source of all choices.
      weights: How often each kind of request is sent, relative to the others.
      probe_prefixes: The prefixes of the routes to probe.
    """
    kind = rng.choices(list(weights), list(weights.values()))[0]
    if kind == PROBE and not probe_prefixes:
        kind = LOOKUP
    prefix = rng.choice(probe_prefixes) if kind == PROBE else _PREFIXES.get(kind, f"/{kind}/")
    target, shape = prefix + "x", StreamShape(4, 0.05)
    if kind in STREAMS:
        gap_s = round(rng.uniform(_MIN_GAP_S, _MAX_GAP_S), 3)
        events, size = rng.randint(*_EVENTS[kind]), rng.choice(_EVENT_BYTES)
        shape = StreamShape(events, gap_s, size, rng.random() < _UNFRAMED_SHARE)
        target += shape.query()
    upload = Upload((b"",)) if kind in (LOOKUP, PROBE) else draw_upload(rng)
    stay_s = rng.uniform(0.0, _MAX_STAY_S) if rng.random() < _LEAVING_SHARE else None
    limit = TIME_LIMITS_S.get(kind, DEFAULT_TIME_LIMIT_S)
    half_closes = rng.random() < _HALF_CLOSING_SHARE
    return Behaviour(kind, target, upload, shape, limit, stay_s, half_closes)


def draw_left_stream(rng: random.Random) -> Behaviour:
    """Returns a stream that its caller leaves before its end."""
    if rng.random() < _SHORT_LEFT_SHARE:
        shape, limit = StreamShape(_SHORT_LEFT_EVENTS, _LEFT_GAP_S), DEFAULT_TIME_LIMIT_S
        stay_s = rng.uniform(_MIN_SHORT_STAY_S, _MAX_SHORT_STAY_S)
    else:
        shape, limit = StreamShape(_LEFT_EVENTS, _LEFT_GAP_S), _LEFT_LIMIT_S
        stay_s = rng.uniform(_MIN_LEFT_STAY_S, _MAX_LEFT_STAY_S)
    target = _PREFIXES[STREAM] + "x" + shape.query()
    return Behaviour(STREAM, target, Upload((b"prompt",)), shape, limit, stay_s)


def draw_upload(rng: random.Random) -> Upload:
    """Returns a body of up to `MAX_SENT_BODY_BYTES` in pieces of varied size."""
    small, large = rng.randint(1, 2000), rng.randint(2000, MAX_SENT_BODY_BYTES)
    body = rng.randbytes(rng.choice((0, 6, small, large)))
    cuts = sorted(rng.randint(0, len(body)) for _ in range(rng.randrange(_MAX_PIECES)))
    bounds = [0, *cuts, len(body)]
    pieces = [body[first:last] for first, last in itertools.pairwise(bounds)]
    # A piece without a byte would end a body in chunks.
    pieces = [piece for piece in pieces if piece]
    pauses = ()
    if rng.random() < _PAUSED_SHARE:
        pauses = tuple(rng.choice((0.0, rng.uniform(0.0, _MAX_PAUSE_S))) for _ in pieces)
    return Upload(tuple(pieces), rng.random() < 0.5, pauses)


def draw_pace(rng: random.Random) -> Pace:
    """Returns how a caller reads what comes on a connection."""
    if rng.random() >= _SLOW_SHARE:
        return Pace()
    return Pace(_SLOW_READ_BYTES, rng.uniform(_MIN_READ_PAUSE_S, _MAX_READ_PAUSE_S))
