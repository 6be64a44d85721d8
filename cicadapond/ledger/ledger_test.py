"""The ledger on virtual time against a faulty table service: outcomes and number of runs."""

import asyncio
import random

import attrs
import pytest

from cicadapond.backend import NotSent
from cicadapond.data import ServiceResponse
from cicadapond.kernel import Metrics, NotRun, Ok, Unknown, VirtualClock, run_virtual, seconds
from cicadapond.ledger import (
    KeyedCall,
    Ledger,
    LedgerSettings,
    StrictLedger,
    TrustingCalls,
    ledger_sweep,
)
from cicadapond.provider import TableSweep
from cicadapond.standin import DirectObjects, DirectTables, ObjectModel, TableModel

CHARGE = KeyedCall("yard-1", "charge-7", "body")
DONE = ServiceResponse(201, (("Content-Type", "text/plain"),), b"charged")


class World:
    """A table service, any number of ledgers, and a backend that counts runs."""

    def __init__(self, cfg=None):
        self.clock = VirtualClock()
        self.cfg = cfg or LedgerSettings()
        self.model = TableModel(self.clock, random.Random(1))
        self.objects = ObjectModel(self.clock, random.Random(2))
        self.runs = 0
        self.answer = DONE
        self.outcome = None
        self.service_seconds = 0.1
        self._seeds = iter(range(100, 200))

    def ledger(self, policy=Ledger):
        objects = DirectObjects(self.objects)
        rng = random.Random(next(self._seeds))
        return policy(DirectTables(self.model), objects, self.cfg, self.clock, Metrics(), rng)

    async def send(self, deadline):
        if isinstance(self.outcome, NotSent):
            return self.outcome
        self.runs += 1
        await asyncio.sleep(self.service_seconds)
        return self.outcome or Ok(self.answer)

    def state(self):
        return self.model.row("ledger", "yard-1/charge-7").value["state"]


def scenario(check):
    def test():
        async def main():
            await check(World())

        run_virtual(main())

    test.__name__ = check.__name__
    return test


@scenario
async def test_a_resend_with_the_same_key_gets_the_stored_answer(world):
    assert await world.ledger().call(CHARGE, world.send) == Ok(DONE)
    assert await world.ledger().call(CHARGE, world.send) == Ok(DONE)
    assert world.runs == 1


@scenario
async def test_another_body_under_the_key_is_not_run(world):
    await world.ledger().call(CHARGE, world.send)
    outcome = await world.ledger().call(attrs.evolve(CHARGE, body="other"), world.send)
    assert isinstance(outcome, NotRun) and outcome.status == 422
    assert world.runs == 1


@scenario
async def test_concurrent_entries_send_once(world):
    outcomes = await asyncio.gather(
        *(world.ledger().call(CHARGE, world.send) for _ in range(5)),
    )
    assert outcomes == [Ok(DONE)] * 5 and world.runs == 1


@scenario
async def test_a_call_in_progress_at_the_deadline_is_unknown(world):
    world.service_seconds = 5.0
    first = asyncio.ensure_future(world.ledger().call(CHARGE, world.send))
    await asyncio.sleep(0.1)
    short = attrs.evolve(CHARGE, deadline=world.clock.monotonic() + seconds(1))
    outcome = await world.ledger().call(short, world.send)
    assert isinstance(outcome, Unknown) and outcome.status == 409 and outcome.retry_after
    assert await first == Ok(DONE) and world.runs == 1


@scenario
async def test_a_claim_without_answer_is_recognised_by_its_token(world):
    world.model.faults.lose_after = 1.0
    call = asyncio.ensure_future(world.ledger().call(CHARGE, world.send))
    await asyncio.sleep(0.2)
    world.model.faults.lose_after = 0.0
    assert await call == Ok(DONE) and world.runs == 1


@scenario
async def test_a_claim_that_did_not_take_effect_is_repeated(world):
    world.model.faults.lose_before = 1.0
    call = asyncio.ensure_future(world.ledger().call(CHARGE, world.send))
    await asyncio.sleep(0.2)
    world.model.faults.lose_before = 0.0
    assert await call == Ok(DONE) and world.runs == 1


@scenario
async def test_a_storage_outage_gives_not_run_at_once(world):
    world.model.faults.outage = True
    start = world.clock.monotonic()
    outcome = await world.ledger().call(CHARGE, world.send)
    assert isinstance(outcome, NotRun) and outcome.retry_after
    assert world.clock.monotonic() - start < seconds(0.1) and world.runs == 0


@scenario
async def test_the_strict_policy_gives_unknown_for_an_unreadable_row(world):
    world.model.faults.outage = True
    outcome = await world.ledger(StrictLedger).call(CHARGE, world.send)
    assert isinstance(outcome, Unknown) and outcome.retry_after and world.runs == 0


@scenario
async def test_a_storage_outage_gives_unknown_for_a_key_that_was_sent(world):
    ledger = world.ledger()
    await ledger.call(CHARGE, world.send)
    world.model.faults.outage = True
    outcome = await ledger.call(CHARGE, world.send)
    assert isinstance(outcome, Unknown) and outcome.retry_after


