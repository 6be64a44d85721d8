"""Poison requests crash at most two servers and no harmless request is quarantined."""

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.kernel import ManualClock, seconds
from cicadapond.quarantine import Quarantine

SERVERS = ("e1", "e2", "e3", "e4")
SETTLED = seconds(3)


def crash_with(quarantine, *content_hashes, server="e1"):
    tickets = [quarantine.started(content_hash, server) for content_hash in content_hashes]
    for ticket in tickets:
        quarantine.crashed(ticket)


def wait_until_settled(clock, quarantine, content_hash):
    quarantine.begin_wait(content_hash)
    clock.advance(SETTLED)


def test_a_crash_makes_each_request_in_flight_there_a_suspect_once():
    quarantine = Quarantine(ManualClock())
    quarantine.started("elsewhere", "e2")
    crash_with(quarantine, "a", "b")
    assert quarantine.suspects() == {"a": 1, "b": 1}
    assert quarantine.quarantined() == {}


def test_a_second_crash_as_the_only_suspect_quarantines_for_the_term():
    clock = ManualClock()
    reported = []
    quarantine = Quarantine(clock, lambda: seconds(60))
    quarantine.on_quarantined(lambda *row: reported.append(row))
    crash_with(quarantine, "p", "good")
    wait_until_settled(clock, quarantine, "p")
    server = quarantine.assign_server("p", SERVERS)
    concurrent = quarantine.started("fresh", server)
    quarantine.crashed(quarantine.started("p", server))
    quarantine.ended(concurrent)
    assert list(quarantine.quarantined()) == ["p"]
    assert reported == [("p", clock.now() + seconds(60))]
    assert "fresh" not in quarantine.suspects()
    clock.advance(seconds(61))
    assert quarantine.quarantined_until("p") is None


def test_a_complete_answer_removes_the_suspicion():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crash_with(quarantine, "a")
    wait_until_settled(clock, quarantine, "a")
    quarantine.completed(quarantine.started("a", quarantine.assign_server("a", SERVERS)))
    assert not quarantine.is_suspect("a")


def test_a_trial_ends_with_progress_and_the_next_suspect_runs():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crash_with(quarantine, "a", "b", "c")
    tickets = []
    for content_hash in ("a", "b", "c"):
        wait_until_settled(clock, quarantine, content_hash)
        assert quarantine.assign_server(content_hash, ("only",)) == "only"
        tickets.append(quarantine.started(content_hash, "only"))
        quarantine.end_wait(content_hash)
        if content_hash != "c":
            quarantine.progressed(tickets[-1])
    quarantine.crashed(tickets[0])
    assert list(quarantine.quarantined()) == ["c"]


def test_of_several_suspects_past_their_trial_none_is_quarantined():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crash_with(quarantine, "a", "b")
    tickets = [quarantine.started(content_hash, "only") for content_hash in ("a", "b")]
    for ticket in tickets:
        quarantine.progressed(ticket)
    quarantine.crashed(tickets[0])
    assert quarantine.quarantined() == {}
    assert quarantine.suspects() == {"a": 2, "b": 2}


def test_suspects_run_one_per_server():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    content_hashes = [f"b{number}" for number in range(20)]
    crash_with(quarantine, *content_hashes)
    for content_hash in content_hashes:
        quarantine.begin_wait(content_hash)
    assert [quarantine.assign_server(content_hash, SERVERS) for content_hash in content_hashes] == [
        None
    ] * len(content_hashes)
    clock.advance(SETTLED)
    placed = {}
    for content_hash in content_hashes:
        server = quarantine.assign_server(content_hash, SERVERS)
        if server is not None:
            assert server not in placed
            placed[server] = quarantine.started(content_hash, server)
    assert set(placed) == set(SERVERS)


def test_suspects_and_quarantines_of_another_process_apply_here():
    clock = ManualClock()
    here, there = Quarantine(clock), Quarantine(clock)
    crash_with(here, "p")
    there.merge(here.quarantined(), here.suspects(), "here")
    assert there.is_suspect("p")
    there.begin_wait("p")
    assert there.assign_server("p", SERVERS) is None
    wait_until_settled(clock, here, "p")
    here.crashed(here.started("p", here.assign_server("p", SERVERS)))
    there.merge(here.quarantined(), here.suspects(), "here")
    assert there.quarantined_until("p") is not None


def test_suspects_that_a_peer_no_longer_reports_block_nothing():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    quarantine.merge({}, {f"{number}": 1 for number in range(50)}, "peer")
    crash_with(quarantine, "~last")
    wait_until_settled(clock, quarantine, "~last")
    assert quarantine.assign_server("~last", SERVERS) is None
    quarantine.merge({}, {}, "peer")
    assert quarantine.assign_server("~last", SERVERS) is not None


