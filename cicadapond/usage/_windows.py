"""Counts of the requests that began to run, by window of true time and client account; no I/O."""

import collections
import datetime
import typing

KEPT_WINDOWS = 8
EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class UsageWindows:
    """One process's counts.

    Args:
      window: The length of a window; window k begins k lengths after the start of 1970.
    """

    def __init__(self, window: datetime.timedelta):
        self._window = window
        self._counts: dict[int, collections.Counter] = {}

    def number(self, at: datetime.datetime) -> int:
        """Returns the window that an instant is in."""
        return (at - EPOCH) // self._window

    def end(self, number: int) -> datetime.datetime:
        """Returns the end of a window."""
        return EPOCH + (number + 1) * self._window

    def count(self, account: str, at: datetime.datetime) -> None:
        """Counts a request that began to run."""
        self._counts.setdefault(self.number(at), collections.Counter())[account] += 1
        while len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def counts(self) -> dict[int, dict[str, int]]:
        """Returns the counts of the newest windows."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """Counts of other processes, those of earlier starts included.

    A process that starts again counts anew, while what it told before it ended still holds.
    """

    def __init__(self):
        self._counts: dict[int, dict[tuple[str, int], typing.Mapping[str, int]]] = {}

    def hear(
        self,
        process: str,
        start: int,
        windows: typing.Mapping[int, typing.Mapping[str, int]],
    ) -> None:
        """Takes what one start of a process tells; later words on a window replace earlier."""
        for number, counts in windows.items():
            self._counts.setdefault(number, {})[process, start] = counts
        while len(self._counts) > 2 * KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def pack(self, own: tuple[str, int, typing.Mapping], newest: int, windows: int) -> list:
        """Returns the counts of the newest windows of every start, for another ledger to take.

        Args:
          own: This process, its start and its counts by window.
          newest: The newest window.
          windows: How many windows to pack.
        """
        process, start, counts = own
        found = {(process, start): dict(counts)}
        for number, starts in self._counts.items():
            for place, counts in starts.items():
                found.setdefault(place, {}).setdefault(number, counts)
        numbers = range(newest - windows + 1, newest + 1)
        accounts = sorted({a for each in found.values() for n in numbers for a in each.get(n, ())})
        rows = []
        for (process, start), counts in sorted(found.items()):
            kept = {n: [counts[n].get(a, 0) for a in accounts] for n in numbers if n in counts}
            if kept:
                rows.append([process, start, kept])
        return [accounts, rows]

    def unpack(self, packed: list, own: tuple[str, int]) -> None:
        """Takes what another ledger packed, if more than what is known.

        Args:
          packed: What it packed.
          own: This process and its start, whose counts are not kept here.
        """
        accounts, rows = packed
        for process, start, windows in rows:
            if (process, start) == own:
                continue
            for number, row in windows.items():
                counts = {a: count for a, count in zip(accounts, row, strict=True) if count}
                known = self._counts.setdefault(number, {})
                if sum(known.get((process, start), {}).values()) < sum(row):
                    known[process, start] = counts

    def add_up(
        self, number: int, own: typing.Mapping[int, typing.Mapping[str, int]]
    ) -> dict[str, int]:
        """Returns the counts of one window over all processes.

        Args:
          number: The window.
          own: This process's counts by window.
        """
        total = collections.Counter(own.get(number, {}))
        for counts in self._counts.get(number, {}).values():
            total.update(counts)
        return {account: count for account, count in sorted(total.items()) if count}
