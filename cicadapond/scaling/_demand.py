"""Measures how many engines the requests of this process keep busy; no I/O.

An engine has two resources: it prefills one prompt at a time, and its batch has a limited number of
slots.  Short answers to long prompts use up the first, long answers the second.  Requests in the
slots are counted instead of computed from their sizes, so that requests that wait because no slot
is free count too: in an overload the demand must not fall.
"""

import datetime
import math
import typing

import attrs

from cicadapond.kernel import Clock

# Short enough to follow a burst, long enough to bridge the gaps between requests.
HALF_LIFE = datetime.timedelta(seconds=2)


@attrs.frozen
class Utilisation:
    """The shares of an engine's time for prefill, and of its slots, that are in use."""

    prefill: float
    slots: float


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

    def servers_at(self, utilisation: Utilisation) -> float:
        """Returns how many engines serve the demand at a utilisation."""
        return max(self.prefill / utilisation.prefill, self.batches / utilisation.slots)


def peak(demands: typing.Iterable[Demand]) -> Demand:
    """Returns the highest demand for each resource."""
    demands = tuple(demands)
    return Demand(
        max(demand.prefill for demand in demands), max(demand.batches for demand in demands)
    )


@attrs.define
class _Mean:
    """A mean over time with exponential decay."""

    value: float
    updated_at: datetime.timedelta

    def advance(self, level: float, now: datetime.timedelta) -> None:
        """Moves the mean towards the level that was in force since the last update."""
        weight = 0.5 ** ((now - self.updated_at) / HALF_LIFE)
        self.value = level + (self.value - level) * weight
        self.updated_at = now


class DemandMeter:
    """Measures demand by service.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._work_s: dict[str, _Mean] = {}
        self._in_progress: dict[str, int] = {}
        self._mean_in_progress: dict[str, _Mean] = {}

    def add_prefill(self, service: str, work: datetime.timedelta) -> None:
        """Counts the prefill of one request."""
        now = self._clock.monotonic()
        total = self._work_s.setdefault(service, _Mean(0.0, now))
        total.advance(0.0, now)
        total.value += work.total_seconds()

    def begin(self, service: str) -> None:
        """Counts a request that waits for a slot or occupies one, until `end`."""
        self._change(service, 1)

    def end(self, service: str) -> None:
        """Ends what `begin` began."""
        self._change(service, -1)

    def prefilling_engines(self) -> dict[str, float]:
        """Returns, for each service, how many engines its requests keep busy with prefill."""
        now = self._clock.monotonic()
        # At a steady rate the decayed sum is the rate times the mean lifetime of its terms.
        mean_life_s = HALF_LIFE.total_seconds() / math.log(2.0)
        for total in self._work_s.values():
            total.advance(0.0, now)
        return {service: total.value / mean_life_s for service, total in self._work_s.items()}

    def requests_in_progress(self) -> dict[str, float]:
        """Returns, for each service, the mean number of requests that use or await a slot."""
        for service in self._in_progress:
            self._change(service, 0)
        return {service: mean.value for service, mean in self._mean_in_progress.items()}

    def _change(self, service, by):
        now = self._clock.monotonic()
        level = self._in_progress.get(service, 0)
        self._mean_in_progress.setdefault(service, _Mean(0.0, now)).advance(level, now)
        self._in_progress[service] = level + by
