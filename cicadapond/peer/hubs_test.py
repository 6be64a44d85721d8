"""Tests of large data centres, whose processes connect only to a few hubs."""

import collections
from unittest import mock

import pytest

from cicadapond.kernel import seconds
from cicadapond.peer import Digest, MemberState
from cicadapond.peer._topology import hubs
from cicadapond.peer._transport import MemoryLink
from cicadapond.peer.peer_test import ZONES, World, virtual

SETTINGS = {"hubs": 2, "seed_dials": 6}
STARTUP_S = 6


def hub_names(world, zone, without=()):
    members = [name for name in world.names if name.startswith(zone) and name not in without]
    return hubs(zone, members, SETTINGS["hubs"])


def ordinary(world, zone):
    chosen = hub_names(world, zone)
    return [name for name in world.names if name.startswith(zone) and name not in chosen]


def links(world, name):
    return len(world.peers[name].state()["connections"])


async def started(per_zone=12):
    world = World(per_zone=per_zone)
    world.start(**SETTINGS)
    await world.sleep(STARTUP_S)
    return world


@virtual
async def test_all_find_each_other_and_connect_only_to_hubs():
    world = await started()
    assert world.everyone_sees()
    for zone in world.zones:
        for name in ordinary(world, zone):
            assert links(world, name) == 2
        for name in hub_names(world, zone):
            assert links(world, name) == 11 + 2 * 2
    await world.tasks.stop()


@virtual
async def test_messages_grow_in_proportion_to_the_processes():
    counts = []
    for per_zone in (10, 20):
        world = await started(per_zone)
        before = world.network.messages
        await world.sleep(10)
        counts.append(world.network.messages - before)
        await world.tasks.stop()
    assert counts[1] < 2.4 * counts[0]


@virtual
async def test_a_report_reaches_only_the_hubs_and_a_summary_everybody():
    world = await started()
    sender = ordinary(world, "yqr")[0]
    world.peers[sender].publish(Digest(report={"a": 1}, summary={"b": 2}))
    await world.sleep(1)
    for name in world.names:
        if name != sender:
            digest = world.digest(name, sender)
            assert digest.summary == {"b": 2}
            assert digest.report == ({"a": 1} if name in hub_names(world, "yqr") else {})
    await world.tasks.stop()


@pytest.mark.parametrize("killed_count", [1, 2])
def test_reports_and_summaries_pass_again_after_hubs_were_killed(killed_count):
    @virtual
    async def play():
        world = await started()
        killed = hub_names(world, "yqr")[:killed_count]
        for name in killed:
            await world.kill(name)
        await world.sleep(3)
        left = hub_names(world, "yqr", without=killed)
        sender = next(name for name in ordinary(world, "yqr") if name not in left)
        world.peers[sender].publish(Digest(report={"a": 1}, summary={"b": 2}))
        await world.sleep(1.5)
        assert all(world.digest(name, sender).report == {"a": 1} for name in left)
        survivors = [name for name in world.names if name not in (*killed, sender)]
        assert all(world.digest(name, sender).summary == {"b": 2} for name in survivors)
        await world.sleep(6)
        assert world.everyone_sees(names=[*survivors, sender])
        await world.tasks.stop()

    play()


@virtual
async def test_all_members_learn_of_a_death_that_only_the_hubs_can_see():
    world = await started()
    killed = ordinary(world, "yxe")[0]
    await world.kill(killed)
    await world.sleep(9)
    for name in world.names:
        if name != killed:
            states = {member.name: member.state for member in world.peers[name].members()}
            assert states[killed] is MemberState.DEAD
    await world.tasks.stop()


@virtual
async def test_a_cut_data_centre_is_known_again_after_the_cut():
    world = await started()
    sender = ordinary(world, "ywg")[0]
    world.network.cut(lambda a, b: (world.zone(a) == "ywg") != (world.zone(b) == "ywg"))
    await world.sleep(8)
    world.peers[sender].publish(Digest(summary={"b": 3}))
    await world.sleep(4)
    world.network.heal()
    await world.sleep(12)
    others = [name for name in world.names if name != sender]
    assert all(world.digest(name, sender).summary == {"b": 3} for name in others)
    await world.tasks.stop()


