"""Watches engines for the prompt parts that they keep, and tells the other processes of them.

`cicadapond.residency` decides; this module makes the calls.  The load that it handles: many
processes share engines and prompt parts, so that what one process sent says little of what an
engine keeps.
"""

import asyncio
import datetime
import random
import typing

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.gateway._digest_pace import held_parts_rate
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway.settings import GatewaySettings, ResidencyUse
from cicadapond.kernel import Clock, Metrics, TaskGroup, seconds
from cicadapond.residency import (
    CallsExceeded,
    EngineHoldings,
    Following,
    HeldParts,
    NoAnswer,
    PartCalls,
    PartDirectory,
    PartEvents,
    PartList,
    Publication,
    Residency,
    SharedParts,
    WatchPlan,
)
from cicadapond.serving import EngineLimits, ServerEntry

UPDATE_INTERVAL = seconds(0.5)
# The time between two calls to an engine.  With 2 s in place of 1 s, 7% more shared tokens were
# prefilled again on virtual time; each call costs processor time here and at the engine.
CALL_INTERVAL = seconds(1.5)
# How long a call waits for an event; one that waits less than 200 ms is priced as a probe.
EVENT_WAIT = seconds(1.0)
# What is known of an engine that has not answered for this long is told no more.
SILENCE_LIMIT = seconds(4.0)
# Each call is put off by up to this share of the interval, so that those of many processes spread.
JITTER_SHARE = 0.2


@attrs.define
class _Watcher:
    """A watched engine: what it keeps, what is told of it, and when it last answered."""

    entry: ServerEntry
    holdings: EngineHoldings
    publication: Publication
    task: asyncio.Task | None = None
    held: HeldParts | None = None
    answered_at: datetime.timedelta | None = None
    has_failed: bool = False


