"""The routing policy "scored": weighs expected wait and the cost of recomputing a prefix."""

import datetime
import math
import zlib

import attrs

from cicadapond.routing._api import Router, block_tokens, known_in_flight, may_accept, routers
from cicadapond.routing._prefix_map import PrefixMap
from cicadapond.routing._view import ServerView

_SECOND = datetime.timedelta(seconds=1)
# Expected wait at a server whose slots are all taken; proportionally less at a lower load.
FULL_SLOTS_SLOWDOWN_SECONDS = 0.01
STREAM_DURATION_WEIGHT = 0.1  # weight of the newest duration in the moving average
MIN_SLOW_START_SHARE = 0.1
SAMPLING_THRESHOLD = 32
FIRST_HOLDER_BLOCKS = 8
FIRST_HOLDER_COST_FACTOR = 0.5


@attrs.define
class _Candidate:
    view: ServerView
    load: float
    depth: int = 0


@routers.register("scored")
class ScoredRouter(Router):
    """Chooses the server with the lowest weighted sum of wait and prefix recomputation.

    Prefix affinity is bounded by load.  With more than SAMPLING_THRESHOLD servers, only those that
    hold the prefix and a random sample are scored, so that a decision takes about as long with 600
    engines as with 60; all are scored if none of these is eligible.
    """

    def __init__(self, cfg, rng):
        super().__init__(cfg, rng)
        self._prefixes = PrefixMap(cfg.max_blocks)
        self._prefill_until_seconds: dict[str, float] = {}
        self._prefill_token_seconds = cfg.prefill_token / _SECOND
        self._stream_seconds = cfg.stream_duration / _SECOND
        self._half_life_seconds = cfg.report_half_life / _SECOND
        self._expected_depths: dict[tuple, int] = {}

    def choose(self, req, views, now):
        depths = self._prefixes.depths(req.blocks) if req.blocks else {}
        candidates = self._candidates(req, views, depths, now)
        if not candidates:
            return None
        bound = self._load_bound(candidates)
        below_bound = [
            candidate
            for candidate in candidates
            if candidate.load <= self._allowed_load(candidate, bound, now)
        ]
        now_seconds = now / _SECOND
        first_holder = None if depths else self._first_holder(req, below_bound)
        return min(
            below_bound or candidates,
            key=lambda candidate: self._score(req, candidate, now_seconds, first_holder),
        ).view

    def _first_holder(self, req, candidates):
        """Returns the preferred engine for a prefix without a known holder, by rendezvous hashing.

        Processes with the same candidates agree on it; load and sampling can make them differ.
        """
        if len(req.blocks) < FIRST_HOLDER_BLOCKS or not candidates:
            return None
        key = req.blocks[FIRST_HOLDER_BLOCKS - 1]
        return max(
            (candidate.view.server.name for candidate in candidates),
            key=lambda name: zlib.crc32(f"{key} {name}".encode()),
        )

    def _candidates(self, req, views, depths, now):
        if len(views) <= SAMPLING_THRESHOLD:
            considered = views
        else:
            considered = self.rng.sample(views, self.cfg.sample)
            if depths:
                sampled = {view.server.name for view in considered}
                holders = depths.keys() - sampled
                considered += [view for view in views if view.server.name in holders]
        candidates = self._make_candidates(req, considered, depths, now)
        if not candidates and considered is not views:
            candidates = self._make_candidates(req, views, depths, now)
        return candidates

    def _make_candidates(self, req, views, depths, now):
        return [
            _Candidate(view, self._load(view, now), depths.get(view.server.name, 0))
            for view in views
            if may_accept(view, req, now)
        ]

    def _load(self, view, now):
        """Returns how many requests a server is expected to have.

        These are the known ones and, decayed by the report's age, those that the report has beyond
        them.
        """
        counted = known_in_flight(view)
        report = view.report
        if report is None:
            return float(counted)
        excess = report.running + report.waiting - counted
        if excess <= 0:
            return float(counted)
        age = max(0.0, (now - view.report_at) / _SECOND)
        return counted + excess * 0.5 ** (age / self._half_life_seconds)

    def _load_bound(self, candidates):
        mean = sum(candidate.load for candidate in candidates) / len(candidates)
        return max(mean * self.cfg.load_bound, mean + self.cfg.load_slack)

    def _allowed_load(self, candidate, bound, now):
        share = (now - candidate.view.live_since) / self.cfg.slow_start
        return bound * min(1.0, max(MIN_SLOW_START_SHARE, share))

    def _score(self, req, candidate, now_seconds, first_holder=None):
        cfg = self.cfg
        name = candidate.view.server.name
        held = block_tokens(candidate.depth) * self._prefixes.confidence(name)
        recompute = max(0.0, req.tokens - held) * self._prefill_token_seconds
        wait = self._queue_wait(candidate) + max(
            0.0, self._prefill_until_seconds.get(name, 0.0) - now_seconds
        )
        if name == first_holder:
            recompute *= FIRST_HOLDER_COST_FACTOR
        tie = self.rng.random() * 1e-6
        return cfg.cost_weight * (wait + recompute) + cfg.recompute_weight * recompute + tie

    def _queue_wait(self, candidate):
        report = candidate.view.report
        slots = report.slots if report is not None and report.slots else self.cfg.default_slots
        wait = candidate.load / slots * FULL_SLOTS_SLOWDOWN_SECONDS
        excess = candidate.load + 1 - slots
        return wait + (excess / slots * self._stream_seconds if excess > 0 else 0.0)

    # Results of decisions

    def routed(self, req, server, now):
        now_seconds = now / _SECOND
        depth = self._prefixes.depths(req.blocks).get(server, 0) if req.blocks else 0
        uncached = max(0, req.tokens - block_tokens(depth))
        busy_until = max(now_seconds, self._prefill_until_seconds.get(server, 0.0))
        self._prefill_until_seconds[server] = busy_until + uncached * self._prefill_token_seconds
        if depth:
            self._expected_depths[(server, req.blocks[depth - 1])] = depth
        if req.blocks:
            self._prefixes.add(req.blocks, server)

    def finished(self, req, server, cached_tokens, duration):
        duration_seconds = duration / _SECOND
        if math.isfinite(duration_seconds):
            self._stream_seconds += (
                duration_seconds - self._stream_seconds
            ) * STREAM_DURATION_WEIGHT
        held = cached_tokens // block_tokens(1)
        for depth in range(len(req.blocks), 0, -1):
            if self._expected_depths.pop((server, req.blocks[depth - 1]), None):
                self._prefixes.observe(req.blocks[:depth], server, held)
                break

    def cache_events(self, server, events):
        self._prefixes.apply(server, events)

    def last_event(self, server):
        return self._prefixes.last_event(server)

    def forget(self, server):
        self._prefixes.forget(server)
        self._prefill_until_seconds.pop(server, None)
