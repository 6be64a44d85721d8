"""Tests of which start of a server wrote an answer."""

import attrs
import pytest

from cicadapond.containment import Crash, CrashEvidence, CrashTracker
from cicadapond.continuation import UNKNOWN_VERSION, StreamOrigins
from cicadapond.data import Endpoint
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway._starts import MAX_ANSWER_AGE, MAX_LISTING_DELAY, ServerStarts
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import ServerEntry

OLD = ServerEntry("e", "pool", Endpoint("::1", 1), "z", 8, born=1_000, version="v1")


class World:
    def __init__(self):
        self.clock = ManualClock()
        self.registry, self.crashes = ServerRegistry(self.clock), CrashTracker(self.clock)
        self.starts = ServerStarts(self.clock, self.registry, self.crashes)
        self.origins, self.others = StreamOrigins(self.clock), StreamOrigins(self.clock)
        self.registry.put(OLD, 1)

    def begin(self, request_id):
        now = self.clock.now()
        self.starts.record_answer(OLD)
        sure = self.starts.is_version_sure
        self.origins.begin(request_id, "v1", lambda: sure(OLD, now))

    def list_start(self, born, version, row):
        entry = attrs.evolve(OLD, born=round(born.timestamp() * 1000), version=version)
        self.registry.put(entry, row)

    def crash(self):
        crash = Crash(self.clock.now(), frozenset({"t"}))
        self.crashes.apply("z", CrashEvidence({OLD.start: crash}))

    def found(self, request_id):
        """Returns what this process and another one know of a stream."""
        self.others.apply("z", self.origins.reported())
        return self.origins.find(request_id), self.others.find(request_id)


@pytest.mark.parametrize("relisted", [False, True])
@pytest.mark.parametrize("version, known", [("v2", UNKNOWN_VERSION), ("v1", "v1")])
def test_a_stream_of_a_start_that_is_listed_later_is_not_of_the_version_before(
    version, known, relisted
):
    """Guards against taking a stream's version from the entry of its server's earlier start."""
    world = World()
    world.begin("before")
    world.clock.advance(seconds(1))
    born = world.clock.now()
    world.clock.advance(seconds(0.5))
    world.begin("after")
    world.clock.advance(seconds(0.2))
    assert world.found("after") == ("v1", "v1")
    if relisted:
        world.registry.remove("e", 2, after_outage=False)
    world.list_start(born, version, 3)
    world.list_start(world.clock.now() + seconds(1), "v1", 4)
    assert world.found("after") == (known, known)
    assert world.found("before") == ("v1", "v1")


def test_a_stream_that_began_after_its_server_crashed_is_of_no_known_version():
    """Guards against joining what an upgraded server wrote before it was listed again."""
    world = World()
    world.begin("before")
    world.clock.advance(seconds(1))
    world.crash()
    world.clock.advance(seconds(1))
    world.begin("after")
    world.origins.break_off("after")
    assert world.found("after") == (UNKNOWN_VERSION, UNKNOWN_VERSION)
    assert world.found("before") == ("v1", "v1")
    assert not world.starts.is_version_sure(OLD, world.clock.now())
    world.begin("later")
    world.list_start(world.clock.now() - seconds(0.5), "v1", 2)
    assert world.found("later") == ("v1", None)


def test_a_server_that_only_seemed_to_crash_is_trusted_again_once_a_new_entry_is_overdue():
    """Guards against streams that are refused for as long as a crash counts as evidence."""
    world = World()
    world.crash()
    world.clock.advance(seconds(1))
    world.begin("s")
    world.clock.advance(MAX_LISTING_DELAY)
    assert world.found("s") == (UNKNOWN_VERSION, None)
    world.registry.confirm_current(world.clock.monotonic())
    assert world.found("s") == ("v1", "v1")
    world.starts.record_down(OLD)
    assert not world.starts.is_version_sure(OLD, world.clock.now())


def test_a_servers_word_does_not_hold_after_a_connection_to_it_broke():
    """Guards against sending streams to a start that began since."""
    world = World()
    world.starts.record_stated(OLD, OLD.born, world.clock.now())
    assert world.starts.is_just_confirmed(OLD)
    world.clock.advance(MAX_ANSWER_AGE / 2)
    world.starts.record_broken(OLD)
    assert not world.starts.is_just_confirmed(OLD)
    world.starts.record_stated(OLD, OLD.born, world.clock.now())
    assert world.starts.is_just_confirmed(OLD)
    world.clock.advance(2 * MAX_ANSWER_AGE)
    assert not world.starts.is_just_confirmed(OLD)


def test_a_stream_that_is_told_with_two_versions_is_of_none():
    origins = StreamOrigins(ManualClock())
    for zone, version in (("a", "v1"), ("b", "v2")):
        told = StreamOrigins(ManualClock())
        told.begin("s", version)
        told.break_off("s")
        origins.apply(zone, told.reported())
    assert origins.find("s") == UNKNOWN_VERSION and origins.versions() == {"v1", "v2"}
