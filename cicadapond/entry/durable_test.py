"""Durable requests on virtual time: no accepted request is lost to entry or store failures."""

import asyncio
import random

import attrs
import pytest

from cicadapond.data import Completion, Finished, Token
from cicadapond.document import Intent, PolicyIntent
from cicadapond.entry._completion_run import STATUS_VERSION_RETIRED
from cicadapond.entry._core import CompletionSink
from cicadapond.entry._durable import STATUS_VERSION_CHANGED, DurableRequests
from cicadapond.entry._parts import Parts
from cicadapond.journal import JournalSettings, RequestState
from cicadapond.kernel import (
    Failed,
    Metrics,
    NotRun,
    Ok,
    Unknown,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.peer import NoPeers
from cicadapond.standin import DirectObjects, DirectTables, ObjectModel, TableModel

REQ = Completion("r1", "co-op", "shade-model", "planogram", max_tokens=200)
TOKEN_SECONDS = 0.05


def answer(req):
    return tuple(f"{req.request_id}-{n} " for n in range(req.max_tokens))


class Collected(CompletionSink):
    def __init__(self):
        self.texts = []
        self.sequences = []

    async def tokens(self, tokens):
        self.texts.extend(token.text for token in tokens)
        self.sequences.extend(token.sequence for token in tokens)


class World:
    """A store and any number of entries that generate at a fixed rate."""

    def __init__(self, cfg=None):
        self.clock = VirtualClock()
        self.cfg = cfg or JournalSettings()
        self.tables = TableModel(self.clock, random.Random(1))
        self.objects = ObjectModel(self.clock, random.Random(2))
        self.generated = 0
        self.outcome = None
        self._count = 0

    def entry(self):
        self._count += 1
        intent = Intent(policies=PolicyIntent(durable_term=seconds(3600)))
        metrics = Metrics()
        parts = Parts(
            cfg=None,
            clock=self.clock,
            metrics=metrics,
            rng=random.Random(100 + self._count),
            intent=lambda: intent,
            fleet=None,
            peers=NoPeers(),
            journal_tables=DirectTables(self.tables),
            objects=DirectObjects(self.objects),
        )
        entry = DurableRequests(parts, self.generate, self.cfg, f"entry-{self._count}")
        entry.metrics = metrics
        entry.start()
        return entry

    async def generate(self, req, sink, resume, version):
        if self.outcome is not None:
            return self.outcome
        texts = answer(req)
        assert texts[: len(resume)] == resume
        for sequence in range(len(resume), len(texts)):
            await asyncio.sleep(TOKEN_SECONDS)
            self.generated += 1
            await sink.tokens((Token(1, sequence, texts[sequence]),))
        return Ok(Finished(1, len(texts), "length"))

    async def wait_for_end(self, entry, request_id, account="co-op"):
        while True:
            found = await entry.lookup(request_id, account)
            if isinstance(found, Ok) and found.value.state is not RequestState.OPEN:
                return found.value
            await asyncio.sleep(1)


def scenario(check):
    def test():
        async def main():
            await check(World())

        run_virtual(main())

    return test


@scenario
async def test_an_accepted_request_runs_and_is_kept(world):
    entry = world.entry()
    assert await entry.accept(REQ) == Ok("r1")
    found = await world.wait_for_end(world.entry(), "r1")
    assert found.tokens == answer(REQ)
    assert isinstance(await entry.lookup("r1", "another account"), NotRun)


@scenario
async def test_the_same_key_is_the_same_request(world):
    keyed = attrs.evolve(REQ, idempotency_key="night-7")
    first = await world.entry().accept(keyed)
    again = await world.entry().accept(attrs.evolve(keyed, request_id="r2"))
    assert isinstance(first, Ok) and first == again
    other = await world.entry().accept(attrs.evolve(keyed, prompt="another"))
    assert isinstance(other, NotRun) and other.status == 422


@scenario
async def test_a_dead_entrys_request_is_adopted_with_its_tokens(world):
    first, second = world.entry(), world.entry()
    await first.accept(REQ)
    await asyncio.sleep(5)
    await first.close()
    found = await world.wait_for_end(second, "r1")
    assert found.tokens == answer(REQ) and found.row.epoch == 2
    lost = 2 * world.cfg.checkpoint_interval.total_seconds() / TOKEN_SECONDS
    assert world.generated <= REQ.max_tokens + lost


@scenario
async def test_a_planned_stop_recomputes_nothing(world):
    first, second = world.entry(), world.entry()
    await first.accept(REQ)
    await asyncio.sleep(5)
    await first.stop()
    found = await world.wait_for_end(second, "r1")
    assert found.tokens == answer(REQ) and world.generated == REQ.max_tokens


@scenario
async def test_a_partitioned_owner_is_fenced(world):
    first, second = world.entry(), world.entry()
    await first.accept(REQ)
    await asyncio.sleep(2)
    first._parts.journal_tables.reachable = False
    found = await world.wait_for_end(second, "r1")
    first._parts.journal_tables.reachable = True
    await asyncio.sleep(10)
    assert found.tokens == answer(REQ)
    assert first.metrics.total("journal_fenced") == 1
    again = await first.lookup("r1", "co-op")
    assert again.value.row == found.row


@scenario
async def test_an_outage_loses_no_accepted_request_and_causes_no_adoption(world):
    entries = [world.entry() for _ in range(3)]
    await entries[0].accept(REQ)
    await asyncio.sleep(2)
    world.tables.faults.outage = True
    refused = await entries[0].accept(attrs.evolve(REQ, request_id="r2"))
    assert isinstance(refused, NotRun) and refused.retry_after
    await asyncio.sleep(300)
    world.tables.faults.outage = False
    found = await world.wait_for_end(entries[1], "r1")
    assert found.tokens == answer(REQ) and found.row.epoch == 1


@scenario
async def test_an_accept_without_an_answer_is_unknown_and_may_run(world):
    entry = world.entry()
    world.tables.faults.lose_after = 1.0
    assert isinstance(await entry.accept(REQ), Unknown)
    world.tables.faults.lose_after = 0.0
    assert (await world.wait_for_end(entry, "r1")).tokens == answer(REQ)


@scenario
async def test_lost_store_answers_lose_and_repeat_nothing(world):
    entries = [world.entry() for _ in range(2)]
    world.tables.faults.lose_after = 0.3
    world.tables.faults.lose_before = 0.2
    assert await entries[0].accept(REQ) == Ok("r1")
    found = await world.wait_for_end(entries[1], "r1")
    assert found.tokens == answer(REQ) and world.generated == REQ.max_tokens


@scenario
async def test_a_stream_is_followed_at_any_entry_after_its_owner_dies(world):
    first, second, third = world.entry(), world.entry(), world.entry()
    await first.accept(REQ)
    sinks = [Collected(), Collected()]
    follows = [
        asyncio.ensure_future(entry.follow("r1", "co-op", sink, after))
        for entry, sink, after in ((second, sinks[0], 0), (third, sinks[1], 50))
    ]
    await asyncio.sleep(4)
    assert sinks[0].texts
    await first.close()
    ends = await asyncio.gather(*follows)
    assert [end.value.length for end in ends] == [200, 200]
    assert tuple(sinks[0].texts) == answer(REQ)
    assert sinks[1].sequences == list(range(50, 200))


@scenario
async def test_a_request_that_is_not_run_stays_and_one_that_fails_ends(world):
    entry = world.entry()
    world.outcome = NotRun("no engine takes work")
    await entry.accept(REQ)
    await asyncio.sleep(60)
    assert (await entry.lookup("r1", "co-op")).value.state is RequestState.OPEN
    world.outcome = Failed("convicted", 422)
    found = await world.wait_for_end(entry, "r1")
    assert found.state is RequestState.FAILED and found.row.status == 422


@scenario
async def test_an_entry_that_was_idle_accepts_again(world):
    first, second = world.entry(), world.entry()
    await first.accept(REQ)
    await world.wait_for_end(second, "r1")
    await asyncio.sleep(100)
    assert await first.accept(attrs.evolve(REQ, request_id="r2")) == Ok("r2")
    assert (await world.wait_for_end(second, "r2")).tokens


@scenario
async def test_expired_answers_and_dead_owners_leave_no_rows(world):
    first, second = world.entry(), world.entry()
    await first.accept(REQ)
    await asyncio.sleep(3)
    await first.close()
    await world.wait_for_end(second, "r1")
    await asyncio.sleep(2 * 3600)
    tables = ("journal-requests", "journal-open", "journal-owners", "journal-segments")
    assert [len(world.tables.rows(name)) for name in tables] == [0, 0, 0, 0]


def test_a_long_answer_goes_to_the_object_store():
    async def main():
        world = World(JournalSettings(value_limit=100))
        entry = world.entry()
        await entry.accept(REQ)
        found = await world.wait_for_end(entry, "r1")
        assert found.row.tokens == () and found.tokens == answer(REQ)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(10))
