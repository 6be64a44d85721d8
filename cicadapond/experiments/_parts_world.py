"""The deployment of `_load_world` with processes that know which prompt parts engines keep; no I/O.

What engines keep reaches the processes as in a deployment: late, and bounded in bytes.
"""

import random

import attrs

from cicadapond.experiments._load_world import ZONES, World
from cicadapond.placing import Placer
from cicadapond.residency import (
    Following,
    PartDirectory,
    Publication,
    Residency,
    SharedParts,
    part_hash,
)

# Shared parts that are prefilled again within this time of their last prefill are priced.
PRICED_MS = 10_000.0


@attrs.frozen
class PartsSettings:
    """How processes follow what engines keep; times in milliseconds.

    `interval_ms` is that between two calls to an engine, `delay_ms` how long the digests take.
    """

    interval_ms: float = 1500.0
    delay_ms: float = 750.0
    fetches: bool = True


class PartsWorld(World):
    """One run of a load.

    Args:
      parts: How processes follow what engines keep, None if they guess it.
      load: As for `World`.
      cfg: As for `World`.
      seed: As for `World`.
      hold: As for `World`.
    """

    def __init__(self, parts: PartsSettings | None, load, cfg, seed, hold):
        self._parts_cfg = parts
        self._directories = {}
        self._publications = {}
        super().__init__(load, cfg, seed, hold)
        self._zones = {entry.name: entry.zone for entry in self.entries}

    def new_placer(self, zone, number):
        if self._parts_cfg is None:
            return super().new_placer(zone, number)
        token_ms = 1.0 / self.cfg.figures.fetch_rate if self._parts_cfg.fetches else None
        by_name = {entry.name: entry for entry in self.entries}
        # What is told is the same everywhere, so that one directory serves all processes.
        directory = self._directories.setdefault("", PartDirectory(self.clock))
        residency = Residency(
            self.clock,
            zone,
            directory,
            SharedParts(self.clock),
            lambda service: Following(token_ms),
            lambda name: None if self.engines[name].is_gone else by_name[name],
        )
        return Placer(
            self.clock,
            zone,
            random.Random(number),
            memory=lambda service: self.cfg.figures.kv_tokens,
            cached_parts=residency,
        )

    def run(self):
        if self._parts_cfg is not None:
            self.schedule(self._parts_cfg.interval_ms, self._ask)
        return super().run()

    def _ask(self, now):
        told = {zone: {} for zone in ZONES}
        usable = self.usable()
        for entry in usable:
            kept = self.engines[entry.name].kept()
            shared = {
                part_hash(part): tokens
                for part, tokens in reversed(kept.items())
                if not part.startswith("o-")
            }
            publication = self._publications.setdefault(
                entry.name, Publication(self.clock, entry.born)
            )
            told[entry.zone][entry.name] = publication.update(shared, len(usable))
        self.schedule(now + self._parts_cfg.delay_ms, lambda at: self._hear(told))
        if now < self.cfg.duration_ms:
            self.schedule(now + self._parts_cfg.interval_ms, self._ask)

    def _hear(self, told):
        for directory in self._directories.values():
            for zone, engines in told.items():
                directory.apply(zone, engines)

    # Results

    def shared_tokens(self, begin_ms: float = 0.0) -> tuple[int, int]:
        """Returns the tokens of shared parts prefilled since, and those again within 10 s."""
        total = again = 0
        last = {}
        prefills = sorted(
            prefill for engine in self.engines.values() for prefill in engine.shared_prefills
        )
        for at, part, tokens in prefills:
            if at >= begin_ms:
                total += tokens
                again += tokens * (part in last and at - last[part] <= PRICED_MS)
            last[part] = at
        return total, again

    def fetched_tokens(self) -> int:
        """Returns the tokens that engines fetched from each other."""
        return sum(engine.fetched_tokens for engine in self.engines.values())

    def value(self, begin_ms: float = 0.0) -> float:
        """Returns the value of the answers to requests since, as a share of that offered.

        A request's value grows with its size; a late answer has a tenth of it.
        """
        earned = offered = 0.0
        for call in self.calls:
            if call.at < begin_ms:
                continue
            worth = call.kind.value * call.generation.prompt_tokens
            worth /= call.kind.shared + call.kind.own
            offered += worth
            if call.ended_ms is not None and call.first_ms is not None:
                earned += worth if call.in_time else 0.1 * worth
        return earned / offered
