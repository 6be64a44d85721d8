"""The processes and servers of a soak, and the proxies between them."""

import asyncio
import itertools
import math
import random
import signal
import typing

from cicadapond.kernel import BootClock
from cicadapond.peer.partition import Direction
from cicadapond.platform.standin import EndlessAnswer, Fleet, FleetSettings
from cicadapond.soak._balancer import Balancer
from cicadapond.soak._callers import CRASHING_PART
from cicadapond.soak._checks import RESIDUAL_EFFECT_S
from cicadapond.soak._limits import draw_limits
from cicadapond.soak._neighbours import Neighbours
from cicadapond.soak._operator import (
    AROUND_CHANGE_S,
    ENDLESS_SERVICE,
    PLAIN_PAIR,
    POOL_PAIR,
    Operator,
)
from cicadapond.soak._plan import SoakSettings
from cicadapond.soak._process import GatewayProcess
from cicadapond.soak._proxy import Proxy
from cicadapond.soak._records import History, PlannedChange, Run, ServingTime

START_TIMEOUT_S = 60.0
START_POLL_S = 0.05
RESTART_S = 0.3
SUPERVISION_S = 0.2
# The shortest time limit of a process's calls is 0.4 s.
WATCH_S, MAX_OWN_PAUSE_S = 0.05, 0.25
# A process that waits so long for processors that others use has less than its share.
STARVED_WINDOW_S, MAX_STARVED_SHARE = 1.0, 0.25
EXTRA_SERVING_S = 3.0  # a leaving server serves longer than required (DRAIN_S)
# Requests take long enough that some are in progress at each fault.
WORK_S, PAUSE_S = 0.03, 0.05
SLOTS, WAITING_ROOM = 3, 12
SERVER_RESTART_S = 0.5
SOFTWARE_VERSIONS = ("v1", "v2")
# The store's reads a second, and the processes that share them in a large deployment.
READS_PER_S, MANY_PROCESSES = 2000, 195
POOL, PLAIN = "pool", "plain"
ENDLESS_SERVER = "endless-0"


