"""End-to-end tests on sockets: processes follow what engines keep, and engines fetch from others.

They guard against requests that fail or wait because an engine, a watcher or a source is away, and
against reports that the previous build cannot read.
"""

import asyncio
import types

import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._reports import Report, ZoneReports, read_report
from cicadapond.gateway._residency import EngineWatch
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.gateway.settings import ResidencyUse
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.platform.standin import EventFault, FleetSettings
from cicadapond.residency import HeldParts
from cicadapond.serving import EngineLimits, PartTelling, ServerEntry

PARTS = "aa:6000,own-{number}:40"
HELD = {"e-0": HeldParts(7, (b"12345", b"", b"abcde")), "e-1": HeldParts(0, (b"",))}
TELLING = EngineLimits(6, 100_000, 10_000.0, telling=PartTelling(8, 1000))


def run(check, tmp_path, processes=2):
    async def main():
        cfg = FleetSettings(engines=2, tells_parts=True)
        async with deployment(tmp_path, cfg, processes) as system:
            await system.until_joined()
            async with asyncio.timeout(30):
                await check(system)

    asyncio.run(main())


async def stream(system, number, node=0):
    """Sends a stream whose prompt has a shared part; returns its answer."""
    caller = system.caller(node)
    await caller.stream(
        f"s-{number}",
        x_cicadapond_token_count="6040,4",
        x_cicadapond_prefix_hash=PARTS.format(number=number),
    )
    return await caller.read_response()


def keepers(system):
    return [each for each in system.engines() if "aa" in each.parts.kept]


def known_parts(node, name):
    return node.state()["residency"]["directory"]["engines"].get(name, 0)


async def warm(system):
    """Sends a first prompt, and waits until all processes know where its shared part is."""
    assert (await stream(system, 1)).is_complete
    (keeper,) = keepers(system)
    await system.until(
        lambda: all(known_parts(node, keeper.name) for node in system.nodes), timeout_s=10.0
    )
    return keeper


def test_an_engine_that_is_chosen_for_its_free_slots_fetches_the_shared_part(tmp_path):
    async def check(system):
        keeper = await warm(system)
        (other,) = [each for each in system.engines() if each is not keeper and each.name[0] == "e"]
        keeper.events, keeper.event_interval_s = 200, 0.01
        answers = await asyncio.gather(*(stream(system, number, 1) for number in range(2, 12)))
        assert all(answer.is_complete for answer in answers)
        assert sum(tokens for _, tokens in other.parts.fetched) == 6000
        assert "aa" not in other.parts.prefilled

    run(check, tmp_path)


def test_each_engine_is_watched_by_one_process_with_calls_that_are_no_probes(tmp_path):
    async def check(system):
        await warm(system)
        watched = [name for node in system.nodes for name in node.state()["residency"]["watched"]]
        assert sorted(watched) == ["e-0", "e-1"]
        calls = sum(
            (each.parts.calls for each in system.engines()),
            start=type(system.engines()[0].parts.calls)(),
        )
        assert calls["events"] >= 2
        assert calls["probe"] == calls["refused"] == calls["list"] == 0

    run(check, tmp_path)


def test_lost_events_are_repaired_by_a_list(tmp_path):
    async def check(system):
        keeper = await warm(system)
        keeper.parts.faults = [EventFault.LOST]
        await system.until(lambda: keeper.parts.calls["list"] == 1)
        assert known_parts(system.node, keeper.name)

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [EventFault.RESET, EventFault.SILENT, EventFault.UNREADABLE])
def test_engines_that_tell_nothing_are_guessed_and_serve(tmp_path, fault):
    async def check(system):
        for each in system.engines():
            each.parts.faults = [fault] * 50
        assert (await stream(system, 1)).is_complete
        directory = system.node.parts.engine_watch.state
        await system.until(lambda: directory()["directory"]["engines"] == {})
        assert (await stream(system, 2)).is_complete

    run(check, tmp_path, processes=1)


