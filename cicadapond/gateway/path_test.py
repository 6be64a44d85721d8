"""End-to-end tests on sockets: a gateway node with stand-ins that speak the platform's protocol."""

import asyncio
import base64

import msgpack
import pytest

from cicadapond.gateway.harness import deployment
from cicadapond.platform.standin import EngineFault, FleetSettings


def run(check, tmp_path, cfg=None):
    async def main():
        async with deployment(tmp_path, cfg) as system:
            async with asyncio.timeout(20):
                await check(system)

    asyncio.run(main())


def test_each_kind_of_request_gets_a_complete_response(tmp_path):
    async def check(system):
        caller = system.caller()
        posted = await caller.exchange("p-1", "/post/a?b=1", body=b"order")
        peeked = await caller.exchange("g-1", "/peek/a", method="GET")
        await caller.stream("s-1")
        streamed = await caller.read_response()
        assert (posted.status, posted.body) == (200, b"answer to p-1")
        assert (peeked.status, peeked.body) == (200, b"answer to g-1")
        assert streamed.event_ids() == [1, 2, 3, 4]
        assert posted.is_complete and peeked.is_complete and streamed.is_complete
        assert posted.headers["x-cicadapond-response-signature"] == "s-p-1"

    run(check, tmp_path)


def test_an_engine_gets_the_original_request_and_no_forged_gateway_headers(tmp_path):
    async def check(system):
        forged = {
            "x_cicadapond_tenant": "somebody-else",
            "x_cicadapond_hold": "h",
            "x_cicadapond_pin_ms": "4000",
            "x_cicadapond_kv_backup": "127.0.0.1:1",
            "kv_from": "127.0.0.1:1/h",
            "x_cicadapond_target_instance": "another",
            "accept": "text/plain",
        }
        answer = await system.caller().exchange("p-1", "/post/a?b=1", body=b"order", **forged)
        assert answer.status == 200
        (request,) = system.engine("s-0").executed_requests + system.engine("s-1").executed_requests
        request_id, method, target, headers, body = request
        assert (request_id, method, target, body) == ("p-1", "POST", "/post/a?b=1", b"order")
        assert headers["x-cicadapond-tenant"] == "demo-account"
        assert headers["accept"] == "text/plain"
        assert 0 < int(headers["x-cicadapond-deadline-ms"]) <= 800
        for name in ("authorization", "x-cicadapond-hold", "x-cicadapond-pin-ms", "kv-from"):
            assert name not in headers
        assert "x-cicadapond-kv-backup" not in headers

    run(check, tmp_path)


def test_unknown_routes_and_keys_are_rejected(tmp_path):
    async def check(system):
        caller = system.caller()
        assert (await caller.exchange("a", "/nowhere/a")).status == 404
        assert (await caller.exchange("b", "/post/a", authorization="Token wrong")).status == 401
        assert (await caller.exchange("c", "/post/a", authorization=None)).status == 401

    run(check, tmp_path)


@pytest.mark.parametrize(
    "fault", [EngineFault.RESET, EngineFault.TRUNCATED, EngineFault.GARBAGE, EngineFault.FOREIGN]
)
def test_a_non_idempotent_request_that_may_have_run_is_never_sent_again(tmp_path, fault):
    async def check(system):
        system.fail_next(fault)
        answer = await system.caller().exchange("p-1", "/post/a", body=b"order")
        assert answer.status in (502, 504)
        assert system.ran() == ["p-1"]

    run(check, tmp_path)


@pytest.mark.parametrize(
    "fault",
    [
        EngineFault.RESET,
        EngineFault.TRUNCATED,
        EngineFault.UNFRAMED_RESET,
        EngineFault.GARBAGE,
        EngineFault.FOREIGN,
        EngineFault.SILENT,
        EngineFault.FULL,
        EngineFault.ERROR,
    ],
)
def test_an_idempotent_request_is_retried_on_another_server(tmp_path, fault):
    async def check(system):
        system.fail_next(fault)
        answer = await system.caller().exchange("g-1", "/peek/a", method="GET")
        assert (answer.status, answer.body, answer.is_complete) == (200, b"answer to g-1", True)

    run(check, tmp_path)


def test_a_refusal_by_a_server_is_passed_on_as_not_run(tmp_path):
    async def check(system):
        system.fail_next(*[EngineFault.FULL] * 3)
        answer = await system.caller().exchange("p-1", "/post/a", body=b"order")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) <= 1
        assert not system.ran()

    run(check, tmp_path)


