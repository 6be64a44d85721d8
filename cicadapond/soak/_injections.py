"""Injects the unplanned faults of a soak, and the planned changes of servers and keys."""

import asyncio
import random

from cicadapond.platform.standin import EngineFault
from cicadapond.soak._checks import CONTACT_S, RESIDUAL_EFFECT_S
from cicadapond.soak._deployment import (
    EXTRA_SERVING_S,
    POOL,
    SOFTWARE_VERSIONS,
    WAITING_ROOM,
    Deployment,
)
from cicadapond.soak._operator import POOL_PAIR
from cicadapond.soak._proxy import NetworkFault
from cicadapond.soak._records import BrittleTime, Cut, Hold, StatedLimit
from cicadapond.soak._restore import go_back, write_again

# Without the fault of long uploads, which the requests of a run are not.
FAULTS = tuple(fault for fault in EngineFault if fault is not EngineFault.EARLY_RESET)
FAULTS_PER_SERVER = 4
MIN_HOLD_S, MAX_HOLD_S = 0.8, 1.5
CRASHING_SHARE = 0.1
BRITTLE_LIMIT = 3
MAX_STATED_LIMIT = 4.0
MIN_DOWN_S, MAX_DOWN_S = 0.3, 2.3
MIN_AWAY_S, MAX_AWAY_S = 0.2, 1.0
# When the operator and the servers have noticed that their writes are lost.
MIN_REWRITE_S, MAX_REWRITE_S = 1.0, 2.0


