"""The document under concurrent editors, lost answers, outages, network cuts and restarts.

Five editors, of which two pairs share a section, make 40 edits each while the store loses answers
and has outages, data centres are cut off from the platform or each other, and processes restart.
Each edit adds one name to its section, so that an accepted edit that is missing from a later
revision can be detected.  Baselines: editors that write unconditionally, and processes that apply
the document of any source without comparing revisions.
"""

import asyncio
import functools
import random

import attrs

from cicadapond.document import (
    DocumentEditor,
    DocumentSettings,
    DocumentStore,
    DocumentTask,
    DocumentText,
    Edit,
    HistoryEntry,
    Intent,
    PeerSource,
    SectionWrite,
    StoreSource,
    hash_key,
    parse_document,
)
from cicadapond.document._source import TOPIC, fetch_with_timeout, handle_peer_request
from cicadapond.experiments._mesh import Mesh
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import Findings, Metrics, Ok, Unknown, VirtualClock, run_virtual, seconds
from cicadapond.peer import Digest
from cicadapond.provider import Write
from cicadapond.standin import DirectTables, TableModel

ZONES = ("yqr", "yxe", "ywg")
PROCESSES_PER_ZONE = 4
EDITORS = ("ann", "abe", "bea", "bob", "kim")
SECTION_OF = {
    "ann": "models",
    "abe": "models",
    "bea": "applications",
    "bob": "applications",
    "kim": "accounts",
}
EDITS_EACH = 40
EDIT_TIMEOUT = seconds(60)
IN_FORCE_TARGET_SECONDS = 5.0
SAMPLE_INTERVAL = seconds(0.05)
BETWEEN_FAULTS_SECONDS = (2.0, 10.0)
BETWEEN_RESTARTS_SECONDS = (1.0, 5.0)
BETWEEN_EDITS_SECONDS = (0.0, 5.0)
FAULT_SECONDS = (1.0, 15.0)
LOST_ANSWER_SHARE = 0.2
SETTLE_TIME = seconds(20)


class UncheckedDocumentTask:
    """Baseline: fetches from the store or a random peer and applies any revision."""

    def __init__(self, source, peers, cfg, clock, metrics, rng):
        self._source = source
        self._peers = peers
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._listeners = []
        self._text = DocumentText()
        self.intent = Intent()
        peers.register_handler(TOPIC, lambda payload: handle_peer_request(payload, self._text))

    def subscribe(self, listener):
        self._listeners.append(listener)

    async def wait_ready(self):
        return None

    async def run(self):
        while True:
            sources = [PeerSource(self._peers, member.name) for member in self._peers.members()]
            source = self._rng.choice([self._source, *sources])
            outcome = await fetch_with_timeout(source, -1, self._cfg.answer_limit)
            if isinstance(outcome, Ok) and outcome.value is not None:
                self._apply(outcome.value)
            await self._clock.sleep(self._cfg.shortest_poll)

    def _apply(self, text):
        self._text = text
        self.intent = parse_document(text.texts(), text.revision, Findings())
        for listener in self._listeners:
            listener(self.intent)


class UnconditionalEditor:
    """Baseline: an editor that overwrites the section, and writes again after a lost answer."""

    def __init__(self, store, clock, rng, tables):
        self._store = store
        self._clock = clock
        self._tables = tables

    async def apply(self, edit, limit):
        end = self._clock.monotonic() + limit
        while self._clock.monotonic() < end:
            read = await self._store.read()
            if isinstance(read, Ok) and await self._write(read.value, edit):
                return Ok(read.value.revision + 1)
            await self._clock.sleep(seconds(0.2))
        return Unknown("the store did not answer")

    async def _write(self, base, edit):
        unconditional = _UnconditionalTables(self._tables)
        store = DocumentStore(unconditional)
        writes = tuple(SectionWrite(name, text, 0) for name, text in edit.texts.items())
        entry = HistoryEntry(base.revision + 1, edit.token, "", self._clock.now(), {})
        return isinstance(await store.write(base, writes, entry), Ok)


class _UnconditionalTables:
    def __init__(self, tables):
        self._tables = tables

    async def transact(self, writes):
        return await self._tables.transact(
            tuple(Write(write.table, write.key, write.value) for write in writes)
        )


@attrs.define
class DocumentReport:
    """The results of one run."""

    accepted: dict[str, int] = attrs.field(factory=dict)
    unsettled: int = 0
    stale: int = 0
    missing: set[str] = attrs.field(factory=set)
    reverts: int = 0
    restarts: int = 0
    behind_at_ready: int = 0
    in_force_seconds: list[float] = attrs.field(factory=list)

    @property
    def lost(self) -> int:
        """Number of accepted edits that were missing from a later revision."""
        return len(self.missing)

    @property
    def max_in_force_seconds(self) -> float:
        """The longest time from commit to in force, counted while a path existed."""
        return max(self.in_force_seconds, default=0.0)

    @property
    def meets_targets(self) -> bool:
        """Whether the run meets all targets."""
        violations = self.lost or self.reverts or self.behind_at_ready
        return not violations and self.max_in_force_seconds <= IN_FORCE_TARGET_SECONDS


