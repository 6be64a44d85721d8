"""Keyed charges under entry deaths, a failing store and unresponsive services.

Runs the real runners and ledgers in virtual time.  A caller resends its charge with the same key,
to a random entry, until its outcome is final.  The service counts the executions of each charge
and of each request.
"""

import asyncio
import random

import attrs

from cicadapond.data import BackendServer, Endpoint, ServerKind, ServiceCall
from cicadapond.document import ApplicationIntent, Intent, PolicyIntent
from cicadapond.entry._parts import Parts
from cicadapond.entry._service import ServiceRunner
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import Metrics, NotRun, Ok, Unknown, VirtualClock, run_virtual, seconds
from cicadapond.peer import NoPeers
from cicadapond.provider import BudgetedTables, BudgetSettings, StoreClass
from cicadapond.standin import (
    DirectObjects,
    DirectService,
    DirectTables,
    ObjectModel,
    RunCounts,
    ServiceModel,
    StaticFleet,
    TableModel,
)

CHARGES = 10_000
CHARGES_PER_SECOND = 50.0
ENTRIES = 6
SERVERS = 3
MEAN_DEATH_INTERVAL_SECONDS = 3.0
RESTART_SECONDS = 2.0
CALL_SECONDS = 5.0
CALLER_TIMEOUT_SECONDS = 60.0  # how long a caller resends after the faults end
BASE_RESEND_SECONDS = 0.5
MAX_RESEND_SECONDS = 8.0
POLICIES = ("trusting", "ledger", "ledger-strict")


@attrs.define
class Tally:
    """The results of one run."""

    requests: int = 0
    not_run_ids: list[str] = attrs.field(factory=list)
    not_run_after_run: int = 0
    done: int = 0
    unknown: int = 0
    no_outcome: int = 0


class Entry:
    """One entry process: its runner and its running calls."""

    def __init__(self, world, seed):
        budget = BudgetedTables(
            DirectTables(world.tables),
            BudgetSettings(),
            world.clock,
            Metrics(),
            random.Random(seed + 1),
        )
        budget.set_process_count(ENTRIES)
        adapters = [DirectService(m, _server(m.name), world.clock) for m in world.models]
        self.crashed = False
        self._budget = budget
        self._running_calls = {}  # a dict, not a set: its order makes runs reproducible
        self._runner = ServiceRunner(
            Parts(
                cfg=None,
                clock=world.clock,
                metrics=Metrics(),
                rng=random.Random(seed),
                intent=lambda: world.intent,
                fleet=StaticFleet(adapters),
                peers=NoPeers(),
                ledger_tables=budget.for_class(StoreClass.AT_MOST_ONCE),
                objects=budget.objects_for_class(
                    DirectObjects(world.objects), StoreClass.AT_MOST_ONCE
                ),
            )
        )

    async def call(self, call):
        """Runs a call; returns None if the entry crashes before it answers."""
        if self.crashed:
            return None
        running = asyncio.ensure_future(self._runner.run(call))
        self._running_calls[running] = call
        try:
            return await running
        except asyncio.CancelledError:
            if not self.crashed:
                raise
            return None
        finally:
            self._running_calls.pop(running, None)

    async def crash(self):
        """Stops all work of the process at once, as a crash does."""
        self.crashed = True
        for running in tuple(self._running_calls):
            running.cancel()
        await self._runner.close()
        self._budget.close()