def test_a_response_without_length_is_complete_only_after_an_orderly_close(tmp_path):
    async def check(system):
        system.fail_next(EngineFault.UNFRAMED)
        answer = await system.caller().exchange("p-1", "/post/a", body=b"order")
        assert (answer.status, answer.body) == (200, b"answer to p-1")
        system.fail_next(EngineFault.UNFRAMED_RESET)
        answer = await system.caller().exchange("p-2", "/post/a", body=b"order")
        assert answer.status == 502

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [EngineFault.EXTRA, EngineFault.LATE_EXTRA])
def test_an_unsolicited_response_is_discarded(tmp_path, fault):
    async def check(system):
        caller = system.caller()
        for number in range(12):
            system.fail_next(fault)
            answer = await caller.exchange(f"p-{number}", "/post/a", body=b"order")
            assert (answer.status, answer.body) == (200, f"answer to p-{number}".encode())
        assert sorted(system.ran()) == sorted(f"p-{number}" for number in range(12))

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [EngineFault.RESET, EngineFault.WITHIN_EVENT])
def test_a_broken_stream_resumes_on_another_engine_under_the_first_head(tmp_path, fault):
    async def check(system):
        system.fail_next(fault)
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == [1, 2, 3, 4]
        (begun,) = [
            name
            for name in ("e-0", "e-1")
            if "last-event-id" not in system.engine(name).executed_requests[0][3]
        ]
        assert answer.headers["x-cicadapond-response-signature"] == f"s-s-1-{begun}"

    run(check, tmp_path)


def test_a_broken_stream_that_is_not_resumable_ends_incomplete(tmp_path):
    async def check(system):
        system.fail_next(EngineFault.WITHIN_EVENT)
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.status == 200 and not answer.is_complete
        assert answer.event_ids() == [1]
        assert system.ran() == ["s-1"]

    run(check, tmp_path, FleetSettings(resumable=False))


def test_a_stream_stays_on_an_engine_that_is_only_slow(tmp_path):
    async def check(system):
        for name in ("e-0", "e-1"):
            # above EVENT_TIMEOUT, below the caller's limit
            system.engine(name).event_interval_s = 1.55
            system.engine(name).events = 2
        caller = system.caller()
        await caller.stream("s-1", x_cicadapond_deadline_ms="15000")
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == [1, 2]
        assert system.ran() == ["s-1"]

    run(check, tmp_path)


def test_a_stream_is_not_abandoned_before_its_caller_would(tmp_path):
    async def check(system):
        for name in ("e-0", "e-1"):
            system.engine(name).event_interval_s = 1.9  # below 0.85 of eight gaps of 0.3 s, 2.04 s
            system.engine(name).events = 2
        caller = system.caller()
        await caller.stream("s-1", x_cicadapond_deadline_ms="15000")
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == [1, 2]
        assert system.ran() == ["s-1"]

    run(check, tmp_path, FleetSettings(max_event_gap_ms=300))


def test_a_callers_disconnect_stops_its_engine(tmp_path):
    async def check(system):
        for name in ("e-0", "e-1"):
            system.engine(name).events = 1000
            system.engine(name).event_interval_s = 0.02
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(system.ran)
        await asyncio.sleep(0.05)
        caller.abort()
        await system.until(
            lambda: system.engine("e-0").cancelled_streams + system.engine("e-1").cancelled_streams
            == ["s-1"]
        )

    run(check, tmp_path)


def test_a_leaving_server_gets_no_new_request(tmp_path):
    async def check(system):
        caller = system.caller()
        system.fleet.list_server("s-0", "plain", state="draining")
        registry = system.node.parts.registry
        await system.until(lambda: [e.name for e in registry.usable("plain")] == ["s-1"])
        before = len(system.engine("s-0").executed_requests)
        for number in range(6):
            assert (await caller.exchange(f"p-{number}", "/post/a")).status == 200
        assert len(system.engine("s-0").executed_requests) == before

    run(check, tmp_path)


def test_a_server_that_states_a_limit_gets_no_more_requests_than_that(tmp_path):
    async def check(system):
        loop, caller = asyncio.get_running_loop(), system.caller()
        system.engine("s-0").rate_limit = 1.0
        begun = loop.time()
        answers = [await caller.exchange(f"p-{number}", "/post/a") for number in range(40)]
        most = 1.5 * (loop.time() - begun) + 5
        assert len(system.ran()) <= most
        assert answers[0].status == 200
        for answer in answers:
            assert answer.status == 200 or (
                answer.status == 503 and 0 < float(answer.headers["retry-after"]) <= 2
            )

    run(check, tmp_path, FleetSettings(services=1))


