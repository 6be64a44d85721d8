"""Fault plans: overlapping injections drawn from a seed."""

import enum
import pathlib
import random

import attrs


class Fault(enum.Enum):
    """Faults and planned changes that a soak injects."""

    STOP = "a process is stopped gracefully and restarted"
    KILL = "a process is killed and restarted"
    KILL_ALL = "all processes are killed at once and restarted"
    PAUSE = "a process is suspended with SIGSTOP, then resumed"
    HANG_UP = "a process gets SIGHUP after a change of its settings file"
    STORE_DOWN = "the store refuses every call"
    STORE_SILENT = "open connections to the store stop delivering, without being closed"
    STORE_ONE_WAY = "the store receives calls, but its answers are not delivered"
    STORE_SLOW = "traffic of the store is delayed"
    STORE_LOSES = "the store's answers to writes are lost"
    STORE_FORGETS = "the store discards its change history"
    STORE_CLOCK = "the store's monotonic clock is set back"
    CLOUD_DOWN = "the duty API refuses every call"
    SERVER_RESET = "connections to a server are reset"
    SERVER_SILENT = "open connections to a server stop delivering, without being closed"
    SERVER_SLOW = "traffic of a server is delayed"
    SERVER_LEAVES = "a server is drained and replaced by another"
    SERVER_FAULTS = "the servers' next answers are faulty"
    CONFIGURE = "a new configuration revision is published"
    REMOVE_KEY = "an API key is removed, and a new one is added later"
    SERVER_LIMITS = "a server states a rate limit for a while"
    LINKS_LOST = "a process is cut off from all servers"
    SERVER_HOLDS = "a sound server is silent for a second or more, and goes on"
    CRASHING_PROMPTS = "prompts with one part crash each engine that begins to answer them"
    ENGINE_RECLAIMED = "an engine is withdrawn with short notice, and its streams are moved"
    BRITTLE = "the servers let nobody wait, and crash if they turn too many requests away"
    STORE_RESTORED = "the store is away for a moment and comes back from a copy some seconds old"
    CHANGE = "a configuration changes routes, accounts or limits"
    CHANGES = "configurations change them in quick succession"
    HANG_UPS = "processes get SIGHUP one after the other, some twice"
    ROLL = "processes are stopped and restarted one after the other"
    JOIN = "a process is added"
    RETIRE = "a process is stopped for good"
    LOSE = "a process is killed for good"
    SERVER_KILLED = "a server's process is killed and started again, with another version"
    REPLACE = "a process is added and another one is stopped for good"
    EARLY_HANG_UP = "a process is restarted, and gets SIGHUP while it starts"
    ENDLESS_ANSWERS = "many requests at once are at servers that send without end"
    CUT_OFF = "a process is cut off from the other processes"
    CUT_IN = "a process receives nothing from the other processes"
    CUT_OUT = "what a process sends to the other processes does not arrive"
    CUT_HUB = "the hub of a data centre is cut off from the other processes"
    CUT_HALVES = "half of the processes are cut off from the other half"
    CUT_STORE = "a process is cut off from the store"
    CUT_ALL = "a process is cut off from the store and from the other processes"
    LONG_PAUSE = "a process is suspended for some seconds, then resumed"
    VERSION_JOINS = "engines of another software version join, and may leave soon"
    VERSION_RESTARTS = "engines restart under their names with another software version"
    STARTS_UNSTATED = "servers do not say when they started"


