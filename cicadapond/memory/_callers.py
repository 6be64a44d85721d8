"""Which connections of callers a process keeps, and which it gives up for others; no I/O.

Callers decide how many connections they open, how much they send and when they go on.  A limit for
each connection bounds none of this, so their number is limited, and those that have only taken room
so far are given up first.
"""

import datetime
import enum
import typing

import attrs

from cicadapond.kernel import Clock

# Bytes of the memory bound for each connection: its own reserve, and its objects.
BYTES_PER_CONNECTION = 16 * 1024
# Descriptors for files, pipes and listening sockets.
FILE_DESCRIPTORS = 200
# The share of the other descriptors for callers; servers, processes and the store need the rest.
CALLERS_SHARE = 1 / 2
MIN_CONNECTIONS = 16
# A body that has been read for less than this is not given up for another one: most are complete
# sooner.
MIN_READING_TIME = datetime.timedelta(seconds=1)


def max_connections(bound_bytes: int, descriptors: int) -> int:
    """Returns how many connections of callers a process may have open.

    Args:
      bound_bytes: What the process may hold of others' bytes.
      descriptors: How many descriptors it may open.
    """
    by_descriptors = int(CALLERS_SHARE * (descriptors - FILE_DESCRIPTORS))
    return max(MIN_CONNECTIONS, min(bound_bytes // BYTES_PER_CONNECTION, by_descriptors))


class CallerState(enum.Enum):
    """What a connection is at, in the order in which they are given up for a new one."""

    REFUSED = "refused"
    UNUSED = "unused"
    READING = "reading"
    IDLE = "idle"
    SERVED = "served"


class GivesUp(typing.Protocol):
    """A connection that can be given up."""

    def abort(self) -> None:
        """Closes it at once."""

    def give_up_body(self, reason: str) -> None:
        """Refuses the request whose body is being read, and releases what was read."""


@attrs.define(eq=False)
class CallerSlot:
    """The place of one connection; made by `CallerSlots.open`.

    Attributes:
      state: What the connection is at.
      since: When its last request began to be read; the time of the connection before that.
      held: How many bytes of a request that is being read it holds, parsed or not.
    """

    conn: GivesUp
    state: CallerState
    since: datetime.timedelta
    held: int = 0


class CallerSlots:
    """The connections of a process's callers.

    Args:
      clock: The clock.
      limit: How many may be open.

    Attributes:
      given_up: How many were given up, by the state that they were in.
    """

    def __init__(self, clock: Clock, limit: int):
        self._clock = clock
        self.limit = limit
        # By state: the slots, the one that has been in it for longest first.
        self._slots: dict[CallerState, dict[CallerSlot, None]] = {s: {} for s in CallerState}
        self.given_up = dict.fromkeys(CallerState, 0)

    def __len__(self):
        return sum(map(len, self._slots.values()))

    def open(self, conn: GivesUp) -> CallerSlot | None:
        """Returns the slot of a new connection, None if there is no room for it.

        If the limit is reached, a connection is given up that serves no request, if there is one.
        """
        if len(self) >= self.limit:
            worst = self._first_to_give_up()
            if worst is None:
                return None
            self.given_up[worst.state] += 1
            self.close(worst)
            worst.conn.abort()
        slot = CallerSlot(conn, CallerState.UNUSED, self._clock.monotonic())
        self._slots[slot.state][slot] = None
        return slot

    def become(self, slot: CallerSlot, state: CallerState) -> None:
        """Records what a connection is at."""
        if slot not in self._slots[slot.state]:
            return  # it was given up
        del self._slots[slot.state][slot]
        slot.state, slot.held = state, 0
        if state is CallerState.READING:
            slot.since = self._clock.monotonic()
        self._slots[state][slot] = None

    def close(self, slot: CallerSlot) -> None:
        """Forgets a connection."""
        self._slots[slot.state].pop(slot, None)

    def count(self, state: CallerState) -> int:
        """Returns how many connections are in a state."""
        return len(self._slots[state])

    def make_room(self, fits: typing.Callable[[], bool], reserve_bytes: int) -> bool:
        """Gives up incomplete bodies until something fits, those first that hold most for longest.

        Args:
          fits: Returns whether it fits now.
          reserve_bytes: What each connection may hold in any case.

        Returns:
          Whether it fits.
        """
        now = self._clock.monotonic()
        bodies = [
            slot
            for slot in self._slots[CallerState.READING]
            if slot.held > reserve_bytes and now - slot.since >= MIN_READING_TIME
        ]
        bodies.sort(key=lambda slot: slot.held * (now - slot.since))
        while not fits():
            if not bodies:
                return False
            slot = bodies.pop()
            self.given_up[slot.state] += 1
            slot.conn.give_up_body("its memory is needed for other requests")
        return True

    def _first_to_give_up(self):
        for state in CallerState:
            if state is not CallerState.SERVED and self._slots[state]:
                return next(iter(self._slots[state]))
        return None