def test_an_engine_that_ends_is_no_source_and_its_parts_are_dropped(tmp_path):
    async def check(system):
        keeper = await warm(system)
        await system.fleet.servers[keeper.name].stop()
        system.fleet.unlist_server(keeper.name)
        await system.until(
            lambda: all(
                keeper.name not in [each.name for each in node.parts.registry.usable(MODEL_SERVICE)]
                for node in system.nodes
            )
        )
        assert (await stream(system, 2, 1)).is_complete
        await system.until(lambda: not any(known_parts(n, keeper.name) for n in system.nodes))

    run(check, tmp_path)


# Whether it is on


class Silent:
    """Calls and logs of which nothing comes."""

    def __getattr__(self, name):
        return lambda *args, **fields: None


class Spawned:
    def __init__(self):
        self.names = []

    def spawn(self, coro, name):
        coro.close()
        self.names.append(name)
        return types.SimpleNamespace(cancel=lambda: None)


@pytest.mark.parametrize(
    ("use", "states_pace", "limits", "is_on"),
    [
        (ResidencyUse.AUTO, True, TELLING, True),
        (ResidencyUse.AUTO, False, TELLING, False),
        (ResidencyUse.ON, False, TELLING, True),
        (ResidencyUse.ON, True, EngineLimits(6, 100_000, 10_000.0), False),
        (ResidencyUse.OFF, True, TELLING, False),
        (ResidencyUse.ON, True, EngineLimits(6, 100_000, None, telling=PartTelling(8, 9)), False),
    ],
)
def test_engines_are_watched_only_where_the_deployment_asks_for_it(use, states_pace, limits, is_on):
    """All other deployments are served as before, and their engines get no calls."""
    clock, tasks = ManualClock(), Spawned()
    registry = ServerRegistry(clock)
    registry.put(ServerEntry("e-0", MODEL_SERVICE, Endpoint("::1", 1), "a", 6), 1)
    cfg = types.SimpleNamespace(name="p-0", zone="a", link_mbps=0.0, residency=use)
    watch = EngineWatch(cfg, Silent(), registry, clock, Silent(), Metrics(), tasks, None)
    watch.live_by_zone = lambda: {"a": ("p-0",)}
    watch.engine_limits = lambda: {MODEL_SERVICE: limits}
    watch.reports_pace = lambda service: states_pace
    watch.update()
    assert tasks.names == (["watch engine"] if is_on else [])
    assert watch.state()["services"] == ([MODEL_SERVICE] if is_on else [])


# Reports


def test_what_engines_keep_survives_its_transport():
    total = ZoneReports("h/1", seconds(3), seconds(20))
    total.record("a/1", Report(1, held=HELD, shared_parts={3: b"abcd"}), seconds(0))
    total.record("b/1", Report(1, shared_parts={3: b"abce", 4: b"wxyz"}), seconds(0))
    summary = total.total({}, seconds(1))
    assert summary.held == HELD
    assert summary.shared_parts == {3: b"abcdabce", 4: b"wxyz"}
    assert read_report(summary.as_items()) == summary


def test_the_latest_start_of_an_engine_counts_and_the_process_heard_last():
    """A watcher that was paused may still tell of a start that has ended."""
    total = ZoneReports("h/1", seconds(3), seconds(20))
    old, new = HeldParts(1, (b"12345",)), HeldParts(2, (b"",))
    total.record("a/1", Report(1, held={"e-0": new}), seconds(0))
    total.record("b/1", Report(1, held={"e-0": old}), seconds(1))
    assert total.total({}, seconds(1)).held == {"e-0": new}
    total.record_ended("a/1")
    assert total.total({}, seconds(1)).held == {"e-0": old}


def test_the_kinds_of_items_are_none_that_previous_builds_read():
    """Commits 0fc5517 and 7419c1c read the kinds below, and ignore all others."""
    items = Report(1, held=HELD, shared_parts={3: b"abcd"}).as_items()
    kinds = {key.partition(" ")[0] for key in items} - {""}
    assert kinds == {"h", "b", "p"} and not kinds & set("suxdeaockrv")


@pytest.mark.parametrize(
    "items", [{"h e": [1]}, {"b x e": "AAAA"}, {"b 0 e": "*"}, {"p x": "AAAA"}, {"b 0 e": 5}]
)
def test_malformed_items_of_engines_make_no_report(items):
    assert read_report({"": [1, 2, 3, ""]} | items) is None
