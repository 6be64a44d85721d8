"""Running totals of a rollout, in a form that processes report and sum.

It answers the load of a service while both versions of its servers run: totals are additive over
processes, only grow, and their number does not depend on the number of requests.
"""

import bisect
import datetime
import operator
import typing

import attrs

from cicadapond.rollout._data import Observation

# The limits between the classes of slowness, a factor of 1.3 apart: hosts that are 2.5 times slower
# for moments and versions that are at least three times slower fall into different classes.
SLOWNESS_LIMITS = (0.77, 1.0, 1.3, 1.7, 2.2, 2.9, 3.8, 5.0)
CLASSES = len(SLOWNESS_LIMITS) + 1
# The class from which on a response counts as slow: 2.2 times the expected time and more.
SLOW_CLASS = 5
# Requests in flight by slots from which on a server counts as loaded.
HIGH_LOAD = 0.5

MILLISECOND = datetime.timedelta(milliseconds=1)

_SEPARATOR = "\t"
_REQUESTS, _OLD, _NEW, _ENGINE = "r", "o", "n", "e"
# The number of counts by kind; a later build may add more.
_LENGTHS = {_REQUESTS: 2, _OLD: 4 + CLASSES, _NEW: 4 + CLASSES, _ENGINE: 2}


@attrs.frozen
class Sums:
    """The totals of one version on one route at one load.

    Attributes:
      answers: Outcomes of sends.
      failed: Those that failed.
      measured: Responses whose duration is known.
      duration_ms: The sum of their durations in milliseconds.
      classes: The responses by class of slowness, without those whose slowness is unknown.
    """

    answers: int = 0
    failed: int = 0
    measured: int = 0
    duration_ms: int = 0
    classes: tuple[int, ...] = (0,) * CLASSES

    @classmethod
    def of(cls, counts: typing.Sequence[int]) -> "Sums":
        """Returns the sums that `counts` holds in the order of the attributes."""
        return cls(*counts[:4], classes=tuple(counts[4:]))

    @property
    def counts(self) -> tuple[int, ...]:
        """All counts in the order of the attributes."""
        return (self.answers, self.failed, self.measured, self.duration_ms, *self.classes)

    @property
    def slow(self) -> int:
        """The number of slow responses."""
        return sum(self.classes[SLOW_CLASS:])

    def plus(self, other: "Sums", sign: int = 1) -> "Sums":
        """Returns the sums of both; the difference if `sign` is -1."""
        return Sums.of(
            [one + sign * two for one, two in zip(self.counts, other.counts, strict=True)]
        )


@attrs.define
class Evidence:
    """All totals of one rollout.

    Attributes:
      requests: The requests of callers, by route.
      sent: The sends to the new version, by route.
      old: The sums of the old version, by route and whether the server was loaded.
      new: Those of the new version.
      engines: Failed and slow responses of the new version, by start of the server.
    """

    requests: dict[str, int] = attrs.field(factory=dict)
    sent: dict[str, int] = attrs.field(factory=dict)
    old: dict[tuple[str, bool], Sums] = attrs.field(factory=dict)
    new: dict[tuple[str, bool], Sums] = attrs.field(factory=dict)
    engines: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def total(self, version: str, route: str | None = None) -> Sums:
        """Returns the sums of "old" or "new" over all loads, of one route or of all."""
        return total_of(getattr(self, version), route)

    def durations(self) -> dict[str, float]:
        """Returns the mean duration of responses of the old version in seconds, by route."""
        totals = {route: self.total("old", route) for route, _ in self.old}
        return {
            route: total.duration_ms / total.measured / 1000
            for route, total in totals.items()
            if total.measured
        }


def total_of(
    sums: typing.Mapping[tuple[str, bool], Sums],
    route: str | None = None,
    is_loaded: bool | None = None,
) -> Sums:
    """Returns the sums of one route or of all, at one load or at both."""
    found = [
        value.counts
        for (name, load), value in sums.items()
        if (route is None or route == name) and (is_loaded is None or is_loaded == load)
    ]
    if len(found) > 1:
        return Sums.of(list(map(sum, zip(*found, strict=True))))
    return Sums.of(found[0]) if found else Sums()


def group_sums(
    sums: typing.Mapping[tuple[str, bool], Sums],
) -> dict[tuple[str | None, bool | None], Sums]:
    """Returns the sums of all, of each route, and of each route on loaded servers.

    The keys are routes, None for all, and whether only loaded servers count, None for all.
    """
    found: dict[tuple[str | None, bool | None], list[tuple[int, ...]]] = {}
    for (name, is_loaded), value in sums.items():
        counts = value.counts
        found.setdefault((None, None), []).append(counts)
        found.setdefault((name, None), []).append(counts)
        if is_loaded:
            found[name, True] = [counts]
    return {
        key: Sums.of(many[0] if len(many) == 1 else list(map(sum, zip(*many, strict=True))))
        for key, many in found.items()
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
        classes = [0] * CLASSES
        is_slow = False
        if slowness is not None:
            number = bisect.bisect_right(SLOWNESS_LIMITS, slowness)
            classes[number] = 1
            is_slow = number >= SLOW_CLASS
        duration = None if seen.is_bad else seen.duration
        milliseconds = round(duration / MILLISECOND) if duration is not None else 0
        kind, load = _NEW if is_new else _OLD, "1" if seen.load >= HIGH_LOAD else "0"
        counts = (1, int(seen.is_bad), int(duration is not None), milliseconds, *classes)
        self._add((kind, load, seen.route), counts)
        if is_new and seen.server and (seen.is_bad or is_slow):
            self._add((_ENGINE, seen.server), (int(seen.is_bad), int(is_slow)))

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


def readable_counts(key: str, counts: typing.Sequence[int]) -> tuple[int, ...] | None:
    """Returns the counts that this build knows of those of a key, None if they are malformed."""
    kind = key.split(_SEPARATOR, 3)[2]
    length = _LENGTHS.get(kind, 0)
    known = tuple(counts[:length])
    return known if length and len(known) == length and min(known) >= 0 else None


def read_totals(totals: typing.Mapping[str, tuple[int, ...]]) -> Evidence:
    """Returns the totals of one rollout, without those that are unreadable."""
    evidence = Evidence()
    for key, counts in totals.items():
        parts = key.split(_SEPARATOR)[2:]
        match parts:
            case [kind, route] if kind == _REQUESTS and len(counts) == 2:
                evidence.requests[route], evidence.sent[route] = counts
            case [kind, load, route] if kind in (_OLD, _NEW) and len(counts) == 4 + CLASSES:
                sums = evidence.new if kind == _NEW else evidence.old
                sums[route, load == "1"] = Sums.of(counts)
            case [kind, server] if kind == _ENGINE and len(counts) == 2:
                evidence.engines[server] = (counts[0], counts[1])
    return evidence


def add_totals(
    sources: typing.Iterable[typing.Mapping[str, tuple[int, ...]]],
) -> dict[str, tuple[int, ...]]:
    """Returns the sum of the totals of several sources."""
    sums: dict[str, tuple[int, ...]] = {}
    for source in sources:
        for key, counts in source.items():
            known = sums.get(key)
            sums[key] = tuple(map(operator.add, known, counts)) if known else counts
    return sums
