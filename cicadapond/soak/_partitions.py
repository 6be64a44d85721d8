"""Cuts processes off from each other or from the store, while software versions come and go."""

import asyncio
import json
import random

import tornado.httpclient

from cicadapond.peer.partition import Direction
from cicadapond.platform.standin import ReportFault
from cicadapond.soak._deployment import POOL, Deployment
from cicadapond.soak._plan import Injection
from cicadapond.soak._proxy import NetworkFault
from cicadapond.soak._records import Partition

ENGINE_VERSIONS = ("v1", "v2", "v3")
MIN_JOINING, MAX_JOINING = 2, 3
MAX_ENGINES = 10
MIN_DOWN_S, MAX_DOWN_S = 0.2, 0.6
LEAVING_SHARE = 0.5
STATE_TIMEOUT_S = 1.0


class PartitionInjector:
    """Injects partitions and changes of software versions: `inject_NAME` for each such `Fault`.

    Args:
      deployment: What they are injected into.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._rng = random.Random(f"partitioned {deployment.cfg.seed}")
        self._is_halved = False

    async def inject_cut_off(self, injection: Injection) -> None:
        """Cuts a process off from the other processes."""
        await self._cut(injection, self._pick(injection), Direction.BOTH)

    async def inject_cut_in(self, injection: Injection) -> None:
        """Cuts what a process receives from the others."""
        await self._cut(injection, self._pick(injection), Direction.IN)

    async def inject_cut_out(self, injection: Injection) -> None:
        """Cuts what a process sends to the others."""
        await self._cut(injection, self._pick(injection), Direction.OUT)

    async def inject_cut_hub(self, injection: Injection) -> None:
        """Cuts the hub of a data centre off from the other processes."""
        hubs = sorted(await self._hubs() - self._deployment.busy)
        if hubs:
            await self._cut(injection, hubs[int(injection.pick * len(hubs))], Direction.BOTH)

    async def inject_cut_halves(self, injection: Injection) -> None:
        """Cuts half of the processes off from the other half."""
        deployment = self._deployment
        if self._is_halved or len(deployment.processes) < 2:
            return
        self._is_halved = True
        numbers = sorted(deployment.processes)
        half = frozenset(self._rng.sample(numbers, len(numbers) // 2))
        deployment.set_halves(half)
        await self._record(injection, frozenset(numbers), injection.duration)
        deployment.set_halves(frozenset())
        self._is_halved = False

    async def inject_cut_store(self, injection: Injection) -> None:
        """Cuts a process off from the store."""
        await self._cut(injection, self._pick(injection), Direction.NONE, cuts_store=True)

    async def inject_cut_all(self, injection: Injection) -> None:
        """Cuts a process off from the store and from the other processes."""
        await self._cut(injection, self._pick(injection), Direction.BOTH, cuts_store=True)

    async def inject_long_pause(self, injection: Injection) -> None:
        """Suspends a process."""
        process = self._deployment.reserve_process(injection.pick)
        if process is None:
            return
        process.pause()
        number = frozenset((process.number,))
        await self._record(injection, number, injection.duration, is_excused=True)
        process.resume()
        self._deployment.busy.discard(process.number)

    async def inject_version_joins(self, injection: Injection) -> None:
        """Adds engines of a software version, which may leave again."""
        deployment, version = self._deployment, self._rng.choice(ENGINE_VERSIONS)
        count = self._rng.randint(MIN_JOINING, MAX_JOINING)
        names = [f"joined-{injection.at:.3f}-{number}" for number in range(count)]
        if len(self._engines()) + count > MAX_ENGINES:
            return
        for name in names:
            await deployment.start_server(name, POOL, version, None)
        if self._rng.random() >= LEAVING_SHARE:
            return
        drains = self._rng.random() < 0.5
        await asyncio.sleep(injection.duration)
        begin = deployment.now()
        await asyncio.gather(*(deployment.stop_server(name, drains) for name in names))
        if not drains:
            self._record_killed(injection, begin)

    async def inject_version_restarts(self, injection: Injection) -> None:
        """Restarts half of the engines under their names with another software version."""
        engines, version = self._engines(), self._rng.choice(ENGINE_VERSIONS)
        begin = self._deployment.now()
        for name in self._rng.sample(engines, len(engines) // 2):
            if name in self._deployment.services:
                down_s = self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
                await self._deployment.kill_server(name, down_s, lambda: version)
        self._record_killed(injection, begin)

    async def inject_starts_unstated(self, injection: Injection) -> None:
        """Makes the engines not say when they started, in one of several ways."""
        models = [self._deployment.fleet.servers[name].model for name in self._engines()]
        for model in models:
            model.report_fault = list(ReportFault)[int(injection.pick * len(ReportFault))]
        await asyncio.sleep(injection.duration)
        for model in models:
            model.report_fault = None

    def _record_killed(self, injection, begin):
        what, now = injection.fault.name.lower(), self._deployment.now()
        killed = Partition(what, frozenset(), begin, now, is_excused=True)
        self._deployment.history.partitions.append(killed)

    def _engines(self):
        services = self._deployment.services.items()
        return sorted(name for name, service in services if service == POOL)

    def _pick(self, injection):
        numbers = sorted(set(self._deployment.processes) - self._deployment.disturbed)
        return numbers[int(injection.pick * len(numbers))] if numbers else None

    async def _cut(self, injection, number, held, cuts_store=False):
        deployment = self._deployment
        if number is None or number in deployment.disturbed:
            return
        store = deployment.proxies["store"][number]
        if cuts_store:
            store.set(NetworkFault.HOLD)
        deployment.cut_off(number, held)
        await self._record(injection, frozenset((number,)), injection.duration, cuts_store)
        deployment.rejoin(number)
        if cuts_store:
            store.set(NetworkFault.NONE)

    async def _record(self, injection, processes, seconds, is_excused=False):
        deployment, begin = self._deployment, self._deployment.now()
        deployment.disturbed |= processes
        await asyncio.sleep(seconds)
        deployment.disturbed -= processes
        what, end = injection.fault.name.lower(), deployment.now()
        deployment.history.partitions.append(Partition(what, processes, begin, end, is_excused))

    async def _hubs(self):
        """Returns the processes that are the hubs of their data centres, as one of them says."""
        deployment, client = self._deployment, tornado.httpclient.AsyncHTTPClient()
        ready = sorted(set(deployment.balancer.ready()) & set(deployment.processes))
        if not ready:
            return set()
        port = deployment.processes[ready[0]].ports["readiness"]
        url = f"http://127.0.0.1:{port}/debug/state"
        try:
            answer = await client.fetch(url, request_timeout=STATE_TIMEOUT_S)
        except (OSError, tornado.httpclient.HTTPError):
            return set()  # it has just been stopped
        zones = json.loads(answer.body)["cluster"]["zones"].values()
        hubs = {int(zone["hub"].removeprefix("edge-")) for zone in zones if zone["hub"]}
        return hubs & set(deployment.processes)
