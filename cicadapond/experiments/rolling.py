"""Planned stops under load: a rolling version change, then a scale-down; no request is cut off.

Baseline: a controller that treats a server as drained immediately, does not announce the drain,
and does not see the requests that run there.
"""

import attrs

from cicadapond.controller import Drains, PeerDrains
from cicadapond.experiments._fleet import MODEL, FleetSimulation, Tally
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.experiments.waves import (
    DECODE_STEP_SECONDS,
    MEAN_ANSWER_TOKENS,
    OFFERS,
    SLOTS,
    wave_intent,
)
from cicadapond.kernel import Ok, run_virtual, seconds
from cicadapond.standin import WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming
from cicadapond.standin._engine_direct import DirectEngine

BUSY_PER_SECOND = 2.0
IDLE_PER_SECOND = 0.5
WARM_UP = seconds(300)
CHANGE_LIMIT = seconds(1800)
SCALE_DOWN = seconds(1500)


class ImmediateDrains(Drains):
    """Baseline: a server counts as drained immediately, and the drain is not announced."""

    def __init__(self, zone, peers, clock):
        self._servers = set()

    def begin(self, server):
        self._servers.add(server)

    def end(self, server):
        self._servers.discard(server)

    def draining(self):
        return self._servers

    def may_stop(self, server):
        return server in self._servers

    def in_flight(self, server):
        return 0


class IdleReportingEngine(DirectEngine):
    """Baseline: an engine that reports no running requests to the controller."""

    async def state(self):
        outcome = await super().state()
        if isinstance(outcome, Ok):
            return Ok(attrs.evolve(outcome.value, running=0))
        return outcome


@attrs.frozen
class RollingReport:
    """The results of one run."""

    tally: Tally
    hosts_before: int
    hosts_after: int
    change_seconds: float
    fewest_serving: int
    old_version_serving: int

    @property
    def lost(self) -> int:
        """Requests accepted but not answered completely and correctly."""
        return self.tally.accepted - self.tally.completed + self.tally.wrong


def run_rolling(seed: int, drains_class=PeerDrains, adapter_class=DirectEngine) -> RollingReport:
    """Changes the version under load, then reduces the load.

    Args:
      seed: Seed of all random choices.
      drains_class: The class of the controllers' drains.
      adapter_class: The class through which controllers reach engines.
    """
    return run_virtual(_run_rolling(seed, drains_class, adapter_class))


async def _run_rolling(seed, drains_class, adapter_class):
    world = FleetSimulation(
        seed,
        wave_intent("cheapest-mix"),
        OFFERS,
        EngineSettings(slots=SLOTS),
        EngineTiming(decode_step_seconds=DECODE_STEP_SECONDS),
        weights=WeightSettings(default_size=5_000_000_000),
        drains_class=drains_class,
        adapter_class=adapter_class,
    )
    await world.start()
    await world.load(BUSY_PER_SECOND, WARM_UP, MEAN_ANSWER_TOKENS)
    world.tally = Tally()
    before = len(world.cloud.list_hosts())
    began = world.clock.monotonic()
    _change_version(world, "2")
    fewest = await _load_until_changed(world, "2")
    change = (world.clock.monotonic() - began).total_seconds()
    await world.load(IDLE_PER_SECOND, SCALE_DOWN, MEAN_ANSWER_TOKENS)
    after = len(world.cloud.list_hosts())
    old = len(world.serving("1"))
    await world.stop()
    return RollingReport(world.tally, before, after, change, fewest, old)


def _change_version(world, version):
    model = attrs.evolve(world.intent.models[MODEL], version=version)
    world.intent = attrs.evolve(world.intent, revision=2, models={MODEL: model})


async def _load_until_changed(world, version):
    """Runs load until all engines have the version; returns the fewest that served meanwhile."""
    fewest = len(world.serving("1"))
    end = world.clock.monotonic() + CHANGE_LIMIT
    while world.clock.monotonic() < end:
        await world.load(BUSY_PER_SECOND, seconds(2), MEAN_ANSWER_TOKENS)
        fewest = min(fewest, len(world.serving("1")) + len(world.serving(version)))
        if world.versions() == {version}:
            break
    return fewest


@experiments.register("rolling")
class RollingExperiment(Experiment):
    """Compares announced drains with unannounced ones in a version change and a scale-down."""

    summary = "a version change and a scale-down under load: requests cut off"

    def run(self, seeds):
        rows = []
        variants = (
            ("as built", PeerDrains, DirectEngine),
            ("blind, drains told to nobody", ImmediateDrains, IdleReportingEngine),
        )
        for title, drains_class, adapter_class in variants:
            for seed in seeds:
                rows.append((title, seed, *_cells(run_rolling(seed, drains_class, adapter_class))))
        columns = (
            "way",
            "seed",
            "accepted",
            "cut off",
            "lost",
            "hosts before",
            "fewest serving",
            "change took s",
            "hosts after",
            "old version left",
        )
        return (Table("Planned stops under load", columns, tuple(rows)),)


def _cells(report):
    return (
        report.tally.accepted,
        report.tally.cut_off,
        report.lost,
        report.hosts_before,
        report.fewest_serving,
        report.change_seconds,
        report.hosts_after,
        report.old_version_serving,
    )
