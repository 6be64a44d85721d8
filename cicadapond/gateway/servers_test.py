"""Tests of the registry of servers when their table goes back to an older copy."""

from unittest import mock

import attrs

from cicadapond.data import Endpoint
from cicadapond.gateway._servers import (
    MIN_LISTED_TIME,
    RELIST_TIMEOUT,
    RETURNED_ENTRY_TIMEOUT,
    SOFTWARE_VERSION_RETENTION,
    ServerRegistry,
)
from cicadapond.gateway._tables import ServerTable
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import ServerHealth
from cicadapond.provider import Changes, RawRow, version_in_era
from cicadapond.serving import ServerEntry

READY = ServerEntry("e", "pool", Endpoint("::1", 1), "a", 6, born=100)
LEAVING = attrs.evolve(READY, is_leaving=True)
RESTARTED = attrs.evolve(READY, born=200)
OTHER = attrs.evolve(READY, name="other")


class World:
    def __init__(self, *entries):
        self.clock = ManualClock()
        self.registry = ServerRegistry(self.clock)
        self.registry.replace({each.name: (each, 50) for each in entries}, 50, False)

    def go_back(self, *entries, number=10):
        """Applies the table of a store that was restored."""
        version = version_in_era(1, number)
        listed = {each.name: (each, version) for each in entries}
        self.registry.replace(listed, version, after_outage=True)

    def usable(self):
        return [entry.name for entry in self.registry.usable("pool")]


def test_a_server_that_is_missing_from_the_copy_stays_until_it_should_be_listed_again():
    world = World(READY, OTHER)
    world.go_back(OTHER)
    assert world.usable() == ["e", "other"]
    world.registry.put(READY, version_in_era(1, 11))
    world.clock.advance(RELIST_TIMEOUT)
    assert world.usable() == ["e", "other"]
    world.go_back(OTHER, number=12)
    world.clock.advance(RELIST_TIMEOUT)
    assert world.usable() == ["other"]


def test_changes_after_the_copy_are_applied_although_their_versions_are_lower():
    world = World(READY)
    world.go_back(READY)
    world.registry.put(LEAVING, version_in_era(1, 11))
    assert world.usable() == []


def test_a_server_that_was_leaving_is_not_used_when_the_copy_lists_it_as_ready():
    world = World(LEAVING)
    world.go_back(READY)
    world.clock.advance(seconds(60))
    assert world.usable() == []
    world.registry.put(RESTARTED, version_in_era(1, 11))
    assert world.usable() == ["e"]


def test_a_server_that_was_gone_is_not_used_when_the_copy_lists_it():
    world = World(READY, OTHER)
    world.registry.remove("e", 51, after_outage=False)
    world.go_back(READY, OTHER)
    assert world.usable() == ["other"]
    world.registry.remove("e", version_in_era(1, 11), after_outage=False)
    assert world.usable() == ["other"]


def test_a_server_that_was_gone_is_used_when_it_writes_its_entry_or_keeps_it():
    for written in (True, False):
        world = World(READY)
        world.registry.remove("e", 51, after_outage=False)
        world.go_back(READY)
        assert world.usable() == []
        if written:
            world.registry.put(READY, version_in_era(1, 11))
        else:
            world.clock.advance(RETURNED_ENTRY_TIMEOUT)
        assert world.usable() == ["e"]


def test_an_earlier_start_in_the_copy_does_not_replace_a_later_one():
    world = World(RESTARTED)
    world.go_back(READY)
    assert world.usable() == ["e"]
    assert world.registry.find("e").born == RESTARTED.born


def test_versions_are_not_all_known_while_unseen_servers_may_have_come_and_gone():
    """Guards against streams of servers that were listed only while the table was not read."""
    world = World(READY)
    registry, clock = world.registry, world.clock
    assert not registry.knows_all_versions(clock.monotonic())
    registry.confirm_current(clock.monotonic())
    assert registry.knows_all_versions(clock.monotonic())
    registry.remove("never seen", 51, after_outage=False)
    assert not registry.knows_all_versions(clock.monotonic())
    clock.advance(SOFTWARE_VERSION_RETENTION)
    registry.confirm_current(clock.monotonic())
    assert registry.knows_all_versions(clock.monotonic())
    clock.advance(2 * MIN_LISTED_TIME)
    registry.replace({"e": (READY, 60)}, 60, after_outage=True)
    registry.confirm_current(clock.monotonic())
    assert not registry.knows_all_versions(clock.monotonic())


def test_a_server_that_has_started_again_does_not_rest_for_failures_of_its_earlier_start():
    """Guards against leaving out a sound start because of the health of the one before."""
    world, health = World(READY, OTHER), ServerHealth(ManualClock(), "a")
    parts = mock.Mock(registry=world.registry, health=health, evacuation=None, engine_watch=None)
    table = ServerTable(parts, mock.Mock(), lambda key, value: (value, ()))
    while not health.record_failure("e", ("other",)):
        pass
    health.mark_unreachable(READY)
    for row, entry in ((51, attrs.evolve(READY, slots=7)), (52, RESTARTED)):
        assert health.usable([READY, OTHER]) == [OTHER]
        table.apply_changes(Changes((RawRow("e", row, entry),), row, seconds(0)), False, False)
    assert health.usable([READY, OTHER]) == [READY, OTHER]
