"""Corrects expected times by what the requests that were sent lately met; no I/O.

It answers the first seconds of overload: answers that come late are known late, so requests that
already wait longer for their answer than was expected count as well.
"""

import collections
import datetime

import attrs

# How long an answer that has begun counts.
WINDOW = datetime.timedelta(seconds=1)
# The weight of the expectation itself, in requests that took as long as was expected.
PRIOR_REQUESTS = 3.0
MIN_RATIO, MAX_RATIO = 0.5, 8.0
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class Sent:
    """A request that was sent: when, its expected time, and its actual one once it is known."""

    at: datetime.timedelta
    expected: datetime.timedelta
    took: datetime.timedelta | None = None


class ForecastRatio:
    """The ratio of actual to expected times of one kind of requests."""

    def __init__(self):
        self._pending: set[Sent] = set()
        self._begun: collections.deque[tuple[datetime.timedelta, Sent]] = collections.deque()

    def send(self, expected: datetime.timedelta, now: datetime.timedelta) -> Sent:
        """Records that a request is sent."""
        sent = Sent(now, max(expected, _MILLISECOND))
        self._pending.add(sent)
        return sent

    def begin(self, sent: Sent, now: datetime.timedelta) -> None:
        """Records that the answer of a request has begun."""
        if sent in self._pending:
            self._pending.discard(sent)
            sent.took = now - sent.at
            self._begun.append((now, sent))

    def drop(self, sent: Sent) -> None:
        """Forgets a request whose answer has not begun and will not."""
        self._pending.discard(sent)

    def ratio(self, now: datetime.timedelta) -> float:
        """Returns the ratio, 1 if nothing was sent lately."""
        while self._begun and now - self._begun[0][0] > WINDOW:
            self._begun.popleft()
        total, count = PRIOR_REQUESTS, PRIOR_REQUESTS
        for _, sent in self._begun:
            total += sent.took / sent.expected
            count += 1.0
        for sent in self._pending:
            waited = (now - sent.at) / sent.expected
            if waited > total / count:
                total += waited
                count += 1.0
        return min(MAX_RATIO, max(MIN_RATIO, total / count))