def test_a_server_that_says_it_leaves_gets_no_new_request(tmp_path):
    async def check(system):
        caller = system.caller()
        for name in ("s-0", "s-1"):
            system.engine(name).is_leaving = name == "s-0"
        for number in range(20):
            assert (await caller.exchange(f"p-{number}", "/post/a")).status == 200
        assert len(system.engine("s-0").executed_requests) <= 1
        system.fleet.unlist_server("s-0")
        registry = system.node.parts.registry
        await system.until(lambda: [e.name for e in registry.usable("plain")] == ["s-1"])

    run(check, tmp_path)


def test_a_server_that_refuses_with_retry_after_is_left_alone_meanwhile(tmp_path):
    async def check(system):
        caller = system.caller()
        system.engine("s-0").retry_after_s = 30.0
        for number in range(5):
            answer = await caller.exchange(f"p-{number}", "/post/a")
            assert answer.status == 503 and 25 < float(answer.headers["retry-after"]) <= 40
        assert len(system.engine("s-0").refusals) == 1
        await system.fleet.add_server("s-1", "plain")
        registry = system.node.parts.registry
        await system.until(lambda: len(registry.usable("plain")) == 2)
        assert (await caller.exchange("p-5", "/post/a")).status == 200

    run(check, tmp_path, FleetSettings(services=1))


def test_a_server_that_answers_as_another_is_no_longer_used(tmp_path):
    async def check(system):
        system.engine("s-0").name = "reborn"
        caller = system.caller()
        statuses = [
            (await caller.exchange(f"g-{n}", "/peek/a", method="GET")).status for n in range(8)
        ]
        assert statuses == [200] * 8
        assert not system.engine("s-0").executed_requests
        assert [e.name for e in system.node.parts.registry.usable("plain")] == ["s-1"]

    run(check, tmp_path)


def test_an_invalid_server_entry_or_configuration_has_no_other_effect(tmp_path):
    async def check(system):
        system.fleet.store.put("servers", "odd-1", b"not json")
        system.fleet.store.put("servers", "odd-2", {"service": "plain", "address": 7})
        system.fleet.store.put("op", "config", {"version": 99})
        system.fleet.list_server("s-0", "plain", state="draining")
        registry = system.node.parts.registry
        await system.until(lambda: [e.name for e in registry.usable("plain")] == ["s-1"])
        assert (await system.caller().exchange("p-1", "/post/a")).status == 200
        assert system.node.parts.active_configuration.version == 2

    run(check, tmp_path)


def test_a_configuration_takes_effect_and_is_never_rolled_back(tmp_path):
    async def check(system):
        caller = system.caller()
        version = system.fleet.configure(keys=("other-key",))
        active_configuration = system.node.parts.active_configuration
        await system.until(lambda: active_configuration.version == version)
        assert (await caller.exchange("a", "/post/a")).status == 401
        answer = await caller.exchange("b", "/post/a", authorization="Token other-key")
        assert answer.status == 200
        system.fleet.configure(version=1)
        await asyncio.sleep(0.2)
        assert active_configuration.version == version

    run(check, tmp_path)


def test_lost_history_leads_to_a_new_snapshot(tmp_path):
    async def check(system):
        system.fleet.store.is_down = True
        await asyncio.sleep(0.3)
        version = system.fleet.configure()
        system.fleet.store.oldest_version = system.fleet.store.version + 1
        system.fleet.store.is_down = False
        active_configuration = system.node.parts.active_configuration
        await system.until(lambda: active_configuration.version == version)

    run(check, tmp_path)


def test_requests_over_the_quota_get_a_retry_after(tmp_path):
    async def check(system):
        caller = system.caller()
        statuses, waits = [], []
        for number in range(8):
            answer = await caller.exchange(f"p-{number}", "/post/a", body=b"x")
            statuses.append(answer.status)
            waits.append(float(answer.headers.get("retry-after", "0")))
        assert statuses.count(200) == 5  # burst of 1000 tokens, 200 per request
        assert statuses[5:] == [429] * 3
        assert all(0 < wait <= 0.2 for wait in waits[5:])

    run(check, tmp_path, FleetSettings(quota_per_s=1000.0))


def test_usage_is_reported_and_servers_are_ordered(tmp_path):
    async def check(system):
        cloud = system.fleet.cloud
        await system.until(lambda: cloud.orders)
        assert ("pool", "z1", True, 2) in cloud.orders
        await system.until(lambda: len(cloud.reports) >= 3)
        assert all(len(reports) == 1 for reports in cloud.reports.values())

    run(check, tmp_path)


