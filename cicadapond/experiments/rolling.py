"""Planned stops under load: a rolling version change, then a scale-down; nothing is cut off.

Baseline: a controller that takes a server for drained at once, tells nobody, and does not see
what runs there.
"""

import attrs

from cicadapond.controller import Drains, PeerDrains
from cicadapond.experiments._fleet import MODEL, FleetWorld, Tally
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.experiments.waves import OFFERS, SLOTS, STEP_SECONDS, TOKENS, wave_intent
from cicadapond.kernel import Ok, run_virtual, seconds
from cicadapond.standin import WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming
from cicadapond.standin._engine_direct import DirectEngine

BUSY_PER_SECOND = 2.0
IDLE_PER_SECOND = 0.5
WARM_UP = seconds(300)
CHANGE_LIMIT = seconds(1800)
SCALE_DOWN = seconds(1500)


class HastyDrains(Drains):
    """Baseline: a server counts as drained at once, and nobody is told."""

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


class BlindEngine(DirectEngine):
    """Baseline: an engine whose running requests the controller does not see."""

    async def state(self):
        outcome = await super().state()
        if isinstance(outcome, Ok):
            return Ok(attrs.evolve(outcome.value, running=0))
        return outcome


@attrs.frozen
class RollingReport:
    """What one run has shown."""

    tally: Tally
    hosts_before: int
    hosts_after: int
    change_seconds: float
    least_serving: int
    old_left: int

    @property
    def lost(self) -> int:
        """Requests accepted and not answered whole."""
        return self.tally.accepted - self.tally.whole + self.tally.wrong


def run_rolling(seed: int, drains=PeerDrains, adapter=DirectEngine) -> RollingReport:
    """Changes the version under load, then lets the load fall.

    Args:
      seed: Decides everything random.
      drains: The class of the controllers' drains.
      adapter: The class through which controllers reach engines.
    """
    return run_virtual(_run_rolling(seed, drains, adapter))


async def _run_rolling(seed, drains, adapter):
    world = FleetWorld(
        seed,
        wave_intent("cheapest-mix"),
        OFFERS,
        EngineSettings(slots=SLOTS),
        EngineTiming(decode_step_seconds=STEP_SECONDS),
        weights=WeightSettings(default_size=5_000_000_000),
        drains=drains,
        adapter=adapter,
    )
    await world.start()
    await world.load(BUSY_PER_SECOND, WARM_UP, TOKENS)
    world.tally = Tally()
    before = len(world.cloud.list_hosts())
    began = world.clock.monotonic()
    _change_version(world, "2")
    least = await _load_until_changed(world, "2")
    change = (world.clock.monotonic() - began).total_seconds()
    await world.load(IDLE_PER_SECOND, SCALE_DOWN, TOKENS)
    after = len(world.cloud.list_hosts())
    old = len(world.serving("1"))
    await world.stop()
    return RollingReport(world.tally, before, after, change, least, old)


def _change_version(world, version):
    model = attrs.evolve(world.intent.models[MODEL], version=version)
    world.intent = attrs.evolve(world.intent, revision=2, models={MODEL: model})


async def _load_until_changed(world, version):
    """Loads the fleet until no engine serves another version; returns the fewest that served."""
    least = len(world.serving("1"))
    end = world.clock.monotonic() + CHANGE_LIMIT
    while world.clock.monotonic() < end:
        await world.load(BUSY_PER_SECOND, seconds(2), TOKENS)
        least = min(least, len(world.serving("1")) + len(world.serving(version)))
        if world.versions() == {version}:
            break
    return least


@experiments.register("rolling")
class RollingExperiment(Experiment):
    """A rolling version change and a scale-down, against drains that nobody is told of."""

    summary = "a version change and a scale-down under load: requests cut off"

    def run(self, seeds):
        rows = []
        ways = (
            ("as built", PeerDrains, DirectEngine),
            ("blind, drains told to nobody", HastyDrains, BlindEngine),
        )
        for title, drains, adapter in ways:
            for seed in seeds:
                rows.append((title, seed, *_cells(run_rolling(seed, drains, adapter))))
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
        report.least_serving,
        report.change_seconds,
        report.hosts_after,
        report.old_left,
    )
