"""Measures how many engines the requests of this process keep busy; no I/O.

An engine has two resources: it prefills one prompt at a time, and its batch has a limited number of
slots.  Short answers to long prompts use up the first, long answers the second.  Requests in the
slots are counted instead of computed from their sizes, so that requests that wait because no slot
is free count too: in an overload the demand must not fall.

Load condition: a backlog.  Requests that wait count only as far as they arrive faster than the
slots are left, else each second of waiting would look like more demand.
"""

import datetime
import math
import typing

import attrs

from cicadapond.kernel import Clock

# Short enough to follow a burst, long enough to bridge the gaps between requests.
HALF_LIFE = datetime.timedelta(seconds=2)
# The same for the prefill time of a prompt token.  It is longer than the second or two for which
# caches are cold after engines have gone, and in which estimates of prefill are too high.
TOKEN_TIME_HALF_LIFE = datetime.timedelta(seconds=8)
# The mean prefill time is known from this many prompts on, older ones with less weight.
MIN_PROMPTS = 8.0


@attrs.frozen
class PromptTimes:
    """How long engines prefill a prompt, in seconds, and the squared coefficient of variation."""

    mean_s: float
    variation: float


@attrs.frozen
class Demand:
    """What requests need of a service.

    `prefill` is the number of engines that they keep busy with prefill, `batches` the number of
    engines whose slots they fill.
    """

    prefill: float
    batches: float

    @property
    def is_positive(self) -> bool:
        """Whether there are any requests."""
        return self.prefill > 0.0 or self.batches > 0.0


def peak(demands: typing.Iterable[Demand]) -> Demand:
    """Returns the highest demand for each resource."""
    demands = tuple(demands)
    return Demand(
        max(demand.prefill for demand in demands), max(demand.batches for demand in demands)
    )


def total(demands: typing.Iterable[Demand]) -> Demand:
    """Returns the sum for each resource."""
    demands = tuple(demands)
    return Demand(
        sum(demand.prefill for demand in demands), sum(demand.batches for demand in demands)
    )


@attrs.define
class _Mean:
    """A mean over time with exponential decay."""

    value: float
    updated_at: datetime.timedelta
    half_life: datetime.timedelta = HALF_LIFE

    def advance(self, level: float, now: datetime.timedelta) -> None:
        """Moves the mean towards the level that was in force since the last update."""
        weight = 0.5 ** ((now - self.updated_at) / self.half_life)
        self.value = level + (self.value - level) * weight
        self.updated_at = now


class _Prefill:
    """Prefill time and prompt tokens of the requests of one service, as decaying sums."""

    def __init__(self, now: datetime.timedelta):
        self._work_s = _Mean(0.0, now)
        self._tokens = _Mean(0.0, now)
        self._lasting_work_s = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)
        self._lasting_tokens = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)
        self._lasting_prompts = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)
        self._lasting_squares = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)

    def add(self, work_s: float, tokens: int, now: datetime.timedelta) -> None:
        self._advance(now)
        for total, amount in (
            (self._work_s, work_s),
            (self._tokens, tokens),
            (self._lasting_work_s, work_s),
            (self._lasting_tokens, tokens),
            (self._lasting_prompts, 1.0),
            (self._lasting_squares, work_s**2),
        ):
            total.value += amount

    def busy_engines(self, now: datetime.timedelta) -> float:
        """Returns the work per second: the present rate of tokens at their lasting cost, or less.

        Prompts take longer for a short while after engines have gone, as their parts are not
        cached elsewhere yet; engines that are ordered for that come when it is over.
        """
        self._advance(now)
        work_s = self._work_s.value
        if self._lasting_tokens.value > 0.0:
            token_s = self._lasting_work_s.value / self._lasting_tokens.value
            work_s = min(work_s, self._tokens.value * token_s)
        # At a steady rate the decayed sum is the rate times the mean lifetime of its terms.
        return work_s / (HALF_LIFE.total_seconds() / math.log(2.0))

    def prompt_times(self, now: datetime.timedelta) -> PromptTimes | None:
        """Returns the mean and variation of prefill times, None if there were too few lately."""
        self._advance(now)
        prompts, work_s = self._lasting_prompts.value, self._lasting_work_s.value
        if prompts < MIN_PROMPTS or work_s <= 0.0:
            return None
        mean_s = work_s / prompts
        variation = self._lasting_squares.value / prompts / mean_s**2 - 1.0
        return PromptTimes(mean_s, max(0.0, variation))

    def _advance(self, now):
        for total in (
            self._work_s,
            self._tokens,
            self._lasting_work_s,
            self._lasting_tokens,
            self._lasting_prompts,
            self._lasting_squares,
        ):
            total.advance(0.0, now)


