"""Property test of attempts under random interleavings of lost writes, delays and outages."""

import hypothesis
from hypothesis import strategies as st

from cicadapond.data import ServiceResponse
from cicadapond.kernel import ManualClock, NotRun, Ok, seconds
from cicadapond.ledger._attempt import Attempt
from cicadapond.ledger._messages import (
    Finish,
    Put,
    Read,
    Respond,
    RowRead,
    RowWritten,
    Send,
    SendAnswered,
    SendNotRun,
    SendUnknown,
    StoreOut,
    Wait,
    Waited,
    WriteLost,
    WriteRefused,
)
from cicadapond.ledger._row import RowState
from cicadapond.ledger._settings import LedgerSettings

ANSWER = ServiceResponse(201, (), b"charged")
CFG = LedgerSettings()
FAULTS = ("none", "none", "lost-after", "lost-before", "delayed", "out", "caller-gone")
SENDS = ("answered", "ran-unknown", "did-not-run-unknown", "not-run")


class World:
    """One row, attempts by several entry processes, and a backend that counts runs."""

    def __init__(self):
        self.clock = ManualClock()
        self.row = None
        self.version = 0
        self.delayed = []
        self.runs = {}
        self.waiting = {}
        self.outcomes = {}
        self.attempts = {}

    def begin(self):
        """Starts an attempt by another entry process."""
        name = f"token-{len(self.attempts)}"
        deadline = self.clock.monotonic() + seconds(10)
        self.attempts[name] = Attempt(CFG, self.clock, "body", name, deadline)
        self._take(name, self.attempts[name].start())
        return name

    def step(self, name, fault, send):
        """Completes an attempt's last command under a fault."""
        attempt = self.attempts[name]
        if fault == "caller-gone":
            attempt.caller_gone = True
            return
        match self.waiting[name]:
            case Put(row, expected):
                event = self._put(row, expected, fault)
            case Read():
                event = StoreOut() if fault == "out" else RowRead(self.row)
            case Send():
                event = self._send(name, send)
            case Wait(duration):
                self.clock.advance(duration)
                event = Waited()
        self._take(name, attempt.handle(event))

    def kill(self, name):
        """Simulates the death of an attempt's process."""
        self.waiting.pop(name, None)

    def deliver_delayed(self):
        """Applies a write that was reported as lost."""
        if self.delayed:
            self._apply(*self.delayed.pop(0))

    def _take(self, name, commands):
        for command in commands:
            if isinstance(command, Respond):
                assert name not in self.outcomes
                self.outcomes[name] = command.outcome
                self._check_outcome(name, command.outcome)
        self.waiting[name] = commands[-1]
        if isinstance(commands[-1], Finish):
            assert name in self.outcomes
            del self.waiting[name]

    def _check_outcome(self, name, outcome):
        if isinstance(outcome, NotRun):
            assert self.runs.get(name, 0) == 0
            row = self.row
            holds = row is not None and row.token == name
            assert not holds or row.state is RowState.CANCELLED
        if isinstance(outcome, Ok):
            assert sum(self.runs.values()) == 1

    def _put(self, row, expected, fault):
        if fault == "out":
            return StoreOut()
        if fault == "lost-before":
            return WriteLost()
        if fault == "delayed":
            self.delayed.append((row, expected))
            return WriteLost()
        event = self._apply(row, expected)
        return WriteLost() if fault == "lost-after" else event

    def _apply(self, row, expected):
        current = 0 if self.row is None else self.row.version
        if current != expected:
            return WriteRefused(self.row)
        self.version += 1
        fields = {name: getattr(row, name) for name in row.__slots__ if name != "__weakref__"}
        self.row = type(row)(**(fields | {"version": self.version}))
        return RowWritten(self.version)

    def _send(self, name, send):
        if send == "not-run":
            return SendNotRun("connection refused")
        if send == "did-not-run-unknown":
            return SendUnknown("silent")
        self.runs[name] = self.runs.get(name, 0) + 1
        assert sum(self.runs.values()) == 1, "the work ran twice"
        return SendAnswered(ANSWER) if send == "answered" else SendUnknown("silent")


steps = st.lists(
    st.tuples(
        st.sampled_from(["begin", "step", "step", "step", "step", "kill", "land", "pause"]),
        st.integers(0, 5),
        st.sampled_from(FAULTS),
        st.sampled_from(SENDS),
    ),
    max_size=60,
)


@hypothesis.settings(max_examples=1500, deadline=None, derandomize=True)
@hypothesis.given(steps)
def test_no_interleaving_runs_twice_or_reports_a_wrong_outcome(actions):
    world = World()
    world.begin()
    for action, number, fault, send in actions:
        names = list(world.waiting)
        name = names[number % len(names)] if names else None
        if action == "begin" and len(world.attempts) < 6:
            world.begin()
        elif action == "land":
            world.deliver_delayed()
        elif action == "pause":
            world.clock.advance(seconds(3 * number))
        elif action == "kill" and name:
            world.kill(name)
        elif action == "step" and name:
            world.step(name, fault, send)
    _finish_and_check(world)


def _finish_and_check(world):
    """Checks that running attempts finish and a resend gets a final outcome after the faults."""
    while world.delayed:
        world.deliver_delayed()
    for name in list(world.waiting):
        _run_to_end(world, name)
    world.clock.advance(seconds(600))
    last = world.begin()
    _run_to_end(world, last)
    assert world.row.state is not RowState.SENDING
    if isinstance(world.outcomes[last], NotRun):
        assert world.runs == {}


def _run_to_end(world, name):
    for _ in range(200):
        if name not in world.waiting:
            return
        world.step(name, "none", "answered")
    raise AssertionError("the attempt did not finish within 200 steps")
