"""The document in force: never an older revision, peers as fallback, the last valid text."""

import asyncio
import random

import attrs
import hypothesis
import hypothesis.strategies as st

from cicadapond.document import (
    DocumentSettings,
    DocumentStore,
    DocumentTask,
    DocumentText,
    SectionText,
    StoreSource,
)
from cicadapond.document._rows import pack_document, unpack_document
from cicadapond.experiments._mesh import Mesh
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.peer import Digest
from cicadapond.provider import Write
from cicadapond.standin import DirectTables, TableModel

PROPAGATION_LIMIT = seconds(5)


def text_of(revision, body=None):
    body = body or f'{{"s{revision}": {{}}}}'
    return DocumentText(revision, {"applications": SectionText(body, revision, revision)}, revision)


class World:
    """A table service, a peer mesh, and processes by name that run a `DocumentTask`."""

    def __init__(self):
        self.clock = VirtualClock()
        self.model = TableModel(self.clock, random.Random(1))
        self.mesh = Mesh(self.clock)
        self.running = {}

    def put(self, revision, body=None):
        body = body or f'{{"s{revision}": {{}}}}'
        rows = {"revision": {"revision": revision}}
        rows["section/applications"] = {"text": body, "revision": revision}
        self.model.apply(tuple(Write("document", key, value) for key, value in rows.items()))

    def start(self, name, zone="a", reachable=True):
        peers = self.mesh.join(name, zone)
        tables = DirectTables(self.model)
        tables.reachable = reachable
        source = StoreSource(DocumentStore(tables))
        task = DocumentTask(
            source, peers, DocumentSettings(), self.clock, Metrics(), random.Random(name)
        )
        task.seen = []
        task.subscribe(lambda intent: task.seen.append(intent.revision))
        task.subscribe(lambda intent: peers.publish(Digest(revision=intent.revision)))
        loops = [asyncio.ensure_future(task.run()), asyncio.ensure_future(peers.run_heartbeat())]
        self.running[name] = loops
        return task

    def stop(self, name):
        for loop in self.running.pop(name):
            loop.cancel()
        del self.mesh.nodes[name]


def run(scenario):
    return run_virtual(scenario(World()))


def test_a_change_is_in_force_everywhere_within_seconds():
    async def scenario(world):
        world.put(1)
        tasks = [world.start(f"p{number}", zone) for number, zone in enumerate("aabbcc")]
        await world.clock.sleep(PROPAGATION_LIMIT)
        world.put(2)
        await world.clock.sleep(PROPAGATION_LIMIT)
        return [task.seen for task in tasks]

    assert run(scenario) == [[1, 2]] * 6


def test_a_process_without_table_service_starts_with_the_highest_revision_of_its_peers():
    async def scenario(world):
        world.put(7)
        world.start("old")
        await world.clock.sleep(PROPAGATION_LIMIT)
        world.put(8)
        world.start("ahead")
        await world.clock.sleep(seconds(0.1))
        world.model.faults.outage = True
        task = world.start("new", reachable=False)
        await task.wait_ready()
        return task.seen

    assert run(scenario)[-1] == 8


def test_a_process_without_any_answer_is_not_ready():
    async def scenario(world):
        world.model.faults.outage = True
        task = world.start("alone")
        await world.clock.sleep(PROPAGATION_LIMIT)
        before = task.ready
        world.model.faults.outage = False
        await world.clock.sleep(PROPAGATION_LIMIT)
        return before, task.ready

    assert run(scenario) == (False, True)


def test_a_data_centre_without_table_service_is_updated_by_another():
    async def scenario(world):
        world.put(1)
        world.start("a1", "a")
        task = world.start("b1", "b", reachable=False)
        await world.clock.sleep(PROPAGATION_LIMIT)
        world.put(2)
        await world.clock.sleep(PROPAGATION_LIMIT)
        return task.seen

    assert run(scenario) == [1, 2]


def test_a_lower_revision_is_never_applied():
    async def scenario(world):
        task = world.start("p")
        task.offer(text_of(5))
        assert not task.offer(text_of(4))
        assert not task.offer(text_of(5, '{"other": {}}'))
        return task.seen, list(task.intent.applications)

    assert run(scenario) == ([5], ["s5"])


@hypothesis.given(offers=st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=20))
def test_the_revision_in_force_only_rises(offers):
    async def scenario(world):
        task = world.start("p")
        for revision, parses in offers:
            task.offer(text_of(revision, None if parses else "{"))
        return task.seen, task.latest.revision

    seen, latest = run(scenario)
    assert seen == sorted(set(seen))
    assert latest == max((revision for revision, _ in offers), default=0)


def test_a_text_that_does_not_parse_is_kept_for_peers_and_not_applied():
    async def scenario(world):
        task = world.start("p")
        task.offer(text_of(5))
        assert not task.offer(text_of(6, '{"s": {"unknown": 1}}'))
        held = [str(found) for found in task.held_back]
        in_force = task.intent.revision
        task.offer(text_of(7))
        return in_force, task.latest.revision, held, task.held_back

    assert run(scenario) == (
        5,
        7,
        [
            "applications:1:8: unknown key 'unknown'; known: replicas, calls, timeout, "
            "slots_per_server"
        ],
        (),
    )


def test_a_malformed_document_message_is_rejected():
    document = text_of(3)
    assert unpack_document(pack_document(document)) == document
    broken = [None, {}, {"revision": 1, "sections": {"models": 3}, "row_version": 1}]
    broken.append(pack_document(attrs.evolve(document, sections={"cost": SectionText(3)})))
    assert [unpack_document(value) for value in broken] == [None] * len(broken)
