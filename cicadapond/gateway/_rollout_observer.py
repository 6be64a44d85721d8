"""Turns what happens in one attempt of a request into an observation of its server's version.

It answers a version that is slow under load: a late response is told as soon as it is known to be
late, not when it ends, as streams last for seconds.
"""

import datetime
import typing

import attrs

from cicadapond.forwarding import Broken, StreamWhole, Whole
from cicadapond.gateway._rollout_baseline import Baseline
from cicadapond.gateway._rollout_gate import AttemptObserver
from cicadapond.kernel import Clock
from cicadapond.placing import Placement
from cicadapond.rollout import Observation
from cicadapond.serving import ServerEntry

# A response that has taken so many times as long as expected is told at once.
EARLY_SLOWNESS = 3.0
# One that has taken less than this is not, whatever was expected.
MIN_EARLY_TIME = datetime.timedelta(milliseconds=100)
# Expected times below this count as this long: below it the network and timers decide.
MIN_EXPECTED_MS = 5.0
# Fewer gaps than this say little of a version's pace.
MIN_GAPS = 3
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class _Subject:
    """What an attempt observes; `expected_version` is the one whose times are expected."""

    entry: ServerEntry
    route: str
    load: float
    expected_version: str


class VersionObserver(AttemptObserver):
    """Observes one attempt.

    Args:
      placement: Where the request is sent.
      route: Its route.
      expected_version: The version whose times are expected.
      baseline: The expected times.
      clock: The clock.
      record: Receives the observations.
      on_end: Called with this observer when the attempt has ended.
    """

    def __init__(
        self,
        placement: Placement,
        route: str,
        expected_version: str,
        baseline: Baseline,
        clock: Clock,
        record: typing.Callable[[Observation], None],
        on_end: typing.Callable[["VersionObserver"], None],
    ):
        entry = placement.server
        load = placement.in_flight / max(1, entry.slots)
        self._subject = _Subject(entry, route, load, expected_version)
        self._baseline = baseline
        self._clock = clock
        self._record = record
        self._on_end = on_end
        self._expected_ms = baseline.first_ms(placement, expected_version)
        self._is_stream = self._expected_ms is not None
        if not self._is_stream:
            self._expected_ms = baseline.call_ms(entry.service, expected_version, route)
        self._sent_at: datetime.timedelta | None = None
        self._begun_at: datetime.timedelta | None = None
        self._event_at: datetime.timedelta | None = None
        self._gaps = 0
        self._longest_gap = datetime.timedelta()
        self._first_slowness: float | None = None
        self._is_recorded = False

    def sent(self):
        self._sent_at = self._clock.monotonic()

    def answer_begun(self):
        if self._sent_at is None or self._begun_at is not None:
            return
        self._begun_at = self._event_at = self._clock.monotonic()
        self._first_slowness = self._slowness_of(self._begun_at - self._sent_at)
        if _is_late(self._first_slowness, self._begun_at - self._sent_at):
            self._tell(False, self._first_slowness)

    def event(self):
        if self._event_at is None:
            return
        now = self._clock.monotonic()
        gap, self._event_at = now - self._event_at, now
        self._gaps += 1
        self._longest_gap = max(self._longest_gap, gap)
        slowness = self._gap_slowness()
        if _is_late(slowness, self._longest_gap):
            self._tell(False, slowness)

    def check_overdue(self) -> None:
        """Tells of a response that is known to be late although it has not come yet."""
        if self._sent_at is None or self._begun_at is not None:
            return
        waited = self._clock.monotonic() - self._sent_at
        slowness = self._slowness_of(waited)
        if _is_late(slowness, waited):
            self._tell(False, slowness)

    def end(self, outcome):
        self._on_end(self)
        if self._sent_at is None:
            return
        match outcome:
            case Whole(head=head) if head.status >= 500:
                self._tell(True, None)
            case Whole():
                self._end_call()
            case StreamWhole():
                self._end_stream()
            case Broken():
                self._tell(True, None)
            case None:
                self.check_overdue()

    def _end_call(self):
        took = self._clock.monotonic() - self._sent_at
        subject = self._subject
        # Learned of every version, as the new one of this rollout is the old one of the next.
        if not self._is_stream:
            entry = subject.entry
            self._baseline.learn_call(entry.service, entry.version, subject.route, took)
        self._tell(False, self._slowness_of(took))

    def _end_stream(self):
        entry, route = self._subject.entry, self._subject.route
        if self._gaps >= MIN_GAPS:
            self._baseline.learn_gap(entry.service, entry.version, route, self._longest_gap)
        found = (self._first_slowness, self._gap_slowness())
        self._tell(False, max((each for each in found if each is not None), default=None))

    def _slowness_of(self, took):
        if self._expected_ms is None:
            return None
        return took / _MILLISECOND / max(MIN_EXPECTED_MS, self._expected_ms)

    def _gap_slowness(self):
        subject = self._subject
        expected_ms = self._baseline.gap_ms(
            subject.entry.service, subject.expected_version, subject.route
        )
        if expected_ms is None or self._gaps < MIN_GAPS:
            return None
        return self._longest_gap / _MILLISECOND / max(MIN_EXPECTED_MS, expected_ms)

    def _tell(self, is_bad, slowness):
        """Tells of the response once, and again only if it fails after it was late."""
        if self._is_recorded and not is_bad:
            return
        self._is_recorded = True
        subject = self._subject
        self._record(
            Observation(
                service=subject.entry.service,
                version=subject.entry.version,
                route=subject.route,
                load=subject.load,
                is_bad=is_bad,
                slowness=slowness,
                server=subject.entry.start,
                duration=self._clock.monotonic() - self._sent_at,
            )
        )


def _is_late(slowness, took):
    return slowness is not None and slowness >= EARLY_SLOWNESS and took >= MIN_EARLY_TIME
