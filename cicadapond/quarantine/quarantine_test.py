"""Poison requests: at most two crashes each, no innocent convicted, whatever the interleaving."""

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.kernel import ManualClock, seconds
from cicadapond.quarantine import Quarantine

SERVERS = ("e1", "e2", "e3", "e4")
SETTLED = seconds(3)


def accuse(quarantine, *bodies, server="e1"):
    tickets = [quarantine.started(body, server) for body in bodies]
    for ticket in tickets:
        quarantine.crashed(ticket)


def settle(clock, quarantine, body):
    quarantine.wait(body)
    clock.advance(SETTLED)


def test_a_crash_makes_all_in_flight_there_suspects_once():
    quarantine = Quarantine(ManualClock())
    quarantine.started("elsewhere", "e2")
    accuse(quarantine, "a", "b")
    assert quarantine.suspects() == {"a": 1, "b": 1}
    assert quarantine.convicted() == {}


def test_a_second_crash_alone_convicts_for_a_term():
    clock = ManualClock()
    shared = []
    quarantine = Quarantine(clock, lambda: seconds(60))
    quarantine.on_convicted(lambda *row: shared.append(row))
    accuse(quarantine, "p", "good")
    settle(clock, quarantine, "p")
    server = quarantine.place("p", SERVERS)
    company = quarantine.started("fresh", server)
    quarantine.crashed(quarantine.started("p", server))
    quarantine.ended(company)
    assert list(quarantine.convicted()) == ["p"]
    assert shared == [("p", clock.now() + seconds(60))]
    assert "fresh" not in quarantine.suspects()
    clock.advance(seconds(61))
    assert quarantine.conviction_end("p") is None


def test_a_whole_answer_clears():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    accuse(quarantine, "a")
    settle(clock, quarantine, "a")
    quarantine.whole(quarantine.started("a", quarantine.place("a", SERVERS)))
    assert not quarantine.is_suspect("a")


def test_a_trial_ends_with_progress_and_the_next_suspect_comes():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    accuse(quarantine, "a", "b", "c")
    tickets = []
    for body in ("a", "b", "c"):
        settle(clock, quarantine, body)
        assert quarantine.place(body, ("only",)) == "only"
        tickets.append(quarantine.started(body, "only"))
        quarantine.end_wait(body)
        if body != "c":
            quarantine.progressed(tickets[-1])
    quarantine.crashed(tickets[0])
    assert list(quarantine.convicted()) == ["c"]


def test_of_several_suspects_past_their_trial_none_is_convicted():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    accuse(quarantine, "a", "b")
    tickets = [quarantine.started(body, "only") for body in ("a", "b")]
    for ticket in tickets:
        quarantine.progressed(ticket)
    quarantine.crashed(tickets[0])
    assert quarantine.convicted() == {}
    assert quarantine.suspects() == {"a": 2, "b": 2}


def test_suspects_run_one_per_server():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    bodies = [f"b{number}" for number in range(20)]
    accuse(quarantine, *bodies)
    for body in bodies:
        quarantine.wait(body)
    assert [quarantine.place(body, SERVERS) for body in bodies] == [None] * len(bodies)
    clock.advance(SETTLED)
    placed = {}
    for body in bodies:
        server = quarantine.place(body, SERVERS)
        if server is not None:
            assert server not in placed
            placed[server] = quarantine.started(body, server)
    assert set(placed) == set(SERVERS)


def test_another_processes_suspect_waits_and_its_conviction_holds():
    clock = ManualClock()
    here, there = Quarantine(clock), Quarantine(clock)
    accuse(here, "p")
    there.merge(here.convicted(), here.suspects(), "here")
    assert there.is_suspect("p")
    there.wait("p")
    assert there.place("p", SERVERS) is None
    settle(clock, here, "p")
    here.crashed(here.started("p", here.place("p", SERVERS)))
    there.merge(here.convicted(), here.suspects(), "here")
    assert there.conviction_end("p") is not None


def test_a_process_that_names_no_suspects_any_more_blocks_none():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    quarantine.merge({}, {f"{number}": 1 for number in range(50)}, "peer")
    accuse(quarantine, "~last")
    settle(clock, quarantine, "~last")
    assert quarantine.place("~last", SERVERS) is None
    quarantine.merge({}, {}, "peer")
    assert quarantine.place("~last", SERVERS) is not None


