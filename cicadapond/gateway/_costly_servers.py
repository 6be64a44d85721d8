"""Leaves out servers whose answers take much of the processor and bring nothing; no I/O.

Such an answer delays all other requests of a process, and is paid for again by each process that
sends the server a request.  So one is enough, and the processes tell each other.
"""

import datetime
import random
import typing

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import AnswerCosts
from cicadapond.kernel import Clock, Metrics, doubled
from cicadapond.placing import ServerHealth
from cicadapond.serving import ServerEntry

# A server is left out for longer after each costly answer, up to the longest time; then its next
# answer shows whether it is sound again.  Each process adds up to the same time again, so that the
# first one to find out spares the others a costly answer.
FIRST_SUSPENSION = datetime.timedelta(seconds=2)
MAX_SUSPENSION = datetime.timedelta(seconds=16)
# The next answer shows it within this time; until then, the server gets no other request.
TRIAL_TIME = datetime.timedelta(seconds=2)
# Answers count as successive, and are reported, for so long.
RETENTION = datetime.timedelta(seconds=40)
# Reports that are older by the wall clock, whose skew is a part of it, are not applied.
MAX_REPORT_AGE = datetime.timedelta(seconds=50)


@attrs.frozen
class CostlyAnswers:
    """The costly answers of a server lately.

    Attributes:
      born: The start of the server that sent them, as `ServerEntry.born`.
      count: How many there were in succession, with a suspension after each.
      last_at: When the last one was given up, in UTC.
    """

    born: int
    count: int
    last_at: datetime.datetime


@attrs.define
class _Known:
    """What is known of a server's answers, and until when it is suspended for them."""

    answers: CostlyAnswers
    recorded_at: datetime.timedelta
    suspended_until: datetime.timedelta
    is_own: bool


class CostlyServers(AnswerCosts):
    """Keeps which servers sent costly answers, and suspends them.

    Args:
      health: Leaves suspended servers out.
      clock: The clock.
      log: The event log.
      metrics: The metrics.
      rng: Draws how much longer this process leaves a server out.

    Attributes:
      on_change: Called when the other processes should hear of a costly answer.
    """

    def __init__(
        self,
        health: ServerHealth,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._health = health
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._known: dict[str, _Known] = {}
        # The start of each server that was found sound, and when, in UTC.
        self._sound_since: dict[str, tuple[int, datetime.datetime]] = {}
        self.on_change: typing.Callable[[], None] = lambda: None

    def begin(self, server):
        if self._find(server) is None:
            return False
        self._health.suspend(server.name, TRIAL_TIME)
        return True

    def record_costly(self, server, cost):
        known, count, suspension = self._find(server), 1, datetime.timedelta()
        if known is not None:
            count = known.answers.count
            # Answers that were on their way when the server was suspended say nothing new.
            is_new = self._clock.monotonic() >= known.suspended_until
            count += is_new
        if known is None or is_new:
            answers = CostlyAnswers(server.born, count, self._clock.now())
            suspension = self._put(server.name, answers, is_own=True)
            self.on_change()
        self._metrics.count("server_answers_costly", service=server.service)
        self._log.write(
            "server_answer_costly",
            server=server.name,
            start=server.start,
            cost_ms=round(cost.total_seconds() * 1000, 1),
            count=count,
            suspended_ms=round(suspension.total_seconds() * 1000),
        )

    def record_whole(self, server):
        if self._find(server) is not None:
            del self._known[server.name]
            self._health.end_suspension(server.name)
            self._sound_since[server.name] = (server.born, self._clock.now())

    def merge(self, server: ServerEntry, answers: CostlyAnswers) -> None:
        """Applies what other processes tell of a server, if it is news.

        Args:
          server: The server.
          answers: What they tell.
        """
        if answers.born != server.born:
            return
        known = self._find(server)
        if known is not None and answers.last_at <= known.answers.last_at:
            return
        born, sound_since = self._sound_since.get(server.name, (None, None))
        if born == server.born and answers.last_at <= sound_since:
            return
        if abs(self._clock.now() - answers.last_at) > MAX_REPORT_AGE:
            return
        self._put(server.name, answers, is_own=False)

    def reported(self) -> dict[str, CostlyAnswers]:
        """Returns the costly answers that this process received itself lately, by server."""
        self._drop_old()
        return {name: known.answers for name, known in self._known.items() if known.is_own}

    def remove(self, server: str) -> None:
        """Drops what is known of a server that is gone."""
        self._known.pop(server, None)
        self._sound_since.pop(server, None)

    def _put(self, name, answers, is_own):
        suspension = doubled(FIRST_SUSPENSION, answers.count - 1, MAX_SUSPENSION)
        suspension *= self._rng.uniform(1.0, 2.0)
        now = self._clock.monotonic()
        self._known[name] = _Known(answers, now, now + suspension, is_own)
        self._health.suspend(name, suspension)
        return suspension

    def _find(self, server):
        self._drop_old()
        known = self._known.get(server.name)
        return known if known is not None and known.answers.born == server.born else None

    def _drop_old(self):
        if self._known:
            oldest = self._clock.monotonic() - RETENTION
            self._known = {
                name: known for name, known in self._known.items() if known.recorded_at >= oldest
            }