PLANNED = (
    Fault.STOP,
    Fault.HANG_UP,
    Fault.SERVER_LEAVES,
    Fault.CONFIGURE,
    Fault.REMOVE_KEY,
    Fault.SERVER_LIMITS,
    Fault.SERVER_HOLDS,
    Fault.ENGINE_RECLAIMED,
)
# Drawn apart, in each run.
CHANGES = (
    *(Fault.CHANGE,) * 6,
    *(Fault.CHANGES,) * 2,
    Fault.HANG_UPS,
    Fault.ROLL,
    Fault.JOIN,
    Fault.RETIRE,
    Fault.REPLACE,
)
MEAN_CHANGE_GAP_S = 1.2
MIN_CHANGES_S, MAX_CHANGES_S = 0.5, 3.0
EARLY = (Fault.EARLY_HANG_UP,)
MEAN_EARLY_GAP_S = 6.0
ENDLESS = (Fault.ENDLESS_ANSWERS,)
MEAN_ENDLESS_GAP_S = 10.0
MIN_ENDLESS_S, MAX_ENDLESS_S = 4.0, 6.0
# Cuts between processes excuse nothing.  What a process without the store, or a suspended one, may
# fail to do is recorded with its process.
PARTITIONS = (
    Fault.CUT_OFF,
    Fault.CUT_IN,
    Fault.CUT_OUT,
    Fault.CUT_HUB,
    Fault.CUT_HALVES,
    Fault.CUT_STORE,
    Fault.CUT_ALL,
    Fault.LONG_PAUSE,
)
MEAN_PARTITION_GAP_S = 5.0
MIN_PARTITION_S, MAX_PARTITION_S = 3.0, 8.0
VERSIONS = (Fault.VERSION_JOINS, Fault.VERSION_RESTARTS)
MEAN_VERSION_GAP_S = 3.0
MIN_VERSION_S, MAX_VERSION_S = 3.0, 12.0
# Drawn apart, beside the partitions.
UNSTATED = (Fault.STARTS_UNSTATED,)
MEAN_UNSTATED_GAP_S = 9.0
# What may cut nobody else's requests off.
CUTS_NOTHING = PLANNED + CHANGES + ENDLESS + EARLY + PARTITIONS + VERSIONS + UNSTATED
# Of these seeds, one is without unplanned faults.
PLANNED_ONLY_EVERY = 3
# Drawn apart, so that they come beside any of the others.
STATEMENTS = (Fault.SERVER_LIMITS,)
MEAN_STATEMENT_GAP_S = 6.0
MIN_STATEMENT_S, MAX_STATEMENT_S = 4.0, 12.0
LOSSES = (Fault.LOSE, Fault.SERVER_KILLED, Fault.SERVER_KILLED)
MEAN_LOSS_GAP_S = 6.0
RECLAIMS = (Fault.ENGINE_RECLAIMED,)
MEAN_RECLAIM_GAP_S = 2.5
MIN_NOTICE_S, MAX_NOTICE_S = 0.3, 0.9  # shorter than what the streams say to last
# Drawn apart, a few kinds in each run.
LONG_FAULTS = (Fault.LINKS_LOST, Fault.SERVER_HOLDS, Fault.CRASHING_PROMPTS, Fault.BRITTLE)
MEAN_LONG_FAULT_GAP_S = 7.0
MIN_LONG_FAULT_S, MAX_LONG_FAULT_S = 6.0, 10.0
# Drawn apart, and only where they are asked for.
RESTORES = (Fault.STORE_RESTORED,)
MEAN_RESTORE_GAP_S = 8.0
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 0.5, 6.0
FIRST_FAULT_S = 3.0  # leaves time for all processes to start serving
MIN_GAP_S, MEAN_GAP_S = 0.2, 1.6
MIN_DURATION_S, MAX_DURATION_S = 0.5, 5.0


@attrs.frozen
class Injection:
    """One fault that starts `at` seconds into the run.

    `duration` is in seconds; `pick`, in [0, 1), selects the process or server among those
    available.
    """

    at: float
    fault: Fault
    duration: float
    pick: float


@attrs.frozen
class SoakSettings:
    """Settings of one soak.

    Attributes:
      seed: Seed of the fault plan, the limits and the callers.
      length: Period during which faults are injected, in seconds.
      directory: Where the processes' settings and logs are written.
      processes: Number of gateway processes at the beginning.
      callers: Number of callers that send plain requests and short streams.
      restores: Whether the store is restored from older copies.
      stream_callers: Number of callers that send mostly long streams.
      endless_requests: How many requests at least are at servers that send without end at once; up
        to twice as many are.
      neighbours: How many busy processes share a core with the gateway processes, which then all
        share one; with none, each takes whichever core is free.
      compares_times: Whether times are compared with and without costly answers in the end.
      streams_per_engine: How many streams an engine for long ones runs at once.
      zones: Number of data centres, over which the processes are spread.
      partitions: Whether processes are cut off from each other or suspended for seconds, while
        engines of several software versions come and go; versions are not rolled out then.
      resuming_callers: Number of callers that leave streams and take them up at other processes.
    """

    seed: int
    length: float
    directory: pathlib.Path
    processes: int = 3
    callers: int = 8
    restores: bool = False
    stream_callers: int = 12
    endless_requests: int = 60
    streams_per_engine: int = 64
    neighbours: int = 0
    compares_times: bool = False
    zones: int = 1
    partitions: bool = False
    resuming_callers: int = 0

    @property
    def is_planned_only(self) -> bool:
        """Whether there are planned changes only, so that nothing excuses a cut."""
        return is_planned_only(self.seed) and not self.restores

    @property
    def rolls_out(self) -> bool:
        """Whether versions are rolled out, which half of the other seeds do."""
        return self.seed % 2 == 0 and not self.is_planned_only and not self.partitions


def is_planned_only(seed: int) -> bool:
    """Returns whether a seed injects planned changes only."""
    return seed % PLANNED_ONLY_EVERY == 0


