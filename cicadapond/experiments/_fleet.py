"""A small fleet on virtual time for experiments on control: cloud, engines, controllers, callers.

Callers here stand for entries: they acknowledge drains, report loads, send each request to the
engine with the fewest in flight, and continue a broken answer on another engine of its version.
"""

import asyncio
import functools
import random

import attrs

from cicadapond.controller import ControllerTask, ControlParts, ControlSettings, PeerDrains
from cicadapond.data import (
    BackendServer,
    BreakKind,
    Broken,
    Endpoint,
    Finished,
    GenerateCall,
    ServerKind,
    Token,
)
from cicadapond.document import Intent
from cicadapond.drain import says_leaving
from cicadapond.experiments._mesh import Mesh
from cicadapond.kernel import Metrics, Ok, VirtualClock, seconds
from cicadapond.peer import Digest
from cicadapond.standin import (
    CloudModel,
    CloudOffer,
    CloudTiming,
    DirectCloud,
    DirectHostList,
    DirectWeights,
    HostListModel,
    WeightModel,
    WeightSettings,
)
from cicadapond.standin._engine import EngineModel, EngineSettings, EngineTiming, whole_answer
from cicadapond.standin._engine_direct import DirectEngine

MODEL = "shade-model"
POOL = "shade-pool"
REPORT_INTERVAL = seconds(1)
RETRY = seconds(0.5)
GIVE_UP = seconds(300)
ENTRIES_PER_ZONE = 2


@attrs.frozen
class Grant:
    """A lease that never ends."""

    fencing: int = 1


class FixedLease:
    """A lease that this process has for as long as `held` is set."""

    def __init__(self):
        self.held = True

    def grant(self):
        return Grant() if self.held else None


@attrs.define
class Tally:
    """What the callers have seen."""

    accepted: int = 0
    whole: int = 0
    wrong: int = 0
    cut_off: int = 0
    moved: int = 0
    recomputed_tokens: int = 0
    unanswered: int = 0
    first_token_seconds: list[float] = attrs.field(factory=list)

    def quantile(self, share: float) -> float:
        """Returns a quantile of the time to the first token, infinite for those without one."""
        waits = sorted(self.first_token_seconds) + [float("inf")] * self.unanswered
        return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0


