"""Streams stay at the software version that began them, in one answer and over several."""

import asyncio
import time

from cicadapond.continuation import _origins
from cicadapond.gateway.harness import deployment
from cicadapond.kernel import Unavailable, seconds
from cicadapond.platform.standin import EngineFault, FleetSettings

EVENTS = 4


def run(check, tmp_path, versions, processes=1, **changes):
    async def main():
        cfg = FleetSettings(engines=0, services=0, **changes)
        async with deployment(tmp_path, cfg, processes) as system:
            async with asyncio.timeout(20):
                for name, version in versions.items():
                    await system.add_engine(name, version)
                await check(system)

    asyncio.run(main())


def versions_of(system, *request_ids):
    """Returns the versions of the engines that executed the requests, in order of time."""
    runs = sorted(
        (at, model.version)
        for model in system.engines()
        for at, request in zip(model.execution_times, model.executed_requests, strict=True)
        if request[0] in request_ids
    )
    return [version for _, version in runs]


def test_a_broken_stream_does_not_go_on_at_another_version(tmp_path):
    async def check(system):
        for number in range(6):
            caller = system.caller()
            system.fail_next(EngineFault.RESET)
            await caller.stream(f"s-{number}")
            answer = await caller.read_response()
            assert len(set(versions_of(system, f"s-{number}"))) == 1
            assert not answer.is_complete or answer.event_ids() == [1, 2, 3, 4]

    run(check, tmp_path, {"a": "v1", "b": "v2"})


def test_a_broken_stream_goes_on_at_an_engine_of_its_version(tmp_path):
    async def check(system):
        system.engine("z").event_interval_s = 0.3
        system.fail_next(EngineFault.RESET)
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(system.ran)
        for name, version in (("a", "v1"), ("b", "v1"), ("y", "v2")):
            await system.add_engine(name, version)
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == [1, 2, 3, 4]
        assert versions_of(system, "s-1") == ["v2", "v2"]

    run(check, tmp_path, {"z": "v2"})


def test_a_stream_of_a_server_upgraded_under_its_name_does_not_go_on_at_the_version_before(
    tmp_path,
):
    """Guards against taking the version from the entry of the server's earlier start."""

    async def check(system):
        server = system.fleet.servers["z"]
        await server.stop()
        server.model.version, server.born = "v2", round(time.time() * 1000)
        server.model.event_interval_s, server.model.faults = 0.3, [EngineFault.RESET]
        await server.start(system.fleet.port("z"))
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(system.ran)
        await system.add_engine("a", "v1")
        system.fleet.list_server("z", "pool")
        await system.until(lambda: system.listed_versions() == {"v1", "v2"})
        first = await caller.read_response()
        again = system.caller()
        await again.stream("t-1", last_event_id="1", resumes="s-1")
        assert not first.is_complete and (await again.read_response()).status == 503
        assert versions_of(system, "s-1", "t-1") == ["v2"]

    run(check, tmp_path, {"z": "v1"})


def test_a_stream_that_its_caller_takes_up_goes_on_at_its_version(tmp_path):
    async def check(system):
        for number in range(6):
            caller = system.caller()
            system.fail_next(EngineFault.RESET)
            await caller.stream(f"s-{number}")
            first = await caller.read_response()
            assert not first.is_complete, "no other engine has its version"
            (begun,) = versions_of(system, f"s-{number}")
            again = system.caller()
            await again.stream(
                f"t-{number}", last_event_id=str(first.event_ids()[-1]), resumes=f"s-{number}"
            )
            answer = await again.read_response()
            assert answer.is_complete and answer.event_ids()[-1] == EVENTS
            assert versions_of(system, f"t-{number}") == [begun]

    run(check, tmp_path, {"a": "v1", "b": "v2"})


def test_another_process_continues_a_stream_at_the_version_that_began_it(tmp_path):
    async def check(system):
        system.engine("z").events, system.engine("z").event_interval_s = 60, 0.03
        caller = system.caller(0)
        await caller.stream("s-1")
        await system.until(system.ran)
        for name, version in (("a", "v1"), ("b", "v3")):
            await system.add_engine(name, version)
        await asyncio.sleep(0.6)
        await system.nodes[0].abort()
        again = system.caller(1)
        await again.stream("t-1", last_event_id="5", resumes="s-1")
        answer = await again.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(6, 61))
        assert versions_of(system, "t-1") == ["v2"]

    run(check, tmp_path, {"z": "v2"}, processes=2)


def test_a_quick_stream_goes_on_after_its_process_was_killed(tmp_path, monkeypatch):
    """Guards against refusals of streams whose process ended before it told where they began."""
    monkeypatch.setattr(_origins, "MIN_TOLD_AGE", seconds(60))

    async def check(system):
        await system.until_joined()
        for engine in system.engines():
            engine.events, engine.event_interval_s = 60, 0.05
        caller = system.caller(0)
        await caller.stream("s-1")
        origins = system.nodes[1].parts.origins
        await system.until(lambda: origins.find("s-1") is not None, timeout_s=2)
        await system.nodes[0].abort()
        for engine in system.engines():
            engine.event_interval_s = 0.0
        again = system.caller(1)
        await again.stream("t-1", last_event_id="1", resumes="s-1")
        answer = await again.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(2, 61))
        assert len(set(versions_of(system, "s-1", "t-1"))) == 1

    run(check, tmp_path, {"a": "v1", "b": "v2"}, processes=2)


def test_a_stream_of_unknown_version_is_refused_and_not_run(tmp_path):
    async def check(system):
        caller = system.caller()
        await caller.stream("t-1", last_event_id="2", resumes="never-seen")
        answer = await caller.read_response()
        assert answer.status == 503 and not system.ran()

    run(check, tmp_path, {"a": "v1", "b": "v2"})


