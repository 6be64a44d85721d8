"""The gate on the virtual loop, the retry budget, and the count of slots."""

import asyncio
import random

import attrs

from cicadapond.admission import (
    AdmissionGate,
    CapacitySettings,
    RetryBudget,
    Ticket,
    pool_slots,
)
from cicadapond.data import BackendServer, Endpoint, Priority, ServerKind
from cicadapond.document import Intent, PolicyIntent
from cicadapond.kernel import Metrics, NotRun, Ok, VirtualClock, run_virtual, seconds
from cicadapond.routing import ServerView

ENGINE = BackendServer("e", ServerKind.ENGINE, "p", "z", Endpoint("127.0.0.1", 1))


class World:
    """A gate with a document and a slot count that the test sets."""

    def __init__(self, slots=1):
        self.intent = Intent()
        self.slots = slots
        self.clock = VirtualClock()
        self.metrics = Metrics()
        self.gate = AdmissionGate(
            lambda: self.intent,
            lambda pool: self.slots,
            seconds(0.1),
            self.clock,
            self.metrics,
            random.Random(1),
        )

    async def hold(self, name, duration=1.0, wait=None):
        now = self.clock.monotonic()
        latest = None if wait is None else now + seconds(wait)
        ticket = Ticket(name, "p", "a", Priority.STANDARD, latest)
        outcome = await self.gate.acquire(ticket)
        waited = self.clock.monotonic() - now
        if isinstance(outcome, Ok):
            try:
                await self.clock.sleep(seconds(duration))
            finally:
                self.gate.release(outcome.value)
        return type(outcome), waited


def test_a_slot_is_granted_to_one_caller_after_the_other():
    async def run():
        world = World()
        return await asyncio.gather(*(world.hold(f"t{n}") for n in range(3)))

    assert run_virtual(run()) == [(Ok, seconds(n)) for n in range(3)]


def test_a_waiting_ticket_is_refused_once_its_latest_start_has_passed():
    async def run():
        world = World()
        world.slots = 2
        holding = [asyncio.ensure_future(world.hold(f"h{n}", 60.0)) for n in range(2)]
        await asyncio.sleep(0)
        waiting = await world.hold("w", wait=0.4)
        for task in holding:
            task.cancel()
        return waiting

    kind, waited = run_virtual(run())
    assert kind is NotRun
    assert seconds(0.39) <= waited <= seconds(0.41)


def test_a_cancelled_caller_leaves_the_queue_and_releases_its_slot():
    async def run():
        world = World()
        first = asyncio.ensure_future(world.hold("t1"))
        second = asyncio.ensure_future(world.hold("t2"))
        third = asyncio.ensure_future(world.hold("t3"))
        await world.clock.sleep(seconds(0.5))
        second.cancel()
        await first
        third.cancel()
        await asyncio.wait([second, third])
        state = world.gate.state()
        return state["waiting"], state["pools"]["p"]["running"], await world.hold("t4")

    assert run_virtual(run()) == (0, 0, (Ok, seconds(0)))


def test_new_slots_are_used_while_callers_wait():
    async def run():
        world = World(slots=0)
        waiting = asyncio.ensure_future(world.hold("t"))
        await world.clock.sleep(seconds(5.05))
        world.slots = 1
        return (await waiting)[1]

    assert run_virtual(run()) <= seconds(5.2)


def test_a_change_of_policy_keeps_slots_and_queues():
    async def run():
        world = World()
        tasks = [asyncio.ensure_future(world.hold(f"t{n}")) for n in range(3)]
        await world.clock.sleep(seconds(0.5))
        world.intent = Intent(policies=PolicyIntent(admission="fifo"))
        results = await asyncio.gather(*tasks)
        return world.gate.state()["policy"], results

    assert run_virtual(run()) == ("fifo", [(Ok, seconds(n)) for n in range(3)])


def test_an_unknown_policy_leaves_the_previous_one_in_use():
    async def run():
        world = World()
        world.intent = Intent(policies=PolicyIntent(admission="of a later release"))
        first = await world.hold("t1")
        world.intent = Intent(policies=PolicyIntent(admission="fifo"))
        await world.hold("t2")
        world.intent = Intent(policies=PolicyIntent(admission="of a later release"))
        await world.hold("t3")
        return first[0], world.gate.state()["policy"]

    assert run_virtual(run()) == (Ok, "fifo")


def test_retries_are_a_share_of_successes():
    budget = RetryBudget(lambda: 0.1)
    first = sum(budget.allow("p") for _ in range(1000))
    for _ in range(100):
        budget.success("p")
    assert first < 20
    assert sum(budget.allow("p") for _ in range(1000)) in (9, 10)


def test_slots_exclude_leaving_servers_and_phase_in_new_ones():
    old = ServerView(ENGINE)
    new = attrs.evolve(old, live_since=seconds(100))
    leaving = attrs.evolve(old, leaving=True)
    failing = attrs.evolve(old, failing_until=seconds(200))

    def count(*views, now=100, entries=1):
        slots = [20] * len(views)
        return pool_slots(views, slots, seconds(now), seconds(1), entries, CapacitySettings())

    assert count(old) == 20
    assert count(old, new) == 22
    assert count(old, new, now=105) == 31
    assert count(old, new, now=110) == 40
    assert count(old, leaving, failing) == 20
    assert count() == 0


def test_slots_are_what_other_entries_leave_but_at_least_an_even_share():
    view = ServerView(ENGINE, peer_in_flight=5)

    def count(entries):
        return pool_slots([view], [20], seconds(9), seconds(9), entries, CapacitySettings())

    assert count(2) == 15
    view.peer_in_flight = 30
    assert count(2) == 10
    assert count(40) == 1
