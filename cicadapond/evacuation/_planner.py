"""Chooses the streams that are moved off leaving engines, their order and destinations; no I/O.

It handles the withdrawal of all reclaimable engines of a data centre at once, with 2 to 3 s notice
and dozens of streams on each: every process decides for its own streams, on information that is
some hundred milliseconds old, while all share the links and the free slots of the remaining
engines.
"""

import datetime
import random
import typing

import attrs

from cicadapond.evacuation._transfer import TransferTimes
from cicadapond.serving import MemoryMoves, ServerEntry

# Moves that one process has in progress: in total, and on the link of one engine.  A link takes one
# transfer after another and a moved stream is silent while it waits for its turn, so more of them
# would only lengthen the silence.
MAX_MOVES = 6
MAX_MOVES_PER_LINK = 2
# A move has to be complete this long before the engine ends: notices arrive some hundredths of a
# second late.
END_MARGIN = datetime.timedelta(milliseconds=120)
# The estimate of a stream's remaining time may be too short by this factor.  A stream that is cut
# only then is left alone until this much of the notice remains: the estimate from its first events
# is rough, and moves that prove unnecessary cost links and a pause.
REMAINING_FACTOR = 1.25
BORDERLINE_NOTICE = datetime.timedelta(milliseconds=800)
# The destination is the best of this many engines drawn by their free slots, so that processes
# which decide at the same time choose different ones.
DRAWN_ENGINES = 3


@attrs.frozen
class RunningStream:
    """A stream that runs at an engine which has given notice.

    Attributes:
      id: The id of its request.
      server: The engine.
      moves: How the engines of its service move memory.
      tokens: The tokens that it holds in the engine's memory now.
      size: The tokens of its prompt and of its longest answer; a request's value grows with it.
      remaining: The expected time until its end at the pace of its events so far, or until its
        deadline if that is earlier.
      notice_left: How long the engine still runs.
      is_resumable: Whether another engine may take the stream up without its memory.
    """

    id: str
    server: ServerEntry
    moves: MemoryMoves
    tokens: int
    size: int
    remaining: datetime.timedelta
    notice_left: datetime.timedelta
    is_resumable: bool


@attrs.frozen
class EngineRoom:
    """An engine that takes requests, with its estimated free slots and free tokens of memory."""

    server: ServerEntry
    free_slots: float
    free_tokens: float


@attrs.frozen
class Move:
    """A stream to move, its destination, and the nominal and the expected time of its transfer."""

    stream: RunningStream
    destination: ServerEntry
    nominal: datetime.timedelta
    expected: datetime.timedelta


class MovePlanner:
    """Plans the moves of one process.

    Args:
      times: The transfer times of the service's engines.
      rng: Source of random choices.
    """

    def __init__(self, times: TransferTimes, rng: random.Random):
        self._times = times
        self._rng = rng

    def choose(
        self,
        streams: typing.Sequence[RunningStream],
        engines: typing.Sequence[EngineRoom],
        in_progress: typing.Sequence[Move],
    ) -> list[Move]:
        """Returns the moves to begin now.

        Streams that would be lost go before those that another engine may take up, and those with
        the largest product of size and remaining time first.

        Args:
          streams: The own streams at leaving engines that are not being moved.
          engines: The engines that take requests, for all streams.
          in_progress: The moves that have begun and not ended.
        """
        chosen: list[Move] = []
        for stream in sorted(filter(must_move, streams), key=_order):
            ongoing = [*in_progress, *chosen]
            if len(ongoing) >= MAX_MOVES:
                break
            if _on_link(ongoing, stream.server.name) >= MAX_MOVES_PER_LINK:
                continue
            move = self._plan(stream, engines, ongoing)
            if move is not None:
                chosen.append(move)
        return chosen

    def _plan(self, stream, engines, ongoing):
        fitting = [room for room in engines if _fits(stream, room, ongoing)]
        moves = [self._move(stream, room, ongoing) for room in self._draw(fitting, stream)]
        limit = stream.notice_left - END_MARGIN
        moves = [move for move in moves if move.expected <= limit]
        return min(moves, key=lambda move: move.expected, default=None)

    def _draw(self, rooms, stream):
        """Returns a few engines, drawn by their free slots; nearer ones are as likely as twice."""
        if len(rooms) <= DRAWN_ENGINES:
            return rooms
        weights = [
            room.free_slots * (2.0 if room.server.zone == stream.server.zone else 1.0)
            for room in rooms
        ]
        return self._rng.choices(rooms, weights, k=DRAWN_ENGINES)

    def _move(self, stream, room, ongoing):
        same_zone = room.server.zone == stream.server.zone
        nominal = self._times.nominal(stream.moves, stream.tokens, same_zone)
        ahead = max(_on_link(ongoing, stream.server.name), _on_link(ongoing, room.server.name))
        return Move(stream, room.server, nominal, (1 + ahead) * self._times.expected(nominal))


def must_move(stream: RunningStream) -> bool:
    """Returns whether a stream would be cut by the end of its engine."""
    left = stream.notice_left - END_MARGIN
    if stream.notice_left > BORDERLINE_NOTICE:
        return stream.remaining > left
    return REMAINING_FACTOR * stream.remaining > left


def _order(stream):
    return (stream.is_resumable, -stream.size * (stream.remaining / datetime.timedelta(seconds=1)))


def _fits(stream, room, ongoing):
    server = room.server
    if (server.service, server.version) != (stream.server.service, stream.server.version):
        return False
    if server.name == stream.server.name:
        return False
    arriving = [move for move in ongoing if move.destination.name == server.name]
    if len(arriving) >= MAX_MOVES_PER_LINK or room.free_slots - len(arriving) < 1.0:
        return False
    arriving_tokens = sum(move.stream.size for move in arriving)
    return room.free_tokens - arriving_tokens >= stream.size


def _on_link(moves, server):
    return sum(server in (move.stream.server.name, move.destination.name) for move in moves)
