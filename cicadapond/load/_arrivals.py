"""Arrival processes of the open-loop load generator; sending never waits for answers.

Real callers' arrivals are correlated, so a Poisson process understates queueing. "burst" models
an opening hour, and "trace" replays recorded arrival times.
"""

import abc
import pathlib
import random

import attrs

from cicadapond.kernel import Registry

arrivals: "Registry[Arrivals]" = Registry("arrival process")


@attrs.frozen
class ArrivalSettings:
    """Parameters of an arrival process.

    `rate` is the mean in requests per second, `seconds` the duration, `trace` the path of a file
    with one arrival time in seconds per line.
    """

    rate: float
    seconds: float
    burst_size: int = 20
    trace: str = ""


class Arrivals(abc.ABC):
    """Generates the times at which requests are sent."""

    @abc.abstractmethod
    def times(self, cfg: ArrivalSettings, rng: random.Random) -> list[float]:
        """Returns the sending times in seconds from the start, ascending."""


@arrivals.register("uniform")
class UniformArrivals(Arrivals):
    """Arrivals at equal intervals."""

    def times(self, cfg, rng):
        return [number / cfg.rate for number in range(int(cfg.rate * cfg.seconds))]


@arrivals.register("poisson")
class PoissonArrivals(Arrivals):
    """Independent arrivals with exponential gaps."""

    def times(self, cfg, rng):
        return _poisson(cfg.rate, cfg.seconds, rng)


@arrivals.register("burst")
class BurstArrivals(Arrivals):
    """Groups of requests within `SPREAD_SECONDS`; the groups arrive at Poisson times.

    The mean rate is `rate`, as for the other processes.
    """

    SPREAD_SECONDS = 0.1

    def times(self, cfg, rng):
        group_starts = _poisson(cfg.rate / cfg.burst_size, cfg.seconds, rng)
        spread = [
            start + rng.uniform(0, self.SPREAD_SECONDS)
            for start in group_starts
            for _ in range(cfg.burst_size)
        ]
        return sorted(spread)


@arrivals.register("trace")
class TraceArrivals(Arrivals):
    """Recorded arrival times, truncated at the duration of the run."""

    def times(self, cfg, rng):
        lines = pathlib.Path(cfg.trace).read_text(encoding="utf-8").split()
        recorded = sorted(float(line) for line in lines)
        return [time for time in recorded if time < cfg.seconds]


def _poisson(rate, seconds, rng):
    times = []
    time = rng.expovariate(rate)
    while time < seconds:
        times.append(time)
        time += rng.expovariate(rate)
    return times
