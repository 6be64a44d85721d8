"""Embeds the ledger by itself: a gate fee that is charged at most once, whatever is lost.

Run it with `python docs/examples/ledger_example.py`.  The table service here is the stand-in;
any `cicadapond.provider.TableService` takes its place.
"""

import asyncio
import random

from cicadapond.data import Answer, body_hash
from cicadapond.kernel import LoopClock, Metrics, Ok
from cicadapond.ledger import KeyedWork, Ledger, LedgerSettings
from cicadapond.standin import DirectTables, TableModel


class Till:
    """What must not be used twice for one charge."""

    def __init__(self):
        self.charges = 0

    async def charge(self, deadline):
        """Charges once; the ledger calls it only when it has the permission."""
        self.charges += 1
        return Ok(Answer(201, (), b"charged 40.00"))


async def main():
    """Charges, loses the store's answers, and asks again at another process's ledger."""
    clock = LoopClock()
    model = TableModel(clock, random.Random(1))
    till = Till()
    ledgers = [
        Ledger(DirectTables(model), None, LedgerSettings(), clock, Metrics(), random.Random())
        for _ in range(2)
    ]
    work = KeyedWork("yard-kells", "weighing-4711", body_hash("charge", "40.00"))
    model.faults.lose_after = 0.5
    for ledger in ledgers:
        outcome = await ledger.call(work, till.charge)
        print(type(outcome).__name__, outcome.value.body.decode())
    print("charged", till.charges, "time")
    for ledger in ledgers:
        await ledger.close()


if __name__ == "__main__":
    asyncio.run(main())
