"""How soon a leaving server stops receiving new requests, by the source of the notice.

Entries of three data centres send requests to any server that their fleet offers.  The host list
lags by 30 s, the path between two data centres is cut, and one entry is cut off from the platform.
The baseline uses the host list alone.
"""

import asyncio

from cicadapond.data import HostState, Notice
from cicadapond.experiments._fleet_world import MembershipSimulation
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds

TARGET_SECONDS = 3.0
HOST_LIST_LAG = seconds(30)
WARM_UP_SECONDS = 15.0
OBSERVATION_SECONDS = 45.0
SOURCES = ("cloud", "engine", "host-list")
REQUEST_INTERVAL_SECONDS = 0.05
LEAVING_SERVER = "engine-yqr-1"


async def _send_requests(world, process, sent):
    """Sends requests to random offered servers until cancelled; records time and server."""
    while True:
        views = process.fleet.views("pool")
        if views:
            sent.append((world.clock.monotonic(), process.name, world.rng.choice(views)))
        await world.sleep(REQUEST_INTERVAL_SECONDS * (0.5 + world.rng.random()))


def _give_notice(world, source):
    """Makes a source announce that the server leaves; returns the time of the first notice."""
    server = world.servers[LEAVING_SERVER]
    now = world.clock.monotonic()
    if source == "cloud":
        world.notices[LEAVING_SERVER] = Notice(LEAVING_SERVER, "cloud", seconds(120))
    elif source == "engine":
        server.leaving = True
    world.hosts.put(server.server, HostState.LEAVING)
    return now + HOST_LIST_LAG if source == "host-list" else now


async def _run(source, seed, share_notices):
    world = MembershipSimulation(seed, lag=seconds(0))
    world.start()
    await world.sleep(1)
    world.hosts.lag = HOST_LIST_LAG
    if not share_notices:
        for process in world.processes.values():
            process.fleet.apply_notice = lambda notice, f=process.fleet: _accept_host_list_only(
                f, notice
            )
    isolated = world.processes["entry-yqr-2"]
    isolated.hosts.reachable = isolated.cloud.reachable = False
    zone = world.zone_of
    world.network.cut(lambda here, there: {zone(here), zone(there)} == {"yqr", "yxe"})
    await world.sleep(WARM_UP_SECONDS)
    sent = []
    senders = [
        asyncio.ensure_future(_send_requests(world, process, sent))
        for process in world.processes.values()
    ]
    await world.sleep(2)
    first_notice_at = _give_notice(world, source)
    await world.sleep(OBSERVATION_SECONDS)
    for sender in senders:
        sender.cancel()
    await world.stop()
    delays_seconds = [
        (at - first_notice_at).total_seconds()
        for at, _, view in sent
        if view.server.name == LEAVING_SERVER and at > first_notice_at
    ]
    return len(sent), delays_seconds


def _accept_host_list_only(fleet, notice):
    """Baseline: accepts notices from the host list only, and does not share them."""
    if notice.source == "host-list":
        fleet._known[notice.server].view.leaving = True


def run_leaving(source: str, seed: int, share_notices: bool = True) -> tuple[int, list[float]]:
    """Runs one case.

    Returns:
      The number of requests, and for each request sent to the leaving server after the first
      notice, the seconds since that notice.
    """
    return run_virtual(_run(source, seed, share_notices))


@experiments.register("leaving")
class Leaving(Experiment):
    """Measures new requests to a leaving server, by the source of the notice."""

    summary = "how long after the first notice a leaving server still gets new requests"

    def run(self, seeds):
        rows = []
        for share in (True, False):
            for source in SOURCES:
                results = [run_leaving(source, seed, share) for seed in seeds]
                delays_seconds = [value for _, run_delays in results for value in run_delays]
                rows.append(
                    (
                        "all sources, shared" if share else "host list alone",
                        source,
                        sum(count for count, _ in results),
                        len(delays_seconds),
                        max(delays_seconds, default=0.0),
                        sum(value > TARGET_SECONDS for value in delays_seconds),
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
