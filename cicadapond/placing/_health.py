"""Which backend servers fail more than their service does; no I/O.

Servers are judged by the outcomes of requests only: a liveness check can be good while requests
fail, and it costs a place.  A service may fail part of its requests by its nature, so a server is
judged against the others of its service.
"""

import collections
import datetime

import attrs

from cicadapond.kernel import Clock

# Outcomes kept per server, and how many of them are needed for a judgement.
REMEMBERED_OUTCOMES = 24
LEAST_OUTCOMES = 5
OUTCOME_TERM = datetime.timedelta(seconds=8)
# A server is left out at this share of failures above that of its service's other servers.
EXCESS_FAILURES = 0.3
CONSECUTIVE_FAILURES = 3
FIRST_REST = datetime.timedelta(seconds=1)
LONGEST_REST = datetime.timedelta(seconds=6)
# No more than this share of a service's servers is left out at once.
MOST_RESTING = 0.5


@attrs.define
class _Record:
    outcomes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=REMEMBERED_OUTCOMES)
    )
    in_a_row: int = 0
    rests: int = 0
    resting_until: datetime.timedelta = datetime.timedelta()


class ServerHealth:
    """Outcomes by server.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}

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
        """Returns the entries of servers that are not left out, at least half of them."""
        now = self._clock.monotonic()

        def left(entry):
            record = self._records.get(entry.name)
            return record.resting_until if record is not None else datetime.timedelta()

        usable = [entry for entry in servers if left(entry) <= now]
        least = len(servers) - int(len(servers) * MOST_RESTING)
        if len(usable) < least:
            resting = sorted((e for e in servers if left(e) > now), key=left)
            usable += resting[: least - len(usable)]
        return usable

    def forget(self, server: str) -> None:
        """Drops a server that is gone."""
        self._records.pop(server, None)

    def _record(self, server):
        return self._records.setdefault(server, _Record())

    def _stands_out(self, server, record, peers):
        share = self._failure_share([record])
        others = self._failure_share([self._record(peer) for peer in peers])
        if record.in_a_row >= CONSECUTIVE_FAILURES and others < EXCESS_FAILURES:
            return True
        return share is not None and share > (others or 0.0) + EXCESS_FAILURES

    def _failure_share(self, records):
        since = self._clock.monotonic() - OUTCOME_TERM
        recent = [ok for record in records for at, ok in record.outcomes if at >= since]
        if len(recent) < LEAST_OUTCOMES:
            return 0.0
        return recent.count(False) / len(recent)