def test_a_suspect_waits_for_one_that_runs_even_if_it_would_go_first():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    accuse(quarantine, "b")
    settle(clock, quarantine, "b")
    running = quarantine.started("b", quarantine.place("b", ("only",)))
    accuse(quarantine, "a", server="other")
    settle(clock, quarantine, "a")
    assert quarantine.place("a", ("only",)) is None
    quarantine.whole(running)
    assert quarantine.place("a", ("only",)) == "only"


def test_a_crash_that_another_processes_suspect_may_have_caused_convicts_nobody():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    accuse(quarantine, "b")
    settle(clock, quarantine, "b")
    ticket = quarantine.started("b", quarantine.place("b", ("only",)))
    quarantine.merge({}, {"a": 1}, "peer")
    quarantine.crashed(ticket)
    assert quarantine.convicted() == {}
    assert quarantine.suspects() == {"b": 2}


# Random interleavings


@attrs.define
class _Request:
    body: str
    entry: int
    ticket: object = None
    server: str = ""
    ticks: int = 0
    waiting: bool = False


class _World:
    """Entries before common servers; a poison body crashes its server a tick after its start."""

    def __init__(self, entries, poisons, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.entries = [Quarantine(self.clock) for _ in range(entries)]
        self.poisons = poisons
        self.requests = []
        self.crashes = dict.fromkeys(poisons, 0)
        self.innocents = 0

    def tick(self, number, arrivals):
        self.clock.advance(seconds(0.5))
        for poison in self.poisons:
            if not any(req.body == poison for req in self.requests):
                self._arrive(poison)
        for _ in range(arrivals):
            self.innocents += 1
            self._arrive(f"good-{self.innocents}")
        for req in list(self.requests):
            self._advance(req)
        self._crash()
        if number % 3 == 0:
            self._gossip()

    def _arrive(self, body):
        self.requests.append(_Request(body, self.rng.randrange(len(self.entries))))

    def _advance(self, req):
        quarantine = self.entries[req.entry]
        if req.ticket is not None:
            req.ticks += 1
            if req.body not in self.poisons and req.ticks == 2:
                quarantine.progressed(req.ticket)
            if req.body not in self.poisons and req.ticks > 4:
                quarantine.whole(req.ticket)
                self.requests.remove(req)
        elif quarantine.conviction_end(req.body):
            self._end_wait(req)
            self.requests.remove(req)
        else:
            self._start(req, quarantine)

    def _start(self, req, quarantine):
        if quarantine.is_suspect(req.body):
            if not req.waiting:
                quarantine.wait(req.body)
                req.waiting = True
            req.server = quarantine.place(req.body, SERVERS)
            if req.server is None:
                return
            self._end_wait(req)
        else:
            suspected = quarantine.servers_with_suspects()
            free = [name for name in SERVERS if name not in suspected]
            req.server = self.rng.choice(free or SERVERS)
        req.ticket = quarantine.started(req.body, req.server)
        req.ticks = 0

    def _end_wait(self, req):
        if req.waiting:
            self.entries[req.entry].end_wait(req.body)
            req.waiting = False

    def _crash(self):
        for poison in self.poisons:
            running = [req for req in self.requests if req.body == poison and req.ticket]
            for req in running:
                if req.ticket is None or req.ticks < 1:
                    continue
                self.crashes[poison] += 1
                for victim in self.requests:
                    if victim.ticket is not None and victim.server == req.server:
                        self.entries[victim.entry].crashed(victim.ticket)
                        victim.ticket = None

    def _gossip(self):
        for place, source in enumerate(self.entries):
            for other in self.entries:
                if other is not source:
                    other.merge(source.convicted(), source.suspects(), f"entry-{place}")

    def convicted(self):
        return {body for entry in self.entries for body in entry.convicted()}


arrivals_lists = st.lists(st.integers(0, 4), min_size=60, max_size=160)


@given(st.integers(1, 3), st.integers(0, 2**32), arrivals_lists)
@settings(max_examples=150, deadline=None)
def test_one_poison_request_resent_for_ever_crashes_twice_at_most(entries, seed, arrivals):
    world = _World(entries, ("poison",), seed)
    for number, count in enumerate(arrivals):
        world.tick(number, count)
    assert world.crashes["poison"] <= 2
    assert world.convicted() <= {"poison"}


@given(st.integers(0, 2**32), arrivals_lists)
@settings(max_examples=100, deadline=None)
def test_several_poison_requests_convict_no_innocent(seed, arrivals):
    poisons = ("poison-1", "poison-2", "poison-3")
    world = _World(1, poisons, seed)
    for number, count in enumerate(arrivals):
        world.tick(number, count)
    assert world.convicted() <= set(poisons)
