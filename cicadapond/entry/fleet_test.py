"""The fleet's views: leaving servers stay marked, and adapters stay open while in use."""

import attrs
import pytest

from cicadapond.data import (
    BackendServer,
    Endpoint,
    HostEntry,
    HostListing,
    HostState,
    LoadReport,
    Notice,
    ServerKind,
)
from cicadapond.drain import drain_number, is_leaving_number
from cicadapond.entry._fleet import Fleet
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.peer import Digest, Member, MemberState, Peers


@attrs.define
class Cfg:
    name: str = "me"
    zone: str = "yqr"


class FakePeers(Peers):
    def __init__(self):
        self.known = {}
        self.heard = {}
        self.listener = None

    def members(self):
        return tuple(self.known.values())

    def publish(self, digest):
        return None

    def subscribe(self, listener):
        self.listener = listener

    def last_heard_from_zone(self, zone):
        return self.heard.get(zone)

    def update_member(self, name, zone="yqr", state=MemberState.ALIVE, **digest):
        member = Member(name, zone, "entry", 1, state, seconds(0), 1, Digest(**digest))
        self.known[name] = member
        self.listener(member)


def server(name, zone="yqr", port=1):
    return BackendServer(name, ServerKind.ENGINE, "pool", zone, Endpoint("10.0.0.1", port))


def listing(*specs, port=1):
    """Lists servers from specs such as "e1", "e2 leaving" or "e3@yxe"."""
    entries = []
    for spec in specs:
        text, _, state = spec.partition(" ")
        name, _, zone = text.partition("@")
        found = HostState(state) if state else HostState.LIVE
        entries.append(HostEntry(server(name, zone or "yqr", port), found))
    return HostListing(tuple(entries))


@pytest.fixture
def world():
    class World:
        clock = ManualClock()
        peers = FakePeers()
        metrics = Metrics()

        def __init__(self):
            self.fleet = Fleet(
                Cfg(), self.clock, self.metrics, self.peers, connect=lambda server: object()
            )
            self.left = []
            self.fleet.on_leaving(lambda name, left: self.left.append((name, left)))

        def names(self):
            return sorted(view.server.name for view in self.fleet.views("pool"))

    return World()


@pytest.mark.parametrize("source", ["cloud", "engine", "host-list", "operator", "peer"])
def test_each_source_marks_the_server_and_a_lagging_list_does_not_undo_it(world, source):
    fleet = world.fleet
    fleet.apply(listing("e1", "e2"))
    if source == "engine":
        fleet.store_report(LoadReport("e1", 0, 0, 8, leaving=True))
    elif source == "host-list":
        fleet.apply(listing("e1 leaving", "e2"))
    elif source == "operator":
        fleet.drain("e1")
    elif source == "peer":
        world.peers.update_member("other", leaving={"e1": 5})
    else:
        fleet.apply_notice(Notice("e1", "cloud", seconds(30)))
    fleet.apply(listing("e1", "e2"))
    assert world.names() == ["e2"]
    assert [name for name, _ in world.left] == ["e1"]
    assert fleet.is_leaving("e1")


def test_an_undrain_returns_a_server_unless_a_notice_is_in_force(world):
    fleet = world.fleet
    fleet.apply(listing("e1"))
    number = fleet.drain("e1")
    assert fleet.digest_parts()["drains"] == {"e1": number}
    assert fleet.undrain("e1")
    assert world.names() == ["e1"]
    assert not is_leaving_number(fleet.digest_parts()["leaving"]["e1"])
    fleet.apply(listing("e1 leaving"))
    assert world.names() == []


def test_a_peers_undrain_applies_here_and_an_older_number_is_ignored(world):
    world.fleet.apply(listing("e1"))
    world.peers.update_member("other", leaving={"e1": 5})
    world.peers.update_member("other", leaving={"e1": 8})
    assert world.names() == ["e1"]
    world.peers.update_member("third", leaving={"e1": 5})
    assert world.names() == ["e1"]


def test_a_drain_that_a_live_controller_no_longer_publishes_has_ended(world):
    world.fleet.apply(listing("e1", "e2"))
    number = drain_number(world.clock)
    world.peers.update_member("controller", leaving={"e1": number}, revision=2)
    assert world.names() == ["e2"]
    world.peers.update_member("controller", state=MemberState.DEAD)
    assert world.names() == ["e2"]
    world.peers.update_member("controller", leaving={"e1": number}, revision=2)
    world.peers.update_member("controller", revision=2)
    assert world.names() == ["e1", "e2"]
    world.peers.update_member("other", leaving={"e1": number})
    assert world.names() == ["e1", "e2"]


def test_a_new_host_of_the_same_name_is_live(world):
    fleet = world.fleet
    fleet.apply(listing("e1"))
    old = fleet.adapter("e1")
    fleet.apply_notice(Notice("e1", "cloud"))
    assert fleet.apply(listing("e1", port=2)) == [old]
    assert world.names() == ["e1"]
    assert fleet.adapter("e1") is not old


def test_an_adapter_is_closed_only_when_nothing_is_in_flight(world):
    fleet = world.fleet
    fleet.apply(listing("e1", "e2"))
    adapter = fleet.adapter("e1")
    fleet.request_started("e1")
    assert fleet.apply(listing("e2")) == []
    assert world.names() == ["e2"]
    assert fleet.adapter("e1") is adapter
    fleet.request_finished("e1")
    assert fleet.apply(listing("e2")) == [adapter]
    fleet.request_finished("e1")


def test_work_for_another_data_centre_needs_a_heartbeat_from_there(world):
    fleet, peers = world.fleet, world.peers
    fleet.apply(listing("e1", "e2@yxe"))
    assert world.names() == ["e1"]
    peers.heard["yxe"] = world.clock.monotonic()
    assert world.names() == ["e1", "e2"]
    world.clock.advance(seconds(3))
    assert world.names() == ["e1"]


def test_peers_counts_and_loads_count_in_the_views_until_the_peer_dies(world):
    world.peers.update_member("a", in_flight={"e1": 3})
    world.fleet.apply(listing("e1"))
    world.peers.update_member("b", in_flight={"e1": 2}, loads={"e1": LoadReport("e1", 4, 0, 8)})
    (view,) = world.fleet.views("pool")
    assert (view.peer_in_flight, view.report.running) == (5, 4)
    world.peers.update_member("a", in_flight={"e1": 1})
    assert view.peer_in_flight == 3
    world.peers.update_member("b", state=MemberState.DEAD)
    assert view.peer_in_flight == 1


def test_each_server_has_one_watcher_among_the_live_entries(world):
    names = [f"e{number}" for number in range(40)]
    everyone = ("me", "a", "b")
    watched = []
    for name in everyone:
        peers = FakePeers()
        fleet = Fleet(Cfg(name), world.clock, world.metrics, peers, connect=lambda s: None)
        fleet.apply(listing(*names))
        for other in everyone:
            if other != name:
                peers.update_member(other)
        watched.append(fleet.watched())
    assert sorted(name for found in watched for name in found) == sorted(names)
    assert all(watched)
