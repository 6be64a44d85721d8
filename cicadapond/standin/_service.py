"""A plain service's behaviour without its network: stock checks and charges, counted.

The service counts how often each charge ran, by the caller's key and by the request that brought
it, so that a checker can tell a double from a resend.
"""

import collections
import datetime
import json
import random
import typing

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import Answer, LoadReport, ServiceCall
from cicadapond.kernel import Clock

KEY_HEADER = "idempotency-key"
REQUEST_HEADER = "cicadapond-request-id"
JSON_HEADERS = (("Content-Type", "application/json"),)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class ServiceTiming:
    """How a stand-in service behaves when nothing is wrong."""

    work: datetime.timedelta = 20 * _MILLISECOND
    jitter: datetime.timedelta = 10 * _MILLISECOND
    slots: int = 32
    report_lag: datetime.timedelta = 500 * _MILLISECOND
    restart: datetime.timedelta = 2000 * _MILLISECOND


@attrs.define
class ServiceFaults:
    """The faults that are on now, each but the first as a share of calls.

    Attributes:
      extra_work: Added to each call's time.
      crash_before: The process dies before it ran the call.
      crash_after: The process dies after it ran the call.
      silent: The call's connection goes silent; every second such call runs.
      refuse: The service says that it did not run the call.
      truncate: The answer breaks off after the call ran.
      silent_pooled: Connections that were used before are silent, new ones work.
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
    """No answer ever comes."""


@attrs.frozen
class Crashed:
    """The process died."""


@attrs.frozen
class Truncated:
    """The answer breaks off; `whole` is what it would have been."""

    whole: Answer


@attrs.define
class RunCounts:
    """How often charges ran, shared by the servers of one service."""

    by_key: collections.Counter = attrs.field(factory=collections.Counter)
    by_request: collections.Counter = attrs.field(factory=collections.Counter)


class ServiceModel:
    """One stand-in server of a plain service.

    `GET` answers a stock level; any other method is a charge and is counted.

    Args:
      name: The server's name.
      clock: Gives the time.
      rng: Decides jitter and faults.
      timing: How it behaves.
      counts: Where runs are counted; its own by default.
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
        self.life = 0
        self.on_run: list[typing.Callable[[ServiceCall, str], None]] = []
        self._clock = clock
        self._rng = rng
        self._down_until = datetime.timedelta()
        self._reports = collections.deque()

    @property
    def is_down(self) -> bool:
        """Whether the process is dead now."""
        return self._clock.monotonic() < self._down_until

    def crash(self) -> None:
        """Kills the process; it is back after its restart time."""
        self.life += 1
        self._down_until = self._clock.monotonic() + self.timing.restart

    def take_away(self) -> None:
        """Takes the host away for good."""
        self.life += 1
        self._down_until = datetime.timedelta.max

    async def serve(self, call: ServiceCall) -> Answer | NotSent | Silent | Crashed | Truncated:
        """Serves one call."""
        if self._happens(self.faults.refuse) or self.running >= self.timing.slots:
            return NotSent(f"{self.name} refused the call before it ran")
        self.running += 1
        self._note()
        try:
            return await self._run(call)
        finally:
            self.running -= 1
            self._note()

    def load_report(self) -> LoadReport:
        """Returns the load as it was some time ago."""
        lag = self.timing.report_lag
        limit = self._clock.monotonic() - lag
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
        known = self._reports and self._reports[0][0] <= limit
        running = self._reports[0][1] if known else 0
        return LoadReport(self.name, running, 0, self.timing.slots, age=lag, leaving=self.leaving)

    async def _run(self, call):
        faults = self.faults
        life = self.life
        silent = self._happens(faults.silent)
        if self._happens(faults.crash_before) or (silent and self._happens(0.5)):
            return self._die() if not silent else Silent()
        jitter = self.timing.jitter * self._rng.random()
        await self._clock.sleep(self.timing.work + jitter + faults.extra_work)
        if life != self.life:
            return Crashed()
        answer = self._act(call)
        if self._happens(faults.crash_after):
            return self._die()
        if silent:
            return Silent()
        return Truncated(answer) if self._happens(faults.truncate) else answer

    def _act(self, call):
        if call.method in ("GET", "HEAD"):
            return _json_answer(200, {"path": call.path, "in_stock": len(call.path)})
        headers = {name.lower(): value for name, value in call.headers}
        key = headers.get(KEY_HEADER, "")
        for listener in self.on_run:
            listener(call, key)
        self.counts.by_key[key] += 1
        self.counts.by_request[headers.get(REQUEST_HEADER, call.request_id)] += 1
        return _json_answer(201, {"key": key, "runs": self.counts.by_key[key]})

    def _die(self):
        self.crash()
        return Crashed()

    def _happens(self, share):
        return share > 0 and self._rng.random() < share

    def _note(self):
        self._reports.append((self._clock.monotonic(), self.running))


def _json_answer(status, fields):
    return Answer(status, JSON_HEADERS, json.dumps(fields).encode())
