"""The recent demand for each service, as every process observes it; no I/O.

Load condition: the holder of the lease changes in the middle of a reclaim.  Each process records
the demand that the summaries tell, so that a new holder plans with it at once.
"""

import datetime

import attrs

from cicadapond.kernel import Clock
from cicadapond.scaling._demand import Demand, peak

# How long demand is kept.
DEMAND_RETENTION = datetime.timedelta(seconds=25)
# The demand is relied on after it has been observed for this long.
DEMAND_SETTLE_TIME = datetime.timedelta(seconds=6)
# Without an observation for this long, for instance because the process was suspended, the demand
# is unknown again.
MAX_OBSERVATION_GAP = datetime.timedelta(seconds=4)


@attrs.frozen
class _Sample:
    demand: Demand
    at: datetime.timedelta


@attrs.define
class _ServiceHistory:
    samples: list[_Sample] = attrs.field(factory=list)
    first_positive_at: datetime.timedelta | None = None


class DemandHistory:
    """Records the demand for each service.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._services: dict[str, _ServiceHistory] = {}

    def record(self, service: str, demand: Demand) -> bool:
        """Records the present demand; returns whether the observation begins or begins anew."""
        now = self._clock.monotonic()
        history = self._services.setdefault(service, _ServiceHistory())
        samples = history.samples
        begins = not samples or now - samples[-1].at > MAX_OBSERVATION_GAP
        if begins:
            history.first_positive_at = None
        if demand.is_positive and history.first_positive_at is None:
            history.first_positive_at = now
        samples.append(_Sample(demand, now))
        samples[:] = [sample for sample in samples if now - sample.at <= DEMAND_RETENTION]
        return begins

    def is_known(self, service: str) -> bool:
        """Returns whether the demand has been observed for DEMAND_SETTLE_TIME."""
        history = self._services.get(service)
        if history is None or history.first_positive_at is None:
            return False
        return self._clock.monotonic() - history.first_positive_at >= DEMAND_SETTLE_TIME

    def peak(self, service: str, window: datetime.timedelta) -> Demand:
        """Returns the highest demand of a window, for each resource."""
        now = self._clock.monotonic()
        samples = self._services.get(service, _ServiceHistory()).samples
        recent = [sample.demand for sample in samples if now - sample.at <= window]
        return peak(recent) if recent else Demand(0.0, 0.0)
