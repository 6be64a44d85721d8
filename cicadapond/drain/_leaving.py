"""Which backend servers are leaving, as numbers that every process merges the same way.

Each server has one number, which only increases and whose lowest bit is set while the server is
leaving.  Processes exchange their numbers and keep the highest, so that they converge whatever
the order of the messages.  New numbers are taken from the wall clock in milliseconds, so that a
process that has dropped a server does not start below the number that others still hold.  The
second bit requests acknowledgements: a drain needs them, a reclaim that happens anyway does not.
"""

import datetime

from cicadapond.kernel import Clock

RETENTION = datetime.timedelta(minutes=10)
LEAVING_BIT = 1
ACKNOWLEDGE_BIT = 2
FLAG_BITS = 2
DRAIN = LEAVING_BIT | ACKNOWLEDGE_BIT


def is_leaving_number(number: int) -> bool:
    """Returns whether a number marks its server as leaving."""
    return bool(number & LEAVING_BIT)


def drain_number(clock: Clock, above: int = 0) -> int:
    """Returns a number for a new drain, greater than `above`."""
    wall = int(clock.now().timestamp() * 1000)
    return max((above >> FLAG_BITS) + 1, wall) << FLAG_BITS | DRAIN


class LeavingServers:
    """The numbers that one process holds.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._numbers: dict[str, int] = {}
        self._sources: dict[str, set[str]] = {}
        self._last_used: dict[str, datetime.timedelta] = {}
        self._originated: dict[str, None] = {}

    def number(self, server: str) -> int:
        """Returns a server's number, 0 if there is none."""
        return self._numbers.get(server, 0)

    def is_leaving(self, server: str) -> bool:
        """Returns whether a server is leaving and accepts no new work."""
        return is_leaving_number(self.number(server))

    def mark(self, server: str, source: str, acknowledge: bool = False) -> bool:
        """Marks a server as leaving.

        Args:
          server: The backend server.
          source: Where the information comes from.
          acknowledge: Whether every process has to acknowledge the mark, as for a drain.

        Returns:
          Whether the number changed, so that other processes must receive it.
        """
        self._sources.setdefault(server, set()).add(source)
        self._last_used[server] = self._clock.monotonic()
        number = self.number(server)
        if is_leaving_number(number) and (number & ACKNOWLEDGE_BIT or not acknowledge):
            return False
        self._set_next(server, LEAVING_BIT | ACKNOWLEDGE_BIT * acknowledge)
        return True

    def unmark(self, server: str) -> bool:
        """Removes the mark, for an operator's undrain or a new host of the same name.

        Returns:
          Whether the server was leaving.
        """
        self._sources.pop(server, None)
        if not self.is_leaving(server):
            return False
        self._set_next(server, 0)
        return True

    def merge(self, server: str, number: int) -> bool:
        """Merges the number of another process.

        Returns:
          Whether it was higher than the local one.
        """
        if number <= self.number(server):
            return False
        self._numbers[server] = number
        self._last_used[server] = self._clock.monotonic()
        self._originated.pop(server, None)
        if is_leaving_number(number):
            self._sources.setdefault(server, set()).add("peer")
        else:
            self._sources.pop(server, None)
        return True

    def end_drain(self, server: str, number: int) -> bool:
        """Ends a drain that its originator no longer publishes.

        Every process derives the same new number from the old one.

        Args:
          server: The backend server.
          number: The number that the originator published until now.

        Returns:
          Whether that drain was in effect here.
        """
        if number != self.number(server) or number & DRAIN != DRAIN:
            return False
        return self.merge(server, (number >> FLAG_BITS) + 1 << FLAG_BITS)

    def assigned_numbers(self) -> dict[str, int]:
        """Returns the numbers that this process has assigned, for others to merge."""
        return {server: self._numbers[server] for server in self._originated}

    def numbers_to_acknowledge(self) -> dict[str, int]:
        """Returns the numbers in effect here that request an acknowledgement."""
        return {
            server: number for server, number in self._numbers.items() if number & ACKNOWLEDGE_BIT
        }

    def sources(self, server: str) -> tuple[str, ...]:
        """Returns the sources that reported a server as leaving."""
        return tuple(sorted(self._sources.get(server, ())))

    def forget(self, listed: set[str]) -> None:
        """Drops servers that have been off the host list, or not leaving, for `RETENTION`."""
        now = self._clock.monotonic()
        for server in list(self._numbers):
            if server in listed and self.is_leaving(server):
                self._last_used[server] = now
            elif now - self._last_used[server] > RETENTION:
                del self._numbers[server], self._last_used[server]
                self._sources.pop(server, None)
                self._originated.pop(server, None)

    def _set_next(self, server, flags):
        wall = int(self._clock.now().timestamp() * 1000)
        base = max((self.number(server) >> FLAG_BITS) + 1, wall)
        self._numbers[server] = base << FLAG_BITS | flags
        self._last_used[server] = self._clock.monotonic()
        self._originated[server] = None
