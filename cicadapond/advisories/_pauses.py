"""Servers that refused a request and want nothing more of this process for a while; no I/O."""

import datetime
import enum
import typing
import zlib

import attrs

from cicadapond.kernel import Clock

# Processes that were refused together come back spread over this share of the pause.
RETURN_SPREAD = 0.25
# After a pause one request is sent; if nothing comes back for this long, another one.
PROBE_TIMEOUT = datetime.timedelta(seconds=1)
# A server that got no request since its pause was over gets all at once after this time.
RETENTION = datetime.timedelta(seconds=30)
NO_PAUSE = datetime.timedelta()
# By how much the clocks of a server and a process may differ.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)


class PauseEvent(enum.Enum):
    """What became of the time for which a server wants nothing.

    It is kept if a later word asks for less than is left.
    """

    BEGUN = "begun"
    EXTENDED = "extended"
    KEPT = "kept"


@attrs.frozen
class PauseChange:
    """A change of a server's pause.

    Attributes:
      server: The server's name.
      born: Its start.
      event: What changed.
      asked: The length that was asked for now.
      before: The time that was left before.
      after: The time that is left now.
    """

    server: str
    born: int
    event: PauseEvent
    asked: datetime.timedelta
    before: datetime.timedelta
    after: datetime.timedelta


@attrs.define
class _Pause:
    until: datetime.timedelta
    asked_at: datetime.datetime
    probed_at: datetime.timedelta | None = None


class Pauses:
    """The pauses that servers asked this process for, by server and start.

    A pause outlasts the server's entry, which may lapse and come back under the same start.  One
    that a new start asked for before its entry was written is known under the start before, until
    the entry of the new one is seen.

    Args:
      clock: Gives the time.
      process: This process's name.

    Attributes:
      on_change: Is called with each change.
    """

    def __init__(self, clock: Clock, process: str):
        self._clock = clock
        self._process = process
        self.on_change: typing.Callable[[PauseChange], None] = lambda change: None
        self._pauses: dict[tuple[str, int], _Pause] = {}
        # The start under which each server's last pause is known.
        self._last_starts: dict[str, int] = {}

    def begin(self, server: str, born: int, length: datetime.timedelta) -> None:
        """Records that a server wants nothing for a time; a pause that lasts longer goes on."""
        share = zlib.crc32(f"{server} {self._process}".encode()) / 2**32
        self._drop_old()
        before = self._left(server, born)
        after = max(before, length * (1 + RETURN_SPREAD * share))
        self._pauses[server, born] = _Pause(self._clock.monotonic() + after, self._clock.now())
        self._last_starts[server] = born
        if not before:
            event = PauseEvent.BEGUN
        else:
            event = PauseEvent.EXTENDED if after > before else PauseEvent.KEPT
        self.on_change(PauseChange(server, born, event, length, before, after))

    def answered(self, server: str, born: int) -> None:
        """Records that a server accepted a request, which ends a pause whose time is over."""
        pause = self._find(server, born)
        if pause is not None and pause.until <= self._clock.monotonic():
            del self._pauses[server, born]

    def remaining(self, server: str, born: int) -> datetime.timedelta:
        """Returns the time until a request may be sent, zero if it may be now."""
        pause = self._find(server, born) if self._pauses else None
        if pause is None:
            return NO_PAUSE
        begins = pause.until
        if pause.probed_at is not None:
            begins = max(begins, pause.probed_at + PROBE_TIMEOUT)
        return max(NO_PAUSE, begins - self._clock.monotonic())

    def take(self, server: str, born: int) -> None:
        """Counts a request that is about to be sent; after a pause it is the only one at first."""
        pause = self._find(server, born)
        if pause is not None:
            pause.probed_at = self._clock.monotonic()

    def _drop_old(self):
        oldest = self._clock.monotonic() - RETENTION
        for key, pause in list(self._pauses.items()):
            if max(pause.until, pause.probed_at or NO_PAUSE) < oldest:
                del self._pauses[key]
                if self._last_starts.get(key[0]) == key[1]:
                    del self._last_starts[key[0]]

    def _find(self, server, born):
        """Returns the pause that a start of a server asked for."""
        pause, before = self._pauses.get((server, born)), self._last_starts.get(server)
        if pause is not None or before is None or before >= born:
            return pause
        pause = self._pauses.get((server, before))
        if pause is None:
            return None
        started = datetime.timedelta(milliseconds=born) - MAX_CLOCK_DIFFERENCE
        if datetime.timedelta(seconds=pause.asked_at.timestamp()) < started:
            return None
        self._pauses[server, born] = self._pauses.pop((server, before))
        self._last_starts[server] = born
        return pause

    def _left(self, server, born):
        """Returns the time until a pause is over, whether or not a request was sent after it."""
        pause = self._find(server, born)
        if pause is None:
            return NO_PAUSE
        return max(NO_PAUSE, pause.until - self._clock.monotonic())
