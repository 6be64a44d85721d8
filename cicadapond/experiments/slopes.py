"""Cost of membership for each process, by the number of members and of backend servers.

Real sockets on loopback, with all members in one process on one event loop: the processor time
divided by the number of members is the time of one, as long as one core can run them all, which
is up to about 60.  docs/CAPACITY.md has the figures that these slopes give at the target size.
"""

import asyncio
import contextlib
import gc
import random
import socket
import time
import tracemalloc

import attrs

from cicadapond.data import Endpoint, LoadReport
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import LoopClock, Metrics, TaskGroup, seconds
from cicadapond.peer import Digest, PeerSettings, PeerTask, TcpTransport, owner

LOOPBACK = "127.0.0.1"
PORT_RANGE = (24_000, 25_000)
SETTLE_TIME = seconds(15)
TRACED_SETTLE_TIME = seconds(45)  # tracing allocations takes about three times the processor time
MEASUREMENT_TIME = seconds(10)
PUBLISH_INTERVAL = seconds(1)
IN_FLIGHT_PER_SERVER = 5
CHANGES_PER_SERVER_SECOND = 0.53  # request starts and ends: 6,900/s over 420 processes, 60 servers
SLOTS = 256
LAG_PROBE_INTERVAL = seconds(0.25)
MAX_MEAN_LAG = seconds(0.5)  # half a heartbeat interval; a later loop is saturated
MAX_LOAD_STEP = 16  # the largest change of an engine's running requests in a second


@attrs.frozen
class Case:
    """One size: data centres, members in each, backend servers in each."""

    zones: int
    members: int
    servers: int


@attrs.frozen
class Cost:
    """Costs of one process: CPU share, bytes and messages per second, and bytes of memory."""

    cpu: float
    sent: float
    received: float
    messages: float
    memory: float


class _Member:
    """The membership of one process with a synthetic load."""

    def __init__(self, name, zone, cfg, servers, rng):
        self.metrics = Metrics()
        self.clock = LoopClock()
        self.name = name
        self.zone = zone
        self.servers = servers
        self.rng = rng
        self.in_flight = dict.fromkeys(servers, IN_FLIGHT_PER_SERVER)
        self.running = dict.fromkeys(servers, SLOTS // 2)
        self.peer = PeerTask(cfg, TcpTransport(self.metrics), self.clock, self.metrics, rng)

    def watched(self, entries):
        return [name for name in self.servers if owner(name, entries) == self.name]

    def update_counts(self):
        """Changes in-flight counts at the rate of real requests starting and ending."""
        for name in self.servers:
            if self.rng.random() < CHANGES_PER_SERVER_SECOND:
                step = self.rng.choice((-1, 1))
                self.in_flight[name] = min(max(self.in_flight[name] + step, 1), SLOTS)

    def publish(self, watched):
        loads = {}
        for name in watched:
            changed = self.running[name] + self.rng.randint(-MAX_LOAD_STEP, MAX_LOAD_STEP)
            self.running[name] = min(max(changed, 0), SLOTS)
            loads[name] = LoadReport(name, self.running[name], 0, SLOTS, self.rng.random())
        self.peer.publish(Digest(revision=7, in_flight=dict(self.in_flight), loads=loads))


def _free_ports(count):
    """Returns free ports below the ephemeral range, which outgoing connections use."""
    ports = []
    candidate = random.randrange(*PORT_RANGE)
    while len(ports) < count:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, candidate))
            ports.append(candidate)
        candidate = candidate + 1 if candidate + 1 < PORT_RANGE[1] else PORT_RANGE[0]
    return ports


def _members(case, seed):
    names = [(f"entry-z{z}-{n}", f"z{z}") for z in range(case.zones) for n in range(case.members)]
    ports = _free_ports(len(names))
    seeds = tuple(Endpoint(LOOPBACK, ports[z * case.members]) for z in range(case.zones))
    members = []
    for (name, zone), port in zip(names, ports, strict=True):
        cfg = PeerSettings(name, zone, Endpoint(LOOPBACK, port), seeds=seeds)
        servers = [f"engine-{zone}-{number}" for number in range(case.servers)]
        members.append(_Member(name, zone, cfg, servers, random.Random(f"{seed}{name}")))
    return members


async def _publish_periodically(member, watched):
    while True:
        member.update_counts()
        member.publish(watched)
        await member.clock.sleep(PUBLISH_INTERVAL)


