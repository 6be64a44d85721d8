"""A reclaim wave: 56% of the reclaimable hosts, including all in one zone; no starts for 2 minutes.

Compares three capacity policies under the same load and faults: their cost, and the time to the
first token, under normal conditions and in the ten minutes from the start of the wave.
"""

import datetime

import attrs

from cicadapond.data import Market
from cicadapond.document import CostIntent, Intent, MachineClass, ModelIntent, PolicyIntent
from cicadapond.experiments._fleet import MODEL, POOL, FleetSimulation, Tally
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.standin import CloudOffer, WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming

POLICIES = ("cheapest-mix", "on-demand-only", "cheapest-zone")
RECLAIMABLE, ON_DEMAND = Market.RECLAIMABLE, Market.ON_DEMAND
SLOTS = 4
OFFERS = (
    CloudOffer("yqr", "small", RECLAIMABLE, 1.0),
    CloudOffer("yxe", "small", RECLAIMABLE, 1.1),
    CloudOffer("ywg", "small", RECLAIMABLE, 1.2),
    *(CloudOffer(zone, "small", ON_DEMAND, 3.0) for zone in ("yqr", "yxe", "ywg")),
)
RECLAIMED_ZONE = "yqr"
RECLAIMED_SHARE = 0.56
NOTICE_PERIOD = seconds(30)
START_REFUSAL_PERIOD = seconds(120)
REQUESTS_PER_SECOND = 4.0
RAMP_UP_REQUESTS_PER_SECOND = 0.5
MEAN_ANSWER_TOKENS = 10
DECODE_STEP_SECONDS = 0.4
FIRST_TOKEN_TARGET = seconds(1)


@attrs.frozen
class WavePhases:
    """Durations of the phases: low load, full load, measurement before the wave, and after it."""

    ramp_up: datetime.timedelta = seconds(200)
    warm_up: datetime.timedelta = seconds(900)
    quiet: datetime.timedelta = seconds(600)
    wave: datetime.timedelta = seconds(600)


@attrs.frozen
class WaveReport:
    """Results of one run: cost per hour and callers' tallies, before the wave and from it on."""

    hosts: int
    reclaimed: int
    quiet_cost: float
    wave_cost: float
    quiet: Tally
    wave: Tally

    @property
    def lost(self) -> int:
        """Requests accepted but not answered completely and correctly."""
        return sum(
            tally.accepted - tally.completed + tally.wrong for tally in (self.quiet, self.wave)
        )


def wave_intent(policy: str, replicas: int = 3) -> Intent:
    """Returns the experiment's document with the given capacity policy."""
    return Intent(
        1,
        models={
            MODEL: ModelIntent(POOL, "1", replicas=replicas, first_token_target=FIRST_TOKEN_TARGET)
        },
        cost=CostIntent(
            zones=("yqr", "yxe", "ywg"), machine_classes={"small": MachineClass(slots=SLOTS)}
        ),
        policies=PolicyIntent(capacity=policy),
    )


def run_wave(seed: int, policy: str, phases: WavePhases | None = None) -> WaveReport:
    """Runs one policy through the wave."""
    return run_virtual(_run_wave(seed, policy, phases or WavePhases()))


async def _run_wave(seed, policy, phases):
    world = FleetSimulation(
        seed,
        wave_intent(policy),
        OFFERS,
        EngineSettings(slots=SLOTS),
        EngineTiming(decode_step_seconds=DECODE_STEP_SECONDS),
        weights=WeightSettings(default_size=5_000_000_000),
    )
    await world.start()
    await world.load(RAMP_UP_REQUESTS_PER_SECOND, phases.ramp_up, MEAN_ANSWER_TOKENS)
    await world.load(REQUESTS_PER_SECOND, phases.warm_up, MEAN_ANSWER_TOKENS)
    quiet_cost, quiet = await _run_phase(world, phases.quiet)
    hosts = len(world.cloud.list_hosts())
    reclaimed = _reclaim_hosts(world)
    world.refuse_starts(START_REFUSAL_PERIOD)
    wave_cost, wave = await _run_phase(world, phases.wave)
    await world.stop()
    return WaveReport(hosts, reclaimed, quiet_cost, wave_cost, quiet, wave)


async def _run_phase(world, duration):
    """Runs load with a new tally; returns the cost per hour and the tally."""
    world.tally = Tally()
    before = world.cloud.settle_cost()
    await world.load(REQUESTS_PER_SECOND, duration, MEAN_ANSWER_TOKENS)
    return (world.cloud.settle_cost() - before) * (seconds(3600) / duration), world.tally


def _reclaim_hosts(world):
    """Reclaims one zone's reclaimable hosts, and enough elsewhere to reach the share."""
    hosts = [host for host in world.cloud.list_hosts() if host.market is RECLAIMABLE]
    reclaimed = world.cloud.reclaim_share(1.0, RECLAIMED_ZONE, NOTICE_PERIOD)
    other_hosts = len(hosts) - reclaimed
    shortfall = max(0.0, RECLAIMED_SHARE * len(hosts) - reclaimed)
    if other_hosts and shortfall:
        reclaimed += world.cloud.reclaim_share(shortfall / other_hosts, None, NOTICE_PERIOD)
    return reclaimed


@experiments.register("waves")
class WavesExperiment(Experiment):
    """Compares cost and tail latency of three capacity policies during a reclaim wave."""

    summary = "56% of the hosts reclaimed and starts refused 2 minutes, three capacity policies"

    def run(self, seeds):
        rows = []
        for policy in POLICIES:
            for seed in seeds:
                rows.append((policy, seed, *_cells(run_wave(seed, policy))))
        columns = (
            "policy",
            "seed",
            "hosts",
            "reclaimed",
            "quiet cost/h",
            "quiet p95 s",
            "wave cost/h",
            "wave p50 s",
            "wave p95 s",
            "wave p99 s",
            "not answered whole",
            "tokens recomputed",
        )
        return (Table("A wave under three capacity policies", columns, tuple(rows)),)


def _cells(report):
    quiet, wave = report.quiet, report.wave
    return (
        report.hosts,
        report.reclaimed,
        report.quiet_cost,
        quiet.quantile(0.95),
        report.wave_cost,
        wave.quantile(0.5),
        wave.quantile(0.95),
        wave.quantile(0.99),
        report.lost,
        wave.recomputed_tokens,
    )
