"""The newest statement of each backend server, by server and start."""

import datetime

import attrs

from cicadapond.gateway.data import ResponseHead, ServerEntry
from cicadapond.kernel import Clock


@attrs.frozen
class Advisory:
    """What a server said of itself.

    Attributes:
      born: The start of the server that said it, as `ServerEntry.born`.
      rate_limit: The requests per second that it accepts from all processes together, None if it
        states no limit.
      said_at: When it said so, in UTC.
      unreadable: The headers with invalid values.
    """

    born: int
    rate_limit: float | None
    said_at: datetime.datetime
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class AdvisoryChange:
    """A statement that differs from the last one; `before` is None if there was none."""

    server: str
    before: Advisory | None
    after: Advisory


class ServerAdvisories:
    """Keeps what the servers said.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._advisories: dict[str, Advisory] = {}

    def get(self, entry: ServerEntry) -> Advisory | None:
        """Returns what this start of a server said last, None if it stated nothing."""
        known = self._advisories.get(entry.name)
        return known if known is not None and known.born == entry.born else None

    def record(self, entry: ServerEntry, head: ResponseHead) -> AdvisoryChange | None:
        """Records the head of a server's answer; returns what has changed, None if nothing has."""
        known = self.get(entry)
        said = (head.rate_limit, head.unreadable)
        if said == ((known.rate_limit, known.unreadable) if known is not None else (None, ())):
            return None
        after = Advisory(entry.born, head.rate_limit, self._clock.now(), head.unreadable)
        self._advisories[entry.name] = after
        return AdvisoryChange(entry.name, known, after)

    def remove(self, server: str) -> None:
        """Drops what a server that is gone said."""
        self._advisories.pop(server, None)
