"""Logic: which servers are left out for costly answers, at all processes."""

import random

import attrs
import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._costly_servers import (
    FIRST_SUSPENSION,
    MAX_SUSPENSION,
    RETENTION,
    TRIAL_TIME,
    CostlyServers,
)
from cicadapond.gateway._reports import Report, read_report
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.placing import ServerHealth
from cicadapond.serving import ServerEntry

COST = seconds(0.01)
COSTLY, SOUND = (ServerEntry(name, "pool", Endpoint("::1", 1), "z", 8, born=7) for name in "ab")


class Longest(random.Random):
    """Draws the longest suspensions."""

    def uniform(self, a, b):
        return b


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields["count"], fields["suspended_ms"]))


@attrs.define
class Process:
    clock: ManualClock
    health: ServerHealth
    log: Log
    costly: CostlyServers

    def gets(self):
        """Returns the names of the servers that get requests."""
        return "".join(entry.name for entry in self.health.usable([COSTLY, SOUND]))


@pytest.fixture
def process():
    return make_process(ManualClock())


def make_process(clock):
    health, log = ServerHealth(clock, "z"), Log()
    return Process(clock, health, log, CostlyServers(health, clock, log, Metrics(), Longest()))


def test_one_costly_answer_is_enough(process):
    """Guards against CONFIG: each of many requests paid for another answer without end."""
    process.costly.begin(COSTLY)
    process.costly.record_costly(COSTLY, COST)
    assert process.gets() == "b"
    process.clock.advance(2 * FIRST_SUSPENSION)
    assert process.gets() == "ab"


def test_a_single_request_shows_whether_the_server_is_sound_again(process):
    process.costly.record_costly(COSTLY, COST)
    process.clock.advance(2 * FIRST_SUSPENSION)
    assert process.costly.begin(COSTLY)
    assert process.gets() == "b"
    process.costly.record_whole(COSTLY)
    assert process.gets() == "ab"
    assert not process.costly.begin(COSTLY)


def test_a_request_on_trial_that_takes_long_keeps_the_others_away_for_a_bounded_time(process):
    process.costly.record_costly(COSTLY, COST)
    process.clock.advance(2 * FIRST_SUSPENSION)
    process.costly.begin(COSTLY)
    process.clock.advance(TRIAL_TIME)
    assert process.gets() == "ab"


def test_suspensions_grow_with_each_answer_that_was_sent_after_one(process):
    suspended = []
    for _ in range(6):
        process.costly.record_costly(COSTLY, COST)
        process.costly.record_costly(COSTLY, COST)  # sent before the server was suspended
        suspended.append(process.log.lines[-2][2])
        assert process.log.lines[-1][1:] == (len(suspended), 0)
        process.clock.advance(seconds(suspended[-1] / 1000))
    first_ms, longest_ms = (
        round(2000 * s.total_seconds()) for s in (FIRST_SUSPENSION, MAX_SUSPENSION)
    )
    assert suspended == [min(first_ms * 2**number, longest_ms) for number in range(6)]
    process.clock.advance(RETENTION)
    assert not process.costly.begin(COSTLY)


def test_the_other_processes_hear_of_it_and_only_of_news(process):
    """Guards against CONFIG: each process paid for the same server's answers."""
    other = make_process(process.clock)
    process.costly.record_costly(COSTLY, COST)
    items = Report(costly=process.costly.reported()).as_items()
    told = read_report(items).costly["a"]
    other.costly.merge(COSTLY, told)
    assert other.gets() == "b" and not other.costly.reported()
    process.clock.advance(2 * FIRST_SUSPENSION)
    other.costly.merge(COSTLY, told)  # reports are repeated
    assert other.gets() == "ab"
    assert other.costly.begin(COSTLY)
    other.costly.record_whole(COSTLY)
    other.costly.merge(COSTLY, told)
    assert other.gets() == "ab" and not other.costly.begin(COSTLY)


def test_another_start_of_the_server_is_not_suspected(process):
    process.costly.record_costly(COSTLY, COST)
    assert not process.costly.begin(attrs.evolve(COSTLY, born=8))
    other = make_process(process.clock)
    other.costly.merge(attrs.evolve(COSTLY, born=8), process.costly.reported()["a"])
    assert other.gets() == "ab"
