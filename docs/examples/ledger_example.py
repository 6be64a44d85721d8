"""Uses the ledger on its own: a gate fee is charged at most once, even if store answers are lost.

Run with `python docs/examples/ledger_example.py`. The table service here is the in-memory
stand-in; any `cicadapond.provider.TableService` can take its place.
"""

import asyncio
import random

from cicadapond.data import ServiceResponse, content_hash
from cicadapond.kernel import LoopClock, Metrics, Ok
from cicadapond.ledger import KeyedCall, Ledger, LedgerSettings
from cicadapond.standin import DirectTables, TableModel


class Till:
    """A payment service that must be called at most once per charge."""

    def __init__(self):
        self.charges = 0

    async def charge(self, deadline):
        """Charges the fee; the ledger calls this only once it has permission to run it."""
        self.charges += 1
        return Ok(ServiceResponse(201, (), b"charged 40.00"))


async def main():
    """Charges while half of the store's answers are lost, then repeats it at a second ledger."""
    clock = LoopClock()
    model = TableModel(clock, random.Random(1))
    till = Till()
    ledgers = [
        Ledger(DirectTables(model), None, LedgerSettings(), clock, Metrics(), random.Random())
        for _ in range(2)
    ]
    keyed_call = KeyedCall("yard-kells", "weighing-4711", content_hash("charge", "40.00"))
    model.faults.lose_after = 0.5
    for ledger in ledgers:
        outcome = await ledger.call(keyed_call, till.charge)
        print(type(outcome).__name__, outcome.value.body.decode())
    print("charged", till.charges, "time")
    for ledger in ledgers:
        await ledger.close()


if __name__ == "__main__":
    asyncio.run(main())
