"""Tests owner logs with lost, delayed and refused writes, fencing and process crashes."""

import itertools
import random

import attrs
import hypothesis
from hypothesis import strategies as st

from cicadapond.data import Completion
from cicadapond.journal._log import Closed, Committed, Fenced, Owned, OwnerLog, Refused
from cicadapond.journal._rows import (
    OPEN,
    OWNERS,
    REQUESTS,
    SEGMENTS,
    DurableText,
    RequestRow,
    RequestState,
    decode_owner,
    decode_request,
    encode_owner,
)
from cicadapond.journal._watch import OwnerWatch
from cicadapond.kernel import AnswerLost, ManualClock, Ok, Unavailable, seconds
from cicadapond.provider import Write
from cicadapond.standin import TableModel

INTERVAL = seconds(1)
FAULTS = ("none", "none", "none", "lost-after", "lost-before", "delayed", "out")
ACTIONS = ("accept", "write", "write", "write", "generate", "adopt", "adopt", "land", "die")
ANSWER = tuple(f"t{number}" for number in range(12))


class World:
    """Tables that apply writes at once, and owners whose writes may be lost or delayed."""

    def __init__(self):
        self.tables = TableModel(ManualClock(), random.Random(0))
        self.numbers = itertools.count()
        self.logs = []
        self.delayed = []
        self.owned = set()
        self.refused = set()
        self.committed = {}
        self.epochs = {}

    def log(self, index):
        """Returns an owner's log; a fenced owner is replaced by a new one."""
        while len(self.logs) <= index:
            self.logs.append(self._new_log())
        if self.logs[index].fenced:
            self.logs[index] = self._new_log()
        return self.logs[index]

    def accept(self, log):
        """Adds a new request."""
        request_id = f"r{next(self.numbers)}"
        req = Completion(request_id, "a", "m", "p", len(ANSWER))
        now = ManualClock().now()
        log.add(RequestRow(req, "body", log.owner, 1, RequestState.OPEN, now))

    def generate(self, log):
        """Generates tokens for all durable requests, and finishes those that are complete."""
        for request_id, record in log.requests.items():
            if not log.is_durable(request_id) or record.row.state is not RequestState.OPEN:
                continue
            done = len(record.tokens)
            if done < len(ANSWER):
                log.append(request_id, ANSWER[done : done + 3])
            else:
                row = attrs.evolve(record.row, state=RequestState.DONE, tokens=ANSWER)
                log.close(request_id, row)

    def write(self, log, fault):
        """Sends the owner's next batch."""
        batch = log.next_batch(INTERVAL)
        if batch is None:
            return
        outcome = self._send(batch, fault)
        for result in log.handle_outcome(outcome):
            self._record(result)

    def apply_delayed(self):
        """Applies the oldest delayed write."""
        if self.delayed:
            self._apply(self.delayed.pop(0))

    def adopt(self, log, victim):
        """Fences another owner and adopts its requests."""
        for row in self.tables.rows(OWNERS):
            if row.key == victim.owner and row.key != log.owner:
                fenced = encode_owner(attrs.evolve(decode_owner(row), fenced=True))
                self.tables.apply((Write(OWNERS, row.key, fenced, row.version),))
                self._claim_all(log, row.key)

    def durable(self, request_id):
        """Returns a request's row and durable tokens from the tables."""
        row = decode_request(self.tables.row(REQUESTS, request_id))
        text = DurableText(list(row.tokens), row.version)
        if row.state is RequestState.OPEN:
            for segment in self.tables.rows(SEGMENTS, f"{row.owner}/"):
                text.extend(segment, request_id)
        return row, text.tokens

    def check(self):
        """Checks the invariants that must hold after every step."""
        for request_id in self.owned:
            row, tokens = self.durable(request_id)
            progress = (row.epoch, row.state is RequestState.DONE)
            assert progress >= self.epochs.get(request_id, progress), "an old owner wrote"
            self.epochs[request_id] = progress
            assert tuple(tokens) == ANSWER[: len(tokens)]
            assert len(tokens) >= self.committed.get(request_id, 0)
            key = f"{row.owner}/{request_id}"
            assert (self.tables.row(OPEN, key).version > 0) == (row.state is RequestState.OPEN)
        for request_id in self.refused:
            assert self.tables.row(REQUESTS, request_id).version == 0

    def _new_log(self):
        return OwnerLog(f"owner{next(self.numbers)}", lambda: f"batch{next(self.numbers)}")

    def _send(self, batch, fault):
        if fault == "out":
            return Unavailable("out")
        if fault == "lost-before":
            return AnswerLost("lost")
        if fault == "delayed":
            self.delayed.append(batch.writes)
            return AnswerLost("lost")
        outcome = self._apply(batch.writes)
        return AnswerLost("lost") if fault == "lost-after" else outcome

    def _apply(self, writes):
        before = decode_owner(self.tables.row(OWNERS, writes[0].key))
        outcome = self.tables.apply(writes)
        if isinstance(outcome, Ok):
            assert before is None or not before.fenced, "a fenced owner wrote"
        return outcome

    def _record(self, result):
        match result:
            case Owned(request_id):
                self.owned.add(request_id)
            case Refused(request_id):
                if request_id not in self.owned:
                    self.refused.add(request_id)
            case Committed(request_id, length):
                self.committed[request_id] = max(length, self.committed.get(request_id, 0))
            case Closed(request_id):
                self.committed[request_id] = len(ANSWER)
            case Fenced(_, unwritten):
                self.refused.update(row.request.request_id for row in unwritten)

    def _claim_all(self, log, owner):
        for found in self.tables.rows(OPEN, f"{owner}/"):
            request_id = found.key.removeprefix(f"{owner}/")
            row, tokens = self.durable(request_id)
            version = self.tables.row(REQUESTS, request_id).version
            if row.owner == owner and request_id not in log.requests:
                next_row = attrs.evolve(row, epoch=row.epoch + 1, tokens=tuple(tokens))
                log.add(next_row, tuple(tokens), version, owner)


