"""What one engine keeps, followed by its events and repaired by lists; no I/O.

It handles engines under load whose events are late, lost or started anew: lists are exact but delay
the engine, so that they are asked for seldom.
"""

import datetime
import typing

from cicadapond.kernel import Clock
from cicadapond.residency._data import PartEvents, PartList
from cicadapond.residency._hashes import part_hash

# An engine is asked for a list at most once in this time, as the list delays it.
MIN_LIST_INTERVAL = datetime.timedelta(seconds=10)
# Parts kept in mind of an engine; an engine that keeps more is not believed.
MAX_PARTS = 4096


class EngineHoldings:
    """Follows what one start of an engine keeps.

    Args:
      clock: Gives the time.

    Attributes:
      parts: The tokens that it keeps by the hash of the part, the latest change last.
      since: The number from which to ask for events.
    """

    def __init__(self, clock: Clock):
        self.parts: dict[int, int] = {}
        self.since = 0
        self._clock = clock
        self._epoch: str | None = None
        self._is_incomplete = False
        self._listed_at: datetime.timedelta | None = None

    def apply_events(self, told: PartEvents) -> None:
        """Applies events; missing ones or a new epoch call for a list."""
        if self._epoch is not None and told.epoch != self._epoch:
            self.parts.clear()
            self._is_incomplete = True
        self._is_incomplete |= told.is_lost
        self._epoch, self.since = told.epoch, told.next
        for change in told.changes:
            self._set(change.part, change.tokens)

    def apply_list(self, told: PartList) -> None:
        """Replaces what is known by a list."""
        self.parts = {}
        for part, tokens in told.parts.items():
            self._set(part, tokens)
        self._epoch, self.since = told.epoch, told.next
        self._is_incomplete = False

    def take_list(self) -> bool:
        """Returns whether to ask for a list now; counts it as asked for."""
        now = self._clock.monotonic()
        if not self._is_incomplete:
            return False
        if self._listed_at is not None and now - self._listed_at < MIN_LIST_INTERVAL:
            return False
        self._listed_at = now
        return True

    def shared(self, shared: typing.Container[int]) -> dict[int, int]:
        """Returns the tokens kept of shared parts, the part that was kept latest first."""
        return {key: self.parts[key] for key in reversed(self.parts) if key in shared}

    def _set(self, part, tokens):
        key = part_hash(part)
        self.parts.pop(key, None)
        if tokens > 0:
            self.parts[key] = tokens
            if len(self.parts) > MAX_PARTS:
                del self.parts[next(iter(self.parts))]
