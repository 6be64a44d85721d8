"""A wave: 56% of the hosts reclaimed, a whole data centre among them, starts refused 2 minutes.

Three capacity policies under the same load and the same faults: what they cost, and how long
callers wait for the first token, in quiet times and in the ten minutes from the wave on.
"""

import datetime

import attrs

from cicadapond.data import Market
from cicadapond.document import CostIntent, Intent, MachineClass, ModelIntent, PolicyIntent
from cicadapond.experiments._fleet import MODEL, POOL, FleetWorld, Tally
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.standin import CloudOffer, WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming

POLICIES = ("cheapest-mix", "on-demand-only", "cheapest-zone")
SPOT, FIRM = Market.RECLAIMABLE, Market.ON_DEMAND
SLOTS = 4
OFFERS = (
    CloudOffer("yqr", "small", SPOT, 1.0),
    CloudOffer("yxe", "small", SPOT, 1.1),
    CloudOffer("ywg", "small", SPOT, 1.2),
    *(CloudOffer(zone, "small", FIRM, 3.0) for zone in ("yqr", "yxe", "ywg")),
)
LOST_ZONE = "yqr"
LOST_SHARE = 0.56
NOTICE = seconds(30)
REFUSED = seconds(120)
REQUESTS_PER_SECOND = 4.0
FIRST_REQUESTS_PER_SECOND = 0.5
TOKENS = 10
STEP_SECONDS = 0.4
FIRST_TOKEN_TARGET = seconds(1)


@attrs.frozen
class WavePhases:
    """How long each phase lasts: few callers, all callers, the quiet time, from the wave on."""

    first: datetime.timedelta = seconds(200)
    warm_up: datetime.timedelta = seconds(900)
    quiet: datetime.timedelta = seconds(600)
    wave: datetime.timedelta = seconds(600)


@attrs.frozen
class WaveReport:
    """One run: costs per hour, and what callers saw in quiet times and from the wave on."""

    hosts: int
    reclaimed: int
    quiet_cost: float
    wave_cost: float
    quiet: Tally
    wave: Tally

    @property
    def lost(self) -> int:
        """Requests accepted and not answered whole."""
        return sum(tally.accepted - tally.whole + tally.wrong for tally in (self.quiet, self.wave))


def wave_intent(policy: str, replicas: int = 3) -> Intent:
    """Returns the document of the experiment with a capacity policy."""
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
    world = FleetWorld(
        seed,
        wave_intent(policy),
        OFFERS,
        EngineSettings(slots=SLOTS),
        EngineTiming(decode_step_seconds=STEP_SECONDS),
        weights=WeightSettings(default_size=5_000_000_000),
    )
    await world.start()
    await world.load(FIRST_REQUESTS_PER_SECOND, phases.first, TOKENS)
    await world.load(REQUESTS_PER_SECOND, phases.warm_up, TOKENS)
    quiet_cost, quiet = await _phase(world, phases.quiet)
    hosts = len(world.cloud.list_hosts())
    reclaimed = _begin_wave(world)
    world.refuse_for(REFUSED)
    wave_cost, wave = await _phase(world, phases.wave)
    await world.stop()
    return WaveReport(hosts, reclaimed, quiet_cost, wave_cost, quiet, wave)


async def _phase(world, duration):
    """Loads the fleet for a while with a tally of its own; returns the cost per hour too."""
    world.tally = Tally()
    before = world.cloud.charge()
    await world.load(REQUESTS_PER_SECOND, duration, TOKENS)
    return (world.cloud.charge() - before) * (seconds(3600) / duration), world.tally


def _begin_wave(world):
    """Reclaims the lost zone whole, and of the other zones as much as makes up the share."""
    hosts = [host for host in world.cloud.list_hosts() if host.market is SPOT]
    lost = world.cloud.wave(1.0, LOST_ZONE, NOTICE)
    others = len(hosts) - lost
    more = max(0.0, LOST_SHARE * len(hosts) - lost)
    if others and more:
        lost += world.cloud.wave(more / others, None, NOTICE)
    return lost


@experiments.register("waves")
class WavesExperiment(Experiment):
    """Cost and tail of three capacity policies through a wave."""

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