def make_plan(
    seed: int, length: float, restores: bool = False, partitions: bool = False
) -> list[Injection]:
    """Returns the injections of a seed during `length` seconds, in order of time.

    With `restores` the store is restored beside the other faults; with `partitions` processes are
    cut off from each other, and software versions come and go.
    """
    plan = _planned_changes(seed, length)
    if partitions:
        rng = random.Random(f"partitions {seed}")
        bounds = (MIN_PARTITION_S, MAX_PARTITION_S)
        plan += _apart(rng, PARTITIONS, MEAN_PARTITION_GAP_S, bounds, length)
        rng = random.Random(f"versions {seed}")
        bounds = (MIN_VERSION_S, MAX_VERSION_S)
        plan += _apart(rng, VERSIONS, MEAN_VERSION_GAP_S, bounds, length)
        rng = random.Random(f"unstated {seed}")
        plan += _apart(rng, UNSTATED, MEAN_UNSTATED_GAP_S, bounds, length)
    if restores or not is_planned_only(seed):
        plan += _other_injections(seed, length, restores)
    return sorted(plan, key=lambda injection: injection.at)


def _planned_changes(seed, length):
    changes = random.Random(f"changes {seed}")
    bounds = (MIN_CHANGES_S, MAX_CHANGES_S)
    plan = _apart(changes, CHANGES, MEAN_CHANGE_GAP_S, bounds, length)
    endless = random.Random(f"endless {seed}")
    bounds = (MIN_ENDLESS_S, MAX_ENDLESS_S)
    plan += _apart(endless, ENDLESS, MEAN_ENDLESS_GAP_S, bounds, length)
    early = random.Random(f"early {seed}")
    plan += _apart(early, EARLY, MEAN_EARLY_GAP_S, (0.0, 1.0), length)
    if is_planned_only(seed):
        planned = random.Random(f"planned {seed}")
        bounds = (MIN_DURATION_S, MAX_DURATION_S)
        kinds = tuple(fault for fault in PLANNED if fault not in RECLAIMS)
        plan += _apart(planned, kinds, MEAN_GAP_S, bounds, length)
    return plan


def _other_injections(seed, length, restores):
    rng = random.Random(f"soak {seed}")
    # Few kinds of fault per run, so that the same ones overlap.
    apart = STATEMENTS + LONG_FAULTS + RECLAIMS + RESTORES + CHANGES + ENDLESS + EARLY + LOSSES
    apart += PARTITIONS + VERSIONS + UNSTATED
    faults = [fault for fault in Fault if fault not in apart]
    faults = rng.sample(faults, k=rng.randint(3, 9))
    plan, at = [], FIRST_FAULT_S
    while at < length:
        duration = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        plan.append(Injection(at, rng.choice(faults), duration, rng.random()))
        at += MIN_GAP_S + rng.expovariate(1 / MEAN_GAP_S)
    statements = random.Random(f"statements {seed}")
    bounds = (MIN_STATEMENT_S, MAX_STATEMENT_S)
    plan += _apart(statements, STATEMENTS, MEAN_STATEMENT_GAP_S, bounds, length)
    reclaims = random.Random(f"reclaims {seed}")
    bounds = (MIN_NOTICE_S, MAX_NOTICE_S)
    plan += _apart(reclaims, RECLAIMS, MEAN_RECLAIM_GAP_S, bounds, length)
    long_faults = random.Random(f"long faults {seed}")
    kinds = long_faults.sample(LONG_FAULTS, k=2)
    bounds = (MIN_LONG_FAULT_S, MAX_LONG_FAULT_S)
    plan += _apart(long_faults, kinds, MEAN_LONG_FAULT_GAP_S, bounds, length)
    losses = random.Random(f"losses {seed}")
    plan += _apart(losses, LOSSES, MEAN_LOSS_GAP_S, bounds, length)
    if restores:
        rng = random.Random(f"restores {seed}")
        bounds = (MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        plan += _apart(rng, RESTORES, MEAN_RESTORE_GAP_S, bounds, length)
    return plan


def _apart(rng, faults, mean_gap, durations, length):
    plan, at = [], rng.expovariate(1 / mean_gap)
    while at < length:
        plan.append(Injection(at, rng.choice(faults), rng.uniform(*durations), rng.random()))
        at += rng.expovariate(1 / mean_gap)
    return plan


def parse_seeds(text: str) -> list[int]:
    """Parses seeds given as "3", "1,5" or a range "2-4".

    Raises:
      ValueError: If the text is none of these.
    """
    first, dash, last = text.partition("-")
    if dash:
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in text.split(",")]
