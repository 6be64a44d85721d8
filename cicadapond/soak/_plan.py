"""What is injected when: drawn from a seed, in series that overlap."""

import enum
import random

import attrs


class Fault(enum.Enum):
    """What is done to the deployment."""

    STOP = "a process is stopped as planned and started again"
    KILL = "a process is killed and started again"
    KILL_ALL = "all processes are killed at once"
    PAUSE = "a process stands still"
    HANG_UP = "a process gets SIGHUP after its settings file changed"
    STORE_DOWN = "the store refuses every call"
    STORE_SILENT = "open connections to the store go silent"
    STORE_ONE_WAY = "the store's answers do not come back"
    STORE_SLOW = "the store's answers come late"
    STORE_LOSES = "the store's answers to writes are lost"
    STORE_FORGETS = "the store loses its history"
    STORE_CLOCK = "the store's steady clock begins anew"
    CLOUD_DOWN = "the API for duties refuses every call"
    SERVER_RESET = "connections to a server are reset"
    SERVER_SILENT = "open connections to a server go silent"
    SERVER_SLOW = "a server's answers come late"
    SERVER_LEAVES = "a server leaves and another comes"
    SERVER_FAULTS = "the servers' next answers are faulty"
    CONFIGURE = "the configuration changes"
    REMOVE_KEY = "a key is taken away, and given back later"


PLANNED = (Fault.STOP, Fault.HANG_UP, Fault.SERVER_LEAVES, Fault.CONFIGURE, Fault.REMOVE_KEY)
FIRST_S = 3.0  # when all processes serve
LEAST_GAP_S, MEAN_GAP_S = 0.2, 1.6
SHORTEST_S, LONGEST_S = 0.5, 5.0


@attrs.frozen
class Injection:
    """One fault: from `at` for `duration` seconds, at the process or server that `pick` names."""

    at: float
    fault: Fault
    duration: float
    pick: float


def make_plan(seed: int, length: float) -> list[Injection]:
    """Returns what a seed injects within a time in seconds, in order."""
    rng = random.Random(f"soak {seed}")
    faults = rng.sample(list(Fault), k=rng.randint(3, 9))  # few kinds a run, so that they meet
    plan, at = [], FIRST_S
    while at < length:
        duration = rng.uniform(SHORTEST_S, LONGEST_S)
        plan.append(Injection(at, rng.choice(faults), duration, rng.random()))
        at += LEAST_GAP_S + rng.expovariate(1 / MEAN_GAP_S)
    return plan


def read_seeds(text: str) -> list[int]:
    """Returns the seeds that a flag names.

    Raises:
      ValueError: If it names none.
    """
    first, dash, last = text.partition("-")
    if dash:
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in text.split(",")]
