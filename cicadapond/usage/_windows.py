"""Counts of started requests, or of units of quota, by window of UTC time and account; no I/O."""

import collections
import datetime
import typing

KEPT_WINDOWS = 8
EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class UsageWindows:
    """The counts of this process.

    Args:
      window: The length of a window; window k begins k lengths after the Unix epoch.
      kept: How many windows are kept.
    """

    def __init__(self, window: datetime.timedelta, kept: int = KEPT_WINDOWS):
        self._window = window
        self._kept = kept
        self._counts: dict[int, collections.Counter] = {}

    def number(self, at: datetime.datetime) -> int:
        """Returns the number of the window that contains a time."""
        return (at - EPOCH) // self._window

    def end(self, number: int) -> datetime.datetime:
        """Returns the end of a window."""
        return EPOCH + (number + 1) * self._window

    def count(self, account: str, at: datetime.datetime, units: int = 1) -> None:
        """Counts a request that started at a time, as a number of units."""
        self._counts.setdefault(self.number(at), collections.Counter())[account] += units
        while len(self._counts) > self._kept:
            del self._counts[min(self._counts)]

    def counts(self) -> dict[int, dict[str, int]]:
        """Returns the counts of the newest windows."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """Counts by source, window and account, each the highest that was reported.

    A source counts on its own from zero: a run of a process, or what one succession of hubs knows
    of a data centre.  Counts of one source only grow, so reports may be lost, repeated or come in
    any order.
    """

    def __init__(self):
        self._counts: dict[int, dict[str, dict[str, int]]] = {}

    def merge(self, source: str, windows: typing.Mapping[int, typing.Mapping[str, int]]) -> None:
        """Merges the counts that a source reports by window and account."""
        for number, counts in windows.items():
            known = self._counts.setdefault(number, {}).setdefault(source, {})
            for account, count in counts.items():
                known[account] = max(count, known.get(account, 0))
        while len(self._counts) > 2 * KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def counts(self, source: str) -> dict[int, dict[str, int]]:
        """Returns the counts of one source by window."""
        return {
            number: dict(by_source[source])
            for number, by_source in self._counts.items()
            if source in by_source
        }

    def sources(self) -> set[str]:
        """Returns the sources that have counts in the windows kept."""
        return {source for by_source in self._counts.values() for source in by_source}

    def total(self, number: int) -> dict[str, int]:
        """Returns the total counts of one window over all sources, by account."""
        total = collections.Counter()
        for counts in self._counts.get(number, {}).values():
            total.update(counts)
        return {account: count for account, count in sorted(total.items()) if count}

    def totals(self) -> dict[int, dict[str, int]]:
        """Returns the totals of the newest windows."""
        return {number: self.total(number) for number in sorted(self._counts)[-KEPT_WINDOWS:]}

    def pack(self, newest: int, windows: int) -> list:
        """Serialises the counts of the newest windows, for `merge_packed`.

        Args:
          newest: The number of the newest window.
          windows: How many windows to include.

        Returns:
          The account names, and a row per source: its name and, by window, the counts in the order
          of the names.
        """
        numbers = [
            number for number in range(newest - windows + 1, newest + 1) if number in self._counts
        ]
        accounts = sorted(
            {
                account
                for number in numbers
                for counts in self._counts[number].values()
                for account in counts
            }
        )
        rows: dict[str, dict[int, list[int]]] = {}
        for number in numbers:
            for source, counts in self._counts[number].items():
                row = [counts.get(account, 0) for account in accounts]
                rows.setdefault(source, {})[number] = row
        return [accounts, [[source, kept] for source, kept in sorted(rows.items())]]

    def merge_packed(self, packed: list) -> None:
        """Merges the result of another ledger's `pack`."""
        accounts, rows = packed
        for source, windows in rows:
            named = {
                number: {name: count for name, count in zip(accounts, row, strict=True) if count}
                for number, row in windows.items()
            }
            self.merge(source, named)
