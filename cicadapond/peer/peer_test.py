"""Tests that the members' views converge on an in-memory network with injected faults."""

import asyncio
import random

import pytest

from cicadapond.data import Endpoint, LoadReport
from cicadapond.kernel import (
    Metrics,
    Ok,
    TaskGroup,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.peer import (
    Digest,
    MemberState,
    MemoryNetwork,
    MemoryTransport,
    PeerSettings,
    PeerTask,
)

ZONES = ("yqr", "yxe", "ywg")


class World:
    """Processes on one memory network, `per_zone` of them in each data centre."""

    def __init__(self, per_zone=3, zones=ZONES, seed=1):
        self.clock = VirtualClock()
        self.network = MemoryNetwork(random.Random(seed))
        self.tasks = TaskGroup()
        self.peers = {}
        self.running = {}
        self.zones = zones
        self.seed = seed
        self.metrics = Metrics()
        self.names = [f"{zone}-{number}" for zone in zones for number in range(per_zone)]
        self.seeds = tuple(self.endpoint(f"{zone}-0") for zone in zones)

    def endpoint(self, name):
        zone, _, number = name.rpartition("-")
        return Endpoint(f"10.0.{self.zones.index(zone)}.{int(number) % 200}", 7000)

    def zone(self, endpoint):
        return self.zones[int(endpoint.host.split(".")[2])]

    def start(self, *names, **settings):
        for name in names or self.names:
            zone = name.rpartition("-")[0]
            cfg = PeerSettings(name, zone, self.endpoint(name), seeds=self.seeds, **settings)
            transport = MemoryTransport(self.network, cfg.endpoint)
            rng = random.Random(f"{self.seed}{name}")
            peer = PeerTask(cfg, transport, self.clock, self.metrics, rng)
            self.peers[name] = peer
            self.running[name] = self.tasks.start(peer)

    async def kill(self, name):
        self.running[name].cancel()
        await self.sleep(0.01)

    async def sleep(self, value):
        await self.clock.sleep(seconds(value))

    def view(self, name):
        return {
            member.name: member.state
            for member in self.peers[name].members()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        }

    def everyone_sees(self, names=None, viewers=None):
        names = set(names or self.names)
        return all(
            set(self.view(viewer)) | {viewer} == names
            and MemberState.SUSPECT not in self.view(viewer).values()
            for viewer in viewers or names
        )

    def digest(self, viewer, name):
        found = [m for m in self.peers[viewer].members() if m.name == name]
        return found[0].digest if found else None


def virtual(test):
    """Runs an async test on the event loop with virtual time."""

    def run(**kwargs):
        run_virtual(test(**kwargs))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@virtual
async def test_all_find_each_other_through_the_seeds():
    world = World()
    world.start()
    await world.sleep(8)
    assert world.everyone_sees()
    await world.tasks.stop()


@virtual
async def test_a_process_that_was_given_no_seeds_finds_the_others_once_it_gets_some():
    world = World()
    known, world.seeds = world.seeds, ()
    world.start("yqr-0")
    await world.sleep(8)
    world.seeds = known[1:]
    world.start(*(name for name in world.names if name != "yqr-0"))
    await world.sleep(8)
    assert not world.view("yqr-0").keys() - {"yqr-0"}
    world.peers["yqr-0"].set_seeds(known[1:])
    await world.sleep(8)
    assert world.everyone_sees()
    await world.tasks.stop()


@virtual
async def test_many_that_start_at_once_know_each_other_within_ten_seconds():
    zones = ("yqr", "yxe", "ywg", "yyc")
    world = World(per_zone=16, zones=zones)
    world.start()
    await world.sleep(10)
    assert world.everyone_sees()
    await world.tasks.stop()


@virtual
async def test_urgent_changes_reach_all_members_in_under_two_seconds():
    world = World(per_zone=6)
    world.start()
    await world.sleep(10)
    world.peers["yqr-3"].publish(Digest(leaving={"engine-1": 7}))
    await world.sleep(1.5)
    others = [name for name in world.names if name != "yqr-3"]
    assert all(world.digest(name, "yqr-3").leaving == {"engine-1": 7} for name in others)
    world.peers["yqr-3"].publish(Digest(leaving={}))
    await world.sleep(1.5)
    assert all(world.digest(name, "yqr-3").leaving == {} for name in others)
    await world.tasks.stop()


@virtual
async def test_counts_stay_in_the_data_centre_and_loads_reach_others_periodically():
    world = World()
    world.start()
    await world.sleep(8)
    report = LoadReport("engine-1", 4, 1, slots=8, model="m", version="2")
    digest = Digest(revision=3, in_flight={"engine-1": 4}, loads={"engine-1": report})
    world.peers["yqr-0"].publish(digest)
    await world.sleep(3)
    assert world.digest("yqr-1", "yqr-0") == digest
    assert world.digest("yxe-1", "yqr-0") == Digest(revision=3, loads={"engine-1": report})
    await world.tasks.stop()


@virtual
async def test_a_crashed_member_is_dead_everywhere_and_back_after_its_restart():
    world = World()
    world.start()
    await world.sleep(8)
    world.peers["yxe-1"].publish(Digest(revision=9))
    await world.kill("yxe-1")
    await world.sleep(12)
    remaining = [name for name in world.names if name != "yxe-1"]
    assert world.everyone_sees(remaining)
    world.start("yxe-1")
    await world.sleep(6)
    assert world.everyone_sees()
    assert world.digest("yqr-1", "yxe-1").revision == 0
    await world.tasks.stop()


@virtual
async def test_a_graceful_leave_reaches_all_members_before_failure_detection():
    world = World()
    world.start()
    await world.sleep(8)
    await world.peers["yqr-2"].leave()
    await world.kill("yqr-2")
    await world.sleep(1.5)
    assert world.everyone_sees([name for name in world.names if name != "yqr-2"])
    assert world.metrics.counter("peer_dead") == 0
    await world.tasks.stop()


@virtual
async def test_one_silent_connection_causes_no_suspicion_and_is_redialled():
    world = World()
    world.start()
    await world.sleep(8)
    here, there = world.endpoint("yqr-1"), world.endpoint("yqr-2")
    assert world.network.blackhole(here, there) > 0
    await world.sleep(1)
    world.peers["yqr-1"].publish(Digest(revision=5))
    await world.sleep(6)
    assert world.metrics.counter("peer_silent_connections") > 0
    assert world.metrics.counter("peer_suspect") == 0
    assert world.digest("yqr-2", "yqr-1").revision == 5
    await world.tasks.stop()


@virtual
async def test_views_agree_ten_seconds_after_a_partition_of_ten_minutes():
    world = World()
    world.start()
    await world.sleep(8)
    zone = world.zone
    world.network.cut(lambda here, there: zone(here) != zone(there))
    for number, name in enumerate(world.names):
        world.peers[name].publish(Digest(revision=number + 1))
    await world.kill("ywg-2")
    await world.sleep(600)
    now = world.clock.monotonic()
    assert now - world.peers["yqr-0"].last_heard_from_zone("yxe") > seconds(590)
    world.network.heal()
    await world.sleep(10)
    remaining = [name for name in world.names if name != "ywg-2"]
    assert world.everyone_sees(remaining)
    for viewer in remaining:
        for place, name in enumerate(world.names):
            if name in remaining and name != viewer:
                assert world.digest(viewer, name).revision == place + 1
    await world.tasks.stop()


@virtual
async def test_changes_are_relayed_by_a_third_data_centre_where_the_direct_path_is_cut():
    world = World()
    world.start()
    await world.sleep(8)
    cut_zones = {"yqr", "yxe"}
    zone = world.zone
    world.network.cut(lambda here, there: {zone(here), zone(there)} == cut_zones)
    await world.sleep(5)
    world.peers["yqr-1"].publish(Digest(leaving={"engine-1": 1}))
    await world.sleep(2)
    assert world.digest("yxe-2", "yqr-1").leaving == {"engine-1": 1}
    now = world.clock.monotonic()
    assert now - world.peers["yxe-2"].last_heard_from_zone("yqr") > seconds(3)
    assert now - world.peers["yxe-2"].last_heard_from_zone("ywg") < seconds(3)
    await world.tasks.stop()


@pytest.mark.parametrize("seed", [1, 2])
def test_members_converge_after_message_loss(seed):
    async def main():
        world = World(seed=seed)
        world.network.loss = 0.1
        world.start()
        await world.sleep(20)
        world.peers["yqr-1"].publish(Digest(revision=4, in_flight={"a": 3}))
        world.network.loss = 0.0
        await world.sleep(40)
        assert world.everyone_sees()
        assert all(
            world.digest(name, "yqr-1").revision == 4 for name in world.names if name != "yqr-1"
        )
        await world.tasks.stop()

    run_virtual(main())


@virtual
async def test_a_member_cut_off_for_a_minute_refutes_its_death():
    world = World(per_zone=4, zones=("yqr",))
    world.start()
    await world.sleep(8)
    mine = world.endpoint("yqr-3")
    world.network.cut(lambda here, there: mine in (here, there))
    await world.sleep(60)
    assert "yqr-3" not in world.view("yqr-0")
    world.network.heal()
    await world.sleep(10)
    assert world.everyone_sees()
    await world.tasks.stop()


@virtual
async def test_a_thousand_restarts_leak_no_members_or_connections():
    world = World(per_zone=3, zones=("yqr",))
    world.start(forget=seconds(20))
    await world.sleep(5)
    for number in range(1000):
        name = f"yqr-{1000 * number + 20 + number % 20}"
        world.start(name, forget=seconds(20))
        await world.sleep(0.3)
        await world.kill(name)
    del world.peers[name]
    await world.sleep(60)
    assert world.everyone_sees(viewers=world.names)
    peer = world.peers["yqr-0"]
    assert len(peer.members()) == 2
    assert len(peer._outbound) == 2
    assert len(peer._inbound) == 2
    assert len(world.network.links) == 12
    assert len(world.tasks) == 3
    await world.tasks.stop()


@virtual
async def test_an_answer_in_many_parts_arrives_complete_from_another_data_centre():
    world = World()
    world.start()
    await world.sleep(8)
    text = "shade " * 100_000
    world.peers["ywg-1"].register_handler("document", lambda payload: [payload["above"], text])
    outcome = await world.peers["yqr-1"].query("ywg-1", "document", {"above": 3})
    assert outcome == Ok([3, text])
    for member, topic in (("ywg-1", "nothing"), ("nobody", "document")):
        outcome = await world.peers["yqr-1"].query(member, topic, None)
        assert isinstance(outcome, Unavailable)
    await world.tasks.stop()


@virtual
async def test_frequent_queries_share_a_connection_and_get_their_own_answers():
    world = World(per_zone=1)
    world.start()
    await world.sleep(8)
    asking, answering = world.peers["yqr-0"], world.peers["yxe-0"]
    answering.register_handler("double", lambda payload: 2 * payload)
    links = len(world.network.links)
    sent = (asking.query_often("yxe-0", "double", number, seconds(0.1)) for number in range(20))
    outcomes = await asyncio.gather(*sent)
    outcomes.append(await asking.query_often("yxe-0", "double", 20, seconds(0.1)))
    assert outcomes == [Ok(2 * number) for number in range(21)]
    assert len(world.network.links) == links + 2
    await world.sleep(6)
    assert isinstance(await asking.query_often("yxe-0", "no", 1, seconds(0.1)), Unavailable)
    await world.sleep(1)
    assert len(world.network.links) <= links + 2, "an idle connection was kept"
    await world.tasks.stop()


@virtual
async def test_a_connection_for_frequent_queries_is_closed_when_the_queries_end():
    """Guards against idle connections to all processes that are left after the last query."""
    world = World(per_zone=1)
    world.start()
    await world.sleep(8)
    asking = world.peers["yqr-0"]
    world.peers["yxe-0"].register_handler("same", lambda payload: payload)
    links = len(world.network.links)
    assert await asking.query_often("yxe-0", "same", 1, seconds(0.1)) == Ok(1)
    assert len(world.network.links) > links
    await world.sleep(7)
    assert len(world.network.links) <= links
    await world.tasks.stop()


@virtual
async def test_a_late_answer_is_not_taken_for_that_of_the_next_query():
    world = World(per_zone=1)
    world.start()
    await world.sleep(8)
    asking, answering = world.peers["yqr-0"], world.peers["yxe-0"]
    answering.register_handler("same", lambda payload: payload)
    assert await asking.query_often("yxe-0", "same", "a", seconds(0.1)) == Ok("a")
    world.network.delay = seconds(0.08)
    assert isinstance(await asking.query_often("yxe-0", "same", "b", seconds(0.1)), Unavailable)
    world.network.delay = seconds(0.001)
    assert await asking.query_often("yxe-0", "same", "c", seconds(0.1)) == Ok("c")
    await world.sleep(1)
    assert await asking.query_often("yxe-0", "same", "d", seconds(0.1)) == Ok("d")
    await world.tasks.stop()


@virtual
async def test_a_connection_storm_ends_once_receivers_keep_up_with_the_messages():
    world = World(per_zone=24, zones=("yqr",))
    world.network.processing_time = seconds(0.03)  # each of 24 receives about 50 messages a second
    world.start()
    await world.sleep(30)
    assert min(connections(world)) < 23
    world.network.processing_time = seconds(0.001)
    await world.sleep(20)
    assert world.everyone_sees()
    assert min(connections(world)) == 23
    await world.tasks.stop()


def connections(world):
    return [len(peer.state()["connections"]) for peer in world.peers.values()]