@pytest.mark.parametrize("seed", range(4))
def test_a_hub_that_was_cut_off_receives_changes_soon_after_the_cut(seed):
    """Guards against LOST: two hubs that each held the other for unreachable did not reconnect."""

    @virtual
    async def play():
        world = World(per_zone=2, seed=seed)
        world.start(**SETTINGS)
        await world.sleep(STARTUP_S)
        cut_off, *others = (hub_names(world, zone)[0] for zone in ZONES)
        address = world.endpoint(cut_off)
        world.network.cut(lambda a, b: (a == address) != (b == address))
        await world.sleep(8)
        world.network.heal()
        await world.sleep(4)
        for name in others:
            world.peers[name].publish(Digest(summary={"b": 3}))
        await world.sleep(0.5)
        assert all(world.digest(cut_off, name).summary == {"b": 3} for name in others)
        await world.tasks.stop()

    play()


@virtual
async def test_a_process_with_many_dead_seeds_still_finds_the_others():
    world = World(per_zone=4)
    dead = tuple(world.endpoint(f"yqr-{number}") for number in range(60, 90))
    world.seeds = (*dead, *world.seeds)
    world.start(**SETTINGS)
    await world.sleep(10)
    assert world.everyone_sees()
    assert world.clock.monotonic() >= seconds(10)
    await world.tasks.stop()


@virtual
async def test_a_hub_that_restarts_is_connected_to_again_at_once():
    """Members that still held it for unreachable would report to other hubs than the primary one.

    The restarted hub speaks for its data centre as soon as it is up, and would tell sums without
    their reports.
    """
    world = await started()
    primary = hub_names(world, "yqr")[0]
    await world.kill(primary)
    await world.sleep(2)
    world.start(primary, **SETTINGS)
    await world.sleep(1.5)
    senders = ordinary(world, "yqr")
    for name in senders:
        world.peers[name].publish(Digest(report={"a": 1}))
    await world.sleep(1)
    assert all(world.digest(primary, name).report == {"a": 1} for name in senders)
    await world.tasks.stop()


@virtual
async def test_a_hub_does_not_saturate_its_link_with_updates():
    """Guards against GONE and DRAIN: nothing else passed the link of a hub for seconds."""
    rate, per_zone = 100_000.0, 20
    world, sent = World(per_zone), collections.Counter()
    send = MemoryLink.send

    def counted(link, bodies):
        sent[link.local] += sum(map(len, bodies))
        send(link, bodies)

    with mock.patch.object(MemoryLink, "send", counted):
        world.start(**SETTINGS, update_rate=rate)
        await world.sleep(8)
        (hub,) = [name for name in world.names[:per_zone] if world.peers[name].is_primary_hub()]
        before = sent[world.endpoint(hub)]
        for number in range(100):
            for zone in ZONES:
                items = {f"e {engine}": [number, engine] for engine in range(100)}
                world.peers[f"{zone}-0"].publish(Digest(summary=items))
            await world.sleep(0.1)
        carried = sent[world.endpoint(hub)] - before
    assert carried <= 1.2 * rate * 10
    await world.sleep(1)
    last = {f"e {engine}": [99, engine] for engine in range(100)}
    for name in world.names:
        assert all(
            name == f"{zone}-0" or world.digest(name, f"{zone}-0").summary == last for zone in ZONES
        )
    await world.tasks.stop()


