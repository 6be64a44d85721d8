"""Records answers of servers that are none: bytes that are not HTTP, or more than an answer has."""

import datetime

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Outcome
from cicadapond.kernel import Clock, Metrics
from cicadapond.serving import ServerEntry

# Each start of a server has at most one line in this time.
LOG_INTERVAL = datetime.timedelta(seconds=1)


class MalformedAnswers:
    """Counts malformed answers, and logs them at a bounded rate.

    Args:
      clock: The clock.
      log: Receives the lines.
      metrics: Receives the counts.
    """

    def __init__(self, clock: Clock, log: EventLog, metrics: Metrics):
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # When a line on each start was last written, and how many answers had none since.
        self._written_at: dict[str, datetime.timedelta] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, server: ServerEntry, outcome: Outcome, took: datetime.timedelta) -> None:
        """Records the outcome of an attempt if its answer was malformed."""
        if not getattr(outcome, "is_malformed", False):
            return
        self._metrics.count("server_answers_malformed", service=server.service)
        now = self._clock.monotonic()
        written_at = self._written_at.get(server.start)
        if written_at is not None and now - written_at < LOG_INTERVAL:
            self._unlogged[server.start] = self._unlogged.get(server.start, 0) + 1
            return
        unlogged = self._unlogged.pop(server.start, 0)
        self._written_at = {
            start: at for start, at in self._written_at.items() if now - at < LOG_INTERVAL
        }
        self._unlogged = {
            start: count for start, count in self._unlogged.items() if start in self._written_at
        }
        self._written_at[server.start] = now
        self._log.write(
            "server_answer_malformed",
            server=server.name,
            start=server.start,
            reason=outcome.reason,
            received_bytes=outcome.received_bytes,
            took_ms=round(took.total_seconds() * 1000),
            unlogged=unlogged,
        )
