"""How soon a leaving server gets no new work, whoever gives the notice.

Entries of three data centres send work to any server that their fleet offers.  The host list lags
by 30 s, the path between two data centres is cut, and one entry is cut off from the platform.  The
baseline is the host list alone.
"""

import asyncio

from cicadapond.data import HostState, Notice
from cicadapond.experiments._fleet_world import FleetWorld
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds

TARGET_SECONDS = 3.0
LAG = seconds(30)
WARM_UP = 15.0
WATCH = 45.0
SOURCES = ("cloud", "engine", "host-list")
BETWEEN_REQUESTS_SECONDS = 0.05
LEAVING = "engine-yqr-1"


async def _requests(world, process, starts):
    """Sends a request to any server offered, for ever, and notes when and where."""
    while True:
        views = process.fleet.views("pool")
        if views:
            starts.append((world.clock.monotonic(), process.name, world.rng.choice(views)))
        await world.sleep(BETWEEN_REQUESTS_SECONDS * (0.5 + world.rng.random()))


def _give_notice(world, source):
    """Lets a source say that the server leaves; returns when it first says so."""
    server = world.servers[LEAVING]
    now = world.clock.monotonic()
    if source == "cloud":
        world.notices[LEAVING] = Notice(LEAVING, "cloud", seconds(120))
    elif source == "engine":
        server.leaving = True
    world.hosts.put(server.server, HostState.LEAVING)
    return now + LAG if source == "host-list" else now


async def _run(source, seed, share_notices):
    world = FleetWorld(seed, lag=seconds(0))
    world.start()
    await world.sleep(1)
    world.hosts.lag = LAG
    if not share_notices:
        for process in world.processes.values():
            process.fleet.notice = lambda notice, f=process.fleet: _only_list(f, notice)
    isolated = world.processes["entry-yqr-2"]
    isolated.hosts.reachable = isolated.cloud.reachable = False
    zone = world.zone_of
    world.network.cut(lambda here, there: {zone(here), zone(there)} == {"yqr", "yxe"})
    await world.sleep(WARM_UP)
    starts = []
    senders = [
        asyncio.ensure_future(_requests(world, process, starts))
        for process in world.processes.values()
    ]
    await world.sleep(2)
    first = _give_notice(world, source)
    await world.sleep(WATCH)
    for sender in senders:
        sender.cancel()
    await world.stop()
    late = [
        (at - first).total_seconds()
        for at, _, view in starts
        if view.server.name == LEAVING and at > first
    ]
    return len(starts), late


def _only_list(fleet, notice):
    """The baseline: takes nobody's word but the host list's, and tells no one."""
    if notice.source == "host-list":
        fleet._known[notice.server].view.leaving = True


def run_leaving(source: str, seed: int, share_notices: bool = True) -> tuple[int, list[float]]:
    """Runs one case.

    Returns:
      How many requests there were in all, and for each one that went to the leaving server after
      the first notice, how long after it in seconds.
    """
    return run_virtual(_run(source, seed, share_notices))


@experiments.register("leaving")
class Leaving(Experiment):
    """New work on a leaving server, by the source of the notice."""

    summary = "how long after the first notice a leaving server still gets new work"

    def run(self, seeds):
        rows = []
        for share in (True, False):
            for source in SOURCES:
                results = [run_leaving(source, seed, share) for seed in seeds]
                late = [value for _, found in results for value in found]
                rows.append(
                    (
                        "all sources, shared" if share else "host list alone",
                        source,
                        sum(count for count, _ in results),
                        len(late),
                        max(late, default=0.0),
                        sum(value > TARGET_SECONDS for value in late),
                    )
                )
        columns = (
            "notices",
            "first notice from",
            "requests",
            "sent there after it",
            "last one, s after it",
            f"later than {TARGET_SECONDS:g} s",
        )
        return (Table("Leaving servers", columns, tuple(rows)),)