@scenario
async def test_an_answer_is_returned_during_an_outage_and_recorded_later(world):
    ledger = world.ledger()
    call = asyncio.ensure_future(ledger.call(CHARGE, world.send))
    await asyncio.sleep(0.05)
    world.model.faults.outage = True
    assert await call == Ok(DONE)
    assert world.state() == "sending"
    world.model.faults.outage = False
    await asyncio.sleep(5)
    assert world.state() == "done"
    assert await world.ledger().call(CHARGE, world.send) == Ok(DONE) and world.runs == 1


@scenario
async def test_not_run_is_returned_once_the_row_is_cancelled(world):
    world.outcome = NotSent("connection refused")
    assert isinstance(await world.ledger().call(CHARGE, world.send), NotRun)
    assert world.state() == "cancelled"
    world.outcome = None
    assert await world.ledger().call(CHARGE, world.send) == Ok(DONE)


@scenario
async def test_not_run_is_not_returned_while_the_cancellation_cannot_be_written(world):
    async def refuse(deadline):
        world.model.faults.outage = True
        return NotSent("connection refused")

    assert isinstance(await world.ledger().call(CHARGE, refuse), Unknown)
    world.model.faults.outage = False
    await asyncio.sleep(5)
    assert world.state() == "cancelled"


@scenario
async def test_the_row_of_a_dead_entry_becomes_unknown(world):
    ledger = world.ledger()
    world.service_seconds = 60.0
    call = asyncio.ensure_future(ledger.call(CHARGE, world.send))
    await asyncio.sleep(0.1)
    await ledger.close()
    assert isinstance(await call, Unknown)
    outcome = await world.ledger().call(CHARGE, world.send)
    assert isinstance(outcome, Unknown) and outcome.status == 409
    await asyncio.sleep(10)
    outcome = await world.ledger().call(CHARGE, world.send)
    assert isinstance(outcome, Unknown) and outcome.status == 504 and world.runs == 1


@scenario
async def test_a_call_is_not_sent_after_its_caller_disconnected(world):
    world.model.faults.extra_latency = seconds(1)
    call = asyncio.ensure_future(world.ledger().call(CHARGE, world.send))
    await asyncio.sleep(0.2)
    call.cancel()
    await asyncio.sleep(10)
    assert world.runs == 0 and world.state() == "cancelled"


@scenario
async def test_a_call_claimed_after_its_deadline_is_not_sent(world):
    world.model.faults.extra_latency = seconds(1)
    late = attrs.evolve(CHARGE, deadline=world.clock.monotonic() + seconds(0.3))
    assert isinstance(await world.ledger().call(late, world.send), NotRun)
    assert world.runs == 0 and world.state() == "cancelled"


@scenario
async def test_a_large_answer_goes_to_the_object_store(world):
    world.answer = ServiceResponse(200, (), b"x" * 100_000)
    await world.ledger().call(CHARGE, world.send)
    assert world.model.row("ledger", "yard-1/charge-7").value["answer"] is None
    assert await world.ledger().call(CHARGE, world.send) == Ok(world.answer)
    world.objects.faults.outage = True
    outcome = await world.ledger().call(CHARGE, world.send)
    assert isinstance(outcome, Unknown) and outcome.retry_after


@scenario
async def test_rows_written_within_the_group_interval_share_a_transaction(world):
    ledger = world.ledger()
    works = [attrs.evolve(CHARGE, key=str(number)) for number in range(50)]
    await asyncio.gather(*(ledger.call(work, world.send) for work in works))
    assert world.runs == 50 and world.model.server.writes_served < 20


@scenario
async def test_one_conflict_does_not_fail_the_group(world):
    await world.ledger().call(CHARGE, world.send)
    ledger = world.ledger()
    works = [attrs.evolve(CHARGE, key=key) for key in ("charge-7", "charge-8", "charge-9")]
    outcomes = await asyncio.gather(*(ledger.call(work, world.send) for work in works))
    assert outcomes == [Ok(DONE)] * 3 and world.runs == 3


@scenario
async def test_expired_rows_are_swept(world):
    await world.ledger().call(CHARGE, world.send)
    tables = DirectTables(world.model)
    sweep = TableSweep(
        ledger_sweep(world.cfg), tables, None, world.clock, Metrics(), random.Random(3)
    )
    assert await sweep.sweep_page() == 0
    await world.clock.sleep(2 * world.cfg.row_term)
    assert await sweep.sweep_page() == 1


@pytest.mark.parametrize(("policy", "runs"), [(TrustingCalls, 3), (Ledger, 1)])
def test_only_the_baseline_sends_again_after_a_silent_connection(policy, runs):
    async def main():
        world = World()
        world.outcome = Unknown("no answer")
        assert isinstance(await world.ledger(policy).call(CHARGE, world.send), Unknown)
        assert world.runs == runs

    run_virtual(main())
