"""Injects planned changes of a soak that come in series, and answers without end."""

import asyncio
import contextlib
import random

from cicadapond.platform.standin import Caller
from cicadapond.soak._deployment import RESTART_S, Deployment
from cicadapond.soak._operator import ENDLESS_PREFIXES, Change
from cicadapond.soak._plan import Injection
from cicadapond.soak._records import PlannedChange

MIN_STEP_S, MAX_STEP_S = 0.0, 0.4
MAX_CHANGES = 12
MAX_ROLL_STEPS = 8
HANG_UP_GAP_S = 0.15
# Of the processes at the beginning, so many may be missing or added.
MAX_DIFFERENCE = 2
ENDLESS_DEADLINE_MS = 5000
# A process gets SIGHUP so long after an interpreter has run beside it, and up to how much later, as
# multiples of the time that this took.
EARLY_FACTOR, EARLY_SPREAD = 0.5, 1.0


class ChangeInjector:
    """Injects planned changes: `inject_NAME` for each `Fault` that is one and not a single stop.

    Args:
      deployment: What they are injected into.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._rng = random.Random(f"planned {deployment.cfg.seed}")
        self._count = 0

    async def inject_change(self, injection: Injection) -> None:
        """Writes one changed configuration."""
        self._deployment.operator.change(self._rng.choice(list(Change)))

    async def inject_changes(self, injection: Injection) -> None:
        """Writes several, some at once and some with pauses."""
        for _ in range(self._rng.randint(2, MAX_CHANGES)):
            self._deployment.operator.change(self._rng.choice(list(Change)))
            await asyncio.sleep(self._rng.choice((0.0, self._rng.uniform(MIN_STEP_S, MAX_STEP_S))))

    async def inject_hang_ups(self, injection: Injection) -> None:
        """Sends SIGHUP to processes, one after the other."""
        for number in self._rng.choices(list(self._deployment.processes), k=4):
            process = self._deployment.processes.get(number)
            if process is not None and number not in self._deployment.busy:
                self._deployment.hang_up(process)
            await asyncio.sleep(HANG_UP_GAP_S)

    async def inject_roll(self, injection: Injection) -> None:
        """Stops and restarts half of the processes or more, one or a few at a time."""
        count = len(self._deployment.processes)
        at_once = 1 + count // MAX_ROLL_STEPS
        for _ in range(0, self._rng.randint((count + 1) // 2, count), at_once):
            await asyncio.gather(*(self._restart_one() for _ in range(at_once)))

    async def _restart_one(self):
        process = self._deployment.reserve_process(self._rng.random())
        if process is not None:
            await self._deployment.restart(process, self._deployment.stop_process(process))

    async def inject_early_hang_up(self, injection: Injection) -> None:
        """Restarts a process and changes its settings while it starts.

        What the interpreter needs to run a first line is measured by another one that is started
        beside it, as no process can take a signal before.
        """
        deployment = self._deployment
        process = deployment.reserve_process(injection.pick)
        if process is None:
            return
        await deployment.stop_process(process)
        await asyncio.sleep(RESTART_S)
        begin = deployment.now()
        await process.start()
        await deployment.neighbours.run_interpreter()
        started = deployment.now() - begin
        await asyncio.sleep(started * (EARLY_FACTOR + injection.duration * EARLY_SPREAD))
        deployment.change_settings(process)
        deployment.history.early_changes += 1
        deployment.busy.discard(process.number)

    async def inject_join(self, injection: Injection) -> None:
        """Adds a process."""
        if len(self._deployment.processes) < self._deployment.cfg.processes + MAX_DIFFERENCE:
            await self._deployment.add_process()

    async def inject_retire(self, injection: Injection) -> None:
        """Stops a process for good, unless too many are missing."""
        await self._remove(injection, self._deployment.stop_process)

    async def inject_lose(self, injection: Injection) -> None:
        """Kills a process for good, unless too many are missing."""
        await self._remove(injection, lambda process: process.kill())

    async def inject_replace(self, injection: Injection) -> None:
        """Adds a process at other ports and stops another one for good."""
        await self._deployment.add_process()
        await self._remove(injection, self._deployment.stop_process)

    async def _remove(self, injection, end):
        deployment = self._deployment
        if len(deployment.processes) <= max(2, deployment.cfg.processes - MAX_DIFFERENCE):
            return
        process = deployment.reserve_process(injection.pick)
        if process is not None:
            await deployment.remove(process, end(process))

    async def inject_endless_answers(self, injection: Injection) -> None:
        """Sends many requests at once to servers whose answers do not end, by one process."""
        deployment = self._deployment
        ready = deployment.balancer.ready()
        if not ready:
            return
        number = ready[int(injection.pick * len(ready))]
        begin = deployment.now()
        port = deployment.balancer.port(number)
        count = round(deployment.cfg.endless_requests * self._rng.uniform(1.0, 2.0))
        deployment.history.endless_requests += count
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                self._count += 1
                group.create_task(self._ask(port, f"endless-{self._count}", injection.duration))
        span = (begin, deployment.now())
        deployment.history.changes.append(PlannedChange("endless answers", *span))

    async def _ask(self, port, request_id, seconds):
        caller = Caller(port)
        headers = {"x_cicadapond_deadline_ms": str(ENDLESS_DEADLINE_MS)}
        prefix = ENDLESS_PREFIXES[self._count % 2]
        if prefix == ENDLESS_PREFIXES[1]:
            headers["x_cicadapond_token_count"] = "100,20"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                await caller.send(request_id, prefix + "x", body=b"prompt", **headers)
                await caller.read_response()
        caller.abort()
