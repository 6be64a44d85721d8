"""What the old version of a service is expected to take; learned from its answers; no I/O.

It answers loads that change while versions are compared: the same expectation, of the old version,
is applied to both, so that a queue that delays both says nothing against the new one.
"""

import datetime

from cicadapond.placing import Placement, Placer

# The weight of each answer in the moving averages.
GAIN = 0.1
# Stand for the smallest times, whose ratio would be noise: timers and the network.
MIN_CALL_MS = 2.0
MIN_GAP_MS = 2.0
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Baseline:
    """The times of the old versions of services.

    Args:
      placer: Has the models of the time to the first event.
    """

    def __init__(self, placer: Placer):
        self._placer = placer
        # By service, version and route, in milliseconds.
        self._call_ms: dict[tuple[str, str, str], float] = {}
        self._gap_ms: dict[tuple[str, str, str], float] = {}

    def first_ms(self, placement: Placement, version: str) -> float | None:
        """Returns the expected time to the first event in milliseconds, if it were that version.

        None for a plain service.
        """
        return self._placer.expected_as(placement, version)

    def call_ms(self, service: str, version: str, route: str) -> float | None:
        """Returns the expected duration of a call in milliseconds, None if unknown."""
        return self._call_ms.get((service, version, route))

    def gap_ms(self, service: str, version: str, route: str) -> float | None:
        """Returns the expected longest gap between a stream's events, None if unknown."""
        return self._gap_ms.get((service, version, route))

    def learn_call(self, service: str, version: str, route: str, took: datetime.timedelta) -> None:
        """Learns from a complete answer of a plain service."""
        _learn(self._call_ms, (service, version, route), max(MIN_CALL_MS, took / _MILLISECOND))

    def learn_gap(self, service: str, version: str, route: str, gap: datetime.timedelta) -> None:
        """Learns from the longest gap of a complete stream."""
        _learn(self._gap_ms, (service, version, route), max(MIN_GAP_MS, gap / _MILLISECOND))


def _learn(means, key, value):
    mean = means.get(key, value)
    means[key] = mean + GAIN * (value - mean)
