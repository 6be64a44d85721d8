"""Runs one soak: starts processes, stand-ins and callers, and injects the planned faults."""

import asyncio
import pathlib
import random
import signal

import attrs

from cicadapond.kernel import BootClock
from cicadapond.platform.standin import EngineFault, Fleet, FleetSettings
from cicadapond.soak._callers import CRASHING_PART, Balancer, CallerLoop
from cicadapond.soak._checks import CONTACT_S, RECOVERY_S, Violation, check
from cicadapond.soak._plan import PLANNED, RESTORES, Injection, make_plan
from cicadapond.soak._process import GatewayProcess
from cicadapond.soak._proxy import NetworkFault, Proxy
from cicadapond.soak._records import BrittleTime, Cut, History, Hold, Run, StatedLimit
from cicadapond.soak._restore import go_back, write_again
from cicadapond.soak._rollouts import RolloutLoop

START_TIMEOUT_S = 30.0
START_POLL_S = 0.05
RESTART_S = 0.3
# How long a fault may have effects after its end: calls and probes that still time out.
RESIDUAL_EFFECT_S = 2.0
EXTRA_SERVING_S = 3.0  # a leaving server serves longer than required (DRAIN_S)
FAULT_FREE_S = RECOVERY_S + 3.0
# Requests take long enough that some are in progress at each fault.
WORK_S, PAUSE_S = 0.03, 0.05
FAULTS_PER_SERVER = 4
SLOTS, WAITING_ROOM = 3, 12
SERVER_RESTART_S = 0.5
MIN_HOLD_S, MAX_HOLD_S = 0.8, 1.5
CRASHING_SHARE = 0.1
BRITTLE_LIMIT = 3
SOFTWARE_VERSIONS = ("v1", "v2")
MAX_STATED_LIMIT = 4.0
MIN_AWAY_S, MAX_AWAY_S = 0.2, 1.0
# When the operator and the servers have noticed that their writes are lost.
MIN_REWRITE_S, MAX_REWRITE_S = 1.0, 2.0


@attrs.frozen
class SoakSettings:
    """Settings of one soak.

    Attributes:
      seed: Seed of the fault plan and of the callers.
      length: Period during which faults are injected, in seconds.
      directory: Where the processes' settings and logs are written.
      processes: Number of gateway processes.
      callers: Number of callers.
      restores: Whether the store is restored from older copies.
    """

    seed: int
    length: float
    directory: pathlib.Path
    processes: int = 3
    callers: int = 8
    restores: bool = False

    @property
    def rolls_out(self) -> bool:
        """Whether versions are rolled out, which half of the seeds do."""
        return self.seed % 2 == 0


