"""How soon all views agree after a partition, whatever changed meanwhile.

Each data centre is alone for ten minutes.  In each of them a server is drained, another is noticed
by the cloud, an entry dies, another restarts, and each entry takes a document revision of its own.
"""

from cicadapond.data import Notice
from cicadapond.experiments._fleet_world import ZONES, FleetWorld
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.peer import MemberState

TARGET_SECONDS = 10.0
ALONE_SECONDS = 600.0
STEP_SECONDS = 0.1
LONGEST_WAIT_SECONDS = 120.0
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)


def disagreements(world: FleetWorld) -> list[str]:
    """Returns what the processes' views differ in, empty once they agree."""
    found = []
    for process in world.processes.values():
        live = {m.name: m for m in process.peer.members() if m.state in _LIVE}
        if live.keys() != world.processes.keys() - {process.name}:
            found.append(f"{process.name}: members")
            continue
        for other in world.processes.values():
            if other is not process and live[other.name].digest.revision != other.revision:
                found.append(f"{process.name}: revision of {other.name}")
    numbers = {
        tuple(process.fleet.book.number(name) for name in world.servers)
        for process in world.processes.values()
    }
    if len(numbers) > 1:
        found.append("numbers of leaving servers")
    return found


async def _change_everything(world):
    for place, zone in enumerate(ZONES):
        world.processes[f"entry-{zone}-1"].fleet.drain(f"engine-{zone}-1")
        name = f"engine-{zone}-2"
        world.notices[name] = Notice(name, "cloud", seconds(300))
        await world.stop(f"entry-{zone}-2", f"entry-{zone}-3")
        await world.sleep(60)
        world.start(f"entry-{zone}-3")
        for process in world.processes.values():
            process.revision += 1 + place


async def _run(seed):
    world = FleetWorld(seed)
    world.start()
    await world.sleep(15)
    before = disagreements(world)
    zone = world.zone_of
    world.network.cut(lambda here, there: zone(here) != zone(there))
    await world.sleep(5)
    foreign = [
        view.server.name
        for process in world.processes.values()
        for view in process.fleet.views("pool")
        if view.server.zone != process.zone
    ]
    own = min(len(process.fleet.views("pool")) for process in world.processes.values())
    began = world.clock.monotonic()
    await _change_everything(world)
    await world.sleep(ALONE_SECONDS - (world.clock.monotonic() - began).total_seconds())
    apart = len(disagreements(world))
    healed = world.clock.monotonic()
    world.network.heal()
    while disagreements(world):
        await world.sleep(STEP_SECONDS)
        if (world.clock.monotonic() - healed).total_seconds() > LONGEST_WAIT_SECONDS:
            break
    agreed = (world.clock.monotonic() - healed).total_seconds()
    await world.stop()
    return before, len(foreign), own, apart, agreed


def run_partition(seed: int) -> tuple:
    """Runs one case.

    Returns:
      What views differ in before the cut; how many servers of other data centres are offered 5 s
      into it, and the least of the own ones; how many differences there are before the heal; and
      the seconds from it until there are none.
    """
    return run_virtual(_run(seed))


@experiments.register("partition")
class Partition(Experiment):
    """Agreement of views after ten minutes alone."""

    summary = "how soon all views agree after each data centre was alone for ten minutes"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            before, foreign, own, apart, agreed = run_partition(seed)
            rows.append((seed, len(before), foreign, own, apart, agreed))
        columns = (
            "seed",
            "differences before",
            "foreign servers offered 5 s after the cut",
            "own servers offered, least",
            "differences before the heal",
            "s until views agree",
        )
        return (Table("Partition of ten minutes", columns, tuple(rows)),)