class _Answers:
    """The answers of one service that are being generated, and how long those that ended took."""

    def __init__(self, now: datetime.timedelta):
        self._count = 0
        self._running = _Mean(0.0, now)
        self._ended = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)
        self._took_s = _Mean(0.0, now, TOKEN_TIME_HALF_LIFE)

    def change(self, by: int, now: datetime.timedelta) -> None:
        self._running.advance(self._count, now)
        self._count += by

    def add(self, took_s: float, now: datetime.timedelta) -> None:
        for total, amount in ((self._ended, 1.0), (self._took_s, took_s)):
            total.advance(0.0, now)
            total.value += amount

    def running(self, now: datetime.timedelta) -> float:
        self._running.advance(self._count, now)
        return self._running.value

    def stay_s(self, now: datetime.timedelta) -> float | None:
        """Returns the mean time in seconds, None if too few answers ended lately."""
        self._ended.advance(0.0, now)
        self._took_s.advance(0.0, now)
        if self._ended.value < MIN_PROMPTS:
            return None
        return self._took_s.value / self._ended.value


class DemandMeter:
    """Measures demand by service.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._prefill: dict[str, _Prefill] = {}
        self._in_progress: dict[str, int] = {}
        self._mean_in_progress: dict[str, _Mean] = {}
        # By service: the lasting mean of the requests in progress, and the sum of those begun.
        self._lasting: dict[str, tuple[_Mean, _Mean]] = {}
        self._arrivals: dict[str, _Mean] = {}
        self._answers: dict[str, _Answers] = {}

    def add_prefill(self, service: str, work: datetime.timedelta, tokens: int = 0) -> None:
        """Counts the prefill of one request and the tokens of its prompt, cached ones included."""
        now = self._clock.monotonic()
        prefill = self._prefill.get(service)
        if prefill is None:
            prefill = self._prefill[service] = _Prefill(now)
        prefill.add(work.total_seconds(), tokens, now)

    def begin(self, service: str) -> None:
        """Counts a request that waits for a slot or occupies one, until `end`."""
        self._change(service, 1)
        self._lasting[service][1].value += 1.0
        now = self._clock.monotonic()
        arrivals = self._arrivals.setdefault(service, _Mean(0.0, now))
        arrivals.advance(0.0, now)
        arrivals.value += 1.0

    def end(self, service: str) -> None:
        """Ends what `begin` began."""
        self._change(service, -1)

    def begin_answer(self, service: str) -> None:
        """Counts a request that generates its answer, until `end_answer`."""
        now = self._clock.monotonic()
        self._answers.setdefault(service, _Answers(now)).change(1, now)

    def end_answer(self, service: str, took: datetime.timedelta) -> None:
        """Ends what `begin_answer` began that long ago."""
        now = self._clock.monotonic()
        self._answers[service].change(-1, now)
        self._answers[service].add(took.total_seconds(), now)

    def prefilling_engines(self) -> dict[str, float]:
        """Returns, for each service, how many engines its requests keep busy with prefill."""
        now = self._clock.monotonic()
        return {service: prefill.busy_engines(now) for service, prefill in self._prefill.items()}

    def prompt_times(self, service: str) -> PromptTimes | None:
        """Returns how long engines prefill a service's prompts, None if there were few lately."""
        prefill = self._prefill.get(service)
        return prefill.prompt_times(self._clock.monotonic()) if prefill is not None else None

    def stay_s(self, service: str) -> float | None:
        """Returns for how many seconds a request is in progress, None if there were few lately."""
        if service not in self._lasting:
            return None
        self._change(service, 0)
        in_progress, begun = self._lasting[service]
        if begun.value < MIN_PROMPTS:
            return None
        per_s = begun.value / (TOKEN_TIME_HALF_LIFE.total_seconds() / math.log(2.0))
        return in_progress.value / per_s

    def requests_in_progress(self) -> dict[str, float]:
        """Returns, for each service, the mean number of requests that use or need a slot.

        Those that wait count only as far as they arrive faster than answers end: in a backlog the
        number of slots that are needed is the rate of arrivals times the time in a slot.
        """
        for service in self._in_progress:
            self._change(service, 0)
        return {
            service: min(mean.value, self._needed_slots(service))
            for service, mean in self._mean_in_progress.items()
        }

    def _needed_slots(self, service):
        now = self._clock.monotonic()
        answers, arrivals = self._answers.get(service), self._arrivals.get(service)
        stay_s = answers.stay_s(now) if answers is not None else None
        prompts = self.prompt_times(service)
        if stay_s is None or prompts is None:
            return math.inf
        arrivals.advance(0.0, now)
        per_s = arrivals.value / (HALF_LIFE.total_seconds() / math.log(2.0))
        prefilling = per_s * prompts.mean_s
        return prefilling + max(answers.running(now), per_s * stay_s)

    def _change(self, service, by):
        now = self._clock.monotonic()
        level = self._in_progress.get(service, 0)
        self._mean_in_progress.setdefault(service, _Mean(0.0, now)).advance(level, now)
        if service not in self._lasting:
            self._lasting[service] = (
                _Mean(0.0, now, TOKEN_TIME_HALF_LIFE),
                _Mean(0.0, now, TOKEN_TIME_HALF_LIFE),
            )
        in_progress, begun = self._lasting[service]
        in_progress.advance(level, now)
        begun.advance(0.0, now)
        self._in_progress[service] = level + by