def test_random_deaths_and_faults_lose_nothing(seed):
    async def main():
        world = World()
        rng = random.Random(seed)
        entries = [world.entry() for _ in range(4)]
        accepted = []
        for number in range(40):
            await _break_something(world, rng, entries)
            req = attrs.evolve(REQ, request_id=f"r{number}", max_tokens=rng.randrange(1, 200))
            if isinstance(await rng.choice(entries).accept(req), Ok):
                accepted.append(req)
            await asyncio.sleep(rng.random())
        world.tables.faults.outage = False
        world.tables.faults.lose_after = world.tables.faults.lose_before = 0.0
        for req in accepted:
            found = await world.wait_for_end(entries[0], req.request_id)
            assert found.tokens == answer(req)
        assert accepted

    run_virtual(main())


async def _break_something(world, rng, entries):
    faults = world.tables.faults
    fault = rng.choice(("death", "outage", "lost", "well", "cut"))
    faults.outage = fault == "outage"
    faults.lose_after = faults.lose_before = 0.2 if fault == "lost" else 0.0
    index = rng.randrange(len(entries))
    for entry in entries:
        entry._parts.journal_tables.reachable = True
    if fault == "cut":
        entries[index]._parts.journal_tables.reachable = False
    if fault == "death":
        await entries[index].close()
        entries[index] = world.entry()


