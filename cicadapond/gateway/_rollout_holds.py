"""Keeps processes of earlier builds from versions that get no requests; no I/O.

It answers the load of processes that know nothing of rollouts and send to all versions alike.  They
obey limits that servers state, also as told by other processes; so while such processes are heard,
a limit is told of the servers of a version on their behalf, and lifted when it may get requests.
"""

import datetime
import typing

from cicadapond.advisories import Advisory
from cicadapond.kernel import Clock
from cicadapond.serving import ServerEntry

# Limits in requests per second that no server states.  Earlier builds take the first one for their
# lowest, a request in four seconds of all processes together; the second one ends it.
HELD_RATE, RELEASED_RATE = 1e-6, 1e6
# How long the end of a hold is told.
RELEASE_TOLD = datetime.timedelta(seconds=30)


def concerns_earlier_builds(advisory: Advisory) -> bool:
    """Returns whether a statement was told on a server's behalf, for earlier builds only."""
    return advisory.rate_limit in (HELD_RATE, RELEASED_RATE)


class VersionHolds:
    """What this process tells of servers for earlier builds.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._told: dict[str, Advisory] = {}

    def update(self, held: typing.Iterable[ServerEntry]) -> None:
        """Takes the servers that get no requests now; ends the holds of all others."""
        now = self._clock.now()
        held = {entry.name: entry.born for entry in held}
        for name, known in list(self._told.items()):
            if held.get(name) == known.born:
                continue
            if known.rate_limit == HELD_RATE:
                self._told[name] = Advisory(known.born, RELEASED_RATE, now)
            elif now - known.said_at > RELEASE_TOLD:
                del self._told[name]
        for name, born in held.items():
            known = self._told.get(name)
            if known is None or (known.born, known.rate_limit) != (born, HELD_RATE):
                self._told[name] = Advisory(born, HELD_RATE, now)

    def told(self) -> dict[str, Advisory]:
        """Returns what is told, by server."""
        return dict(self._told)
