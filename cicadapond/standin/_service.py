"""Simulated plain service, without HTTP: stock checks and charges.

The service counts how often each charge ran, by idempotency key and by request id, so that a
checker can tell a charge that ran twice from one that the caller sent again.
"""

import collections
import datetime
import json
import random
import typing

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import LoadReport, ServiceCall, ServiceResponse
from cicadapond.kernel import Clock

KEY_HEADER = "idempotency-key"
REQUEST_HEADER = "cicadapond-request-id"
JSON_HEADERS = (("Content-Type", "application/json"),)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class ServiceTiming:
    """Durations and concurrency of a simulated service."""

    work: datetime.timedelta = 20 * _MILLISECOND
    jitter: datetime.timedelta = 10 * _MILLISECOND
    slots: int = 32
    report_lag: datetime.timedelta = 500 * _MILLISECOND
    restart: datetime.timedelta = 2000 * _MILLISECOND


@attrs.define
class ServiceFaults:
    """The faults that are active now; each float is a share of calls.

    Attributes:
      extra_work: Added to each call's duration.
      crash_before: The process crashes before it runs the call.
      crash_after: The process crashes after it ran the call.
      silent: The call is never answered; about half of these calls run.
      refuse: The service answers that it did not run the call.
      truncate: The call runs, and its answer is cut short.
      silent_pooled: Calls on reused connections are never answered; new connections work.
    """

    extra_work: datetime.timedelta = datetime.timedelta()
    crash_before: float = 0.0
    crash_after: float = 0.0
    silent: float = 0.0
    refuse: float = 0.0
    truncate: float = 0.0
    silent_pooled: bool = False


@attrs.frozen
class Silent:
    """The call is never answered."""


@attrs.frozen
class Crashed:
    """The process crashed during the call."""


@attrs.frozen
class Truncated:
    """The answer is cut short; `complete` is the full one."""

    complete: ServiceResponse


@attrs.define
class RunCounts:
    """Counts of the charges that ran, shared by the servers of one service."""

    by_key: collections.Counter = attrs.field(factory=collections.Counter)
    by_request: collections.Counter = attrs.field(factory=collections.Counter)


class ServiceModel:
    """A simulated server of a plain service.

    `GET` and `HEAD` return a stock level; any other method is a charge and is counted.

    Args:
      name: The server's name.
      clock: Gives the time.
      rng: Decides jitter and faults.
      timing: Durations and concurrency.
      counts: Counts of the charges that ran; not shared by default.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        timing: ServiceTiming | None = None,
        counts: RunCounts | None = None,
    ):
        self.name = name
        self.timing = timing or ServiceTiming()
        self.faults = ServiceFaults()
        self.counts = counts if counts is not None else RunCounts()
        self.leaving = False
        self.running = 0
        self.incarnation = 0
        self.on_run: list[typing.Callable[[ServiceCall, str], None]] = []
        self._clock = clock
        self._rng = rng
        self._down_until = datetime.timedelta()
        self._reports = collections.deque()

    @property
    def is_down(self) -> bool:
        """Whether the process is down now."""
        return self._clock.monotonic() < self._down_until

    def crash(self) -> None:
        """Crashes the process; it restarts after `timing.restart`."""
        self.incarnation += 1
        self._down_until = self._clock.monotonic() + self.timing.restart

    def shut_down(self) -> None:
        """Removes the host; the process never restarts."""
        self.incarnation += 1
        self._down_until = datetime.timedelta.max

    async def serve(
        self, call: ServiceCall
    ) -> ServiceResponse | NotSent | Silent | Crashed | Truncated:
        """Serves one call."""
        if self._draw(self.faults.refuse) or self.running >= self.timing.slots:
            return NotSent(f"{self.name} refused the call before it ran")
        self.running += 1
        self._record_load()
        try:
            return await self._run(call)
        finally:
            self.running -= 1
            self._record_load()

    def load_report(self) -> LoadReport:
        """Returns the load as it was `timing.report_lag` ago."""
        lag = self.timing.report_lag
        limit = self._clock.monotonic() - lag
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
        known = self._reports and self._reports[0][0] <= limit
        running = self._reports[0][1] if known else 0
        return LoadReport(self.name, running, 0, self.timing.slots, age=lag, leaving=self.leaving)

    async def _run(self, call):
        faults = self.faults
        incarnation = self.incarnation
        silent = self._draw(faults.silent)
        if self._draw(faults.crash_before) or (silent and self._draw(0.5)):
            return self._crash() if not silent else Silent()
        jitter = self.timing.jitter * self._rng.random()
        await self._clock.sleep(self.timing.work + jitter + faults.extra_work)
        if incarnation != self.incarnation:
            return Crashed()
        answer = self._execute(call)
        if self._draw(faults.crash_after):
            return self._crash()
        if silent:
            return Silent()
        return Truncated(answer) if self._draw(faults.truncate) else answer

    def _execute(self, call):
        if call.method in ("GET", "HEAD"):
            return _json_answer(200, {"path": call.path, "in_stock": len(call.path)})
        headers = {name.lower(): value for name, value in call.headers}
        key = headers.get(KEY_HEADER, "")
        for listener in self.on_run:
            listener(call, key)
        self.counts.by_key[key] += 1
        self.counts.by_request[headers.get(REQUEST_HEADER, call.request_id)] += 1
        return _json_answer(201, {"key": key, "runs": self.counts.by_key[key]})

    def _crash(self):
        self.crash()
        return Crashed()

    def _draw(self, share):
        return share > 0 and self._rng.random() < share

    def _record_load(self):
        self._reports.append((self._clock.monotonic(), self.running))


def _json_answer(status, fields):
    return ServiceResponse(status, JSON_HEADERS, json.dumps(fields).encode())