def test_a_stream_goes_on_after_all_processes_were_killed(tmp_path):
    """Guards against what is told between processes only, and so lost when all end at once."""

    async def check(system):
        await system.until_joined()
        system.engine("z").events, system.engine("z").event_interval_s = 60, 0.03
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(system.ran)
        await system.add_engine("a", "v1")
        await asyncio.sleep(0.6)
        await system.restart_all()
        again = system.caller(1)
        await again.stream("t-1", last_event_id="5", resumes="s-1")
        answer = await again.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(6, 61))
        assert versions_of(system, "t-1") == ["v2"]

    run(check, tmp_path, {"z": "v2"}, processes=2)


def test_a_stream_of_a_version_that_went_before_all_were_killed_is_not_joined_to_another(tmp_path):
    """Guards against taking the one version that is listed for the only one that there was."""

    async def check(system):
        await system.until_joined()
        caller = system.caller()
        system.engine("a").events, system.engine("a").event_interval_s = 60, 0.05
        await caller.stream("s-1")
        await system.until(system.ran)
        await system.add_engine("b", "v2")
        await asyncio.sleep(0.6)
        system.fleet.unlist_server("a")
        await system.until(lambda: system.listed_versions() == {"v2"})
        await system.restart_all()
        again = system.caller()
        await again.stream("t-1", last_event_id="2", resumes="s-1")
        answer = await again.read_response()
        assert answer.status == 503 and versions_of(system, "t-1") == []

    run(check, tmp_path, {"a": "v1"})


def test_a_stream_of_unknown_origin_goes_on_after_a_restart_if_one_version_was_in_service(tmp_path):
    async def check(system):
        await system.until_joined()
        await asyncio.sleep(0.6)
        await system.restart_all()
        caller = system.caller()
        await caller.stream("t-1", last_event_id="2", resumes="s-1")
        answer = await caller.read_response()
        assert answer.is_complete and versions_of(system, "t-1") == ["v1"]

    run(check, tmp_path, {"a": "v1"})


def test_a_process_that_is_behind_does_not_take_a_new_version_for_the_one_it_knows(tmp_path):
    """Guards against reading an unknown origin as the only version in an outdated server table."""

    async def check(system):
        behind = system.nodes[1].parts
        behind.registry.put = lambda entry, version: None
        behind.registry.confirm_current = lambda since: None
        behind.origins.apply = lambda zone, buckets: None
        new = await system.fleet.add_server("z", "pool", version="v2", events=60)
        new.event_interval_s = 0.05
        system.engine("a").faults = [EngineFault.FULL] * 10
        await system.until(lambda: system.listed_versions() == {"v1", "v2"})
        first = system.caller(0)
        await first.stream("s-1")
        await system.until(lambda: new.ids() == ["s-1"])
        system.engine("a").faults = []
        await asyncio.sleep(0.4)
        again = system.caller(1)
        await again.stream("t-1", last_event_id="2", resumes="s-1")
        answer = await again.read_response()
        assert answer.status == 503 and versions_of(system, "t-1") == []

    run(check, tmp_path, {"a": "v1"}, processes=2)


def test_a_process_without_the_store_continues_streams_of_a_version_that_joined_since(tmp_path):
    """Guards against refusing what the other processes' servers could serve."""

    async def check(system):
        async def lost(*args):
            return Unavailable("no connection")

        await system.until_joined()
        feed = system.nodes[1]._adapters.feed
        feed.changes = feed.snapshot = lost
        await system.add_engine("b", "v1")  # ends the call in progress
        await system.add_engine("z", "v2")
        new = system.engine("z")
        new.events, new.event_interval_s = 60, 0.03
        for name in "ab":
            system.engine(name).faults = [EngineFault.FULL] * 10
        first = system.caller(0)
        await first.stream("s-1")
        await system.until(lambda: new.ids() == ["s-1"])
        await asyncio.sleep(0.6)
        again = system.caller(1)
        await again.stream("t-1", last_event_id="5", resumes="s-1")
        answer = await again.read_response()
        assert answer.is_complete and versions_of(system, "t-1") == ["v2"]

    run(check, tmp_path, {"a": "v1"}, processes=2)


def test_a_stream_goes_on_while_its_accounts_quota_is_used_up(tmp_path):
    """Guards against streams that were never finished, as new requests had used the quota up."""

    async def check(system):
        all_tokens = {"x_cicadapond_token_count": "900,100"}
        for request_id, status in (("n-1", 200), ("n-2", 429)):
            caller = system.caller()
            await caller.stream(request_id, **all_tokens)
            assert (await caller.read_response()).status == status
        again = system.caller()
        await again.stream("t-1", last_event_id="2", resumes="s-1")
        answer = await again.read_response()
        assert answer.is_complete and answer.event_ids() == [3, 4]

    run(check, tmp_path, {"a": "v1"}, quota_per_s=1000.0)


def test_a_stream_over_quota_comes_back_before_the_quotas_of_other_processes_are_known(tmp_path):
    """Guards against waits of seconds, as if this process had its part of the quota for good."""

    async def check(system):
        parts = system.node.parts
        parts.quota_share, parts.processes = (lambda: 0.25), (lambda: 100)
        system.node._cluster.grant_share = lambda: 0.25
        waits = []
        for request_id, resumed in (("n-1", {}), ("n-2", {}), ("t-1", {"last_event_id": "2"})):
            caller = system.caller()
            await caller.stream(request_id, x_cicadapond_token_count="1800,200", **resumed)
            answer = await caller.read_response()
            waits.append(float(answer.headers.get("retry-after", "0")))
        assert waits[0] == 0 and 0 < waits[2] < waits[1] / 2

    run(check, tmp_path, {"a": "v1"}, quota_per_s=1000.0)
