"""Estimates which engine caches which prefix, from routing decisions and cache events."""

import collections

MAX_CONFIDENCE = 1.0
MIN_CONFIDENCE = 0.2
GAP_CONFIDENCE_FACTOR = 0.9
OBSERVED_WEIGHT = 0.2  # weight of the newest observation in the moving average
MAX_HOLDERS = 16


class PrefixMap:
    """Maps prefix blocks to the engines that hold them.

    A block's value identifies all tokens up to its end, so the deepest block that an engine holds
    determines its whole cached prefix.  A gap in an engine's events lowers the confidence in all
    entries for that engine; the cached token counts in its answers then raise or lower it.

    Args:
      max_blocks: Number of blocks kept; the least recently used one is dropped first.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[int, dict[str, int]] = collections.OrderedDict()
        self._cache_epochs = collections.Counter()
        self._confidences: dict[str, float] = {}
        self._last_events: dict[str, int] = {}

    def __len__(self):
        return len(self._holders)

    def depths(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Returns for the deepest holders of a prefix how many of its blocks each holds."""
        depths_by_server = {}
        for depth in range(len(blocks), 0, -1):
            for server, epoch in self._holders.get(blocks[depth - 1], {}).items():
                if server not in depths_by_server and epoch == self._cache_epochs[server]:
                    depths_by_server[server] = depth
                    if len(depths_by_server) >= MAX_HOLDERS:
                        return depths_by_server
        return depths_by_server

    def confidence(self, server: str) -> float:
        """Returns the confidence in the entries for an engine, at most 1."""
        return self._confidences.get(server, MAX_CONFIDENCE)

    def last_event(self, server: str) -> int:
        """Returns the number of the last event applied from an engine, 0 before the first."""
        return self._last_events.get(server, 0)

    def add(self, blocks: tuple[int, ...], server: str) -> None:
        """Records that an engine holds a prefix."""
        epoch = self._cache_epochs[server]
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders[server] = epoch
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def observe(self, blocks: tuple[int, ...], server: str, held: int) -> None:
        """Updates the confidence from how many of a prefix's blocks an engine actually held.

        Args:
          blocks: The blocks that it was expected to hold.
          server: The engine.
          held: How many of them it held.
        """
        if not blocks:
            return
        share = min(1.0, held / len(blocks))
        confidence = self.confidence(server)
        confidence += (share - confidence) * OBSERVED_WEIGHT
        self._confidences[server] = max(MIN_CONFIDENCE, confidence)

    def apply(self, server: str, events) -> None:
        """Applies an engine's cache events; missing event numbers lower the confidence.

        Events that start at 1 but are fewer than the last number seen come from an engine that has
        restarted with an empty cache; otherwise the known ones are skipped as repeated.
        """
        if events and events[0].number == 1 and self.last_event(server) > len(events):
            self.forget(server)
        last = self.last_event(server)
        for event in events:
            if event.number <= last:
                continue
            if event.number > last + 1:
                lowered = self.confidence(server) * GAP_CONFIDENCE_FACTOR
                self._confidences[server] = max(MIN_CONFIDENCE, lowered)
            last = event.number
            if event.stored:
                self.add((event.block,), server)
            else:
                self._holders.get(event.block, {}).pop(server, None)
        self._last_events[server] = last

    def forget(self, server: str) -> None:
        """Drops all entries for an engine; its event numbers start again."""
        self._cache_epochs[server] += 1
        self._confidences.pop(server, None)
        self._last_events.pop(server, None)
