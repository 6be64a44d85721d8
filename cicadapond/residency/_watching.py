"""Which process watches which engine; no I/O.

It handles processes that come, go and are cut off while engines are under load: each engine is
watched by one process, as an engine keeps few calls waiting and events cost processor time, and a
deputy takes over if nothing is told of it.
"""

import datetime
import typing

from cicadapond.kernel import Clock
from cicadapond.peer import rank
from cicadapond.serving import ServerEntry

# A deputy watches an engine of which nothing was told for this long; digests take about a second,
# and a process that ended is noticed within some seconds.
TAKEOVER_DELAY = datetime.timedelta(seconds=4)
# It watches for this long and then leaves it to the first process again.
TAKEOVER_TERM = datetime.timedelta(seconds=30)


class WatchPlan:
    """Decides which engines one process watches.

    Args:
      clock: Gives the time.
      name: The process.
    """

    def __init__(self, clock: Clock, name: str):
        self._clock = clock
        self._name = name
        self._unknown_since: dict[str, datetime.timedelta] = {}
        self._deputy_until: dict[str, datetime.timedelta] = {}
        # The process that watches an engine and its deputy, for the live processes.
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._live: typing.Mapping[str, tuple[str, ...]] | None = None

    def watched(
        self,
        engines: typing.Sequence[ServerEntry],
        live_by_zone: typing.Mapping[str, tuple[str, ...]],
        is_known: typing.Callable[[ServerEntry], bool],
    ) -> list[ServerEntry]:
        """Returns the engines that this process watches.

        Args:
          engines: All engines that are watched.
          live_by_zone: The live processes by data centre; those of the engine's come first.
          is_known: Whether some process told lately what an engine keeps.
        """
        if live_by_zone is not self._live:
            self._live, self._ranked = live_by_zone, {}
        starts = {entry.start for entry in engines}
        for kept in (self._unknown_since, self._deputy_until, self._ranked):
            for start in kept.keys() - starts:
                del kept[start]
        return [entry for entry in engines if self._is_watched(entry, is_known)]

    def _is_watched(self, entry, is_known):
        start, now = entry.start, self._clock.monotonic()
        if start not in self._ranked:
            names = self._live.get(entry.zone) or sum(self._live.values(), ())
            self._ranked[start] = tuple(rank(start, names)[:2])
        ranked = self._ranked[start]
        if self._name == ranked[0]:
            return True
        if self._name not in ranked:
            return False
        if now < self._deputy_until.get(start, now):
            return True
        if is_known(entry):
            self._unknown_since.pop(start, None)
        elif now - self._unknown_since.setdefault(start, now) >= TAKEOVER_DELAY:
            self._deputy_until[start] = now + TAKEOVER_TERM
            del self._unknown_since[start]
            return True
        return False
