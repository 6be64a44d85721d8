"""Failures that operators of similar systems reported, brought about on sockets."""

import asyncio
import json

import msgpack
import pytest

from cicadapond.gateway.harness import deployment
from cicadapond.platform.standin import EngineFault, FleetSettings

EVENTS = 4
# Callers give up after a gap of 2 s, and an attempt ends after 1.7 s without an event.
MAX_GAP_MS = 100


def run(check, tmp_path, cfg=None, processes=1):
    async def main():
        async with deployment(tmp_path, cfg, processes) as system:
            async with asyncio.timeout(30):
                await check(system)

    asyncio.run(main())


# Streams: slow but sound ones go on, stalled ones end


def test_a_stream_that_stalls_but_sends_a_byte_now_and_then_goes_on_elsewhere(tmp_path):
    # Any byte restarted the time-out, so that the stream lasted until the request's time limit.
    async def check(system):
        system.fail_next(EngineFault.TRICKLE)
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(1, EVENTS + 1))
        assert len(system.ran()) == 2

    run(check, tmp_path, FleetSettings(max_event_gap_ms=MAX_GAP_MS))


def test_a_slow_but_sound_stream_is_not_cut(tmp_path):
    async def check(system):
        for model in system.engines():
            model.event_interval_s = 0.6
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(1, EVENTS + 1))
        assert system.ran() == ["s-1"]

    run(check, tmp_path, FleetSettings(max_event_gap_ms=MAX_GAP_MS))


# Planned stops


def test_a_connection_whose_request_has_just_arrived_counts_as_busy(tmp_path):
    # A stop closed such a connection as an idle one, and cut its request off without an answer.
    async def check(system):
        frontend = system.node._frontend
        await system.caller().exchange("p-1", "/post/a", body=b"order")
        (conn,) = frontend._connections
        assert conn.is_idle and not frontend.busy
        conn.data_received(b"POST /post/a HTTP/1.1\r\n")
        assert not conn.is_idle and frontend.busy == 1

    run(check, tmp_path)


def test_requests_in_progress_at_a_stop_are_all_answered(tmp_path):
    async def check(system):
        for model in system.engines():
            model.processing_time_s = 0.3
        callers = [system.caller() for _ in range(24)]
        asked = [
            asyncio.ensure_future(each.exchange(f"p-{number}", "/post/a", body=b"order"))
            for number, each in enumerate(callers)
        ]
        await asyncio.sleep(0.05)
        await system.node.stop()
        answers = await asyncio.gather(*asked)
        assert all(answer.is_complete and answer.status in (200, 503) for answer in answers)
        assert sum(answer.status == 200 for answer in answers) >= 12

    run(check, tmp_path)


# After a restart


def test_a_withdrawn_key_and_a_server_that_left_are_not_used_after_a_restart(tmp_path):
    async def check(system):
        system.fleet.unlist_server("s-0")
        system.fleet.configure(keys=("another-key",))
        await system.restart_all()
        for number in range(4):
            refused = await system.caller().exchange(f"p-{number}", "/post/a", body=b"order")
            assert refused.status == 401
        served = await system.caller().exchange(
            "g-1", "/peek/a", method="GET", authorization="Token another-key"
        )
        assert served.status == 200 and not system.engine("s-0").ids()

    run(check, tmp_path, processes=2)


def test_nothing_is_served_from_memory_after_a_restart_while_the_store_is_down(tmp_path):
    async def check(system):
        system.fleet.configure(keys=())
        system.fleet.store.is_down = True
        await system.node.abort()
        system.nodes[0] = system._make_node(0)
        await system.nodes[0].start()
        answer = await system.caller().exchange("p-1", "/post/a", body=b"order")
        assert answer.status == 503 and not system.nodes[0].is_ready()
        assert not system.ran()

    run(check, tmp_path)