class FleetWorld:
    """Cloud, engines, one controller per zone, and callers.

    Args:
      seed: Decides everything random.
      intent: The document in force; replace `intent` to change it.
      offers: What the cloud sells.
      engine: The engines' sizes.
      engine_timing: How long the engines' work takes.
      timing: The cloud's timing.
      weights: The weight store's sizes and rate.
      drains: The class of the controllers' drains.
      adapter: The class through which controllers reach engines.
    """

    def __init__(
        self,
        seed: int,
        intent: Intent,
        offers: tuple[CloudOffer, ...],
        engine: EngineSettings,
        engine_timing: EngineTiming,
        timing: CloudTiming | None = None,
        weights: WeightSettings | None = None,
        drains=PeerDrains,
        adapter=DirectEngine,
    ):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.intent = intent
        self.zones = tuple(sorted({offer.zone for offer in offers}))
        self.engines: dict[str, EngineModel] = {}
        self.servers: dict[str, BackendServer] = {}
        self.tally = Tally()
        self.metrics = Metrics()
        self.lease = FixedLease()
        self.hosts = HostListModel(self.clock)
        self.weights = WeightModel(weights or WeightSettings(), self.clock)
        self.cloud = CloudModel(
            offers, self.clock, random.Random(seed + 1), self._start, self._stop, timing
        )
        self.cloud.on_change.append(self.hosts.follow)
        self.controllers: list[ControllerTask] = []
        self.leaving: set[str] = set()
        self._engine = engine
        self._engine_timing = engine_timing
        self._drains = drains
        self._adapter = adapter
        self._mesh = Mesh(self.clock)
        self._entries = {}
        self._in_flight: dict[str, int] = {}
        self._loops = []
        self._requests = set()
        self._number = 0

    # Starting and ending

    async def start(self) -> None:
        """Starts controllers and entries."""
        for zone in self.zones:
            for number in range(ENTRIES_PER_ZONE):
                peers = self._mesh.join(f"entry-{zone}-{number}", zone)
                self._entries[peers.name] = peers
                self._loops.append(asyncio.ensure_future(peers.beat()))
            self._start_controller(zone)
        self._loops.append(asyncio.ensure_future(self._report()))

    def refuse_for(self, duration) -> None:
        """Has the cloud refuse every start for a while."""
        everything = (None, None, None)
        self.cloud.faults.refused.add(everything)
        loop = asyncio.get_running_loop()
        loop.call_later(duration.total_seconds(), self.cloud.faults.refused.discard, everything)

    async def stop(self) -> None:
        """Waits for all requests, then ends everything."""
        await asyncio.gather(*self._requests)
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self.cloud.close()
        for model in self.engines.values():
            await model.close()

    def _start_controller(self, zone):
        peers = self._mesh.join(f"controller-{zone}", zone, "controller")
        drains = self._drains(zone, peers, self.clock)
        parts = ControlParts(
            zone=zone,
            cfg=ControlSettings(),
            clock=self.clock,
            metrics=self.metrics,
            rng=random.Random(self.rng.random()),
            intent=lambda: self.intent,
            lease=self.lease,
            peers=peers,
            drains=drains,
            hosts=DirectHostList(self.hosts),
            engine=lambda server: self._adapter(self.engines[server.name], server),
            cloud=DirectCloud(self.cloud),
            weights=DirectWeights(self.weights),
        )
        task = ControllerTask(parts)
        self.controllers.append(task)
        self._loops.append(asyncio.ensure_future(peers.beat()))
        self._loops.append(asyncio.ensure_future(task.run()))

    def _start(self, host):
        name = f"engine-{host.zone}-{host.host_id}"
        cfg = attrs.evolve(self._engine, model="none", version="")
        self.engines[name] = EngineModel(
            self._engine_timing,
            self.clock,
            cfg,
            name,
            random.Random(self.rng.random()),
            functools.partial(self.weights.load, host.zone),
        )
        server = BackendServer(
            name,
            ServerKind.ENGINE,
            host.pool,
            host.zone,
            Endpoint("127.0.0.1", 1),
            host.machine_class,
            host.market,
            cfg.checks_fencing,
        )
        self.servers[name] = server
        return server

    def _stop(self, host):
        model = self.engines[host.server.name]
        if model.in_flight and host.host_id not in self.cloud.reclaimed:
            self.tally.cut_off += model.in_flight
        model.take_away()

    # Entries

    async def _report(self):
        while True:
            self._tell()
            await self.clock.sleep(REPORT_INTERVAL)

    def _tell(self):
        """Publishes loads, counts and acknowledgements for all entries."""
        drains = {}
        for member in self._mesh.nodes.values():
            for name, number in member.digest.leaving.items():
                drains[name] = max(number, drains.get(name, 0))
        noticed = {notice.server for zone in self.zones for notice in self.cloud.list_notices(zone)}
        told = {name for name, number in drains.items() if says_leaving(number)}
        self.leaving = noticed | told
        first = {zone: True for zone in self.zones}
        for entry in self._entries.values():
            loads = self._loads(entry.zone) if first[entry.zone] else {}
            counts = dict(self._in_flight) if entry.name == min(self._entries) else {}
            first[entry.zone] = False
            entry.publish(Digest(in_flight=counts, drains=drains, loads=loads))

    def _loads(self, zone):
        reports = {
            name: model.load_report()
            for name, model in self.engines.items()
            if self.servers[name].zone == zone and model.up
        }
        return {name: found.value for name, found in reports.items() if isinstance(found, Ok)}

    def serving(self, version: str) -> list[str]:
        """Returns the engines that take work of a version."""
        return [
            name
            for name, model in self.engines.items()
            if model.up and name not in self.leaving and self._version(name) == version
        ]

    def versions(self) -> set[str]:
        """Returns the versions that live engines have, loading ones at their old version."""
        states = [model.state() for model in self.engines.values() if model.up]
        return {found.value.version for found in states} - {""}

    def _version(self, name):
        state = self.engines[name].state().value
        return state.version if state.model == MODEL and state.loading is None else None

    # Callers

    async def load(self, per_second: float, duration, tokens: int) -> None:
        """Sends requests at random instants, each answer of about so many tokens."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            await self.clock.sleep(seconds(self.rng.expovariate(per_second)))
            request = asyncio.ensure_future(self._request(self.rng.randint(1, 2 * tokens)))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)

    async def _request(self, tokens):
        tally = self.tally
        tally.accepted += 1
        self._number += 1
        began = self.clock.monotonic()
        call = GenerateCall(f"r{self._number}", 0, MODEL, "", "a question", tokens)
        got = []
        while self.clock.monotonic() - began < GIVE_UP:
            name = self._choose(call.version)
            if name is None:
                await self.clock.sleep(RETRY)
                continue
            version = call.version or self._version(name)
            call = attrs.evolve(call, epoch=call.epoch + 1, version=version, resume=tuple(got))
            tally.recomputed_tokens += len(got)
            if await self._attempt(name, call, got, began, tally):
                tally.whole += 1
                tally.wrong += got != whole_answer(call)
                return
        tally.unanswered += not got

    def _choose(self, version):
        names = [
            name
            for name, model in self.engines.items()
            if model.up and name not in self.leaving and self._version(name)
        ]
        if version:
            names = [name for name in names if self._version(name) == version]
        return min(names, key=lambda name: (self._in_flight.get(name, 0), name), default=None)

    async def _attempt(self, name, call, got, began, tally):
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        stream = DirectEngine(self.engines[name], self.servers[name]).generate(call)
        try:
            while True:
                for event in await stream.read():
                    match event:
                        case Token():
                            self._note_first(got, began, tally)
                            got.append(event.text)
                        case Finished():
                            return True
                        case Broken(kind=kind):
                            tally.moved += kind is not BreakKind.REFUSED
                            await self.clock.sleep(RETRY)
                            return False
        finally:
            stream.close()
            self._in_flight[name] -= 1

    def _note_first(self, got, began, tally):
        if not got:
            waited = self.clock.monotonic() - began
            tally.first_token_seconds.append(waited.total_seconds())
