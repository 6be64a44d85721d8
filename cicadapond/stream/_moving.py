"""Which streams leave a noticed engine when, and how: policies behind one interface."""

import abc
import datetime
import enum
import typing

import attrs

from cicadapond.data import Priority
from cicadapond.kernel import Registry, seconds

_SECOND = datetime.timedelta(seconds=1)


class MoveKind(enum.Enum):
    """How a stream moves."""

    RESTART = "restart"  # from the first token, what was delivered is generated again
    REPLAY = "replay"  # prefill of the prompt and the tokens so far
    EXPORT = "export"  # its KV cache is copied first


@attrs.frozen
class Movable:
    """A stream on a leaving engine.

    Attributes:
      stream_id: The stream.
      context_tokens: What its KV cache covers.
      remaining: How long it still runs if it is left alone; None if that is unknown.
      priority: The request's priority.
      started: Whether it has given a token, so that it has KV cache.
      exporting: Whether its export is on its way.
      failures: Exports of it that have failed.
    """

    stream_id: str
    context_tokens: int
    remaining: datetime.timedelta | None
    priority: Priority = Priority.STANDARD
    started: bool = True
    exporting: bool = False
    failures: int = 0


@attrs.define
class MoveTarget:
    """An engine that may take streams.

    Attributes:
      server: Its name.
      room: Free slots.
      replaying: Streams that have moved there and have not given a token yet.
    """

    server: str
    room: int
    replaying: int = 0


@attrs.frozen
class Move:
    """A decision on one stream; `target` None leaves the choice to the router."""

    stream_id: str
    kind: MoveKind
    target: str | None = None


@attrs.frozen
class MovingSettings:
    """Estimates and limits of moving.

    Attributes:
      setup: What an export costs beside its bytes.
      kv_token: How long a token's KV cache takes to transfer, until it is measured.
      prefill_token: How long a token's prefill takes.
      margin: Time before the notice's end that is left unused.
      exports_at_once: Exports from one engine on their way together.
      replays_at_once: Streams that may replay on one target together.
      export_attempts: Failed exports after which a stream replays.
      assumed_notice: The notice's time where its source does not say.
      measured_weight: Weight of a new measurement of the transfer's rate.
    """

    setup: datetime.timedelta = seconds(0.01)
    kv_token: datetime.timedelta = seconds(0.0001)
    prefill_token: datetime.timedelta = seconds(0.0002)
    margin: datetime.timedelta = seconds(0.5)
    exports_at_once: int = 2
    replays_at_once: int = 2
    export_attempts: int = 2
    assumed_notice: datetime.timedelta = seconds(10)
    measured_weight: float = 0.2


class MovingPolicy(abc.ABC):
    """Decides the next moves from one leaving engine; asked again whenever something changes.

    Args:
      cfg: Estimates and limits.
    """

    def __init__(self, cfg: MovingSettings):
        self.cfg = cfg

    @abc.abstractmethod
    def next(
        self,
        streams: list[Movable],
        targets: list[MoveTarget],
        left: datetime.timedelta,
    ) -> list[Move]:
        """Returns the moves to begin now.

        Args:
          streams: The streams that are still on the engine.
          targets: The engines that may take them.
          left: The time until the host is gone.
        """

    def exported(self, tokens: int, duration: datetime.timedelta) -> None:
        """Takes the measurement of an export."""
        return None


moving_policies: Registry[MovingPolicy] = Registry("moving policy")


@moving_policies.register("restart")
class RestartMoving(MovingPolicy):
    """Baseline: every stream begins again elsewhere at once, from nothing."""

    def next(self, streams, targets, left):
        return [Move(stream.stream_id, MoveKind.RESTART) for stream in streams]


@moving_policies.register("replay")
class ReplayMoving(MovingPolicy):
    """Baseline: every stream replays prompt and tokens so far elsewhere at once."""

    def next(self, streams, targets, left):
        return [Move(stream.stream_id, MoveKind.REPLAY) for stream in streams]


@moving_policies.register("export")
class ExportMoving(MovingPolicy):
    """KV export, most tokens saved per second first; replay late, paced, for the rest.

    A stream that ends within the notice's time stays.  One that has no KV cache yet moves at
    once, as nothing of it is lost.  Exports go to targets with room, a few at a time, as they
    share the links.  What cannot be exported in time replays just before the end, a few at a
    time on each target, so that the streams which run there keep their latency.
    """

    def __init__(self, cfg):
        super().__init__(cfg)
        self._token_seconds = cfg.kv_token / _SECOND

    def next(self, streams, targets, left):
        usable = left - self.cfg.margin
        moves = [_replay(stream) for stream in streams if not stream.started]
        moving = [
            stream
            for stream in streams
            if stream.started and not _stays(stream, usable) and not stream.exporting
        ]
        exports, rest = self._exports(moving, streams, targets, usable)
        return moves + exports + self._replays(rest, targets, usable)

    def _exports(self, moving, streams, targets, usable):
        """Returns the exports to begin, and the streams that cannot be exported in time."""
        free = self.cfg.exports_at_once - sum(stream.exporting for stream in streams)
        budget = usable / _SECOND
        exports, rest = [], []
        for stream in sorted(moving, key=self._value, reverse=True):
            cost = self._transfer_seconds(stream)
            target = _roomiest(targets)
            if cost > budget or target is None or stream.failures >= self.cfg.export_attempts:
                rest.append(stream)
                continue
            budget -= cost
            if len(exports) < free:
                target.room -= 1
                exports.append(Move(stream.stream_id, MoveKind.EXPORT, target.server))
        return exports, rest

    def _transfer_seconds(self, stream):
        return self.cfg.setup / _SECOND + stream.context_tokens * self._token_seconds

    def _value(self, stream):
        """Returns the tokens saved per second of transfer; interactive work first among equals."""
        saved = stream.context_tokens / self._transfer_seconds(stream)
        return (saved, -stream.priority)

    def _replays(self, rest, targets, usable):
        if not rest or usable > self._replay_lead(rest, targets):
            return []
        moves = []
        urgent = usable <= seconds(0)
        for stream in sorted(rest, key=lambda found: (found.priority, found.context_tokens)):
            target = min(targets, key=lambda found: found.replaying, default=None)
            if target is None:
                break
            if target.replaying >= self.cfg.replays_at_once and not urgent:
                break
            target.replaying += 1
            moves.append(_replay(stream))
        return moves

    def _replay_lead(self, rest, targets):
        """Returns the time that pacing needs to bring all of them elsewhere."""
        tokens = sum(stream.context_tokens for stream in rest)
        return tokens * self.cfg.prefill_token / max(1, len(targets))

    def exported(self, tokens, duration):
        measured = max(0.0, (duration - self.cfg.setup) / _SECOND) / max(1, tokens)
        self._token_seconds += (measured - self._token_seconds) * self.cfg.measured_weight


def _replay(stream):
    return Move(stream.stream_id, MoveKind.REPLAY)


def _stays(stream, usable):
    return stream.remaining is not None and stream.remaining < usable


def _roomiest(targets: typing.Sequence[MoveTarget]) -> MoveTarget | None:
    best = max(targets, key=lambda found: found.room, default=None)
    return best if best is not None and best.room > 0 else None