actions = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(FAULTS),
    ),
    min_size=25,
    max_size=60,
)


@hypothesis.settings(max_examples=800, deadline=None, derandomize=True)
@hypothesis.given(actions)
def test_no_interleaving_loses_accepted_work(steps):
    world = World()
    world.accept(world.log(0))
    for action, place, other, fault in steps:
        _step(world, action, place, other, fault)
        world.check()
    _finish(world)


def _step(world, action, index, other, fault):
    log = world.log(index)
    match action:
        case "accept":
            world.accept(log)
        case "write":
            world.write(log, fault)
        case "generate":
            world.generate(log)
        case "adopt":
            world.adopt(log, world.log(other))
        case "land":
            world.apply_delayed()
        case "die":
            dead = world.logs[index]
            world.logs[index] = world._new_log()
            world.adopt(world.logs[index], dead)


def _finish(world):
    """Ends the faults; one owner then adopts all requests and must finish each owned one."""
    while world.delayed:
        world.apply_delayed()
    last = world._new_log()
    for row in world.tables.rows(OWNERS):
        victim = OwnerLog(row.key, lambda: "")
        world.adopt(last, victim)
    for _ in range(40):
        world.write(last, "none")
        world.generate(last)
    world.check()
    for request_id in world.owned:
        row, tokens = world.durable(request_id)
        assert row.state is RequestState.DONE and tuple(tokens) == ANSWER


def test_time_without_reads_does_not_count_against_an_owner():
    watch = OwnerWatch(3, seconds(8))
    row = decode_owner(_owner_row())
    rows = {"a": (7, row)}
    assert watch.observe(rows, seconds(0)) == []
    watch.reset()
    assert watch.observe(rows, seconds(4)) == []
    assert watch.observe(rows, seconds(6)) == []
    assert watch.observe(rows, seconds(60)) == []  # this process was paused
    assert watch.observe(rows, seconds(64)) == ["a"]
    assert watch.observe({"a": (8, row)}, seconds(66)) == []


def test_membership_alone_does_not_mark_a_writing_owner_dead():
    watch = OwnerWatch(5, seconds(8))
    row = decode_owner(_owner_row())
    for second in range(10):
        rows = {"entry-1.life": (second, row)}
        assert watch.observe(rows, seconds(second), {"entry-1"}) == []
    assert watch.observe(rows, seconds(11), {"entry-1"}) == ["entry-1.life"]


def _owner_row():
    tables = TableModel(ManualClock(), random.Random(0))
    value = {"batch": "b", "interval": 1.0, "fenced": False}
    tables.apply((Write(OWNERS, "a", value),))
    return tables.row(OWNERS, "a")
