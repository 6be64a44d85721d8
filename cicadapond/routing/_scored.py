"""The policy "scored": expected wait plus the cost of what must be computed again."""

import datetime
import math
import zlib

import attrs

from cicadapond.routing._api import Router, block_tokens, known_in_flight, may_take, routers
from cicadapond.routing._prefix_map import PrefixMap
from cicadapond.routing._view import ServerView

_SECOND = datetime.timedelta(seconds=1)
STREAM_SLOWDOWN = 0.01
MEASURED_WEIGHT = 0.1
LEAST_SLOW_START_SHARE = 0.1
SCAN_ALL = 32
FIRST_HOLDER_BLOCKS = 8
FIRST_HOLDER_SHARE = 0.5


@attrs.define
class _Candidate:
    view: ServerView
    load: float
    depth: int = 0


@routers.register("scored")
class ScoredRouter(Router):
    """Weighs wait against recomputed prefix, with affinity bounded by load.

    At most `sample` servers are weighed besides those that hold the prefix, so that a decision
    takes about the same time before 60 engines as before 600.
    """

    def __init__(self, cfg, rng):
        super().__init__(cfg, rng)
        self._prefixes = PrefixMap(cfg.max_blocks)
        self._prefill_until: dict[str, float] = {}
        self._prefill_token = cfg.prefill_token / _SECOND
        self._stream_seconds = cfg.stream_duration / _SECOND
        self._half_life = cfg.report_half_life / _SECOND
        self._believed: dict[tuple, int] = {}

    def choose(self, req, views, now):
        depths = self._prefixes.depths(req.blocks) if req.blocks else {}
        candidates = self._candidates(req, views, depths, now)
        if not candidates:
            return None
        bound = self._bound(candidates)
        within = [found for found in candidates if found.load <= self._allowed(found, bound, now)]
        at = now / _SECOND
        first = None if depths else self._first_holder(req, within)
        return min(within or candidates, key=lambda found: self._score(req, found, at, first)).view

    def _first_holder(self, req, candidates):
        """Returns the engine that every process prefers for a prefix that none has sent yet."""
        if len(req.blocks) < FIRST_HOLDER_BLOCKS or not candidates:
            return None
        key = req.blocks[FIRST_HOLDER_BLOCKS - 1]
        return max(
            (found.view.server.name for found in candidates),
            key=lambda name: zlib.crc32(f"{key} {name}".encode()),
        )

    def _candidates(self, req, views, depths, now):
        if len(views) <= SCAN_ALL:
            considered = views
        else:
            considered = self.rng.sample(views, self.cfg.sample)
            if depths:
                seen = {view.server.name for view in considered}
                wanted = depths.keys() - seen
                considered += [view for view in views if view.server.name in wanted]
        found = self._weighed(req, considered, depths, now)
        if not found and considered is not views:
            found = self._weighed(req, views, depths, now)
        return found

    def _weighed(self, req, views, depths, now):
        return [
            _Candidate(view, self._load(view, now), depths.get(view.server.name, 0))
            for view in views
            if may_take(view, req, now)
        ]

    def _load(self, view, now):
        """Returns the expected requests there: counted ones, and the aged report's excess."""
        counted = known_in_flight(view)
        report = view.report
        if report is None:
            return float(counted)
        excess = report.running + report.waiting - counted
        if excess <= 0:
            return float(counted)
        age = max(0.0, (now - view.report_at) / _SECOND)
        return counted + excess * 0.5 ** (age / self._half_life)

    def _bound(self, candidates):
        mean = sum(found.load for found in candidates) / len(candidates)
        return max(mean * self.cfg.load_bound, mean + self.cfg.load_slack)

    def _allowed(self, found, bound, now):
        share = (now - found.view.live_since) / self.cfg.slow_start
        return bound * min(1.0, max(LEAST_SLOW_START_SHARE, share))

    def _score(self, req, found, at, first=None):
        cfg = self.cfg
        name = found.view.server.name
        held = block_tokens(found.depth) * self._prefixes.certainty(name)
        recompute = max(0.0, req.tokens - held) * self._prefill_token
        wait = self._queue_wait(found) + max(0.0, self._prefill_until.get(name, 0.0) - at)
        if name == first:
            recompute *= FIRST_HOLDER_SHARE
        tie = self.rng.random() * 1e-6
        return cfg.cost_weight * (wait + recompute) + cfg.recompute_weight * recompute + tie

    def _queue_wait(self, found):
        report = found.view.report
        slots = report.slots if report is not None and report.slots else self.cfg.default_slots
        wait = found.load / slots * STREAM_SLOWDOWN
        over = found.load + 1 - slots
        return wait + (over / slots * self._stream_seconds if over > 0 else 0.0)

    # What came of decisions

    def routed(self, req, server, now):
        at = now / _SECOND
        depth = self._prefixes.depths(req.blocks).get(server, 0) if req.blocks else 0
        uncached = max(0, req.tokens - block_tokens(depth))
        busy_until = max(at, self._prefill_until.get(server, 0.0))
        self._prefill_until[server] = busy_until + uncached * self._prefill_token
        if depth:
            self._believed[(server, req.blocks[depth - 1])] = depth
        if req.blocks:
            self._prefixes.add(req.blocks, server)

    def finished(self, req, server, cached_tokens, duration):
        duration_seconds = duration / _SECOND
        if math.isfinite(duration_seconds):
            self._stream_seconds += (duration_seconds - self._stream_seconds) * MEASURED_WEIGHT
        held = cached_tokens // block_tokens(1)
        for depth in range(len(req.blocks), 0, -1):
            if self._believed.pop((server, req.blocks[depth - 1]), None):
                self._prefixes.observe(req.blocks[:depth], server, held)
                break

    def cache_events(self, server, events):
        self._prefixes.apply(server, events)

    def last_event(self, server):
        return self._prefixes.last_event(server)

    def forget(self, server):
        self._prefixes.forget(server)
        self._prefill_until.pop(server, None)
