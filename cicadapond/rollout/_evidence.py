"""Running totals of a rollout, in a form that processes report and sum.

It answers the load of a service while both versions of its servers run: totals are additive over
processes, only grow, and their number does not depend on the number of requests.
"""

import collections
import datetime
import itertools
import typing

import attrs

from cicadapond.rollout._data import Observation

# A response this many times slower than expected of the old version counts as slow, or very slow.
# Hosts are 2.5 times slower for moments, which must stay below the second limit.
SLOW = 2.0
VERY_SLOW = 3.2
# Requests in flight by slots from which on a server counts as loaded.
HIGH_LOAD = 0.5

_SEPARATOR = "\t"
_REQUESTS, _OLD, _NEW, _ENGINE = "r", "o", "n", "e"


@attrs.frozen
class Sums:
    """The totals of one version on one route at one load.

    Attributes:
      answers: Outcomes of sends.
      failed: Those that failed.
      timed: Responses whose slowness is known.
      slow: Those of `timed` that were slower than `SLOW`.
      very_slow: Those of `timed` that were slower than `VERY_SLOW`.
      measured: Responses whose duration is known.
      duration_ms: The sum of their durations in milliseconds.
    """

    answers: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0
    very_slow: int = 0
    measured: int = 0
    duration_ms: int = 0

    def plus(self, other: "Sums", sign: int = 1) -> "Sums":
        """Returns the sums of both; the difference if `sign` is -1."""
        mine, others = attrs.astuple(self), attrs.astuple(other)
        return Sums(*(one + sign * two for one, two in zip(mine, others, strict=True)))


@attrs.define
class Evidence:
    """All totals of one rollout.

    Attributes:
      requests: The requests of callers, by route.
      sent: The sends to the new version, by route.
      old: The sums of the old version, by route and whether the server was loaded.
      new: Those of the new version.
      engines: Failed and very slow responses of the new version, by start of the server.
    """

    requests: dict[str, int] = attrs.field(factory=dict)
    sent: dict[str, int] = attrs.field(factory=dict)
    old: dict[tuple[str, bool], Sums] = attrs.field(factory=dict)
    new: dict[tuple[str, bool], Sums] = attrs.field(factory=dict)
    engines: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def total(self, version: str, route: str | None = None) -> Sums:
        """Returns the sums of "old" or "new" over all loads, of one route or of all."""
        sums = getattr(self, version)
        found = (value for (name, _), value in sums.items() if route in (None, name))
        return Sums(*map(sum, zip(*map(attrs.astuple, found), strict=True)))

    def durations(self) -> dict[str, float]:
        """Returns the mean duration of responses of the old version in seconds, by route."""
        totals = {route: self.total("old", route) for route, _ in self.old}
        return {
            route: total.duration_ms / total.measured / 1000
            for route, total in totals.items()
            if total.measured
        }


class Totals:
    """The totals of one rollout by opaque keys, as one process counts them.

    Args:
      service: The service.
      rollout: Identifies the rollout among those of the service.
    """

    def __init__(self, service: str, rollout: str):
        self._prefix = (service, rollout)
        self._counts: dict[tuple[str, ...], list[int]] = {}

    def add_request(self, route: str) -> None:
        """Counts a caller's request."""
        self._add((_REQUESTS, route), (1, 0))

    def add_sent(self, route: str) -> None:
        """Counts a send to the new version."""
        self._add((_REQUESTS, route), (0, 1))

    def add(self, seen: Observation, is_new: bool, is_timed: bool) -> None:
        """Adds the outcome of a send.

        Args:
          seen: The outcome.
          is_new: Whether the server runs the new version.
          is_timed: Whether the time counts; it does not while the server is cold.
        """
        slowness = seen.slowness if is_timed and not seen.is_bad else None
        is_slow = slowness is not None and slowness >= SLOW
        is_very_slow = slowness is not None and slowness >= VERY_SLOW
        has_duration = seen.duration is not None and not seen.is_bad
        duration = seen.duration / datetime.timedelta(milliseconds=1) if has_duration else 0
        kind, load = _NEW if is_new else _OLD, "1" if seen.load >= HIGH_LOAD else "0"
        counts = (
            1,
            int(seen.is_bad),
            int(slowness is not None),
            int(is_slow),
            int(is_very_slow),
            int(has_duration),
            round(duration),
        )
        self._add((kind, load, seen.route), counts)
        if is_new and seen.server and (seen.is_bad or is_very_slow):
            self._add((_ENGINE, seen.server), (int(seen.is_bad), int(is_very_slow)))

    def reported(self) -> dict[str, tuple[int, ...]]:
        """Returns the totals by opaque key."""
        return {
            _SEPARATOR.join((*self._prefix, *key)): tuple(counts)
            for key, counts in self._counts.items()
        }

    def _add(self, key, counts):
        known = self._counts.get(key)
        if known is None:
            self._counts[key] = list(counts)
        else:
            for index, count in enumerate(counts):
                known[index] += count


def rollout_of(key: str) -> tuple[str, str] | None:
    """Returns the service and the rollout to which a key of totals belongs, None if unreadable."""
    parts = key.split(_SEPARATOR, 2)
    return (parts[0], parts[1]) if len(parts) == 3 else None


def read_totals(totals: typing.Mapping[str, tuple[int, ...]]) -> Evidence:
    """Returns the totals of one rollout, without those that are unreadable."""
    evidence = Evidence()
    for key, counts in totals.items():
        parts = key.split(_SEPARATOR)[2:]
        match parts:
            case [kind, route] if kind == _REQUESTS and len(counts) == 2:
                evidence.requests[route], evidence.sent[route] = counts
            case [kind, load, route] if kind in (_OLD, _NEW) and len(counts) == 7:
                sums = evidence.new if kind == _NEW else evidence.old
                sums[route, load == "1"] = Sums(*counts)
            case [kind, server] if kind == _ENGINE and len(counts) == 2:
                evidence.engines[server] = (counts[0], counts[1])
    return evidence


def add_totals(
    sources: typing.Iterable[typing.Mapping[str, tuple[int, ...]]],
) -> dict[str, tuple[int, ...]]:
    """Returns the sum of the totals of several sources."""
    sums: dict[str, tuple[int, ...]] = collections.defaultdict(tuple)
    for source in sources:
        for key, counts in source.items():
            pairs = itertools.zip_longest(sums[key], counts, fillvalue=0)
            sums[key] = tuple(one + two for one, two in pairs)
    return dict(sums)
