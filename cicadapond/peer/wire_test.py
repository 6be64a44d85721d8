"""Tests of the message encoding, of garbage from the wire, and of the TCP transport."""

import asyncio
import random

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.data import Endpoint
from cicadapond.kernel import LoopClock, Metrics, TaskGroup, VirtualClock, run_virtual, seconds
from cicadapond.peer import (
    Digest,
    MemoryNetwork,
    MemoryTransport,
    PeerSettings,
    PeerTask,
    TcpTransport,
)
from cicadapond.peer._documents import DigestWriter, Document, read_digest
from cicadapond.peer._wire import (
    MAX_MESSAGE_BYTES,
    Ack,
    Change,
    Heartbeat,
    Hello,
    Identity,
    Summary,
    Sync,
    Update,
    decode,
    encode,
    encode_bounded,
)

ME = Identity("a", "yqr", "entry", "10.0.0.1", 7000, 5, "alive")
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 2**40) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=2), inner),
)


def test_messages_survive_encoding_and_decoding():
    change = Change("a", 5, True, 0, 0, 2, [[2, "engine-1", 2, 7]])
    sync = Sync("yqr", {"a": [5, "alive", 2, 1]}, True)
    for message in (
        Summary({"yqr": 7}),
        Hello(ME),
        Heartbeat(3),
        Ack(3, {"yxe": [20, 5]}),
        Update([ME], [change]),
        sync,
    ):
        assert decode(encode(message)) == message


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60) | VALUES.map(msgpack.packb))
def test_garbage_is_counted_and_adds_no_member(body):
    async def main():
        network = MemoryNetwork(random.Random(1))
        cfg = PeerSettings("a", "yqr", Endpoint("10.0.0.1", 7000))
        transport = MemoryTransport(network, cfg.endpoint)
        metrics = Metrics()
        peer = PeerTask(cfg, transport, VirtualClock(), metrics, random.Random(1))
        peer.start()
        dialler = MemoryTransport(network, Endpoint("10.0.0.2", 7000))
        link = await dialler.dial(cfg.endpoint)
        link.send([body])
        await asyncio.sleep(1)
        assert metrics.counter("peer_garbage") >= 1
        assert peer.members() == ()
        await peer.close()

    run_virtual(main())


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 3)), max_size=60),
    st.randoms(use_true_random=False),
)
def test_a_copy_that_missed_changes_catches_up_from_its_version(history, rng):
    """Changes are lost at random; requesting items newer than the copy's version recovers them."""
    writer = DigestWriter(seconds(10), lambda server: False)
    copy = Document()
    for number, leaving in enumerate(history):
        base = writer.wide.version
        writer.publish(Digest(revision=number, leaving=leaving), seconds(number))
        source = writer.wide
        if rng.random() < 0.7:
            copy.apply(source.floor, base, source.version, source.since(base))
    base = 0 if copy.version < wide_floor(writer) else copy.version
    wide = writer.wide
    copy.apply(wide.floor, base, wide.version, wide.since(base))
    assert copy.version == wide.version
    assert read_digest(Document(), copy) == read_digest(Document(), wide)


def wide_floor(writer):
    return writer.wide.floor


def test_two_processes_connect_over_tcp_and_an_http_request_is_garbage():
    async def main():
        metrics = Metrics()
        tasks = TaskGroup()
        peers = []
        first = await _free_endpoint()
        for name, endpoint in (("a", first), ("b", await _free_endpoint())):
            cfg = PeerSettings(name, "yqr", endpoint, seeds=(first,))
            rng = random.Random(name)
            peer = PeerTask(cfg, TcpTransport(metrics), LoopClock(), metrics, rng)
            peer.publish(Digest(revision=len(peers) + 1))
            peers.append(peer)
            tasks.start(peer)
        while not all(any(m.digest.revision for m in peer.members()) for peer in peers):
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(first.host, first.port)
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        assert await reader.read() == b""
        assert metrics.counter("peer_garbage") == 1
        writer.close()
        await tasks.stop()

    asyncio.run(asyncio.wait_for(main(), 30))


async def _free_endpoint():
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return Endpoint("127.0.0.1", port)


@given(sizes=st.lists(st.integers(0, 30_000), min_size=1, max_size=30), split=st.integers(0, 30))
@settings(deadline=None, max_examples=30)
def test_a_large_update_is_sent_in_parts_that_bring_a_copy_up_to_date(sizes, split):
    source, copy = Document(), Document()
    for number, size in enumerate(sizes):
        source.put(15, f"c {number}", "x" * size)
    items = source.since(0)
    parts = (items[:split], items[split:]) if 0 < split < len(items) else (items,)
    changes, base = [], 0
    for part in parts:
        changes.append(Change("m", 1, True, 0, base, part[-1][2], part))
        base = part[-1][2]
    bodies = encode_bounded(Update([], changes))
    assert all(len(body) <= MAX_MESSAGE_BYTES for body in bodies)
    for body in bodies:
        for change in decode(body).changes:
            copy.apply(change.floor, change.base, change.top, change.items)
    assert copy.version == source.version and copy.values == source.values
