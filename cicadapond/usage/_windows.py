"""Counts of started requests by window of UTC time and client account; no I/O."""

import collections
import datetime
import typing

KEPT_WINDOWS = 8
EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class UsageWindows:
    """The counts of this process.

    Args:
      window: The length of a window; window k begins k lengths after the Unix epoch.
    """

    def __init__(self, window: datetime.timedelta):
        self._window = window
        self._counts: dict[int, collections.Counter] = {}

    def number(self, at: datetime.datetime) -> int:
        """Returns the number of the window that contains a time."""
        return (at - EPOCH) // self._window

    def end(self, number: int) -> datetime.datetime:
        """Returns the end of a window."""
        return EPOCH + (number + 1) * self._window

    def count(self, account: str, at: datetime.datetime) -> None:
        """Counts a request that started at a time."""
        self._counts.setdefault(self.number(at), collections.Counter())[account] += 1
        while len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def counts(self) -> dict[int, dict[str, int]]:
        """Returns the counts of the newest windows."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """The counts reported by other processes, by process and start.

    A process that restarts counts from zero, and what it reported before still counts.
    """

    def __init__(self):
        self._counts: dict[int, dict[tuple[str, int], typing.Mapping[str, int]]] = {}

    def record_report(
        self,
        process: str,
        start: int,
        windows: typing.Mapping[int, typing.Mapping[str, int]],
    ) -> None:
        """Stores the counts reported by one start of a process; replaces those per window."""
        for number, counts in windows.items():
            self._counts.setdefault(number, {})[process, start] = counts
        while len(self._counts) > 2 * KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def pack(self, own: tuple[str, int, typing.Mapping], newest: int, windows: int) -> list:
        """Serialises the counts of the newest windows of every start, for `merge_packed`.

        Args:
          own: The name of this process, its start and its counts by window.
          newest: The number of the newest window.
          windows: How many windows to include.

        Returns:
          The account names, and a row per start: process, start and, by window, the counts in
          the order of the names.
        """
        process, start, counts = own
        counts_by_start = {(process, start): dict(counts)}
        for number, starts in self._counts.items():
            for start_key, counts in starts.items():
                counts_by_start.setdefault(start_key, {}).setdefault(number, counts)
        numbers = range(newest - windows + 1, newest + 1)
        accounts = sorted(
            {
                account
                for each in counts_by_start.values()
                for window in numbers
                for account in each.get(window, ())
            }
        )
        rows = []
        for (process, start), counts in sorted(counts_by_start.items()):
            kept = {
                window: [counts[window].get(account, 0) for account in accounts]
                for window in numbers
                if window in counts
            }
            if kept:
                rows.append([process, start, kept])
        return [accounts, rows]

    def merge_packed(self, packed: list, own: tuple[str, int]) -> None:
        """Merges the result of another ledger's `pack`, where its counts have a higher total.

        Args:
          packed: The result of `pack`.
          own: The name of this process and its start, whose counts are skipped.
        """
        accounts, rows = packed
        for process, start, windows in rows:
            if (process, start) == own:
                continue
            for number, row in windows.items():
                counts = {
                    account: count for account, count in zip(accounts, row, strict=True) if count
                }
                known = self._counts.setdefault(number, {})
                if sum(known.get((process, start), {}).values()) < sum(row):
                    known[process, start] = counts

    def total(
        self, number: int, own: typing.Mapping[int, typing.Mapping[str, int]]
    ) -> dict[str, int]:
        """Returns the total counts of one window over all processes, by account.

        Args:
          number: The number of the window.
          own: This process's counts by window.
        """
        total = collections.Counter(own.get(number, {}))
        for counts in self._counts.get(number, {}).values():
            total.update(counts)
        return {account: count for account, count in sorted(total.items()) if count}