class Soak:
    """A deployment under a fault plan.

    Args:
      cfg: The soak's settings.
    """

    def __init__(self, cfg: SoakSettings):
        self.history = History()
        self._cfg = cfg
        self._rng = random.Random(f"run {cfg.seed}")
        self._fleet = Fleet(
            FleetSettings(
                engines=4, services=3, rolls_out=cfg.rolls_out, moves=True, tells_parts=True
            ),
            BootClock(),
        )
        self._processes = [
            GatewayProcess(number, cfg.directory, self.history) for number in range(cfg.processes)
        ]
        self._balancer = Balancer([each.ports["readiness"] for each in self._processes])
        self._busy: set[int] = set()
        # By name, one for each process, as a process may lose links that others keep.
        self._proxies: dict[str, list[Proxy]] = {}
        self._cut_off: set[int] = set()
        self._brittle_crashes: list[float] = []
        self._services: dict[str, str] = {}
        self._models = []
        self._keys = ["demo-key", "key-0"]
        self._removed_keys: list[str] = []
        self._is_restoring = False
        self._running: list[asyncio.Task] = []

    async def run(self) -> None:
        """Runs the plan and a fault-free period after it, and fills the history."""
        try:
            await self._start()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            injected = []
            if self._cfg.rolls_out:
                rng = random.Random(f"rollouts {self._cfg.seed}")
                servers = (self._start_server, self._stop_server)
                rollouts = RolloutLoop(self._fleet, rng, self.history, *servers)
                injected.append(asyncio.ensure_future(rollouts.run(started_at + self._cfg.length)))
            for injection in make_plan(self._cfg.seed, self._cfg.length, self._cfg.restores):
                await asyncio.sleep(max(0.0, started_at + injection.at - loop.time()))
                injected.append(asyncio.ensure_future(self._inject(injection)))
            await asyncio.gather(*injected)
            self.history.faults_ended_at = loop.time()
            await asyncio.sleep(FAULT_FREE_S)
            ready = self._balancer.ready()
            numbers = range(self._cfg.processes)
            self.history.not_ready = [number for number in numbers if number not in ready]
        finally:
            await self._stop()

    async def _start(self):
        fleet = self._fleet
        await fleet.start()
        for number in range(self._cfg.processes):
            await self._start_proxy("store", fleet.add_store_view(number), number)
        for number, (name, server) in enumerate(fleet.servers.items()):
            server.model.version = SOFTWARE_VERSIONS[number % len(SOFTWARE_VERSIONS)]
            service = "pool" if name.startswith("e-") else "plain"
            await self._register_server(name, service, server.model)
            fleet.list_server(name, service)
        fleet.configure(keys=tuple(self._keys))
        for process in self._processes:
            text = fleet.settings_text(process.ports, f"edge-{process.number}", process.number)
            process.path.write_text(text, encoding="utf-8")
            await process.start()
        balancer = self._balancer
        self._start_task(balancer.run())
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(balancer.ready()) < len(self._processes):
                await asyncio.sleep(START_POLL_S)
        ports = [process.ports["frontend"] for process in self._processes]
        for number in range(self._cfg.callers):
            name = f"s{self._cfg.seed}-c{number}"
            rng = random.Random(name)
            caller = CallerLoop(name, ports, balancer, self._caller_keys, self.history, rng)
            self._start_task(caller.run())

    async def _stop(self):
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await asyncio.gather(*(process.kill() for process in self._processes))
        for proxies in self._proxies.values():
            for proxy in proxies:
                await proxy.stop()
        await self._fleet.stop()
        self._collect()

    def _collect(self):
        history = self.history
        history.reports = self._fleet.cloud.reports
        history.holders = self._fleet.cloud.holders
        for model in self._models:
            history.double_runs += model.memory.double_runs
            history.moved += len(model.memory.moves)
            for request, at in zip(model.executed_requests, model.execution_times, strict=True):
                history.runs.append(Run(request[0], model.name, at))

    def _start_task(self, coroutine):
        self._running.append(asyncio.ensure_future(coroutine))

    def _caller_keys(self):
        """Returns the keys for callers: each valid one four times, and the last two removed."""
        return [*self._keys * 4, *self._removed_keys[-2:]]

    async def _start_proxy(self, name, port, process):
        proxy = Proxy(port)
        self._proxies.setdefault(name, []).append(proxy)
        self._fleet.relay(name, await proxy.start(), process)

    async def _register_server(self, name, service, model):
        for process in range(self._cfg.processes):
            await self._start_proxy(name, self._fleet.port(name), process)
        self._services[name] = service
        model.processing_time_s, model.event_interval_s = WORK_S, PAUSE_S
        model.slots, model.waiting_room = SLOTS, WAITING_ROOM
        model.crashing_parts = frozenset((CRASHING_PART,))
        self._fleet.servers[name].on_crash = self._on_crash
        self._models.append(model)

    def _on_crash(self, model, by_prompt):
        now = asyncio.get_running_loop().time()
        if not by_prompt:
            self._brittle_crashes.append(now)
        else:
            self.history.prompt_crashes.append(now)
            # The engine's other requests break, and others get more of them.
            self.history.fault_spans.append((now, now + RESTART_S + RESIDUAL_EFFECT_S))
        if model.name in self._services:
            service = self._services[model.name]
            self._start_task(self._fleet.restart_server(model.name, service, SERVER_RESTART_S))

    # Faults

    async def _inject(self, injection: Injection):
        fault = injection.fault
        begin = asyncio.get_running_loop().time()
        await getattr(self, f"_inject_{fault.name.lower()}")(injection)
        end = asyncio.get_running_loop().time()
        if fault not in PLANNED + RESTORES:
            self.history.fault_spans.append((begin, end + RESIDUAL_EFFECT_S))

    def _reserve_process(self, injection):
        """Reserves and returns a process without a fault in progress, None if there is none."""
        free = [process for process in self._processes if process.number not in self._busy]
        if not free:
            return None
        process = free[int(injection.pick * len(free))]
        self._busy.add(process.number)
        return process

    async def _stop_one(self, process):
        loop = asyncio.get_running_loop()
        begin = loop.time()
        await process.stop()
        self.history.planned_stops.append((process.number, begin, loop.time()))

    async def _restart(self, process, end):
        await end
        await asyncio.sleep(RESTART_S)
        await process.start()
        self._busy.discard(process.number)

    async def _inject_stop(self, injection):
        process = self._reserve_process(injection)
        if process is not None:
            await self._restart(process, self._stop_one(process))

    async def _inject_kill(self, injection):
        process = self._reserve_process(injection)
        if process is not None:
            await self._restart(process, process.kill())

    async def _inject_kill_all(self, injection):
        reserved = [self._reserve_process(injection) for _ in self._processes]
        reserved = [process for process in reserved if process is not None]
        await asyncio.gather(*(self._restart(process, process.kill()) for process in reserved))

    async def _inject_pause(self, injection):
        process = self._reserve_process(injection)
        if process is not None:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(injection.duration)
            process.send(signal.SIGCONT)
            self._busy.discard(process.number)

    async def _inject_hang_up(self, injection):
        process = self._reserve_process(injection)
        if process is not None:
            text = process.path.read_text(encoding="utf-8")
            process.path.write_text(f"{text}changed.at={injection.at}\n", encoding="utf-8")
            process.send(signal.SIGHUP)
            self._busy.discard(process.number)

    async def _inject_store_down(self, injection):
        self._fleet.store.is_down = True
        await asyncio.sleep(injection.duration)
        self._fleet.store.is_down = False

    async def _apply_network_fault(self, name, fault, duration):
        for proxy in self._proxies[name]:
            proxy.set(fault)
        await asyncio.sleep(duration)
        for proxy in self._proxies[name]:
            proxy.set(NetworkFault.NONE)

    async def _inject_store_silent(self, injection):
        await self._apply_network_fault("store", NetworkFault.SILENT, 0.0)

    async def _inject_store_one_way(self, injection):
        await self._apply_network_fault("store", NetworkFault.ONE_WAY, injection.duration)

    async def _inject_store_slow(self, injection):
        await self._apply_network_fault("store", NetworkFault.DELAY, injection.duration)

    async def _inject_store_loses(self, injection):
        self._fleet.store.drops_responses = True
        await asyncio.sleep(injection.duration)
        self._fleet.store.drops_responses = False

    async def _inject_store_forgets(self, injection):
        self._fleet.store.oldest_version = self._fleet.store.version
        self._reset_connections("store")

    async def _inject_store_restored(self, injection):
        if self._is_restoring:
            return
        self._is_restoring = True
        store, loop, pick = self._fleet.store, asyncio.get_running_loop(), injection.pick
        copy = store.copy()
        await asyncio.sleep(injection.duration)
        begin = loop.time()
        store.is_down = True
        self._reset_connections("store")
        await asyncio.sleep(MIN_AWAY_S + pick * (MAX_AWAY_S - MIN_AWAY_S))
        lost = go_back(store, copy)
        store.is_down = False
        self.history.restores += 1
        await asyncio.sleep(MIN_REWRITE_S + pick * (MAX_REWRITE_S - MIN_REWRITE_S))
        write_again(store, copy, lost)
        self.history.fault_spans.append((begin, loop.time() + RESIDUAL_EFFECT_S))
        self._is_restoring = False

    async def _inject_store_clock(self, injection):
        self._fleet.store.clock_step_ms -= round(1000 * injection.duration)
        self._reset_connections("store")

    def _reset_connections(self, name):
        for proxy in self._proxies[name]:
            proxy.reset()

    async def _inject_cloud_down(self, injection):
        self._fleet.cloud.is_down = True
        await asyncio.sleep(injection.duration)
        self._fleet.cloud.is_down = False

    def _pick_server(self, injection):
        names = sorted(self._services)
        return names[int(injection.pick * len(names))]

    async def _inject_server_reset(self, injection):
        self._reset_connections(self._pick_server(injection))

    async def _inject_server_silent(self, injection):
        await self._apply_network_fault(self._pick_server(injection), NetworkFault.SILENT, 0.0)

    async def _inject_server_slow(self, injection):
        await self._apply_network_fault(
            self._pick_server(injection), NetworkFault.DELAY, injection.duration
        )

    async def _inject_server_faults(self, injection):
        for server in self._fleet.servers.values():
            server.model.faults = self._rng.choices(list(EngineFault), k=FAULTS_PER_SERVER)

    async def _inject_engine_reclaimed(self, injection):
        names = sorted(name for name, service in self._services.items() if service == "pool")
        name = names[int(injection.pick * len(names))]
        notice_s = injection.duration
        await self._replace(name, injection, notice_s, leaves_in_s=notice_s)

    async def _inject_server_leaves(self, injection):
        await self._replace(self._pick_server(injection), injection, EXTRA_SERVING_S)

    async def _replace(self, name, injection, serving_s, **notice):
        service = self._services[name]
        successor = f"{name.split('.')[0]}.{injection.at:.3f}"
        version, leaving = self._rng.choice(SOFTWARE_VERSIONS), self._fleet.servers[name].model
        if self._cfg.rolls_out:  # only rollouts change the version then
            version = leaving.version
        await self._start_server(successor, service, version, leaving.defect)
        await self._stop_server(name, True, serving_s, **notice)

    async def _start_server(self, name, service, version, defect):
        model = await self._fleet.start_server(name, version=version, defect=defect)
        await self._register_server(name, service, model)
        self._fleet.list_server(name, service)

    async def _stop_server(self, name, drains, serving_s=EXTRA_SERVING_S, **notice):
        """Ends a server, unless it is ended already."""
        service = self._services.pop(name, None)
        if service is None:
            return
        if drains:
            self._fleet.list_server(name, service, "draining", **notice)
            self.history.drained[name] = asyncio.get_running_loop().time()
            await asyncio.sleep(serving_s)
        self._fleet.unlist_server(name)
        await self._fleet.servers.pop(name).stop()

    async def _inject_server_limits(self, injection):
        model = self._fleet.servers[self._pick_server(injection)].model
        if model.rate_limit is not None:
            return
        begin = asyncio.get_running_loop().time()
        model.rate_limit = round(self._rng.uniform(0.0, MAX_STATED_LIMIT), 1)
        await asyncio.sleep(injection.duration)
        limit = StatedLimit(model.name, model.rate_limit, begin, asyncio.get_running_loop().time())
        model.rate_limit = None
        self.history.limits.append(limit)

    async def _inject_links_lost(self, injection):
        process = int(injection.pick * self._cfg.processes)
        if process in self._cut_off:
            return
        self._cut_off.add(process)
        loop = asyncio.get_running_loop()
        proxies = [self._proxies[name][process] for name in self._services]
        how = self._rng.choice(("live", "silent", "reset"))
        begin = loop.time()
        for proxy in proxies:
            proxy.stop_listening()
            if how == "silent":
                proxy.silence()
            if how == "reset":
                proxy.reset()
        await asyncio.sleep(injection.duration)
        self.history.cuts.append(Cut(process, begin, loop.time()))
        for proxy in proxies:
            await proxy.start()
        self._cut_off.discard(process)

    async def _inject_server_holds(self, injection):
        name = self._pick_server(injection)
        begin = asyncio.get_running_loop().time()
        length = self._rng.uniform(MIN_HOLD_S, MAX_HOLD_S)
        await self._apply_network_fault(name, NetworkFault.HOLD, length)
        self.history.holds.append(Hold(name, begin, asyncio.get_running_loop().time()))

    async def _inject_crashing_prompts(self, injection):
        self.history.crashing_share = CRASHING_SHARE
        await asyncio.sleep(injection.duration)
        self.history.crashing_share = 0.0

    async def _inject_brittle(self, injection):
        models = [self._fleet.servers[name].model for name in self._services]
        if any(model.brittle is not None for model in models):
            return
        begin = asyncio.get_running_loop().time()
        for model in models:
            model.brittle = BRITTLE_LIMIT
        await asyncio.sleep(CONTACT_S)
        for model in models:
            model.waiting_room = 0
        await asyncio.sleep(injection.duration)
        for model in models:
            model.waiting_room, model.brittle = WAITING_ROOM, None
        end = asyncio.get_running_loop().time()
        crashes = tuple(at for at in self._brittle_crashes if begin <= at <= end)
        self.history.brittle_times.append(BrittleTime(begin, end, len(models), crashes))

    async def _inject_configure(self, injection):
        self._fleet.configure(keys=tuple(self._keys))

    async def _inject_remove_key(self, injection):
        removed_key = self._keys.pop()
        if removed_key == "demo-key":
            self._keys.append(removed_key)
            return
        self._fleet.configure(keys=tuple(self._keys))
        self.history.keys_removed[removed_key] = asyncio.get_running_loop().time()
        self._removed_keys.append(removed_key)
        await asyncio.sleep(injection.duration)
        self._keys.append(f"key-{injection.at:.3f}")
        self._fleet.configure(keys=tuple(self._keys))


async def run_soak(cfg: SoakSettings) -> tuple[History, list[Violation]]:
    """Runs one soak; returns its history and all violations found."""
    soak = Soak(cfg)
    await soak.run()
    return soak.history, check(soak.history)
