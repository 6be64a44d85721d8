"""Runs one soak: starts a deployment and its callers, and injects the planned faults."""

import asyncio
import random

from cicadapond.soak._callers import CallerLoop, ResumingCaller
from cicadapond.soak._checks import RECOVERY_S, RESIDUAL_EFFECT_S, check
from cicadapond.soak._costly_answers import compare_times
from cicadapond.soak._deployment import Deployment
from cicadapond.soak._injections import FaultInjector
from cicadapond.soak._partitions import PartitionInjector
from cicadapond.soak._plan import CUTS_NOTHING, RESTORES, Injection, SoakSettings, make_plan
from cicadapond.soak._planned import ChangeInjector
from cicadapond.soak._records import History, Violation
from cicadapond.soak._requests import STREAM_WEIGHTS, WEIGHTS
from cicadapond.soak._rollouts import RolloutLoop

FAULT_FREE_S = RECOVERY_S + 3.0


class Soak:
    """A deployment under a fault plan.

    Args:
      cfg: The soak's settings.
    """

    def __init__(self, cfg: SoakSettings):
        self.history = History()
        self._cfg = cfg
        self._deployment = Deployment(cfg, self.history)
        kinds = (FaultInjector, ChangeInjector, PartitionInjector)
        self._injectors = tuple(kind(self._deployment) for kind in kinds)

    async def run(self) -> None:
        """Runs the plan and a fault-free period after it, and fills the history."""
        deployment, cfg = self._deployment, self._cfg
        injected = []
        try:
            await deployment.start()
            self._start_callers()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            if cfg.rolls_out:
                rng = random.Random(f"rollouts {cfg.seed}")
                servers = (deployment.start_server, deployment.stop_server)
                rollouts = RolloutLoop(deployment.fleet, rng, self.history, *servers)
                injected.append(asyncio.ensure_future(rollouts.run(started_at + cfg.length)))
            for injection in make_plan(cfg.seed, cfg.length, cfg.restores, cfg.partitions):
                await asyncio.sleep(max(0.0, started_at + injection.at - loop.time()))
                injected.append(asyncio.ensure_future(self._inject(injection)))
            await asyncio.gather(*injected)
            self.history.faults_ended_at = loop.time()
            await asyncio.sleep(FAULT_FREE_S)
            ready = deployment.balancer.ready()
            self.history.not_ready = sorted(set(deployment.processes) - set(ready))
            if cfg.compares_times:
                await compare_times(deployment)
        finally:
            # Those in progress when one fails would still start servers.
            for task in injected:
                task.cancel()
            await asyncio.gather(*injected, return_exceptions=True)
            await deployment.stop()

    def _start_callers(self):
        deployment = self._deployment
        weights = [WEIGHTS] * self._cfg.callers + [STREAM_WEIGHTS] * self._cfg.stream_callers
        for number, each in enumerate(weights):
            name = f"s{self._cfg.seed}-c{number}"
            rng = random.Random(name)
            caller = CallerLoop(
                name, deployment.balancer, deployment.operator, self.history, rng, each
            )
            deployment.start_task(caller.run())
        for number in range(self._cfg.resuming_callers):
            name = f"s{self._cfg.seed}-r{number}"
            caller = ResumingCaller(
                name,
                deployment.balancer,
                deployment.operator,
                self.history,
                random.Random(name),
                disturbed=deployment.disturbed,
            )
            deployment.start_task(caller.run())

    async def _inject(self, injection: Injection):
        loop = asyncio.get_running_loop()
        begin, name = loop.time(), f"inject_{injection.fault.name.lower()}"
        injector = next(each for each in self._injectors if hasattr(each, name))
        await getattr(injector, name)(injection)
        if injection.fault not in CUTS_NOTHING + RESTORES:
            self.history.fault_spans.append((begin, loop.time() + RESIDUAL_EFFECT_S))


async def run_soak(cfg: SoakSettings) -> tuple[History, list[Violation]]:
    """Runs one soak; returns its history and all violations found."""
    soak = Soak(cfg)
    await soak.run()
    return soak.history, check(soak.history)
