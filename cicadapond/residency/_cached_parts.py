"""What placement asks of the prompt parts that engines keep; no I/O.

It handles shared parts that are requested more often than one engine can serve in time: the part is
fetched to further engines, which costs the links a few milliseconds in place of the prefill.
"""

import abc
import datetime
import typing

import attrs

from cicadapond.kernel import Clock
from cicadapond.residency._directory import PartDirectory
from cicadapond.residency._hashes import SharedParts
from cicadapond.serving import Generation, PromptPart, ServerEntry

# Engines that keep a part and are compared with others.  With two, each copy was used less and
# evicted earlier: on virtual time about twice as much was prefilled again in a calm deployment.
MAX_HOLDERS = 1
# Engines among which the source of a fetch is chosen by what waits on their links.
MAX_SOURCES = 2
# A fetch must be faster than prefilling by this factor: other processes' fetches on the link are
# not known.
FETCH_MARGIN = 2.0
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class Fetch:
    """A transfer of kept tokens from one engine to another, in place of their prefill.

    Attributes:
      source: The engine that keeps them.
      tokens: The leading tokens of the prompt that the source keeps.
      missing: Those of them that the other engine does not keep.
      expected_ms: How long it takes, with the transfers before it on the source's link.
      saved_ms: The prefill that it replaces, 0 until that is known.
    """

    source: ServerEntry
    tokens: int
    missing: int
    expected_ms: float
    saved_ms: float = 0.0


@attrs.frozen
class Following:
    """How the engines of a service are followed.

    `token_ms` is how long the transfer of a token between two of them takes, in milliseconds; None
    to fetch nothing.
    """

    token_ms: float | None = None


class CachedParts(abc.ABC):
    """What is known of the prompt parts that engines keep."""

    @abc.abstractmethod
    def cached_tokens(self, entry: ServerEntry, parts: typing.Sequence[PromptPart]) -> int | None:
        """Returns how many leading tokens of the parts an engine keeps, None if not known."""

    @abc.abstractmethod
    def holders(
        self, parts: typing.Sequence[PromptPart], servers: typing.Sequence[ServerEntry]
    ) -> tuple[ServerEntry, ...]:
        """Returns a few of the servers that keep the last part, () if none is known to."""

    @abc.abstractmethod
    def fetch(
        self, entry: ServerEntry, parts: typing.Sequence[PromptPart], cached: int
    ) -> Fetch | None:
        """Returns the transfer by which an engine would get more than the tokens it keeps."""

    @abc.abstractmethod
    def record_placed(self, generation: Generation, fetch: Fetch | None) -> None:
        """Records that a request was placed, and the transfer that it begins."""


class NothingKnown(CachedParts):
    """Knows nothing of any engine, so that everything is guessed."""

    def cached_tokens(self, entry, parts):
        return None

    def holders(self, parts, servers):
        return ()

    def fetch(self, entry, parts, cached):
        return None

    def record_placed(self, generation, fetch):
        pass


class Residency(CachedParts):
    """Answers from a directory for the services that it is on for.

    Args:
      clock: Gives the time.
      zone: This process's data centre.
      directory: What the engines keep.
      shared: Learns which parts requests share.
      following: Returns how a service's engines are followed, None if they are not.
      find: Returns the current entry of an engine that takes requests, None if there is none.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        directory: PartDirectory,
        shared: SharedParts,
        following: typing.Callable[[str], Following | None],
        find: typing.Callable[[str], ServerEntry | None],
    ):
        self._clock = clock
        self._zone = zone
        self._directory = directory
        self._shared = shared
        self._following = following
        self._find = find
        # The last ranking that was asked for, when, and its engines by data centre: a placement
        # compares several engines of one.
        self._sources_of: tuple = None, None, {}
        # When the fetches that this process began on an engine's link end, in milliseconds.
        self._busy_until: dict[str, float] = {}

    def cached_tokens(self, entry, parts):
        if self._following(entry.service) is None:
            return None
        return self._directory.cached_tokens(entry, parts)

    def holders(self, parts, servers):
        if self._following(servers[0].service) is None:
            return ()
        # The one that all processes prefer: if they drew at random, each copy would be used seldom
        # and soon be evicted.
        for source in self._sources(self._zone, parts):
            for entry in servers:
                if entry.name == source.name and entry.born == source.born:
                    return (entry,)
        found = self._directory.holders(parts[-1], servers)
        near = [entry for entry in found if entry.zone == self._zone]
        return tuple(self._directory.first(parts[-1], near or found, MAX_HOLDERS))

    def fetch(self, entry, parts, cached):
        following = self._following(entry.service)
        if following is None or following.token_ms is None or not parts:
            return None
        now = self._clock.monotonic() / _MILLISECOND
        # Transfers between data centres take twice as long and their bytes are expensive.
        sources = [each for each in self._sources(entry.zone, parts) if each.name != entry.name]
        found = [
            self._transfer(each, parts, cached, following, now) for each in sources[:MAX_SOURCES]
        ]
        return min(filter(None, found), key=lambda each: each.expected_ms, default=None)

    def record_placed(self, generation, fetch):
        self._shared.record(generation.parts[:-1])
        if fetch is not None:
            now = self._clock.monotonic() / _MILLISECOND
            self._busy_until[fetch.source.name] = now + fetch.expected_ms

    def remove(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self._directory.remove(engine)
        self._busy_until.pop(engine, None)

    def _sources(self, zone, parts):
        """Returns a few engines of a data centre that keep the last part, the preferred first."""
        ranked, now = self._directory.ranked(parts[-1]), self._clock.monotonic()
        if ranked is not self._sources_of[0] or now != self._sources_of[1]:
            self._sources_of = ranked, now, {}
        by_zone = self._sources_of[2]
        if zone not in by_zone:
            by_zone[zone] = self._sources_in(zone, ranked, parts[-1])
        return [source for source in by_zone[zone] if self._find(source.name) is not None]

    def _sources_in(self, zone, ranked, part):
        found = []
        for name in ranked:
            source = self._find(name)
            if source is not None and source.zone == zone and self._directory.keeps(source, part):
                found.append(source)
                if len(found) > MAX_SOURCES:  # one of them may be the engine that fetches
                    break
        return found

    def _transfer(self, source, parts, cached, following, now):
        tokens = self._directory.cached_tokens(source, parts) or 0
        if tokens <= cached:
            return None
        wait_ms = max(0.0, self._busy_until.get(source.name, 0.0) - now)
        missing = tokens - cached
        return Fetch(source, tokens, missing, wait_ms + missing * following.token_ms)
