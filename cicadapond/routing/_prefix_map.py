"""Which engine probably caches which prefix, learned from routing and mended by cache events."""

import collections

FULL_CERTAINTY = 1.0
LEAST_CERTAINTY = 0.2
GAP_FACTOR = 0.9
OBSERVED_WEIGHT = 0.2
MAX_HOLDERS = 16


class PrefixMap:
    """Prefix blocks and the engines that hold them.

    A block's value names all tokens up to its end, so the deepest block that an engine holds
    tells its whole cached prefix.  A gap in an engine's events lowers the certainty of all that
    is known of it; what its answers then say of their cached tokens raises or lowers it.

    Args:
      max_blocks: Blocks remembered; the least recently used one goes first.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[int, dict[str, int]] = collections.OrderedDict()
        self._generations = collections.Counter()
        self._certainties: dict[str, float] = {}
        self._last_events: dict[str, int] = {}

    def __len__(self):
        return len(self._holders)

    def depths(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Returns how many blocks of a prefix each of the engines that hold most of it has."""
        found = {}
        for depth in range(len(blocks), 0, -1):
            for server, generation in self._holders.get(blocks[depth - 1], {}).items():
                if server not in found and generation == self._generations[server]:
                    found[server] = depth
                    if len(found) >= MAX_HOLDERS:
                        return found
        return found

    def certainty(self, server: str) -> float:
        """Returns how far what is known of an engine may be trusted, up to 1."""
        return self._certainties.get(server, FULL_CERTAINTY)

    def last_event(self, server: str) -> int:
        """Returns the number of the last event taken from an engine."""
        return self._last_events.get(server, 0)

    def add(self, blocks: tuple[int, ...], server: str) -> None:
        """Notes that an engine holds a prefix."""
        generation = self._generations[server]
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders[server] = generation
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def observe(self, blocks: tuple[int, ...], server: str, held: int) -> None:
        """Notes how many of a prefix's blocks an engine really held when it was asked.

        Args:
          blocks: The blocks that it was believed to hold.
          server: The engine.
          held: How many of them it held.
        """
        if not blocks:
            return
        share = min(1.0, held / len(blocks))
        certainty = self.certainty(server)
        certainty += (share - certainty) * OBSERVED_WEIGHT
        self._certainties[server] = max(LEAST_CERTAINTY, certainty)

    def apply(self, server: str, events) -> None:
        """Takes an engine's cache events; numbers that are missing lower the certainty.

        An engine that counts from 1 again has restarted, with nothing in its cache.
        """
        if events and events[0].number == 1 and self.last_event(server) > len(events):
            self.forget(server)
        last = self.last_event(server)
        for event in events:
            if event.number <= last:
                continue
            if event.number > last + 1:
                lowered = self.certainty(server) * GAP_FACTOR
                self._certainties[server] = max(LEAST_CERTAINTY, lowered)
            last = event.number
            if event.stored:
                self.add((event.block,), server)
            else:
                self._holders.get(event.block, {}).pop(server, None)
        self._last_events[server] = last

    def forget(self, server: str) -> None:
        """Drops all that is known of an engine; its events begin anew."""
        self._generations[server] += 1
        self._certainties.pop(server, None)
        self._last_events.pop(server, None)