def test_a_graceful_shutdown_finishes_accepted_requests(tmp_path):
    async def check(system):
        for name in ("e-0", "e-1"):
            system.engine(name).events = 30
            system.engine(name).event_interval_s = 0.02
        caller, late = system.caller(), system.caller()
        await system.until(lambda: system.fleet.store.rows("known_usage", "", None))
        await caller.stream("s-1")
        await system.until(system.ran)
        stopping = asyncio.ensure_future(system.node.stop())
        await system.until(lambda: not system.node.is_ready())
        answer = await caller.read_response()
        assert answer.is_complete and len(answer.event_ids()) == 30
        taken = await late.exchange("p-1", "/post/a")
        assert taken.status == 200 and taken.headers["connection"] == "close"
        await stopping
        assert not system.node.state()["lease"]["held_here"]
        (row,) = system.fleet.store.rows("leases", "", None)
        assert msgpack.unpackb(base64.b64decode(row.value))["ended"]
        (usage,) = system.fleet.store.rows("known_usage", "", None)
        _, ((_, windows),) = msgpack.unpackb(base64.b64decode(usage.value), strict_map_key=False)
        assert sum(sum(counts) for counts in windows.values()) == 2

    run(check, tmp_path)


HEAD = b"POST /post/a HTTP/1.1\r\nhost: callers.example\r\nauthorization: Token demo-key\r\n"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"\r\n", 400),
        (HEAD + b"x-cicadapond-attempt-id: a\r\nx-cicadapond-attempt-id: b\r\n\r\n", 400),
        (
            HEAD + b"x-cicadapond-attempt-id: a\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (HEAD + b"x-cicadapond-attempt-id: a\r\ncontent-length: 99999999\r\n\r\n", 413),
        (HEAD + b"x-cicadapond-attempt-id: a\r\nfill: " + b"f" * 9000 + b"\r\n\r\n", 431),
        (HEAD, 408),
    ],
)
def test_an_unreadable_request_gets_an_error_and_a_closed_connection(tmp_path, raw, status):
    async def check(system):
        caller = system.caller()
        await caller.send_raw(raw)
        answer = await caller.read_response()
        assert answer.status == status and answer.is_complete
        assert answer.headers["connection"] == "close"
        assert not system.ran()

    run(check, tmp_path)


def test_a_request_that_crashes_servers_is_contained(tmp_path):
    async def check(system):
        crashed, registry, crashes = [], system.node.parts.registry, system.node.parts.crashes
        for number in range(4):
            name = f"v-{number}"
            await system.fleet.add_server(name, "plain", faults=[EngineFault.RESET])
            for other in ("s-0", "s-1", *crashed):
                system.fleet.unlist_server(other)
            await system.until(
                lambda name=name: [e.name for e in registry.usable("plain")] == [name]
            )
            caller = system.caller()
            if number == 3:
                break
            await caller.send(f"p-{number}", "/post/a", body=b"poison")
            await system.until(lambda name=name: system.engine(name).executed_requests)
            await system.fleet.servers[name].stop()
            assert (await caller.read_response()).status == 502
            await system.until(lambda n=number: len(crashes.known_crashes()) == n + 1)
            crashed.append(name)
        answer = await caller.exchange("p-9", "/post/a", body=b"poison")
        assert answer.status == 500
        assert not system.engine("v-3").executed_requests
        assert (await caller.exchange("p-10", "/peek/a", method="GET")).status != 500

    run(check, tmp_path)


@pytest.mark.parametrize("kind", ["ENDLESS_INTERIM", "ENDLESS_HEAD", "ENDLESS_BODY"])
def test_an_answer_without_end_is_given_up_after_a_few_megabytes(tmp_path, kind):
    async def check(system):
        for request_id, path in (("p-1", "/post/a"), ("g-1", "/peek/a")):
            system.fail_next(EngineFault[kind])
            method = "POST" if path == "/post/a" else "GET"
            answer = await system.caller().exchange(request_id, path, method=method)
            assert answer.status == (502 if method == "POST" else 200)
        system.fail_next(EngineFault[kind])
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.event_ids() == [1, 2, 3, 4]
        assert max(engine.endless_bytes for engine in system.engines()) < 16 * 2**20

    run(check, tmp_path)


@pytest.mark.parametrize("kind", ["UNFRAMED", "UNFRAMED_WITHIN_EVENT", "WITHIN_EVENT"])
def test_a_stream_that_ends_with_its_connection_is_complete_only_between_events(tmp_path, kind):
    async def check(system):
        system.fail_next(EngineFault[kind])
        caller = system.caller()
        await caller.stream("s-1")
        answer = await caller.read_response()
        assert answer.event_ids() == [1, 2, 3, 4] and answer.is_complete
        assert len(system.ran()) == (1 if kind == "UNFRAMED" else 2)

    run(check, tmp_path)