class Deployment:
    """Gateway processes, stand-ins, and a proxy of each process before the store and each server.

    Args:
      cfg: The soak's settings.
      history: Receives what happens.
    """

    def __init__(self, cfg: SoakSettings, history: History):
        self.cfg = cfg
        self.history = history
        self.fleet = Fleet(
            FleetSettings(
                engines=4,
                services=3,
                rolls_out=cfg.rolls_out,
                moves=True,
                tells_parts=True,
                reads_per_s=self._reads_per_s(cfg),
            ),
            BootClock(),
        )
        self.operator = Operator(
            self.fleet, history, random.Random(f"operator {cfg.seed}"), lambda: self.now()
        )
        self.balancer = Balancer()
        self.neighbours = Neighbours(cfg.neighbours, random.Random(f"core {cfg.seed}"))
        self.processes: dict[int, GatewayProcess] = {}
        # The processes with a fault or change in progress.
        self.busy: set[int] = set()
        # By name and process, as a process may lose links that others keep.
        self.proxies: dict[str, dict[int, Proxy]] = {}
        self._serving: dict[str, ServingTime] = {}
        # The servers in operation, and their services.
        self.services: dict[str, str] = {}
        self.brittle_crashes: list[float] = []
        self._numbers = itertools.count()
        self._models: list = []
        self._all_services: dict[str, str] = {}
        self._tasks: list[asyncio.Task] = []
        self._ended: list[GatewayProcess] = []
        # The processes that are cut off or suspended for seconds, which callers seek out.
        self.disturbed: set[int] = set()
        self._cut_off: dict[int, Direction] = {}
        self._first_half: frozenset[int] = frozenset()

    @staticmethod
    def _reads_per_s(cfg):
        """Returns so many reads that each process has those of a large deployment."""
        if not cfg.partitions:
            return READS_PER_S
        return math.ceil(READS_PER_S * cfg.processes / MANY_PROCESSES)

    @staticmethod
    def now() -> float:
        """Returns the event loop's time."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Starts everything; returns once all processes are ready."""
        fleet = self.fleet
        await fleet.start()
        for service in (*PLAIN_PAIR, *POOL_PAIR):
            for number in range(2):
                await fleet.start_server(f"{service}-{number}")
        services = {"e": POOL, "s": PLAIN}
        for number, (name, server) in enumerate(list(fleet.servers.items())):
            base = name.rpartition("-")[0]
            service = services.get(base, base)
            if not (self.cfg.partitions and service == POOL):  # others join meanwhile
                server.model.version = SOFTWARE_VERSIONS[number % len(SOFTWARE_VERSIONS)]
            await self._register(name, service, server.model)
            fleet.list_server(name, service)
        model = await fleet.add_server(ENDLESS_SERVER, ENDLESS_SERVICE)
        model.endless = tuple(EndlessAnswer)
        self.operator.write("first")
        await self.neighbours.start()
        await asyncio.gather(*(self.add_process() for _ in range(self.cfg.processes)))
        self.start_task(self.balancer.run())
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.balancer.ready()) < len(self.processes):
                await asyncio.sleep(START_POLL_S)
        self.start_task(self._supervise())
        self.start_task(self._watch_own_pauses())

    async def stop(self) -> None:
        """Stops everything, and collects what the servers and the platform recorded."""
        for task in self._tasks:
            task.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        processes = [*self.processes.values(), *self._ended]
        await asyncio.gather(*(process.kill() for process in processes))
        for proxies in self.proxies.values():
            for proxy in proxies.values():
                await proxy.stop()
        await self.neighbours.stop()
        await self.fleet.stop()
        self._collect()
        failures = [exc for exc in ended if isinstance(exc, Exception)]
        if failures:
            raise ExceptionGroup("tasks of the soak failed", failures)

    def _collect(self):
        history = self.history
        history.reports = self.fleet.cloud.reports
        history.holders = self.fleet.cloud.holders
        for model in self._models:
            history.double_runs += model.memory.double_runs
            history.moved += len(model.memory.moves)
            history.broken_off |= model.broken_off
            service = self._all_services[model.name]
            for request, at in zip(model.executed_requests, model.execution_times, strict=True):
                request_id, method, target, fields, digest = request
                run = Run(
                    request_id,
                    model.name,
                    at,
                    service,
                    "kv-from" in fields,
                    "last-event-id" in fields,
                    (method, target, digest),
                )
                history.runs.append(run)

    def start_task(self, coroutine) -> None:
        """Starts a task that ends with the deployment."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    # Processes

    async def add_process(self) -> GatewayProcess:
        """Starts one more process, with limits and ports of its own."""
        number, fleet = next(self._numbers), self.fleet
        limits = draw_limits(random.Random(f"limits {self.cfg.seed} {number}"))
        process = GatewayProcess(
            number, self.cfg.directory, self.history, limits, self.neighbours.share_core
        )
        await self._start_proxy("store", fleet.add_store_view(number), number)
        self.processes[number] = process
        self._apply_cuts()
        self.busy.add(number)
        for name in list(self.services):
            if number not in self.proxies[name]:
                await self._start_proxy(name, fleet.port(name), number)
        zones = tuple(f"z{each + 1}" for each in range(self.cfg.zones))
        place, name = (number, zones[number % len(zones)], zones), f"edge-{number}"
        text = fleet.settings_text(process.ports, name, *place, **limits.settings())
        process.path.write_text(text, encoding="utf-8")
        await process.start()
        self.balancer.add(number, process.ports["frontend"], process.ports["readiness"])
        self.busy.discard(number)
        return process

    def reserve_process(self, pick: float) -> GatewayProcess | None:
        """Reserves a process without a fault in progress, None if there is none."""
        free = [process for number, process in self.processes.items() if number not in self.busy]
        if not free:
            return None
        process = free[int(pick * len(free))]
        self.busy.add(process.number)
        return process

    async def stop_process(self, process: GatewayProcess) -> None:
        """Stops a process gracefully, which may cut nothing off."""
        begin = self.now()
        await process.stop()
        self.history.planned_stops.append((process.number, begin, self.now()))
        self.history.changes.append(PlannedChange("stop", begin, self.now(), process.number))

    def hang_up(self, process: GatewayProcess) -> None:
        """Sends SIGHUP to a process after a change of its settings file, if it handles that yet."""
        if process.handles(signal.SIGHUP):
            self.change_settings(process)

    def change_settings(self, process: GatewayProcess) -> None:
        """Changes the settings file of a process and sends it SIGHUP."""
        begin = self.now()
        text = process.path.read_text(encoding="utf-8")
        process.path.write_text(f"{text}changed.at={begin}\n", encoding="utf-8")
        process.send(signal.SIGHUP)
        end = begin + AROUND_CHANGE_S
        self.history.changes.append(PlannedChange("SIGHUP", begin, end, process.number))

    async def restart(self, process: GatewayProcess, end) -> None:
        """Starts a reserved process again once an awaitable has ended it."""
        await end
        await asyncio.sleep(RESTART_S)
        await process.start()
        self.busy.discard(process.number)

    async def remove(self, process: GatewayProcess, end) -> None:
        """Ends a reserved process for good with an awaitable."""
        del self.processes[process.number]
        self._ended.append(process)
        await end
        self.balancer.remove(process.number)

    async def _supervise(self):
        """Starts processes again that ended by themselves or at a limit, as the platform does."""
        while True:
            await asyncio.sleep(SUPERVISION_S)
            for number, process in list(self.processes.items()):
                if process.has_ended and number not in self.busy:
                    self.busy.add(number)
                    await self.restart(process, asyncio.sleep(0))

    async def _watch_own_pauses(self):
        """Records when the machine is too busy for the soak itself, or for a process."""
        starved, checked_at = {}, self.now()
        while True:
            before = self.now()
            await asyncio.sleep(WATCH_S)
            if (end := self.now()) > before + WATCH_S + MAX_OWN_PAUSE_S:
                self.history.busy_spans.append((before, end))
                self.history.own_pauses.append((before, end))
            if end < checked_at + STARVED_WINDOW_S:
                continue
            now_starved = {number: each.starved_s for number, each in self.processes.items()}
            most = max(value - starved.get(number, value) for number, value in now_starved.items())
            if most > MAX_STARVED_SHARE * (end - checked_at):
                self.history.busy_spans.append((checked_at, end))
            starved, checked_at = now_starved, end

    def cut_off(self, number: int, held: Direction) -> None:
        """Cuts a process off from the others, for what it sends, receives or both."""
        self._cut_off[number] = held
        self._apply_cuts()

    def rejoin(self, number: int) -> None:
        """Ends the cut of a process."""
        self._cut_off.pop(number, None)
        self._apply_cuts()

    def set_halves(self, first: frozenset[int]) -> None:
        """Cuts some processes off from the others, both as a whole; none for no cut."""
        self._first_half = first
        self._apply_cuts()

    def _apply_cuts(self):
        for number, process in self.processes.items():
            held = {}
            for other, target in self.processes.items():
                cut = self._held_between(number, other)
                if cut and other != number:
                    held |= {port: cut for port in target.peer_ports}
            process.cut(held)

    def _held_between(self, number, other):
        """Returns what is cut between two processes, as the first one sees it."""
        theirs = self._cut_off.get(other, Direction.NONE)
        reverse = {Direction.IN: Direction.OUT, Direction.OUT: Direction.IN}
        held = self._cut_off.get(number, Direction.NONE) | reverse.get(theirs, theirs)
        if (number in self._first_half) != (other in self._first_half):
            held |= Direction.BOTH
        return held

    # Servers

    async def _start_proxy(self, name, port, process):
        proxy = Proxy(port)
        self.proxies.setdefault(name, {})[process] = proxy
        self.fleet.relay(name, await proxy.start(), process)

    async def _register(self, name, service, model):
        for process in list(self.processes):
            await self._start_proxy(name, self.fleet.port(name), process)
        self.proxies.setdefault(name, {})
        self.services[name] = self._all_services[name] = service
        model.processing_time_s, model.event_interval_s = WORK_S, PAUSE_S
        runs_many = service in POOL_PAIR or (self.cfg.partitions and service == POOL)
        model.slots = self.cfg.streams_per_engine if runs_many else SLOTS
        model.waiting_room = WAITING_ROOM
        model.hashes_bodies = True
        model.crashing_parts = frozenset((CRASHING_PART,))
        self.fleet.servers[name].on_crash = self._on_crash
        self._models.append(model)
        self._begin_serving(name)

    def _begin_serving(self, name):
        if name not in self.services:
            return  # it has been ended for good meanwhile
        service, version = self.services[name], self.fleet.servers[name].model.version
        self._serving[name] = time = ServingTime(service, version, self.now())
        self.history.serving_times.append(time)

    def _end_serving(self, name):
        time = self._serving.pop(name, None)
        if time is not None:
            time.end = self.now()

    def _on_crash(self, model, by_prompt):
        now = self.now()
        self._end_serving(model.name)
        if not by_prompt:
            self.brittle_crashes.append(now)
        else:
            self.history.prompt_crashes.append(now)
            # The engine's other requests break, and others get more of them.
            self.history.fault_spans.append((now, now + RESTART_S + RESIDUAL_EFFECT_S))
        if model.name in self.services:
            self.start_task(self._restart_server(model.name))

    async def _restart_server(self, name):
        await asyncio.sleep(SERVER_RESTART_S)
        if name in self.services:  # it has not been ended meanwhile
            await self.fleet.restart_server(name, self.services[name], 0.0)
            self._begin_serving(name)

    async def kill_server(
        self, name: str, down_s: float, draw_version: typing.Callable[[], str]
    ) -> None:
        """Kills a server's process and starts it again under its name, unless it is down already.

        Args:
          name: The server.
          down_s: How long it is down, in seconds.
          draw_version: Returns the software version that it then has.
        """
        server = self.fleet.servers[name]
        if server.has_crashed:
            return
        server.has_crashed = True
        self._end_serving(name)
        proxies = [*self.proxies[name].values()]
        for proxy in proxies:
            proxy.stop_listening()
        await server.stop(resets=False)
        await asyncio.sleep(down_s)
        if name not in self.services:
            return  # it has been ended for good meanwhile
        server.model.version = draw_version()
        await self.fleet.restart_server(name, self.services[name], 0.0)
        for proxy in proxies:
            await proxy.start()
        self._begin_serving(name)

    async def start_server(self, name: str, service: str, version: str, defect) -> None:
        """Starts a server and lists it."""
        model = await self.fleet.start_server(name, version=version, defect=defect)
        await self._register(name, service, model)
        self.fleet.list_server(name, service)

    async def stop_server(
        self, name: str, drains: bool, serving_s: float = EXTRA_SERVING_S, **notice: float
    ) -> None:
        """Ends a server, unless it is ended already.

        Args:
          name: The server.
          drains: Whether it says before that it leaves.
          serving_s: How long it serves after that, in seconds.
          notice: What its entry says of when it ends.
        """
        service = self.services.pop(name, None)
        if service is None:
            return
        self._end_serving(name)
        if drains:
            self.fleet.list_server(name, service, "draining", **notice)
            self.history.drained[name] = self.now()
            await asyncio.sleep(serving_s)
        self.fleet.unlist_server(name)
        await self.fleet.servers.pop(name).stop()

    def set_proxies(self, name: str, fault) -> None:
        """Sets the fault of all proxies before the store or a server."""
        for proxy in self.proxies[name].values():
            proxy.set(fault)

    def reset_connections(self, name: str) -> None:
        """Resets all connections to the store or a server."""
        for proxy in self.proxies[name].values():
            proxy.reset()