def test_a_suspect_waits_for_a_running_one_even_if_it_has_precedence():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crash_with(quarantine, "b")
    wait_until_settled(clock, quarantine, "b")
    running = quarantine.started("b", quarantine.assign_server("b", ("only",)))
    crash_with(quarantine, "a", server="other")
    wait_until_settled(clock, quarantine, "a")
    assert quarantine.assign_server("a", ("only",)) is None
    quarantine.completed(running)
    assert quarantine.assign_server("a", ("only",)) == "only"


def test_a_crash_that_a_peers_suspect_may_have_caused_quarantines_nothing():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crash_with(quarantine, "b")
    wait_until_settled(clock, quarantine, "b")
    ticket = quarantine.started("b", quarantine.assign_server("b", ("only",)))
    quarantine.merge({}, {"a": 1}, "peer")
    quarantine.crashed(ticket)
    assert quarantine.quarantined() == {}
    assert quarantine.suspects() == {"b": 2}


# Random interleavings


@attrs.define
class _Request:
    content_hash: str
    entry: int
    ticket: object = None
    server: str = ""
    ticks: int = 0
    waiting: bool = False


class _World:
    """Entries that share servers; a poison request crashes its server one tick after its start."""

    def __init__(self, entries, poisons, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.entries = [Quarantine(self.clock) for _ in range(entries)]
        self.poisons = poisons
        self.requests = []
        self.crashes = dict.fromkeys(poisons, 0)
        self.harmless_count = 0

    def tick(self, number, arrivals):
        self.clock.advance(seconds(0.5))
        for poison in self.poisons:
            if not any(req.content_hash == poison for req in self.requests):
                self._add_request(poison)
        for _ in range(arrivals):
            self.harmless_count += 1
            self._add_request(f"good-{self.harmless_count}")
        for req in list(self.requests):
            self._advance(req)
        self._crash()
        if number % 3 == 0:
            self._exchange_digests()

    def _add_request(self, content_hash):
        self.requests.append(_Request(content_hash, self.rng.randrange(len(self.entries))))

    def _advance(self, req):
        quarantine = self.entries[req.entry]
        if req.ticket is not None:
            req.ticks += 1
            if req.content_hash not in self.poisons and req.ticks == 2:
                quarantine.progressed(req.ticket)
            if req.content_hash not in self.poisons and req.ticks > 4:
                quarantine.completed(req.ticket)
                self.requests.remove(req)
        elif quarantine.quarantined_until(req.content_hash):
            self._end_wait(req)
            self.requests.remove(req)
        else:
            self._start(req, quarantine)

    def _start(self, req, quarantine):
        if quarantine.is_suspect(req.content_hash):
            if not req.waiting:
                quarantine.begin_wait(req.content_hash)
                req.waiting = True
            req.server = quarantine.assign_server(req.content_hash, SERVERS)
            if req.server is None:
                return
            self._end_wait(req)
        else:
            suspected = quarantine.servers_with_suspects()
            free = [name for name in SERVERS if name not in suspected]
            req.server = self.rng.choice(free or SERVERS)
        req.ticket = quarantine.started(req.content_hash, req.server)
        req.ticks = 0

    def _end_wait(self, req):
        if req.waiting:
            self.entries[req.entry].end_wait(req.content_hash)
            req.waiting = False

    def _crash(self):
        for poison in self.poisons:
            running = [req for req in self.requests if req.content_hash == poison and req.ticket]
            for req in running:
                if req.ticket is None or req.ticks < 1:
                    continue
                self.crashes[poison] += 1
                for victim in self.requests:
                    if victim.ticket is not None and victim.server == req.server:
                        self.entries[victim.entry].crashed(victim.ticket)
                        victim.ticket = None

    def _exchange_digests(self):
        for place, source in enumerate(self.entries):
            for other in self.entries:
                if other is not source:
                    other.merge(source.quarantined(), source.suspects(), f"entry-{place}")

    def convicted(self):
        return {content_hash for entry in self.entries for content_hash in entry.quarantined()}


arrivals_lists = st.lists(st.integers(0, 4), min_size=60, max_size=160)


@given(st.integers(1, 3), st.integers(0, 2**32), arrivals_lists)
@settings(max_examples=150, deadline=None)
def test_a_poison_request_resent_indefinitely_crashes_at_most_twice(entries, seed, arrivals):
    world = _World(entries, ("poison",), seed)
    for number, count in enumerate(arrivals):
        world.tick(number, count)
    assert world.crashes["poison"] <= 2
    assert world.convicted() <= {"poison"}


@given(st.integers(0, 2**32), arrivals_lists)
@settings(max_examples=100, deadline=None)
def test_several_poison_requests_quarantine_no_harmless_request(seed, arrivals):
    poisons = ("poison-1", "poison-2", "poison-3")
    world = _World(1, poisons, seed)
    for number, count in enumerate(arrivals):
        world.tick(number, count)
    assert world.convicted() <= set(poisons)
