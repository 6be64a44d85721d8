"""How soon all views converge after a partition, despite changes during it.

Each data centre is isolated for ten minutes.  In each of them a server is drained, the cloud gives
a reclaim notice for another, an entry stops, another restarts, and the entries' document revisions
change.
"""

from cicadapond.data import Notice
from cicadapond.experiments._fleet_world import ZONES, MembershipSimulation
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.peer import MemberState

TARGET_SECONDS = 10.0
PARTITION_SECONDS = 600.0
POLL_SECONDS = 0.1
CONVERGENCE_TIMEOUT_SECONDS = 120.0
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)


def view_differences(world: MembershipSimulation) -> list[str]:
    """Returns the differences between the processes' views; empty once they agree."""
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
        tuple(process.fleet.leaving_servers.number(name) for name in world.servers)
        for process in world.processes.values()
    }
    if len(numbers) > 1:
        found.append("numbers of leaving servers")
    return found


async def _change_every_zone(world):
    for index, zone in enumerate(ZONES):
        world.processes[f"entry-{zone}-1"].fleet.drain(f"engine-{zone}-1")
        name = f"engine-{zone}-2"
        world.notices[name] = Notice(name, "cloud", seconds(300))
        await world.stop(f"entry-{zone}-2", f"entry-{zone}-3")
        await world.sleep(60)
        world.start(f"entry-{zone}-3")
        for process in world.processes.values():
            process.revision += 1 + index


async def _run(seed):
    world = MembershipSimulation(seed)
    world.start()
    await world.sleep(15)
    differences_before = view_differences(world)
    zone = world.zone_of
    world.network.cut(lambda here, there: zone(here) != zone(there))
    await world.sleep(5)
    foreign_servers = [
        view.server.name
        for process in world.processes.values()
        for view in process.fleet.views("pool")
        if view.server.zone != process.zone
    ]
    fewest_own_servers = min(
        len(process.fleet.views("pool")) for process in world.processes.values()
    )
    began = world.clock.monotonic()
    await _change_every_zone(world)
    await world.sleep(PARTITION_SECONDS - (world.clock.monotonic() - began).total_seconds())
    differences = len(view_differences(world))
    healed = world.clock.monotonic()
    world.network.heal()
    while view_differences(world):
        await world.sleep(POLL_SECONDS)
        if (world.clock.monotonic() - healed).total_seconds() > CONVERGENCE_TIMEOUT_SECONDS:
            break
    convergence_seconds = (world.clock.monotonic() - healed).total_seconds()
    await world.stop()
    return (
        differences_before,
        len(foreign_servers),
        fewest_own_servers,
        differences,
        convergence_seconds,
    )


def run_partition(seed: int) -> tuple:
    """Runs one case.

    Returns:
      The differences between views before the cut; the number of servers of other data centres
      offered 5 s into it; the smallest number of local servers offered to any entry then; the
      number of differences before the heal; and the seconds from the heal until there are none.
    """
    return run_virtual(_run(seed))


@experiments.register("partition")
class Partition(Experiment):
    """Measures the convergence of views after a partition of ten minutes."""

    summary = "how soon all views agree after each data centre was isolated for ten minutes"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            (
                differences_before,
                foreign_servers,
                fewest_own_servers,
                differences,
                convergence_seconds,
            ) = run_partition(seed)
            rows.append(
                (
                    seed,
                    len(differences_before),
                    foreign_servers,
                    fewest_own_servers,
                    differences,
                    convergence_seconds,
                )
            )
        columns = (
            "seed",
            "differences before",
            "foreign servers offered 5 s after the cut",
            "own servers offered, least",
            "differences before the heal",
            "s until views agree",
        )
        return (Table("Partition of ten minutes", columns, tuple(rows)),)
