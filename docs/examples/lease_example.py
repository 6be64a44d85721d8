"""Uses a lease on its own: one of two processes holds it, and the other takes over when it stops.

Run with `python docs/examples/lease_example.py`. The table service here is the in-memory
stand-in; any `cicadapond.provider.TableService` can take its place.
"""

import asyncio
import random

from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.standin import DirectTables, TableModel


async def main():
    """Acquires a lease, stops its holder, and prints who may act under which fencing number."""
    clock, cfg = LoopClock(), LeaseSettings()
    model = TableModel(clock, random.Random(1))
    leases = {
        name: LeaseTask(
            cfg, "yqr", name, DirectTables(model), clock, Metrics(), random.Random(name)
        )
        for name in ("anna", "bert")
    }

    def print_grants():
        for name, lease in leases.items():
            grant = lease.grant()  # to be checked right before each order
            print(name, f"may act, fencing number {grant.fencing}" if grant else "may not act")

    for lease in leases.values():
        await lease.step()
    print_grants()
    running = asyncio.create_task(leases["bert"].run())  # anna's process has stopped
    while leases["bert"].grant() is None:
        await clock.sleep(seconds(0.1))
    print_grants()
    running.cancel()


if __name__ == "__main__":
    asyncio.run(main())
