"""Outlier detection: ejects backend servers that fail more often than their service does; no I/O.

Only the outcomes of requests count: a liveness check can pass while requests fail, and it takes up
a slot.  A service may normally fail a share of its requests, so a server is compared with the other
servers of its service.  A server that cannot be reached is left out at once.  Two unreachable
servers in one other data centre, with no answer from there since, make the whole data centre count
as unreachable.
"""

import collections
import datetime
import math

import attrs

from cicadapond.kernel import Clock, doubled
from cicadapond.serving import ServerEntry

# Outcomes kept per server, and how long each counts.
MAX_OUTCOMES_PER_SERVER = 24
OUTCOME_WINDOW = datetime.timedelta(seconds=8)
# Prior for a service's failure rate, as pseudo-counts: 2 failures among 12 outcomes.
PRIOR_FAILURES, PRIOR_OUTCOMES = 2.0, 12.0
# The estimated failure rate of a service is raised by this many standard deviations, as it may be
# too low.
BASELINE_DEVIATIONS = 1.5
# A server is an outlier if its run of failures is less likely than this at its service's rate.
OUTLIER_RUN_PROBABILITY = 1e-5
# It is one also if its failures exceed the service's rate by this many standard deviations and by
# this share of its outcomes.
OUTLIER_DEVIATIONS = 4.0
OUTLIER_EXCESS_SHARE = 0.25
FIRST_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=6)
# At most this share of a service's reachable servers is ejected at once.
MAX_EJECTED_SHARE = 0.5
FIRST_UNREACHABLE_BACKOFF = datetime.timedelta(milliseconds=400)
MAX_UNREACHABLE_BACKOFF = datetime.timedelta(milliseconds=1600)
MIN_UNREACHABLE_PER_ZONE = 2
ZONE_BACKOFF = datetime.timedelta(milliseconds=800)


@attrs.define
class _Record:
    outcomes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_OUTCOMES_PER_SERVER)
    )
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: datetime.timedelta = datetime.timedelta()
    unreachable_count: int = 0
    unreachable_until: datetime.timedelta = datetime.timedelta()


class ServerHealth:
    """Tracks request outcomes per server, and leaves unhealthy servers out.

    Args:
      clock: Gives the time.
      zone: This process's data centre.
    """

    def __init__(self, clock: Clock, zone: str):
        self._clock = clock
        self._zone = zone
        self._records: dict[str, _Record] = {}
        self._unreachable_by_zone: dict[str, set[str]] = {}
        self._zone_backoffs: dict[str, datetime.timedelta] = {}

    def mark_unreachable(self, entry: ServerEntry) -> None:
        """Records that no connection could be made, or that one went silent."""
        now = self._clock.monotonic()
        record = self._record(entry.name)
        record.unreachable_count += 1
        backoff = doubled(
            FIRST_UNREACHABLE_BACKOFF, record.unreachable_count - 1, MAX_UNREACHABLE_BACKOFF
        )
        record.unreachable_until = now + backoff
        unreachable_servers = self._unreachable_by_zone.setdefault(entry.zone, set())
        unreachable_servers.add(entry.name)
        if len(unreachable_servers) >= MIN_UNREACHABLE_PER_ZONE and entry.zone != self._zone:
            self._zone_backoffs[entry.zone] = now + ZONE_BACKOFF

    def mark_reachable(self, entry: ServerEntry) -> None:
        """Records that a server has answered, whatever the answer."""
        self._unreachable_by_zone.pop(entry.zone, None)
        self._zone_backoffs.pop(entry.zone, None)
        record = self._records.get(entry.name)
        if record is not None and record.unreachable_count:
            record.unreachable_count = 0
            record.unreachable_until = datetime.timedelta()

    def record_success(self, server: str) -> None:
        """Counts an answer that is no failure of the server."""
        record = self._record(server)
        record.outcomes.append((self._clock.monotonic(), True))
        record.consecutive_failures = 0

    def record_failure(self, server: str, other_servers: tuple[str, ...]) -> bool:
        """Counts a failure.

        Args:
          server: The server's name.
          other_servers: The names of the other servers of its service.

        Returns:
          Whether the server is ejected from now on, because of this failure.
        """
        now = self._clock.monotonic()
        record = self._record(server)
        record.outcomes.append((now, False))
        record.consecutive_failures += 1
        if now < record.ejected_until or not self._is_outlier(server, record, other_servers):
            return False
        record.ejections += 1
        ejection = doubled(FIRST_EJECTION, record.ejections - 1, MAX_EJECTION)
        record.ejected_until = now + ejection
        record.outcomes.clear()
        record.consecutive_failures = 0
        return True

    def suspend(self, server: str, duration: datetime.timedelta) -> None:
        """Ejects a server from now on, for as long as there are enough others.

        Args:
          server: The server's name.
          duration: For how long.
        """
        record = self._record(server)
        record.ejected_until = max(record.ejected_until, self._clock.monotonic() + duration)

    def end_suspension(self, server: str) -> None:
        """Takes a server in again that was ejected or suspended."""
        self._record(server).ejected_until = self._clock.monotonic()

    def usable(self, servers: list) -> list:
        """Returns the servers that are neither unreachable nor ejected.

        At least half of the reachable servers are returned; if need be, ejected ones are included,
        those whose ejection ends first before others.  If none is reachable, all count as
        reachable.
        """
        now = self._clock.monotonic()
        servers = [entry for entry in servers if self._is_reachable(entry, now)] or servers

        def ejected_until(entry):
            record = self._records.get(entry.name)
            return record.ejected_until if record is not None else datetime.timedelta()

        usable = [entry for entry in servers if ejected_until(entry) <= now]
        min_usable = len(servers) - int(len(servers) * MAX_EJECTED_SHARE)
        if len(usable) < min_usable:
            ejected = sorted((e for e in servers if ejected_until(e) > now), key=ejected_until)
            usable += ejected[: min_usable - len(usable)]
        return usable

    def _is_reachable(self, entry, now):
        if self._zone_backoffs.get(entry.zone, now) > now:
            return False
        record = self._records.get(entry.name)
        return record is None or record.unreachable_until <= now

    def remove(self, server: str) -> None:
        """Drops the record of a server that is gone."""
        self._records.pop(server, None)

    def _record(self, server):
        return self._records.setdefault(server, _Record())

    def _is_outlier(self, server, record, other_servers):
        baseline = self._baseline_failure_rate(other_servers)
        if baseline**record.consecutive_failures < OUTLIER_RUN_PROBABILITY:
            return True
        outcomes = self._recent_outcomes([record])
        failures = outcomes.count(False)
        expected = baseline * len(outcomes)
        deviation = math.sqrt(expected * (1.0 - baseline))
        return failures > expected + OUTLIER_DEVIATIONS * deviation and failures > (
            baseline + OUTLIER_EXCESS_SHARE
        ) * len(outcomes)

    def _baseline_failure_rate(self, servers):
        outcomes = self._recent_outcomes([self._record(server) for server in servers])
        failures = outcomes.count(False) + PRIOR_FAILURES
        rate = failures / (len(outcomes) + PRIOR_OUTCOMES)
        deviation = math.sqrt(rate * (1.0 - rate) / (len(outcomes) + PRIOR_OUTCOMES))
        return min(1.0, rate + BASELINE_DEVIATIONS * deviation)

    def _recent_outcomes(self, records):
        since = self._clock.monotonic() - OUTCOME_WINDOW
        return [ok for record in records for at, ok in record.outcomes if at >= since]