class FaultInjector:
    """Injects single faults: `inject_NAME` for each `Fault`.

    Args:
      deployment: What they are injected into.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._fleet = deployment.fleet
        self._history = deployment.history
        self._rng = random.Random(f"run {deployment.cfg.seed}")
        self._now = deployment.now
        self._cut_off: set[int] = set()
        self._is_restoring = False

    async def inject_stop(self, injection):
        process = self._deployment.reserve_process(injection.pick)
        if process is not None:
            await self._deployment.restart(process, self._deployment.stop_process(process))

    async def inject_kill(self, injection):
        process = self._deployment.reserve_process(injection.pick)
        if process is not None:
            await self._deployment.restart(process, process.kill())

    async def inject_kill_all(self, injection):
        deployment = self._deployment
        reserved = [deployment.reserve_process(injection.pick) for _ in deployment.processes]
        reserved = [process for process in reserved if process is not None]
        await asyncio.gather(*(deployment.restart(each, each.kill()) for each in reserved))

    async def inject_pause(self, injection):
        process = self._deployment.reserve_process(injection.pick)
        if process is not None:
            process.pause()
            await asyncio.sleep(injection.duration)
            process.resume()
            self._deployment.busy.discard(process.number)

    async def inject_hang_up(self, injection):
        process = self._deployment.reserve_process(injection.pick)
        if process is not None:
            self._deployment.hang_up(process)
            self._deployment.busy.discard(process.number)

    async def inject_store_down(self, injection):
        self._fleet.store.is_down = True
        await asyncio.sleep(injection.duration)
        self._fleet.store.is_down = False

    async def _apply_network_fault(self, name, fault, duration):
        self._deployment.set_proxies(name, fault)
        await asyncio.sleep(duration)
        self._deployment.set_proxies(name, NetworkFault.NONE)

    async def inject_store_silent(self, injection):
        await self._apply_network_fault("store", NetworkFault.SILENT, 0.0)

    async def inject_store_one_way(self, injection):
        await self._apply_network_fault("store", NetworkFault.ONE_WAY, injection.duration)

    async def inject_store_slow(self, injection):
        await self._apply_network_fault("store", NetworkFault.DELAY, injection.duration)

    async def inject_store_loses(self, injection):
        self._fleet.store.drops_responses = True
        await asyncio.sleep(injection.duration)
        self._fleet.store.drops_responses = False

    async def inject_store_forgets(self, injection):
        self._fleet.store.oldest_version = self._fleet.store.version
        self._deployment.reset_connections("store")

    async def inject_store_restored(self, injection):
        if self._is_restoring:
            return
        self._is_restoring = True
        store, pick = self._fleet.store, injection.pick
        copy = store.copy()
        await asyncio.sleep(injection.duration)
        begin = self._now()
        store.is_down = True
        self._deployment.reset_connections("store")
        await asyncio.sleep(MIN_AWAY_S + pick * (MAX_AWAY_S - MIN_AWAY_S))
        lost = go_back(store, copy)
        store.is_down = False
        self._history.restores += 1
        await asyncio.sleep(MIN_REWRITE_S + pick * (MAX_REWRITE_S - MIN_REWRITE_S))
        write_again(store, copy, lost)
        span = (begin, self._now() + RESIDUAL_EFFECT_S)
        self._history.fault_spans.append(span)
        self._history.restored_spans.append(span)
        self._is_restoring = False

    async def inject_store_clock(self, injection):
        self._fleet.store.clock_step_ms -= round(1000 * injection.duration)
        self._deployment.reset_connections("store")

    async def inject_cloud_down(self, injection):
        self._fleet.cloud.is_down = True
        await asyncio.sleep(injection.duration)
        self._fleet.cloud.is_down = False

    def _pick_server(self, injection):
        names = sorted(self._deployment.services)
        return names[int(injection.pick * len(names))]

    async def inject_server_reset(self, injection):
        self._deployment.reset_connections(self._pick_server(injection))

    async def inject_server_silent(self, injection):
        await self._apply_network_fault(self._pick_server(injection), NetworkFault.SILENT, 0.0)

    async def inject_server_slow(self, injection):
        await self._apply_network_fault(
            self._pick_server(injection), NetworkFault.DELAY, injection.duration
        )

    async def inject_server_faults(self, injection):
        for server in self._fleet.servers.values():
            server.model.faults = self._rng.choices(FAULTS, k=FAULTS_PER_SERVER)

    async def inject_engine_reclaimed(self, injection):
        services = self._deployment.services.items()
        names = sorted(name for name, service in services if service in (POOL, *POOL_PAIR))
        name = names[int(injection.pick * len(names))]
        notice_s = injection.duration
        await self._replace(name, injection, notice_s, leaves_in_s=notice_s)

    async def inject_server_leaves(self, injection):
        await self._replace(self._pick_server(injection), injection, EXTRA_SERVING_S)

    async def _replace(self, name, injection, serving_s, **notice):
        service = self._deployment.services[name]
        successor = f"{name.split('.')[0]}.{injection.at:.3f}"
        version, leaving = self._rng.choice(SOFTWARE_VERSIONS), self._fleet.servers[name].model
        if self._deployment.cfg.rolls_out:  # only rollouts change the version then
            version = leaving.version
        await self._deployment.start_server(successor, service, version, leaving.defect)
        await self._deployment.stop_server(name, True, serving_s, **notice)

    async def inject_server_limits(self, injection):
        model = self._fleet.servers[self._pick_server(injection)].model
        if model.rate_limit is not None:
            return
        begin = self._now()
        model.rate_limit = round(self._rng.uniform(0.0, MAX_STATED_LIMIT), 1)
        await asyncio.sleep(injection.duration)
        limit = StatedLimit(model.name, model.rate_limit, begin, self._now())
        model.rate_limit = None
        self._history.limits.append(limit)

    async def inject_links_lost(self, injection):
        deployment = self._deployment
        numbers = sorted(deployment.processes)
        process = numbers[int(injection.pick * len(numbers))]
        if process in self._cut_off:
            return
        self._cut_off.add(process)
        proxies = [deployment.proxies[name].get(process) for name in deployment.services]
        proxies = [proxy for proxy in proxies if proxy is not None]
        how = self._rng.choice(("live", "silent", "reset"))
        begin = self._now()
        for proxy in proxies:
            proxy.stop_listening()
            if how == "silent":
                proxy.silence()
            if how == "reset":
                proxy.reset()
        await asyncio.sleep(injection.duration)
        self._history.cuts.append(Cut(process, begin, self._now()))
        for proxy in proxies:
            await proxy.start()
        self._cut_off.discard(process)

    async def inject_server_killed(self, injection):
        name, deployment = self._pick_server(injection), self._deployment
        model = self._fleet.servers[name].model
        if self._fleet.servers[name].has_crashed:
            return

        def draw_version():
            return (
                model.version if deployment.cfg.rolls_out else self._rng.choice(SOFTWARE_VERSIONS)
            )

        down_s = self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
        await deployment.kill_server(name, down_s, draw_version)

    async def inject_server_holds(self, injection):
        name = self._pick_server(injection)
        begin = self._now()
        length = self._rng.uniform(MIN_HOLD_S, MAX_HOLD_S)
        await self._apply_network_fault(name, NetworkFault.HOLD, length)
        self._history.holds.append(Hold(name, begin, self._now()))

    async def inject_crashing_prompts(self, injection):
        self._history.crashing_share = CRASHING_SHARE
        await asyncio.sleep(injection.duration)
        self._history.crashing_share = 0.0

    async def inject_brittle(self, injection):
        models = [self._fleet.servers[name].model for name in self._deployment.services]
        if any(model.brittle is not None for model in models):
            return
        begin = self._now()
        for model in models:
            model.brittle = BRITTLE_LIMIT
        await asyncio.sleep(CONTACT_S)
        for model in models:
            model.waiting_room = 0
        await asyncio.sleep(injection.duration)
        for model in models:
            model.waiting_room, model.brittle = WAITING_ROOM, None
        end = self._now()
        crashes = tuple(at for at in self._deployment.brittle_crashes if begin <= at <= end)
        self._history.brittle_times.append(BrittleTime(begin, end, len(models), crashes))

    async def inject_configure(self, injection):
        self._deployment.operator.write("same")

    async def inject_remove_key(self, injection):
        operator = self._deployment.operator
        if operator.keys[-1] == "demo-key":
            return
        operator.remove_key(operator.keys[-1])
        await asyncio.sleep(injection.duration)
        operator.keys.append(f"key-{injection.at:.3f}")
        operator.write("key")
