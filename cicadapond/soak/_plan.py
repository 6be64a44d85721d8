"""Fault plans: overlapping injections drawn from a seed."""

import enum
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
# Drawn apart, so that they come beside any of the others.
STATEMENTS = (Fault.SERVER_LIMITS,)
MEAN_STATEMENT_GAP_S = 6.0
MIN_STATEMENT_S, MAX_STATEMENT_S = 4.0, 12.0
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


def make_plan(seed: int, length: float, restores: bool = False) -> list[Injection]:
    """Returns the injections of a seed during `length` seconds, in order of time.

    With `restores` the store is restored beside the other faults.
    """
    rng = random.Random(f"soak {seed}")
    # Few kinds of fault per run, so that the same ones overlap.
    apart = STATEMENTS + LONG_FAULTS + RECLAIMS + RESTORES
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
    if restores:
        rng = random.Random(f"restores {seed}")
        bounds = (MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        plan += _apart(rng, RESTORES, MEAN_RESTORE_GAP_S, bounds, length)
    return sorted(plan, key=lambda injection: injection.at)


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
