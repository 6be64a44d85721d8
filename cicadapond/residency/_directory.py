"""Which engines keep which prompt parts, as the processes tell each other; no I/O.

It handles shared prompt parts under load: engines that keep a part begin with a request earlier
than others.  A request looks up only the engines that it compares, so that its cost does not grow
with the number of engines.
"""

import datetime
import functools
import heapq
import typing

import attrs

from cicadapond.kernel import Clock
from cicadapond.residency._hashes import part_hash
from cicadapond.residency._publication import TOKENS_PER_UNIT, HeldParts
from cicadapond.serving import PromptPart, ServerEntry

# What a data centre told longer ago is not used; summaries come about once a second.
MAX_AGE = datetime.timedelta(seconds=5)


@attrs.define
class _Engine:
    """What is known of one engine, and which data centre's processes told it.

    `name_hash` is the hash of its name.
    """

    name: str
    zone: str
    held: HeldParts
    parts: dict[int, int]
    name_hash: int


class PartDirectory:
    """The prompt parts that engines keep.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._engines: dict[str, _Engine] = {}
        self._holders: dict[int, dict[str, _Engine]] = {}
        # The last part that was asked for, and the engines that keep it in their order.
        self._ranked: tuple[int, list[str]] | None = None
        self._heard: dict[str, datetime.timedelta] = {}

    def apply(self, zone: str, held: typing.Mapping[str, HeldParts]) -> None:
        """Replaces what the processes of a data centre tell, by engine."""
        self._heard[zone] = self._clock.monotonic()
        for name, known in list(self._engines.items()):
            if known.zone == zone and name not in held:
                self.remove(name)
        for name, told in held.items():
            known = self._engines.get(name)
            if known is not None and known.held == told:
                known.zone = zone
            elif known is None or told.born >= known.held.born or not self._is_fresh(known):
                self._replace(_Engine(name, zone, told, told.parts(), part_hash(name)))

    def remove(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self._ranked = None
        known = self._engines.pop(engine, None)
        for key in known.parts if known is not None else ():
            self._drop_holder(key, engine)

    def knows(self, entry: ServerEntry) -> bool:
        """Returns whether it is known what this start of an engine keeps."""
        known = self._engines.get(entry.name)
        return known is not None and known.held.born == entry.born and self._is_fresh(known)

    def cached_tokens(self, entry: ServerEntry, parts: typing.Sequence[PromptPart]) -> int | None:
        """Returns how many leading tokens of the parts an engine keeps, None if it is not known.

        An engine that was started again since keeps nothing.
        """
        known = self._engines.get(entry.name)
        if known is None or not self._is_fresh(known):
            return None
        if known.held.born != entry.born:
            return 0 if known.held.born < entry.born else None
        tokens = 0
        for part in parts:
            kept = _whole(known.parts.get(_lookup_hash(part.name), 0), part)
            tokens += min(kept, part.tokens)
            if kept < part.tokens:
                break
        return tokens

    def holders(self, part: PromptPart, servers: typing.Sequence[ServerEntry]) -> list[ServerEntry]:
        """Returns the servers that keep a part whole."""
        key = _lookup_hash(part.name)
        engines = self._holders.get(key)
        if not engines:
            return []
        zones = self._fresh_zones()
        found = []
        for entry in servers:
            known = engines.get(entry.name)
            if known is not None and _keeps(known, entry, key, part) and known.zone in zones:
                found.append(entry)
        return found

    def ranked(self, part: PromptPart) -> list[str]:
        """Returns the names of the engines that keep a part, in an order that is all processes'.

        They may have gone, or not keep it whole.
        """
        key = _lookup_hash(part.name)
        if self._ranked is None or self._ranked[0] != key:
            engines = self._holders.get(key, {}).values()
            names = sorted(engines, key=lambda known: _rank(key, known), reverse=True)
            self._ranked = key, [known.name for known in names]
        return self._ranked[1]

    def first(
        self, part: PromptPart, engines: typing.Sequence[ServerEntry], count: int
    ) -> list[ServerEntry]:
        """Returns a few of the engines that keep a part, in that order."""
        if len(engines) <= count:
            return list(engines)
        key, holders = _lookup_hash(part.name), self._holders
        return heapq.nlargest(count, engines, lambda entry: _rank(key, holders[key][entry.name]))

    def keeps(self, entry: ServerEntry, part: PromptPart) -> bool:
        """Returns whether this start of an engine keeps a part whole."""
        key = _lookup_hash(part.name)
        known = self._holders.get(key, {}).get(entry.name)
        return known is not None and _keeps(known, entry, key, part) and self._is_fresh(known)

    def state(self) -> dict:
        """Returns what is known, for a dump."""
        now = self._clock.monotonic()
        return {
            "engines": {name: len(known.parts) for name, known in sorted(self._engines.items())},
            "parts": len(self._holders),
            "age_ms": {zone: round((now - at) / _MILLISECOND) for zone, at in self._heard.items()},
        }

    def _is_fresh(self, known):
        return self._clock.monotonic() - self._heard[known.zone] <= MAX_AGE

    def _fresh_zones(self):
        oldest = self._clock.monotonic() - MAX_AGE
        return {zone for zone, at in self._heard.items() if at >= oldest}

    def _replace(self, engine):
        self._ranked = None
        known = self._engines.get(engine.name)
        for key in known.parts.keys() - engine.parts.keys() if known is not None else ():
            self._drop_holder(key, engine.name)
        for key in engine.parts:
            self._holders.setdefault(key, {})[engine.name] = engine
        self._engines[engine.name] = engine

    def _drop_holder(self, key, name):
        engines = self._holders[key]
        del engines[name]
        if not engines:
            del self._holders[key]


# An odd number whose product with the difference of two hashes orders engines differently for each
# part.
_MIXER = 0x9E3779B1
_HASH_MASK = (1 << 32) - 1
_MILLISECOND = datetime.timedelta(milliseconds=1)


def _whole(kept, part):
    """Returns the kept tokens of a part; those that were rounded down in reports count as kept."""
    return part.tokens if kept > part.tokens - TOKENS_PER_UNIT else kept


def _keeps(known, entry, key, part):
    return known.held.born == entry.born and known.parts[key] > part.tokens - TOKENS_PER_UNIT


def _rank(key, known):
    return (key ^ known.name_hash) * _MIXER & _HASH_MASK


# Few parts are looked up again and again: the shared ones of requests.
_lookup_hash = functools.lru_cache(maxsize=1024)(part_hash)
