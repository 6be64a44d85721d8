"""Sums running totals over the runs of processes, also over those that have ended; no I/O."""

import datetime
import typing

import attrs

Totals = typing.Mapping[str, tuple[int, ...]]

# The totals of a run count for this long after its last report: longer than a process that ended
# or was cut off matters for a rollout.
RUN_RETENTION = datetime.timedelta(minutes=15)


@attrs.define
class _Run:
    totals: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    reported_at: datetime.timedelta = datetime.timedelta()


class RunTotals:
    """The totals of the runs of processes, by run and key."""

    def __init__(self):
        self._runs: dict[str, _Run] = {}

    def record(self, run: str, totals: Totals, now: datetime.timedelta) -> None:
        """Stores the latest totals of a run; a key that it reports no more is dropped."""
        if totals or run in self._runs:
            self._runs[run] = _Run(dict(totals), now)

    def sums(self, now: datetime.timedelta) -> dict[str, tuple[int, ...]]:
        """Returns the sums over all runs by key."""
        sums: dict[str, tuple[int, ...]] = {}
        for name, run in list(self._runs.items()):
            if now - run.reported_at > RUN_RETENTION:
                del self._runs[name]
                continue
            for key, totals in run.totals.items():
                known = sums.get(key)
                sums[key] = totals if known is None else _added(known, totals)
        return sums


def _added(one, other):
    """Returns the sums of two tuples; the longer one has fields that the other does not know."""
    if len(one) < len(other):
        one, other = other, one
    return tuple(a + b for a, b in zip(one, other, strict=False)) + one[len(other) :]
