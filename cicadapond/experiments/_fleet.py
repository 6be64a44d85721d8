"""A small simulated fleet for controller experiments: cloud, engines, controllers and callers.

Callers here act as entries: they acknowledge drains, report loads, send each request to the engine
with the fewest in flight, and resume a broken answer on another engine with the same version.
"""

import asyncio
import functools
import random

import attrs

from cicadapond.controller import ControllerTask, ControlParts, ControlSettings, PeerDrains
from cicadapond.data import (
    BackendServer,
    Broken,
    Endpoint,
    FailureKind,
    Finished,
    GenerateCall,
    ServerKind,
    Token,
)
from cicadapond.document import Intent
from cicadapond.drain import is_leaving_number
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
from cicadapond.standin._engine import EngineModel, EngineSettings, EngineTiming, expected_tokens
from cicadapond.standin._engine_direct import DirectEngine

MODEL = "shade-model"
POOL = "shade-pool"
PUBLISH_INTERVAL = seconds(1)
RETRY_DELAY = seconds(0.5)
REQUEST_TIMEOUT = seconds(300)
ENTRIES_PER_ZONE = 2


@attrs.frozen
class PermanentGrant:
    """A lease grant that does not expire."""

    fencing: int = 1


class FixedLease:
    """A lease that is held while `held` is true."""

    def __init__(self):
        self.held = True

    def grant(self):
        return PermanentGrant() if self.held else None


@attrs.define
class Tally:
    """Counts of the callers' requests and their outcomes."""

    accepted: int = 0
    completed: int = 0
    wrong: int = 0
    cut_off: int = 0
    moved: int = 0
    recomputed_tokens: int = 0
    unanswered: int = 0
    first_token_seconds: list[float] = attrs.field(factory=list)

    def quantile(self, share: float) -> float:
        """Returns a quantile of seconds to the first token, infinite for unanswered requests."""
        waits = sorted(self.first_token_seconds) + [float("inf")] * self.unanswered
        return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0


