"""When requests are sent: arrival processes of an open loop, which never wait for answers.

Callers' arrivals are correlated, so that a Poisson process understates queues; "burst" and
"trace" send what an opening hour or a recorded day does.
"""

import abc
import pathlib
import random

import attrs

from cicadapond.kernel import Registry

arrivals: "Registry[Arrivals]" = Registry("arrival process")


@attrs.frozen
class ArrivalSettings:
    """What an arrival process is made from.

    `rate` is the mean in requests a second, `seconds` the length, `trace` a file with one arrival
    time in seconds a line.
    """

    rate: float
    seconds: float
    burst_size: int = 20
    trace: str = ""


class Arrivals(abc.ABC):
    """A sequence of sending times."""

    @abc.abstractmethod
    def times(self, cfg: ArrivalSettings, rng: random.Random) -> list[float]:
        """Returns the sending times in seconds from the start, ascending."""


@arrivals.register("uniform")
class UniformArrivals(Arrivals):
    """Equal gaps."""

    def times(self, cfg, rng):
        return [number / cfg.rate for number in range(int(cfg.rate * cfg.seconds))]


@arrivals.register("poisson")
class PoissonArrivals(Arrivals):
    """Independent arrivals: exponential gaps."""

    def times(self, cfg, rng):
        return _poisson(cfg.rate, cfg.seconds, rng)


@arrivals.register("burst")
class BurstArrivals(Arrivals):
    """Groups that arrive within a tenth of a second, at Poisson times, with the same mean rate."""

    SPREAD_SECONDS = 0.1

    def times(self, cfg, rng):
        groups = _poisson(cfg.rate / cfg.burst_size, cfg.seconds, rng)
        spread = [
            start + rng.uniform(0, self.SPREAD_SECONDS)
            for start in groups
            for _ in range(cfg.burst_size)
        ]
        return sorted(spread)


@arrivals.register("trace")
class TraceArrivals(Arrivals):
    """Recorded times as they are, cut at the length of the run."""

    def times(self, cfg, rng):
        lines = pathlib.Path(cfg.trace).read_text(encoding="utf-8").split()
        recorded = sorted(float(line) for line in lines)
        return [time for time in recorded if time < cfg.seconds]


def _poisson(rate, length, rng):
    times = []
    time = rng.expovariate(rate)
    while time < length:
        times.append(time)
        time += rng.expovariate(rate)
    return times
