"""Policies for migrating streams off an engine whose host is about to be reclaimed."""

import abc
import datetime
import enum
import typing

import attrs

from cicadapond.data import Priority
from cicadapond.kernel import Registry, seconds

_SECOND = datetime.timedelta(seconds=1)


class MoveKind(enum.Enum):
    """How a stream is migrated."""

    RESTART = "restart"  # generates all tokens again, delivered ones included
    REPLAY = "replay"  # prefills the prompt and the tokens so far
    EXPORT = "export"  # copies the KV cache first


@attrs.frozen
class Movable:
    """A stream on an engine that is about to be reclaimed.

    Attributes:
      stream_id: The id of the stream.
      context_tokens: The number of tokens in its KV cache.
      remaining: The estimated time until it ends if it is not moved; None if unknown.
      priority: The request's priority.
      started: Whether it has produced a token, and so has a KV cache.
      exporting: Whether an export of it is in progress.
      failures: The number of failed exports.
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
    """An engine that streams may move to.

    Attributes:
      server: The name of the engine.
      free_slots: The number of free slots.
      replaying: The number of streams that have moved there but not produced a token yet.
    """

    server: str
    free_slots: int
    replaying: int = 0


@attrs.frozen
class Move:
    """The decision to move a stream; the router chooses the engine if `target` is None."""

    stream_id: str
    kind: MoveKind
    target: str | None = None


@attrs.frozen
class MovingSettings:
    """Estimates and limits for migration.

    Attributes:
      setup: The fixed duration of an export, besides the transfer.
      kv_token: The initial estimate of the transfer time per token of KV cache.
      prefill_token: The prefill time per token.
      margin: The time before the end of the notice period that is not used.
      exports_at_once: The maximum number of concurrent exports from one engine.
      replays_at_once: The maximum number of concurrent replays on one target.
      export_attempts: The number of failed exports after which a stream is replayed.
      assumed_notice: The notice period if its source does not give one.
      measured_weight: The weight of a new measurement in the moving average of the transfer time.
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
    """Decides which streams to move from an engine now; called repeatedly until its host is gone.

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
        time_left: datetime.timedelta,
    ) -> list[Move]:
        """Returns the moves to begin now.

        Args:
          streams: The streams that are still on the engine.
          targets: The engines that they may move to.
          time_left: The time until the host is reclaimed.
        """

    def exported(self, tokens: int, duration: datetime.timedelta) -> None:
        """Records the duration of an export of a number of tokens."""
        return None


moving_policies: Registry[MovingPolicy] = Registry("moving policy")


@moving_policies.register("restart")
class RestartMoving(MovingPolicy):
    """Baseline: restarts every stream on another engine at once, from its first token."""

    def next(self, streams, targets, time_left):
        return [Move(stream.stream_id, MoveKind.RESTART) for stream in streams]


@moving_policies.register("replay")
class ReplayMoving(MovingPolicy):
    """Baseline: replays prompt and tokens so far of every stream on another engine at once."""

    def next(self, streams, targets, time_left):
        return [Move(stream.stream_id, MoveKind.REPLAY) for stream in streams]


@moving_policies.register("export")
class ExportMoving(MovingPolicy):
    """Exports KV caches, most tokens saved per second first, and replays the other streams late.

    A stream that ends within the notice period is not moved.  One that has no KV cache yet moves
    at once, as no work is lost.  Exports go to targets with free slots, a few at a time, as they
    share the network links.  Streams that cannot be exported are replayed just before the end,
    a few at a time on each target, to preserve the latency of the streams that run there.
    """

    def __init__(self, cfg):
        super().__init__(cfg)
        self._token_seconds = cfg.kv_token / _SECOND

    def next(self, streams, targets, time_left):
        usable_time = time_left - self.cfg.margin
        moves = [_replay(stream) for stream in streams if not stream.started]
        to_move = [
            stream
            for stream in streams
            if stream.started
            and not _finishes_in_time(stream, usable_time)
            and not stream.exporting
        ]
        exports, unexported = self._plan_exports(to_move, streams, targets, usable_time)
        return moves + exports + self._plan_replays(unexported, targets, usable_time)

    def _plan_exports(self, to_move, streams, targets, usable_time):
        """Returns the exports to begin, and the streams that cannot be exported.

        The latter have too little time, no target with a free slot, or too many failed exports.
        """
        free_exports = self.cfg.exports_at_once - sum(stream.exporting for stream in streams)
        budget_seconds = usable_time / _SECOND
        exports, unexported = [], []
        for stream in sorted(to_move, key=self._export_value, reverse=True):
            transfer_seconds = self._transfer_seconds(stream)
            target = _most_free_slots(targets)
            if (
                transfer_seconds > budget_seconds
                or target is None
                or stream.failures >= self.cfg.export_attempts
            ):
                unexported.append(stream)
                continue
            budget_seconds -= transfer_seconds
            if len(exports) < free_exports:
                target.free_slots -= 1
                exports.append(Move(stream.stream_id, MoveKind.EXPORT, target.server))
        return exports, unexported

    def _transfer_seconds(self, stream):
        return self.cfg.setup / _SECOND + stream.context_tokens * self._token_seconds

    def _export_value(self, stream):
        """Returns the tokens saved per second of transfer; interactive requests first if equal."""
        saved = stream.context_tokens / self._transfer_seconds(stream)
        return (saved, -stream.priority)

    def _plan_replays(self, unexported, targets, usable_time):
        if not unexported or usable_time > self._replay_lead_time(unexported, targets):
            return []
        moves = []
        urgent = usable_time <= seconds(0)
        for stream in sorted(
            unexported, key=lambda stream: (stream.priority, stream.context_tokens)
        ):
            target = min(targets, key=lambda target: target.replaying, default=None)
            if target is None:
                break
            if target.replaying >= self.cfg.replays_at_once and not urgent:
                break
            target.replaying += 1
            moves.append(_replay(stream))
        return moves

    def _replay_lead_time(self, unexported, targets):
        """Returns the time needed to replay all these streams on the targets."""
        tokens = sum(stream.context_tokens for stream in unexported)
        return tokens * self.cfg.prefill_token / max(1, len(targets))

    def exported(self, tokens, duration):
        measured_seconds = max(0.0, (duration - self.cfg.setup) / _SECOND) / max(1, tokens)
        self._token_seconds += (measured_seconds - self._token_seconds) * self.cfg.measured_weight


def _replay(stream):
    return Move(stream.stream_id, MoveKind.REPLAY)


def _finishes_in_time(stream, usable_time):
    return stream.remaining is not None and stream.remaining < usable_time


def _most_free_slots(targets: typing.Sequence[MoveTarget]) -> MoveTarget | None:
    best = max(targets, key=lambda target: target.free_slots, default=None)
    return best if best is not None and best.free_slots > 0 else None
