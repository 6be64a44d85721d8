"""Which backend servers fail more than their service does; no I/O.

Servers are judged by the outcomes of requests only: a liveness check can be good while requests
fail, and it costs a place.  A service may fail part of its requests by its nature, so a server is
judged against the others of its service.  A server that cannot be reached is left out at once, and
two of them in one other data centre, with nothing reached there since, stand for all of it.
"""

import collections
import datetime
import math

import attrs

from cicadapond.gateway.data import ServerEntry
from cicadapond.kernel import Clock

# Outcomes kept per server, for so long.
REMEMBERED_OUTCOMES = 24
OUTCOME_TERM = datetime.timedelta(seconds=8)
# What is believed of a service before its outcomes tell: so many failures among so many.
PRIOR_FAILURES, PRIOR_OUTCOMES = 2.0, 12.0
# How many standard deviations the reading of a service's nature may be too low.
PRIOR_DEVIATIONS = 1.5
# A run of failures that is less likely than this by its service's nature speaks against a server.
UNLIKELY_RUN = 1e-5
# So do failures this many standard deviations, and this share, above what its service has.
EXCESS_DEVIATIONS = 4.0
EXCESS_SHARE = 0.25
FIRST_REST = datetime.timedelta(seconds=1)
LONGEST_REST = datetime.timedelta(seconds=6)
# No more than this share of a service's reachable servers is left out at once.
MOST_RESTING = 0.5
FIRST_UNREACHABLE_REST = datetime.timedelta(milliseconds=400)
LONGEST_UNREACHABLE_REST = datetime.timedelta(milliseconds=1600)
ZONE_CUT_SERVERS = 2
ZONE_REST = datetime.timedelta(milliseconds=800)


@attrs.define
class _Record:
    outcomes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=REMEMBERED_OUTCOMES)
    )
    in_a_row: int = 0
    rests: int = 0
    resting_until: datetime.timedelta = datetime.timedelta()
    misses: int = 0
    unreachable_until: datetime.timedelta = datetime.timedelta()


class ServerHealth:
    """Outcomes by server.

    Args:
      clock: Gives the time.
      zone: This process's data centre.
    """

    def __init__(self, clock: Clock, zone: str):
        self._clock = clock
        self._zone = zone
        self._records: dict[str, _Record] = {}
        self._missed_zones: dict[str, set[str]] = {}
        self._zone_rests: dict[str, datetime.timedelta] = {}

    def unreachable(self, entry: ServerEntry) -> None:
        """Notes that no connection could be made, or that one went silent."""
        now = self._clock.monotonic()
        record = self._record(entry.name)
        record.misses += 1
        rest = min(FIRST_UNREACHABLE_REST * 2 ** (record.misses - 1), LONGEST_UNREACHABLE_REST)
        record.unreachable_until = now + rest
        missed = self._missed_zones.setdefault(entry.zone, set())
        missed.add(entry.name)
        if len(missed) >= ZONE_CUT_SERVERS and entry.zone != self._zone:
            self._zone_rests[entry.zone] = now + ZONE_REST

    def reached(self, entry: ServerEntry) -> None:
        """Notes that a server has answered something."""
        self._missed_zones.pop(entry.zone, None)
        self._zone_rests.pop(entry.zone, None)
        record = self._records.get(entry.name)
        if record is not None and record.misses:
            record.misses = 0
            record.unreachable_until = datetime.timedelta()

    def succeeded(self, server: str) -> None:
        """Counts an answer that is what a sound server gives."""
        record = self._record(server)
        record.outcomes.append((self._clock.monotonic(), True))
        record.in_a_row = 0

    def failed(self, server: str, peers: tuple[str, ...]) -> bool:
        """Counts a failure.

        Args:
          server: The server.
          peers: The other servers of its service.

        Returns:
          Whether the server is left out for a while from now on.
        """
        now = self._clock.monotonic()
        record = self._record(server)
        record.outcomes.append((now, False))
        record.in_a_row += 1
        if now < record.resting_until or not self._stands_out(server, record, peers):
            return False
        record.rests += 1
        rest = min(FIRST_REST * 2 ** (record.rests - 1), LONGEST_REST)
        record.resting_until = now + rest
        record.outcomes.clear()
        record.in_a_row = 0
        return True

    def sound(self, servers: list) -> list:
        """Returns the entries of servers that are not left out.

        Of those that can be reached at least half are returned, and of all at least one.
        """
        now = self._clock.monotonic()
        servers = [entry for entry in servers if self._is_reachable(entry, now)] or servers

        def left(entry):
            record = self._records.get(entry.name)
            return record.resting_until if record is not None else datetime.timedelta()

        usable = [entry for entry in servers if left(entry) <= now]
        least = len(servers) - int(len(servers) * MOST_RESTING)
        if len(usable) < least:
            resting = sorted((e for e in servers if left(e) > now), key=left)
            usable += resting[: least - len(usable)]
        return usable

    def _is_reachable(self, entry, now):
        if self._zone_rests.get(entry.zone, now) > now:
            return False
        record = self._records.get(entry.name)
        return record is None or record.unreachable_until <= now

    def forget(self, server: str) -> None:
        """Drops a server that is gone."""
        self._records.pop(server, None)

    def _record(self, server):
        return self._records.setdefault(server, _Record())

    def _stands_out(self, server, record, peers):
        natural = self._natural_share(peers)
        if natural**record.in_a_row < UNLIKELY_RUN:
            return True
        outcomes = self._recent([record])
        failures = outcomes.count(False)
        expected = natural * len(outcomes)
        deviation = math.sqrt(expected * (1.0 - natural))
        return failures > expected + EXCESS_DEVIATIONS * deviation and failures > (
            natural + EXCESS_SHARE
        ) * len(outcomes)

    def _natural_share(self, servers):
        outcomes = self._recent([self._record(server) for server in servers])
        failures = outcomes.count(False) + PRIOR_FAILURES
        share = failures / (len(outcomes) + PRIOR_OUTCOMES)
        deviation = math.sqrt(share * (1.0 - share) / (len(outcomes) + PRIOR_OUTCOMES))
        return min(1.0, share + PRIOR_DEVIATIONS * deviation)

    def _recent(self, records):
        since = self._clock.monotonic() - OUTCOME_TERM
        return [ok for record in records for at, ok in record.outcomes if at >= since]