class EngineWatch:
    """What this process knows and tells of the prompt parts that engines keep.

    Args:
      cfg: The settings of the process.
      calls: Asks engines.
      registry: The known engines.
      clock: The clock.
      log: The event log.
      metrics: The metrics.
      tasks: Runs the calls.
      rng: Source of jitter.

    Attributes:
      cached_parts: Answers what placement asks.
      live_by_zone: Returns the live processes by data centre.
      engine_limits: Returns the limits of each service's engines.
      reports_pace: Returns whether a service's engines state the pace of their hosts.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        calls: PartCalls,
        registry: ServerRegistry,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        tasks: TaskGroup,
        rng: random.Random,
    ):
        self._use = cfg.residency
        self._zone = cfg.zone
        self._link_mbps = cfg.link_mbps
        self._calls = calls
        self._registry = registry
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks = tasks
        self._rng = rng
        self._shared = SharedParts(clock)
        self._directory = PartDirectory(clock)
        self._plan = WatchPlan(clock, cfg.name)
        self._following: dict[str, Following] = {}
        self._engines = 0
        self._watchers: dict[str, _Watcher] = {}
        self.cached_parts = Residency(
            clock, cfg.zone, self._directory, self._shared, self._following.get, self._find
        )
        self.live_by_zone: typing.Callable[[], dict[str, tuple[str, ...]]] = dict
        self.engine_limits: typing.Callable[[], dict[str, EngineLimits]] = dict
        self.reports_pace: typing.Callable[[str], bool] = lambda service: False

    async def run(self) -> None:
        """Watches engines until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(UPDATE_INTERVAL)

    def update(self) -> None:
        """Begins and ends to watch engines, as the servers, processes and settings call for."""
        self._update_services()
        engines = [entry for service in self._following for entry in self._registry.usable(service)]
        self._engines = len(engines)
        watched = {}
        live = self.live_by_zone()
        if engines and live:
            plan = self._plan.watched(engines, live, self._directory.knows)
            watched = {entry.start: entry for entry in plan}
        for start in self._watchers.keys() - watched.keys():
            self._end(start)
        for start in watched.keys() - self._watchers.keys():
            self._begin(watched[start])
        self._metrics.gauge("engines_watched", len(self._watchers))

    # What the processes tell each other

    def reported(self) -> tuple[dict[str, HeldParts], dict[int, bytes]]:
        """Returns what watched engines keep, and the shared parts that requests had lately."""
        if not self._following:
            return {}, {}
        oldest = self._clock.monotonic() - SILENCE_LIMIT
        held = {
            watcher.entry.name: watcher.held
            for watcher in self._watchers.values()
            if watcher.held is not None and watcher.answered_at >= oldest
        }
        return held, self._shared.reported()

    def apply(
        self,
        zone: str,
        held: typing.Mapping[str, HeldParts],
        shared: typing.Mapping[int, bytes],
    ) -> None:
        """Applies what the processes of a data centre tell."""
        self._directory.apply(zone, held)
        self._shared.apply(zone, shared)

    def server_gone(self, entry: ServerEntry) -> None:
        """Drops an engine that is gone."""
        self.cached_parts.remove(entry.name)
        self._calls.drop_server(entry)

    def state(self) -> dict:
        """Returns what is known, for a dump."""
        return {
            "services": sorted(self._following),
            "watched": {
                watcher.entry.name: len(watcher.holdings.parts)
                for watcher in self._watchers.values()
            },
            "directory": self._directory.state(),
        }

    # Engines

    def _find(self, name):
        entry = self._registry.find(name)
        return entry if entry is not None and self._registry.takes_requests(entry) else None

    def _update_services(self):
        limits = self.engine_limits()
        on = {service for service, engine in limits.items() if self._is_on(service, engine)}
        for service in self._following.keys() - on:
            del self._following[service]
        for service in on:
            self._following[service] = Following(_token_ms(limits[service]))

    def _is_on(self, service, engine):
        # Without fetches fewer requests were in time on virtual time than with the guess.
        if engine.telling is None or not engine.bandwidth_mbps or self._use is ResidencyUse.OFF:
            return False
        return self._use is ResidencyUse.ON or self.reports_pace(service)

    def _begin(self, entry):
        watcher = _Watcher(entry, EngineHoldings(self._clock), Publication(self._clock, entry.born))
        self._watchers[entry.start] = watcher
        watcher.task = self._tasks.spawn(self._watch(watcher), "watch engine")

    def _end(self, start):
        self._watchers.pop(start).task.cancel()

    async def _watch(self, watcher):
        while True:
            begun = self._clock.monotonic()
            await self._ask(watcher)
            interval = CALL_INTERVAL * (1.0 + JITTER_SHARE * (self._rng.random() - 0.5))
            left = begun + interval - self._clock.monotonic()
            await self._clock.sleep(max(left, datetime.timedelta()))

    async def _ask(self, watcher):
        entry, holdings = watcher.entry, watcher.holdings
        kind = "list" if holdings.take_list() else "events"
        if kind == "list":
            told = await self._calls.list(entry)
        else:
            told = await self._calls.events(entry, holdings.since, EVENT_WAIT)
        self._metrics.count("part_calls", kind=kind, outcome=type(told).__name__)
        match told:
            case PartEvents():
                holdings.apply_events(told)
            case PartList():
                holdings.apply_list(told)
            case NoAnswer(reason=reason):
                self._record_failure(watcher, reason)
                return
            case CallsExceeded():
                self._record_failure(watcher, "the engine keeps no further call waiting")
                return
        if watcher.has_failed or watcher.answered_at is None:
            self._log.write("parts_followed", server=entry.start, parts=len(holdings.parts))
        watcher.has_failed = False
        watcher.answered_at = self._clock.monotonic()
        kept = holdings.shared(self._shared)
        neighbours = len(self.live_by_zone().get(self._zone, ()))
        rate = held_parts_rate(self._link_mbps, neighbours)
        watcher.held = watcher.publication.update(kept, self._engines, rate)

    def _record_failure(self, watcher, reason):
        if not watcher.has_failed:
            watcher.has_failed = True
            self._log.write("parts_not_followed", server=watcher.entry.start, reason=reason)


def _token_ms(engine):
    """Returns how long the transfer of a token takes, in milliseconds."""
    return engine.telling.token_bytes * 8 / (engine.bandwidth_mbps * 1000)