class TwoVersions(World):
    """Engines that run one model version at a time and cannot continue another's answer."""

    version = "v1"

    async def generate(self, req, sink, resume, version):
        if version not in ("", self.version):
            return Failed("retired", STATUS_VERSION_RETIRED)
        texts = tuple(f"{self.version}-{n} " for n in range(req.max_tokens))
        assert texts[: len(resume)] == resume
        sink.set_version(self.version)
        for sequence in range(len(resume), len(texts)):
            await asyncio.sleep(TOKEN_SECONDS)
            await sink.tokens((Token(1, sequence, texts[sequence]),))
        return Ok(Finished(1, len(texts), "length"))


def test_an_answer_never_mixes_versions_after_an_entry_death():
    async def main():
        world = TwoVersions()
        first, second = world.entry(), world.entry()
        await first.accept(REQ)
        sink = Collected()
        following = asyncio.ensure_future(second.follow("r1", "co-op", sink))
        await asyncio.sleep(5)
        world.version = "v2"
        await first.close()
        found = await world.wait_for_end(second, "r1")
        assert found.row.version == "v2"
        assert set(text.partition("-")[0] for text in found.tokens) == {"v2"}
        assert len(found.tokens) == REQ.max_tokens
        outcome = await following
        assert isinstance(outcome, Failed) and outcome.status == STATUS_VERSION_CHANGED
        assert sink.texts and all(text.startswith("v1-") for text in sink.texts)

    run_virtual(main())
