"""Counts of usage windows as lease holders stored them before their reports; no I/O."""

import typing

# A new holder looks back three windows; the fourth is for a clock that is ahead.
KEPT_WINDOWS = 4


class StoredCounts:
    """The stored counts of the newest windows that this process knows of.

    The store may lose them, although a report with them was accepted.  A window's counts never
    change once they are stored, so the first ones that are known remain.
    """

    def __init__(self):
        self._counts: dict[int, dict[str, int]] = {}
        self._own: set[int] = set()

    def record(self, window: int, counts: typing.Mapping[str, int]) -> None:
        """Adds the counts of a window that this process stored, or found, while it held the lease.

        Args:
          window: The number of the window.
          counts: Requests by account.
        """
        self._own.add(window)
        self.merge({window: counts})

    def merge(self, windows: typing.Mapping[int, typing.Mapping[str, int]]) -> None:
        """Adds the counts that another process tells, by window and account."""
        for number, counts in windows.items():
            self._counts.setdefault(number, dict(counts))
        while len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]
        self._own &= self._counts.keys()

    def find(self, window: int) -> dict[str, int] | None:
        """Returns the stored counts of a window, None if they are unknown."""
        return self._counts.get(window)

    def counts(self) -> dict[int, dict[str, int]]:
        """Returns all counts that are known, by window and account."""
        return dict(self._counts)

    def own(self) -> dict[int, dict[str, int]]:
        """Returns the counts that this process recorded as the holder, by window and account."""
        return {number: self._counts[number] for number in sorted(self._own)}
