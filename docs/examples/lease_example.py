"""A lease by itself: one of two processes holds it; when that one stops, the other takes over.

Run with `python docs/examples/lease_example.py`.  Any table service will do; here it is the
stand-in in memory.
"""

import asyncio
import random

from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.standin import DirectTables, TableModel


async def main():
    """Takes a lease, loses the holder and prints who may act under which fencing number."""
    clock, cfg = LoopClock(), LeaseSettings()
    model = TableModel(clock, random.Random(1))
    leases = {
        name: LeaseTask(
            cfg, "yqr", name, DirectTables(model), clock, Metrics(), random.Random(name)
        )
        for name in ("anna", "bert")
    }

    def show():
        for name, lease in leases.items():
            grant = lease.grant()  # asked right before each order
            print(name, f"may act, fencing number {grant.fencing}" if grant else "may not act")

    for lease in leases.values():
        await lease.step()
    show()
    running = asyncio.create_task(leases["bert"].run())  # anna's process is gone
    while leases["bert"].grant() is None:
        await clock.sleep(seconds(0.1))
    show()
    running.cancel()


if __name__ == "__main__":
    asyncio.run(main())