@attrs.define
class _Process:
    name: str
    zone: str
    task: object = None
    tables: DirectTables = None
    tasks: list = attrs.field(factory=list)
    revision: int = 0


class _Simulation:
    def __init__(self, seed, conditional_edits, task_class, edits_each):
        self._edits_each = edits_each
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.model = TableModel(self.clock, random.Random(seed + 1))
        self.mesh = Mesh(self.clock)
        self.report = DocumentReport()
        self.processes = [
            _Process(f"{zone}-{number}", zone)
            for zone in ZONES
            for number in range(PROCESSES_PER_ZONE)
        ]
        self.cut_zones = set()
        self._conditional_edits = conditional_edits
        self._task_class = task_class
        self._committed = set()
        self._pending_seconds = {}

    async def run(self):
        await self._create_document()
        for process in self.processes:
            self._start(process)
        faults = [
            asyncio.ensure_future(task)
            for task in (self._run_store_faults(), self._run_cuts(), self._run_restarts())
        ]
        sampling = asyncio.ensure_future(self._sample_processes())
        await asyncio.gather(*(self._edit_all(name) for name in EDITORS))
        for task in faults:
            task.cancel()
        self.model.faults.outage = False
        self._heal_cuts()
        await self.clock.sleep(SETTLE_TIME)
        sampling.cancel()
        self._record_missing()
        self.report.in_force_seconds.extend(self._pending_seconds.values())
        return self.report

    # Processes

    def _start(self, process):
        process.tables = DirectTables(self.model)
        process.tables.reachable = process.zone not in self.cut_zones
        peers = self.mesh.join(process.name, process.zone)
        process.task = self._task_class(
            StoreSource(DocumentStore(process.tables)),
            peers,
            DocumentSettings(),
            self.clock,
            Metrics(),
            random.Random(self.rng.random()),
        )
        process.revision = 0
        process.task.subscribe(functools.partial(self._applied, process, peers))
        process.tasks = [
            asyncio.ensure_future(process.task.run()),
            asyncio.ensure_future(peers.run_heartbeat()),
        ]

    def _applied(self, process, peers, intent):
        if intent.revision < process.revision:
            self.report.reverts += 1
        process.revision = intent.revision
        peers.publish(Digest(revision=intent.revision))

    async def _restart(self, process):
        for task in process.tasks:
            task.cancel()
        highest = max((other.revision for other in self._reachable_others(process)), default=0)
        self.report.restarts += 1
        self._start(process)
        await process.task.wait_ready()
        if process.task.intent.revision < highest:
            self.report.behind_at_ready += 1

    def _reachable_others(self, process):
        names = {node.name for node in self.mesh.reachable(process.name)} - {process.name}
        return [other for other in self.processes if other.name in names and other.revision]

    # Faults

    async def _run_store_faults(self):
        while True:
            await self._sleep_randomly(BETWEEN_FAULTS_SECONDS)
            if self.rng.random() < 0.5:
                self.model.faults.outage = True
            else:
                self.model.faults.extra_latency = seconds(self.rng.uniform(0.1, 0.6))
            await self._sleep_randomly(FAULT_SECONDS)
            self.model.faults.outage = False
            self.model.faults.extra_latency = seconds(0)

    async def _run_cuts(self):
        while True:
            await self._sleep_randomly(BETWEEN_FAULTS_SECONDS)
            self._cut_platform(self.rng.choice(ZONES))
            if self.rng.random() < 0.5:
                self.mesh.cut_zone_pairs.add(frozenset(self.rng.sample(ZONES, 2)))
            await self._sleep_randomly(FAULT_SECONDS)
            self._heal_cuts()

    async def _run_restarts(self):
        while True:
            await self._sleep_randomly(BETWEEN_RESTARTS_SECONDS)
            await self._restart(self.rng.choice(self.processes))

    async def _sleep_randomly(self, bounds):
        await self.clock.sleep(seconds(self.rng.uniform(*bounds)))

    def _cut_platform(self, zone):
        self.cut_zones.add(zone)
        for process in self.processes:
            if process.zone == zone:
                process.tables.reachable = False

    def _heal_cuts(self):
        self.mesh.cut_zone_pairs.clear()
        self.cut_zones.clear()
        for process in self.processes:
            process.tables.reachable = True

    # Edits

    async def _create_document(self):
        editors = {
            name: f'{{"key_hashes": ["{hash_key(name)}"], "sections": ["{section}", "editors"]}}'
            for name, section in SECTION_OF.items()
        }
        text = "{" + ", ".join(f'"{name}": {body}' for name, body in editors.items()) + "}"
        edit = Edit("begin", "ann", {"editors": text}, {"editors": 0})
        store = DocumentStore(DirectTables(self.model))
        outcome = await DocumentEditor(store, self.clock, random.Random(0)).apply(
            edit, EDIT_TIMEOUT
        )
        assert outcome == Ok(1), outcome
        self.model.faults.lose_after = LOST_ANSWER_SHARE
        self.model.faults.lose_before = LOST_ANSWER_SHARE / 2

    async def _edit_all(self, name):
        tables = DirectTables(self.model)
        store = DocumentStore(tables)
        rng = random.Random(self.rng.random())
        editor = (
            DocumentEditor(store, self.clock, rng)
            if self._conditional_edits
            else UnconditionalEditor(store, self.clock, rng, tables)
        )
        for number in range(self._edits_each):
            token = f"{name}-{number}"
            await self.clock.sleep(seconds(rng.uniform(*BETWEEN_EDITS_SECONDS)))
            await self._edit_once(store, editor, name, token)

    async def _edit_once(self, store, editor, name, token):
        """Retries an edit until it is accepted or its outcome is unknown; rereads when stale."""
        section = SECTION_OF[name]
        for attempt in range(100):
            read = await store.read()
            if not isinstance(read, Ok):
                await self.clock.sleep(seconds(0.5))
                continue
            text = read.value.sections.get(section)
            edit = Edit(
                f"{token}-{attempt}",
                name,
                {section: _add_name(section, text.text if text else "{}", token)},
                {section: text.version if text else 0},
            )
            outcome = await editor.apply(edit, EDIT_TIMEOUT)
            if isinstance(outcome, Ok):
                self.report.accepted[token] = outcome.value
                return
            if isinstance(outcome, Unknown):
                self.report.unsettled += 1
                return
            self.report.stale += 1

    # Observation

    async def _sample_processes(self):
        """Sums, for each revision and process, the time until in force while a path exists."""
        while True:
            self._record_commits()
            for process in self.processes:
                self._sample_process(process)
            await self.clock.sleep(SAMPLE_INTERVAL)

    def _record_commits(self):
        row = self.model.row("document", "revision")
        revision = row.value["revision"] if row.value else 0
        if revision not in self._committed:
            self._committed.add(revision)
            self._record_missing()
            for process in self.processes:
                self._pending_seconds[revision, process.name] = 0.0

    def _sample_process(self, process):
        open_waits = [
            revision
            for revision in self._committed
            if (revision, process.name) in self._pending_seconds
        ]
        if not open_waits:
            return
        reachable_names = {node.name for node in self.mesh.reachable(process.name)}
        reachable_processes = [other for other in self.processes if other.name in reachable_names]
        store_reachable = not self.model.faults.outage and any(
            other.zone not in self.cut_zones for other in reachable_processes
        )
        highest = max(other.revision for other in reachable_processes)
        for revision in open_waits:
            if process.revision >= revision:
                waited = self._pending_seconds.pop((revision, process.name))
                self.report.in_force_seconds.append(waited)
            elif store_reachable or highest >= revision:
                self._pending_seconds[revision, process.name] += SAMPLE_INTERVAL.total_seconds()

    def _record_missing(self):
        rows = {
            section: self.model.row("document", f"section/{section}").value
            for section in set(SECTION_OF.values())
        }
        for token in self.report.accepted:
            section = SECTION_OF[token.split("-")[0]]
            if rows[section] is None or f'"{token}"' not in rows[section]["text"]:
                self.report.missing.add(token)


