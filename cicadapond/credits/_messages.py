"""The calls by which permits are handed on, and their encoding; no I/O.

Times in messages are durations: the receiver counts them from the moment at which it sent its call,
so no two clocks have to agree.
"""

import datetime
import math

import attrs

MAX_SERVERS_PER_CALL = 64
# More than any limit that a server states; a larger count in a message is an error.
MAX_COUNT = 1_000_000
_MILLISECOND = datetime.timedelta(milliseconds=1)
# The clocks of two hosts run at rates that differ by some 100 ppm, which is 0.1 ms in a frame; the
# margin also covers the rounding.
CLOCK_MARGIN = datetime.timedelta(milliseconds=2)


@attrs.frozen
class Permits:
    """Permits that are valid for a time from now."""

    count: int
    left: datetime.timedelta

    def as_list(self) -> list:
        """Returns them in the form in which they are sent."""
        return [self.count, max(0, (self.left - CLOCK_MARGIN) // _MILLISECOND)]


@attrs.frozen
class Ask:
    """What a process asks a keeper for.

    Attributes:
      server: The server's name.
      born: Its start.
      wanted: How many permits the process would use now.
      demand: The requests a second that its callers have for the server.
      part: Which owners it is about, of as many `parts` as a busy server's owners are divided into.
      parts: How many parts there are.
    """

    server: str
    born: int
    wanted: int
    demand: float
    part: int = 0
    parts: int = 1

    def as_list(self) -> list:
        """Returns it in the form in which it is sent."""
        demand = math.ceil(self.demand)
        return [self.server, self.born, self.wanted, demand, self.part, self.parts]

    def divide(self, first: int) -> "list[Ask]":
        """Divides it among the parts, beginning with one of them; as many as permits are wanted."""
        count, extra = divmod(self.wanted, self.parts)
        return [
            attrs.evolve(
                self,
                wanted=count + (number < extra),
                demand=self.demand / self.parts,
                part=(first + number) % self.parts,
            )
            for number in range(min(self.parts, self.wanted))
        ]


@attrs.frozen
class AskReply:
    """What a keeper grants of one server's limit."""

    server: str
    permits: tuple[Permits, ...]

    def as_list(self) -> list:
        """Returns it in the form in which it is sent."""
        return [self.server, [each.as_list() for each in self.permits]]


@attrs.frozen
class LoanRequest:
    """How many permits of the frame that is on an owner is asked for.

    What only the keeper needs is not sent: `frame` is the one that should be on there, as far as it
    knows, and `part` the part and the number of parts for which it asks.
    """

    server: str
    born: int
    most: int
    frame: int = 0
    part: tuple[int, int] = (0, 1)

    def as_list(self) -> list:
        """Returns it in the form in which it is sent."""
        return [self.server, self.born, self.most]


@attrs.frozen
class LendReply:
    """What an owner lends: permits of a frame, and what is left of its time."""

    server: str
    frame: int
    permits: Permits

    def as_list(self) -> list:
        """Returns it in the form in which it is sent."""
        return [self.server, self.frame, *self.permits.as_list()]


def read_ask(items) -> list[Ask]:
    """Decodes what a process asks for.

    Raises:
      TypeError, ValueError: If it is malformed.
    """
    return [
        Ask(
            _text(server),
            _number(born),
            _count(wanted),
            _count(demand),
            _count(part),
            _parts(parts),
        )
        for server, born, wanted, demand, part, parts in items[:MAX_SERVERS_PER_CALL]
    ]


def read_ask_reply(items) -> list[AskReply]:
    """Decodes the reply of a keeper.

    Raises:
      TypeError, ValueError: If it is malformed.
    """
    return [
        AskReply(_text(server), tuple(_permits(count, left) for count, left in permits))
        for server, permits in items[:MAX_SERVERS_PER_CALL]
    ]


def read_lend(items) -> list[LoanRequest]:
    """Decodes what an owner is asked for.

    Raises:
      TypeError, ValueError: If it is malformed.
    """
    return [
        LoanRequest(_text(server), _number(born), _count(most))
        for server, born, most in items[:MAX_SERVERS_PER_CALL]
    ]


def read_lend_reply(items) -> list[LendReply]:
    """Decodes the reply of an owner.

    Raises:
      TypeError, ValueError: If it is malformed.
    """
    return [
        LendReply(_text(server), _number(frame), _permits(count, left))
        for server, frame, count, left in items[:MAX_SERVERS_PER_CALL]
    ]


def _permits(count, left_ms):
    return Permits(_count(count), _count(left_ms) * _MILLISECOND)


def _count(value):
    if not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"not a count: {value!r}")
    return value


def _number(value):
    if not isinstance(value, int):
        raise TypeError(f"not a number: {value!r}")
    return value


def _parts(value):
    if not _count(value):
        raise ValueError("there is no part")
    return value


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"not a name: {value!r}")
    return value