@pytest.mark.parametrize("sums_are_told", [True, False])
def test_a_server_that_says_it_leaves_is_not_used_by_a_process_that_restarts(
    tmp_path, sums_are_told
):
    """Without sums the restart is over before another process takes the killed one for dead."""

    async def check(system):
        await system.until_joined()
        for name in ("s-0", "s-1"):
            system.engine(name).is_leaving = name == "s-0"
        for number in range(6):
            await system.caller(0).exchange(f"a-{number}", "/peek/a", method="GET")
        entry = system.nodes[1].parts.registry.find("s-0")
        await system.until(lambda: not system.nodes[1].parts.registry.takes_requests(entry))
        before = len(system.engine("s-0").ids())
        if not sums_are_told:
            system.nodes[1]._cluster.speaks_for_zone = lambda: False
        await system.nodes[0].abort()
        system.nodes[0] = system._make_node(0)
        await system.nodes[0].start()
        restarted = system.nodes[0]
        await system.until(lambda: restarted.is_ready() and restarted._cluster.has_settled())
        for number in range(6):
            await system.caller(0).exchange(f"b-{number}", "/peek/a", method="GET")
        assert len(system.engine("s-0").ids()) == before

    run(check, tmp_path, processes=2)


# Malformed messages


def test_an_unreadable_entry_does_not_end_the_following_of_servers(tmp_path):
    async def check(system):
        entry = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1", "slots": 1}
        huge = entry | {"state": "ready", "leaves_ms": 1e300, "version": "v1", "sequence": 1}
        system.fleet.store.put("servers", "odd-1", huge)
        system.fleet.store.put("servers", "odd-2", b"\xff\x00")
        await system.add_engine("e-new", "v1")
        assert not system.node._tasks.failed

    run(check, tmp_path)


ODD_FIELDS = {
    "huge number": {"slots": 10**400},
    "zero byte": {"address": "a\0b:1"},
    "half a surrogate pair": {"address": "\ud800:1"},
    "long label": {"address": f"{'x' * 64}:1"},
}


@pytest.mark.parametrize("kind", ODD_FIELDS)
def test_requests_are_answered_although_an_odd_entry_is_listed(tmp_path, kind):
    """Guards against LOST: requests that chose such a server ended without an answer."""

    async def check(system):
        entry = {"service": "plain", "zone": "z1", "slots": 1, "address": "127.0.0.1:9"}
        entry |= {"state": "ready", "version": "v1", "sequence": 1}
        system.fleet.store.put("servers", "odd-1", json.dumps(entry | ODD_FIELDS[kind]).encode())
        await system.add_engine("e-new", "v1")
        for number in range(12):
            answer = await system.caller().exchange(f"g-{number}", "/peek/a", method="GET")
            assert answer.status == 200
        assert not system.node._tasks.failed

    run(check, tmp_path)


def test_an_unexpected_error_in_a_follower_does_not_end_it(tmp_path):
    async def check(system):
        table = system.node._servers
        apply, errors = table.apply_changes, [KeyError("unexpected")]

        def failing(*args, **kwargs):
            if errors:
                raise errors.pop()
            return apply(*args, **kwargs)

        table.apply_changes = failing
        await system.add_engine("e-new", "v1")
        assert system.node._tasks.failed

    run(check, tmp_path)


def test_garbage_at_the_ports_of_other_processes_ends_nothing(tmp_path):
    async def check(system):
        await system.until(lambda: system.node._cluster.has_settled())
        for endpoint in system.node.parts.cfg.peers[:2]:
            for garbage in (b"\x00" * 64, b"\xff" * 4096, b"GET / HTTP/1.1\r\n\r\n", b"\x93\x01"):
                _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
                writer.write(garbage)
                await writer.drain()
                writer.close()
        await asyncio.sleep(0.2)
        answer = await system.caller().exchange("p-1", "/post/a", body=b"order")
        assert answer.status == 200 and not system.node._tasks.failed

    run(check, tmp_path)


ODD_ROWS = {
    "no address": {"zone": "z1", "reading": 1.0},
    "an odd address": {"peer": ["a\0b", "x"], "zone": "z1", "reading": 1.0},
    "an odd zone": {"peer": ["127.0.0.1", 9], "zone": ["z"], "reading": 1.0},
    "an odd reading": {"peer": ["127.0.0.1", 9], "zone": "z1", "reading": "soon"},
}


@pytest.mark.parametrize("kind", ODD_ROWS)
def test_a_process_joins_the_others_although_the_row_of_one_is_odd(tmp_path, kind):
    """Guards against LOST: an odd row ended what joins the others, again and again."""

    async def check(system):
        for number in range(3):  # clocks are compared from three readings on
            row = msgpack.packb(ODD_ROWS[kind])
            system.fleet.store.put("processes", f"odd-{number}", row)
        await system.restart(1)
        await system.until_joined()
        assert not any(node._tasks.failed for node in system.nodes)

    run(check, tmp_path, processes=2)