class ChargesWorld:
    """The store, the servers, the entries and the faults of one run.

    Args:
      policy: The policy for keyed calls.
      seed: Seed of all random choices.
      charges: Number of charges.
    """

    def __init__(self, policy: str, seed: int, charges: int):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.tables = TableModel(self.clock, random.Random(seed + 1))
        self.objects = ObjectModel(self.clock, random.Random(seed + 2))
        self.counts = RunCounts()
        self.models = [
            ServiceModel(f"s{n}", self.clock, random.Random(seed + 3 + n), counts=self.counts)
            for n in range(SERVERS)
        ]
        self.intent = Intent(
            applications={"yard-ledger": ApplicationIntent()},
            policies=PolicyIntent(keyed_calls=policy),
        )
        self.tally = Tally()
        self.faults_over = False
        self._charges = charges
        self._seed = seed * 1000
        self._entries = [self._new_entry() for _ in range(ENTRIES)]

    async def run(self) -> Tally:
        """Makes all charges under faults, then ends the faults and waits for the callers."""
        fault_tasks = [
            asyncio.ensure_future(task) for task in (self._run_deaths(), self._run_storage_faults())
        ]
        self._set_service_faults(0.01)
        callers = []
        for number in range(self._charges):
            await asyncio.sleep(self.rng.expovariate(CHARGES_PER_SECOND))
            callers.append(asyncio.ensure_future(self._run_caller(number)))
        for task in fault_tasks:
            task.cancel()
        await asyncio.gather(*fault_tasks, return_exceptions=True)
        self._end_faults()
        await asyncio.gather(*callers)
        await asyncio.sleep(CALLER_TIMEOUT_SECONDS)
        return self.tally

    # Callers

    async def _run_caller(self, number):
        remaining_seconds = CALLER_TIMEOUT_SECONDS
        key = f"weighing-{number}"
        attempt = 0
        while remaining_seconds > 0:
            outcome = await self._send(key, f"{key}/{attempt}")
            attempt += 1
            if isinstance(outcome, Ok):
                self.tally.done += 1
                return
            if isinstance(outcome, Unknown) and outcome.retry_after is None and self.faults_over:
                self.tally.unknown += 1
                return
            backoff = min(BASE_RESEND_SECONDS * 2**attempt, MAX_RESEND_SECONDS)
            wait = max(_retry_after_seconds(outcome), backoff) * (0.5 + self.rng.random())
            await asyncio.sleep(wait)
            remaining_seconds -= wait if self.faults_over else 0
        self.tally.no_outcome += 1

    async def _send(self, key, request_id):
        call = ServiceCall(
            request_id=request_id,
            account="yard-kells",
            service="yard-ledger",
            method="POST",
            path="/charges",
            body=key.encode(),
            idempotency_key=key,
            deadline=self.clock.monotonic() + seconds(CALL_SECONDS),
        )
        self.tally.requests += 1
        outcome = await self.rng.choice(self._entries).call(call)
        if isinstance(outcome, NotRun):
            self.tally.not_run_ids.append(request_id)
            self.tally.not_run_after_run += self.counts.by_key[key] > 0
        return outcome

    # Faults

    def _new_entry(self):
        self._seed += 2
        return Entry(self, self._seed)

    async def _run_deaths(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_DEATH_INTERVAL_SECONDS))
            index = self.rng.randrange(ENTRIES)
            await self._entries[index].crash()
            await asyncio.sleep(RESTART_SECONDS)
            self._entries[index] = self._new_entry()

    async def _run_storage_faults(self):
        faults = self.tables.faults
        faults.lose_after, faults.lose_before = 0.02, 0.01
        while True:
            await asyncio.sleep(self.rng.uniform(1, 20))
            faults.outage = True
            await asyncio.sleep(self.rng.uniform(1, 6))
            faults.outage = False
            faults.extra_latency = seconds(self.rng.uniform(0, 0.2))

    def _set_service_faults(self, share):
        for model in self.models:
            model.faults.crash_before = model.faults.crash_after = share / 10
            model.faults.silent = model.faults.refuse = model.faults.truncate = share

    def _end_faults(self):
        self.faults_over = True
        faults = self.tables.faults
        faults.outage, faults.extra_latency = False, seconds(0)
        faults.lose_after = faults.lose_before = 0.0
        self._set_service_faults(0.0)
        self._entries = [e if not e.crashed else self._new_entry() for e in self._entries]


def run_charges(policy: str, seed: int, charges: int) -> tuple[ChargesWorld, Tally]:
    """Runs the experiment once.

    Args:
      policy: The policy for keyed calls.
      seed: Seed of all random choices.
      charges: Number of charges.
    """

    async def main():
        world = ChargesWorld(policy, seed, charges)
        return world, await world.run()

    return run_virtual(main())


@experiments.register("charges")
class Charges(Experiment):
    """Compares the ledger with the baseline that resends after each failure."""

    summary = "keyed charges under entry deaths, lost store answers, outages and silent services"

    def run(self, seeds):
        rows = [_row(policy, seed) for policy in POLICIES for seed in seeds]
        columns = (
            "policy",
            "seed",
            "charges",
            "requests",
            "ran twice or more",
            "ran once",
            "not_run told",
            "of these ran",
            "not_run though an earlier request ran",
            "answered",
            "final unknown",
            "no final outcome",
            "store writes per charge",
        )
        return (Table("Keyed charges under faults", columns, tuple(rows)),)


def _row(policy, seed):
    world, tally = run_charges(policy, seed, CHARGES)
    runs = world.counts.by_key.values()
    return (
        policy,
        seed,
        CHARGES,
        tally.requests,
        sum(count > 1 for count in runs),
        sum(count == 1 for count in runs),
        len(tally.not_run_ids),
        sum(world.counts.by_request[name] > 0 for name in tally.not_run_ids),
        tally.not_run_after_run,
        tally.done,
        tally.unknown,
        tally.no_outcome,
        world.tables.server.writes_served / CHARGES,
    )


def _server(name):
    return BackendServer(name, ServerKind.SERVICE, "yard-ledger", "leinster-a", Endpoint("", 0))


def _retry_after_seconds(outcome):
    wait = getattr(outcome, "retry_after", None)
    return 0.0 if wait is None else wait.total_seconds()
