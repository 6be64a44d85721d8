"""Divides a server's rate limit among the processes that send to it; no I/O.

The limit holds for all processes together, and each sees only its own requests.  A shared count
would be late by the time between two reports, in which every process could use the same remainder.
So nothing is counted in common: time is divided into frames, the limit gives a number of permits
for each frame, and the permits are numbered through all frames and dealt to the processes in turn.
Every process computes which of them are its own, from the time, the limit and the names of the
processes.  A permit is valid in its frame only: permits that were saved up could be used by all
processes at the same moment.
"""

import collections
import datetime
import math
import typing
import zlib

FRAME = datetime.timedelta(seconds=1)
_FRAME_S = FRAME.total_seconds()
# A server that states a lower limit still gets requests at this rate, as only an answer tells that
# the limit has ended.
MIN_RATE = 0.25
# Higher limits count as this one, as the permits are numbered from 1970 on in floating point.
MAX_RATE = 1e12
# How far ahead the next permit is searched.
MAX_FRAMES_AHEAD = 3
# A keeper asks at most about so many owners a second: with the processes that ask it, its calls
# take some 10 of the 19 KB/s of a process.
OWNERS_PER_KEEPER = 40


def permit_owners(
    server: str, processes: typing.Sequence[str], rate: float, frame: int
) -> collections.Counter[str]:
    """Returns how many permits of a frame each process owns; processes without one are left out.

    Args:
      server: The server's name.
      processes: The sorted names of all processes that send to the server.
      rate: The server's limit in requests per second.
      frame: The frame, as `frame_of` numbers them.
    """
    first, end = _permit_numbers(rate, frame)
    offset, count = zlib.crc32(server.encode()), len(processes)
    # Limits may be far higher than the number of processes: only the last round is dealt singly.
    rounds, rest = divmod(end - first, count)
    owned = collections.Counter(dict.fromkeys(processes, rounds) if rounds else {})
    owned.update(processes[(number - offset) % count] for number in range(first, first + rest))
    return owned


def keeper_parts(processes: int, rate: float) -> int:
    """Returns into how many parts the owners of a server's permits are divided among keepers.

    Args:
      processes: How many processes send to the server.
      rate: The server's limit in requests per second.
    """
    return max(1, math.ceil(min(processes, rate) / OWNERS_PER_KEEPER))


def part_of(owner: str, parts: int) -> int:
    """Returns the part that an owner belongs to."""
    return zlib.crc32(owner.encode()) % parts


class PermitSchedule:
    """The permits of one process for one server.

    Args:
      server: The server's name; different servers begin the round at different processes.
      process: This process's name.
      processes: The sorted names of all processes that send to the server, this one included.
    """

    def __init__(self, server: str, process: str, processes: typing.Sequence[str]):
        self._count = len(processes)
        offset = zlib.crc32(server.encode())
        self._place = (processes.index(process) + offset) % self._count

    def permits(self, rate: float, frame: int) -> int:
        """Returns how many requests this process may send in a frame.

        Args:
          rate: The server's limit in requests per second.
          frame: The frame, as `frame_of` numbers them.
        """
        first, end = _permit_numbers(rate, frame)
        return self._own_below(end) - self._own_below(first)

    def frames_until_permit(self, rate: float, frame: int) -> int | None:
        """Returns the number of frames until the next later one with a permit.

        None if there is none among the next `MAX_FRAMES_AHEAD`.
        """
        for ahead in range(1, MAX_FRAMES_AHEAD + 1):
            if self.permits(rate, frame + ahead):
                return ahead
        return None

    def _own_below(self, number):
        """Returns how many of the permits below a number are this process's own."""
        return (number - self._place + self._count - 1) // self._count


def _permit_numbers(rate, frame):
    """Returns the number of the first permit of a frame, and that of the next frame."""
    per_frame = min(max(rate, MIN_RATE), MAX_RATE) * _FRAME_S
    return math.floor(frame * per_frame), math.floor((frame + 1) * per_frame)


def frame_of(now: datetime.datetime) -> int:
    """Returns the number of the frame at a UTC time."""
    return math.floor(now.timestamp() / _FRAME_S)


def time_until_frame(frame: int, now: datetime.datetime) -> datetime.timedelta:
    """Returns the time until a frame begins."""
    return frame * FRAME - datetime.timedelta(seconds=now.timestamp())