async def _measure(case: Case, seed: int) -> Cost:
    members = _members(case, seed)
    tasks = TaskGroup()
    for member in members:
        tasks.start(member.peer)
    for member in members:
        entries = [other.name for other in members if other.zone == member.zone]
        tasks.spawn(_publish_periodically(member, member.watched(entries)), "load")
    _check_loop_lag(case, await _mean_lag(SETTLE_TIME))
    _check_full_views(members)
    before, cpu_before = _totals(members), time.process_time()
    await asyncio.sleep(MEASUREMENT_TIME.total_seconds())
    cpu_seconds, after = time.process_time() - cpu_before, _totals(members)
    await tasks.stop()
    member_seconds = len(members) * MEASUREMENT_TIME.total_seconds()
    sent, received, messages = (
        (b - a) / member_seconds for a, b in zip(before, after, strict=True)
    )
    return Cost(cpu_seconds / member_seconds, sent, received, messages, 0.0)


async def _mean_lag(duration):
    """Waits for a duration; returns the mean lateness of the loop's wake-ups."""
    end = time.monotonic() + duration.total_seconds()
    lags = []
    while (due := time.monotonic() + LAG_PROBE_INTERVAL.total_seconds()) < end:
        await asyncio.sleep(LAG_PROBE_INTERVAL.total_seconds())
        lags.append(time.monotonic() - due)
    return seconds(sum(lags) / len(lags))


def _check_loop_lag(case, lag):
    """Raises RuntimeError if the loop is saturated: members then take its delays for failures."""
    if lag > MAX_MEAN_LAG:
        raise RuntimeError(
            f"one core does not carry {case.members} members here: the loop is {lag} late"
        )


def _check_full_views(members):
    for member in members:
        seen = len(member.peer.members()) + 1
        if seen != len(members):
            raise RuntimeError(f"{member.name} sees {seen} of {len(members)} members")


def _totals(members):
    names = ("peer_bytes_sent", "peer_bytes_received", "peer_messages_sent")
    return [sum(member.metrics.counter(name) for member in members) for name in names]


async def _memory(case: Case, seed: int) -> float:
    """Returns the memory of one member in bytes, as tracemalloc counts it."""
    gc.collect()
    tracemalloc.start()
    members = _members(case, seed)
    tasks = TaskGroup()
    for member in members:
        tasks.start(member.peer)
        member.publish(member.servers[:2])
    await asyncio.sleep(TRACED_SETTLE_TIME.total_seconds())
    _check_full_views(members)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await tasks.stop()
    return used / len(members)


def measure(case: Case, seeds: tuple[int, ...]) -> Cost:
    """Returns the mean cost of one process over the seeds.

    Raises:
      RuntimeError: If the loop is saturated, or a process does not see all others.
    """
    costs = [asyncio.run(_measure(case, seed)) for seed in seeds]
    memory = asyncio.run(_memory(case, seeds[0]))
    means = [sum(values) / len(costs) for values in zip(*map(attrs.astuple, costs), strict=True)]
    return Cost(*means[:-1], memory)


MEMBER_CASES = tuple(Case(1, members, 60) for members in (2, 8, 16, 32, 48))
SERVER_CASES = tuple(Case(1, 16, servers) for servers in (6, 60, 200, 600))
ZONE_CASES = (Case(2, 16, 6), Case(4, 16, 6), Case(8, 8, 6))
COLUMNS = (
    "data centres",
    "members in each",
    "servers in each",
    "CPU, % of a core",
    "KB/s sent",
    "KB/s received",
    "messages/s sent",
    "KB kept",
)


def row(case: Case, cost: Cost) -> tuple:
    """Returns a table row."""
    return (
        case.zones,
        case.members,
        case.servers,
        100 * cost.cpu,
        cost.sent / 1000,
        cost.received / 1000,
        cost.messages,
        cost.memory / 1000,
    )


@experiments.register("slopes")
class Slopes(Experiment):
    """Measures the cost of membership on real sockets."""

    summary = "processor time, bytes, messages and memory of membership by size"

    def run(self, seeds):
        tables = []
        for title, cases in (
            ("Members of one data centre", MEMBER_CASES),
            ("Backend servers", SERVER_CASES),
            ("Data centres", ZONE_CASES),
        ):
            rows = tuple(row(case, measure(case, seeds)) for case in cases)
            tables.append(Table(title, COLUMNS, rows))
        return tuple(tables)