@virtual
async def test_a_large_change_leaves_room_on_the_link_of_a_hub():
    """Guards against GONE and DRAIN: a new configuration filled the link."""
    rate, per_zone = 100_000.0, 20
    world, sent = World(per_zone), collections.Counter()
    send = MemoryLink.send

    def counted(link, bodies):
        sent[link.local, int(world.clock.monotonic() / seconds(0.1))] += sum(map(len, bodies))
        send(link, bodies)

    world.start(**SETTINGS, update_rate=rate)
    await world.sleep(8)
    (hub,) = [name for name in world.names[:per_zone] if world.peers[name].is_primary_hub()]
    with mock.patch.object(MemoryLink, "send", counted):
        copies = {"op": [1, 0, 0, [["config", 1, b"x" * 20_000]]]}
        world.peers["ywg-0"].publish(Digest(copies=copies))
        await world.sleep(5)
    most = max(count for (address, _), count in sent.items() if address == world.endpoint(hub))
    assert most <= 2 * 2 * rate * 0.1 + 32 * 1024
    assert all(
        name == "ywg-0" or world.digest(name, "ywg-0").copies == copies for name in world.names
    )
    await world.tasks.stop()


@virtual
async def test_a_summary_of_many_large_items_reaches_all():
    """Guards against wrong usage: a message above the limit was dropped, again and again."""
    world = World(6)
    world.start(**SETTINGS)
    await world.sleep(8)
    summary = {f"c {number}": [number, ["x" * 40] * 50] for number in range(60)} | {"u 1": {"a": 7}}
    world.peers["ywg-0"].publish(Digest(summary=summary))
    await world.sleep(5)
    assert all(
        name == "ywg-0" or world.digest(name, "ywg-0").summary == summary for name in world.names
    )
    assert world.metrics.counter("peer_messages_too_long") == 0
    await world.tasks.stop()


@virtual
async def test_copies_that_change_faster_than_a_link_carries_them_stay_current():
    """Guards against DRAIN: what waited to be sent grew, and with it the age of the copies."""
    world = World(20)
    world.start(**SETTINGS, update_rate=100_000.0)
    await world.sleep(8)
    for number in range(140):
        copies = {"servers": [number, 0, 0, [["s", number, b"x" * 4_000]]]}
        world.peers["ywg-0"].publish(Digest(copies=copies))
        await world.sleep(0.07)
    await world.sleep(1.5)
    assert all(
        name == "ywg-0" or world.digest(name, "ywg-0").copies == copies for name in world.names
    )
    await world.tasks.stop()


@virtual
async def test_summaries_reach_all_while_copies_change_faster_than_a_link_carries_them():
    """Guards against LOST: the summaries of other data centres were many seconds old."""
    world = World(20)
    world.start(**SETTINGS, update_rate=100_000.0)
    await world.sleep(8)
    summary, read_at = {"o 1": {"v1": b"x" * 6}}, {}
    for number in range(100):
        copies = {"servers": [number, 0, 0, [["s", number, b"x" * 4_000]]]}
        world.peers["ywg-0"].publish(Digest(copies=copies))
        if number == 20:
            world.peers["yqr-0"].publish(Digest(summary=summary))
        await world.sleep(0.07)
        for name in world.names:
            if name != "yqr-0" and world.digest(name, "yqr-0").summary == summary:
                read_at.setdefault(name, number)
    assert len(read_at) == len(world.names) - 1
    assert max(read_at.values()) - 20 < 3.0 / 0.07
    await world.tasks.stop()


@virtual
async def test_the_last_report_of_a_hub_is_not_held():
    """Guards against wrong usage: a process ended before what it had held was sent."""
    world = World(6)
    world.start(**SETTINGS, update_rate=10_000.0)
    await world.sleep(8)
    (hub,) = hub_names(world, "yqr")[:1]
    world.peers[hub].publish(Digest(summary={"u 1": {"a": "x" * 5_000}}))
    await world.sleep(0.05)
    last = {"u 1": {"a": 7}}
    world.peers[hub].publish(Digest(summary=last), at_once=True)
    await world.sleep(0.06)
    assert all(name == hub or world.digest(name, hub).summary == last for name in world.names[:6])
    await world.peers[hub].leave()
    await world.sleep(0.05)
    assert all(hub not in world.view(name) for name in world.names[:6] if name != hub)
    await world.tasks.stop()