class FleetSimulation:
    """Cloud, engines, one controller per zone, and callers.

    Args:
      seed: Seed of all random choices.
      intent: The document in force; assign to the attribute to change it.
      offers: The cloud's offers.
      engine: The engines' settings.
      engine_timing: Timing of the engines' work.
      timing: The cloud's timing.
      weights: The weight store's sizes and rate.
      drains_class: The class of the controllers' drains.
      adapter_class: The class through which controllers reach engines.
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
        drains_class=PeerDrains,
        adapter_class=DirectEngine,
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
            offers, self.clock, random.Random(seed + 1), self._start_host, self._stop_host, timing
        )
        self.cloud.on_change.append(self.hosts.on_host_change)
        self.controllers: list[ControllerTask] = []
        self.leaving: set[str] = set()
        self._engine = engine
        self._engine_timing = engine_timing
        self._drains_class = drains_class
        self._adapter_class = adapter_class
        self._mesh = Mesh(self.clock)
        self._entries = {}
        self._in_flight: dict[str, int] = {}
        self._tasks = []
        self._requests = set()
        self._request_count = 0

    # Lifecycle

    async def start(self) -> None:
        """Starts controllers and entries."""
        for zone in self.zones:
            for number in range(ENTRIES_PER_ZONE):
                peers = self._mesh.join(f"entry-{zone}-{number}", zone)
                self._entries[peers.name] = peers
                self._tasks.append(asyncio.ensure_future(peers.run_heartbeat()))
            self._start_controller(zone)
        self._tasks.append(asyncio.ensure_future(self._publish_periodically()))

    def refuse_starts(self, duration) -> None:
        """Makes the cloud refuse all host starts for a duration."""
        everything = (None, None, None)
        self.cloud.faults.refused.add(everything)
        loop = asyncio.get_running_loop()
        loop.call_later(duration.total_seconds(), self.cloud.faults.refused.discard, everything)

    async def stop(self) -> None:
        """Waits for all requests, then stops all tasks, the cloud and the engines."""
        await asyncio.gather(*self._requests)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.cloud.close()
        for model in self.engines.values():
            await model.close()

    def _start_controller(self, zone):
        peers = self._mesh.join(f"controller-{zone}", zone, "controller")
        drains = self._drains_class(zone, peers, self.clock)
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
            engine=lambda server: self._adapter_class(self.engines[server.name], server),
            cloud=DirectCloud(self.cloud),
            weights=DirectWeights(self.weights),
        )
        task = ControllerTask(parts)
        self.controllers.append(task)
        self._tasks.append(asyncio.ensure_future(peers.run_heartbeat()))
        self._tasks.append(asyncio.ensure_future(task.run()))

    def _start_host(self, host):
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

    def _stop_host(self, host):
        model = self.engines[host.server.name]
        if model.in_flight and host.host_id not in self.cloud.reclaimed:
            self.tally.cut_off += model.in_flight
        model.shut_down()

    # Entries

    async def _publish_periodically(self):
        while True:
            self._publish_digests()
            await self.clock.sleep(PUBLISH_INTERVAL)

    def _publish_digests(self):
        """Publishes loads, in-flight counts and drain acknowledgements for all entries."""
        drains = {}
        for member in self._mesh.nodes.values():
            for name, number in member.digest.leaving.items():
                drains[name] = max(number, drains.get(name, 0))
        noticed = {notice.server for zone in self.zones for notice in self.cloud.list_notices(zone)}
        reported = {name for name, number in drains.items() if is_leaving_number(number)}
        self.leaving = noticed | reported
        loads_pending = {zone: True for zone in self.zones}
        for entry in self._entries.values():
            loads = self._loads(entry.zone) if loads_pending[entry.zone] else {}
            counts = dict(self._in_flight) if entry.name == min(self._entries) else {}
            loads_pending[entry.zone] = False
            entry.publish(Digest(in_flight=counts, drains=drains, loads=loads))

    def _loads(self, zone):
        reports = {
            name: model.load_report()
            for name, model in self.engines.items()
            if self.servers[name].zone == zone and model.up
        }
        return {name: outcome.value for name, outcome in reports.items() if isinstance(outcome, Ok)}

    def serving(self, version: str) -> list[str]:
        """Returns the names of the engines that accept requests for a version."""
        return [
            name
            for name, model in self.engines.items()
            if model.up and name not in self.leaving and self._version(name) == version
        ]

    def versions(self) -> set[str]:
        """Returns the versions of running engines; a loading engine counts with its old version."""
        states = [model.state() for model in self.engines.values() if model.up]
        return {state.value.version for state in states} - {""}

    def _version(self, name):
        state = self.engines[name].state().value
        return state.version if state.model == MODEL and state.loading is None else None

    # Callers

    async def load(self, per_second: float, duration, tokens: int) -> None:
        """Sends requests at random times for a duration.

        Args:
          per_second: Mean number of requests per second.
          duration: How long to send.
          tokens: Mean number of tokens in an answer.
        """
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            await self.clock.sleep(seconds(self.rng.expovariate(per_second)))
            request = asyncio.ensure_future(self._request(self.rng.randint(1, 2 * tokens)))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)

    async def _request(self, tokens):
        tally = self.tally
        tally.accepted += 1
        self._request_count += 1
        started_at = self.clock.monotonic()
        call = GenerateCall(f"r{self._request_count}", 0, MODEL, "", "a question", tokens)
        received = []
        while self.clock.monotonic() - started_at < REQUEST_TIMEOUT:
            name = self._choose(call.version)
            if name is None:
                await self.clock.sleep(RETRY_DELAY)
                continue
            version = call.version or self._version(name)
            call = attrs.evolve(call, epoch=call.epoch + 1, version=version, resume=tuple(received))
            tally.recomputed_tokens += len(received)
            if await self._attempt(name, call, received, started_at, tally):
                tally.completed += 1
                tally.wrong += received != expected_tokens(call)
                return
        tally.unanswered += not received

    def _choose(self, version):
        candidates = [
            name
            for name, model in self.engines.items()
            if model.up and name not in self.leaving and self._version(name)
        ]
        if version:
            candidates = [name for name in candidates if self._version(name) == version]
        return min(candidates, key=lambda name: (self._in_flight.get(name, 0), name), default=None)

    async def _attempt(self, name, call, received, started_at, tally):
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        stream = DirectEngine(self.engines[name], self.servers[name]).generate(call)
        try:
            while True:
                for event in await stream.read():
                    match event:
                        case Token():
                            self._record_first_token(received, started_at, tally)
                            received.append(event.text)
                        case Finished():
                            return True
                        case Broken(kind=kind):
                            tally.moved += kind is not FailureKind.REFUSED
                            await self.clock.sleep(RETRY_DELAY)
                            return False
        finally:
            stream.close()
            self._in_flight[name] -= 1

    def _record_first_token(self, received, started_at, tally):
        if not received:
            waited = self.clock.monotonic() - started_at
            tally.first_token_seconds.append(waited.total_seconds())
