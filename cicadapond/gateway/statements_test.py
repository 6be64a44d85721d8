"""What a server says to one process is known to the others, on sockets."""

import asyncio

from cicadapond.gateway.harness import deployment
from cicadapond.platform.standin import FleetSettings


def run(check, tmp_path):
    async def main():
        async with deployment(tmp_path, FleetSettings(services=1), processes=2) as system:
            async with asyncio.timeout(20):
                # Reports are told once the processes have had time to learn of each other.
                await system.until(lambda: all("z1" in _zones(node) for node in system.nodes))
                await check(system)

    asyncio.run(main())


def _zones(node):
    return node.state()["cluster"]["zones"]


def test_a_limit_stated_to_one_process_binds_the_other_and_ends_for_both(tmp_path):
    async def check(system):
        first, second = (node.parts.advisories for node in system.nodes)
        (entry,) = system.node.parts.registry.usable("plain")
        model = system.engine("s-0")
        model.rate_limit = 0.0
        assert (await system.caller(0).exchange("p-1", "/post/a")).status == 200
        await system.until(lambda: second.get(entry) is not None)
        assert first.get(entry).rate_limit == second.get(entry).rate_limit == 0.0
        answers = [await system.caller(1).exchange(f"q-{n}", "/post/a") for n in range(10)]
        assert sum(answer.status == 200 for answer in answers) <= 1
        assert {answer.status for answer in answers} <= {200, 503}
        model.rate_limit = None
        for number in range(150):  # only an answer tells that the limit has ended
            await system.caller(number % 2).exchange(f"r-{number}", "/post/a")
            if first.get(entry).rate_limit is second.get(entry).rate_limit is None:
                break
            await asyncio.sleep(0.1)
        assert first.get(entry).rate_limit is second.get(entry).rate_limit is None

    run(check, tmp_path)


def test_permits_of_a_process_without_callers_go_to_the_one_that_has_them(tmp_path):
    async def check(system):
        first, second = (node.parts for node in system.nodes)
        (entry,) = first.registry.usable("plain")
        system.engine("s-0").rate_limit = 4.0
        assert (await system.caller(0).exchange("p-1", "/post/a")).status == 200
        await system.until(lambda: second.advisories.get(entry) is not None)
        number = 0
        while first.metrics.total("permits_borrowed") < 3:
            await system.caller(0).exchange(f"q-{number}", "/post/a")
            number += 1
        assert first.metrics.total("permits_lent") + second.metrics.total("permits_lent") >= 3
        assert not second.metrics.total("permits_borrowed")
        keepers = system.nodes[0].state()["permits"]["keepers"].values()
        assert set(keepers) <= {node.state()["name"] for node in system.nodes}

    run(check, tmp_path)


def test_a_server_that_told_one_process_that_it_leaves_gets_nothing_from_the_other(tmp_path):
    async def check(system):
        system.engine("s-0").is_leaving = True
        assert (await system.caller(0).exchange("p-1", "/post/a")).status == 200
        registry = system.nodes[1].parts.registry
        await system.until(lambda: not registry.usable("plain"))
        assert (await system.caller(1).exchange("q-1", "/post/a")).status == 503
        assert system.ran() == ["p-1"]

    run(check, tmp_path)


def test_a_process_that_started_later_knows_the_limits(tmp_path):
    async def check(system):
        (entry,) = system.node.parts.registry.usable("plain")
        system.engine("s-0").rate_limit = 3.0
        assert (await system.caller(0).exchange("p-1", "/post/a")).status == 200
        await system.until(lambda: system.nodes[1].parts.advisories.get(entry) is not None)
        await system.restart(1)
        second = system.nodes[1].parts.advisories
        await system.until(lambda: second.get(entry) is not None)
        assert second.get(entry).rate_limit == 3.0

    run(check, tmp_path)