def _add_name(section, text, name):
    body = '{"pool": "p", "version": "1"}' if section == "models" else "{}"
    inner = text.rstrip().removeprefix("{").removesuffix("}").rstrip()
    return f'{{{inner}\n  "{name}": {body},}}'


def run_editors(
    seed: int, conditional_edits: bool = True, task_class=DocumentTask, edits_each: int = EDITS_EACH
) -> DocumentReport:
    """Runs all edits of one seed.

    Args:
      seed: Seed of faults, losses and timing.
      conditional_edits: Whether edits are conditional and read back by token.
      task_class: The class of the processes' document tasks.
      edits_each: Number of edits of each editor.
    """
    return run_virtual(_Simulation(seed, conditional_edits, task_class, edits_each).run())


@experiments.register("document")
class DocumentExperiment(Experiment):
    """Compares concurrent edits under faults with two baselines."""

    summary = "200 concurrent edits by 5 editors under lost answers, outages, cuts and restarts"

    def run(self, seeds):
        variants = (
            ("as built", True, DocumentTask),
            ("unconditional edits", False, DocumentTask),
            ("any source, no comparison", True, UncheckedDocumentTask),
        )
        rows = []
        for title, conditional, task_class in variants:
            for seed in seeds:
                report = run_editors(seed, conditional, task_class)
                rows.append((title, seed, *_cells(report)))
        columns = (
            "way",
            "seed",
            "accepted",
            "unknown",
            "lost",
            "went back",
            "restarts",
            "behind at ready",
            "in force p50 s",
            "in force max s",
        )
        return (Table("200 racing edits by 5 editors", columns, tuple(rows)),)


def _cells(report):
    waits = sorted(report.in_force_seconds)
    return (
        len(report.accepted),
        report.unsettled,
        report.lost,
        report.reverts,
        report.restarts,
        report.behind_at_ready,
        waits[len(waits) // 2],
        report.max_in_force_seconds,
    )
