"""Tests the simulated cloud API, host list and weight store, in-process and over HTTP."""

import asyncio
import random

import pytest
import tornado.httpserver
import tornado.testing

from cicadapond.data import BackendServer, Endpoint, HostState, Market, ServerKind
from cicadapond.kernel import (
    AnswerLost,
    LoopClock,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.plugins.cloud_standin import StandinCloud, StandinHostList, StandinWeights
from cicadapond.provider import AdapterSettings, BuyRequest, Refused
from cicadapond.standin import (
    CloudModel,
    CloudOffer,
    CloudTiming,
    DirectCloud,
    HostListModel,
    WeightModel,
    WeightSettings,
)
from cicadapond.standin._cloud_http import (
    cloud_application,
    host_list_application,
    weight_application,
)

SPOT, ON_DEMAND = Market.RECLAIMABLE, Market.ON_DEMAND
OFFERS = (
    CloudOffer("a", "small", SPOT, 1.0, capacity=2),
    CloudOffer("a", "small", ON_DEMAND, 3.0),
    CloudOffer("b", "small", SPOT, 1.2),
)
FAST = CloudTiming(
    latency=seconds(0), start_delay=seconds(0.01), start_jitter=seconds(0), loss_notice=seconds(0)
)
SLOW = CloudTiming(start_jitter=seconds(0))


def start_server(host):
    endpoint = Endpoint("127.0.0.1", 1)
    return BackendServer(host.host_id, ServerKind.ENGINE, host.pool, host.zone, endpoint)


def make_model(clock, timing=SLOW):
    stopped = []
    model = CloudModel(
        OFFERS, clock, random.Random(1), start_server, lambda host: stopped.append(host), timing
    )
    model.stopped = stopped
    return model


def direct(check):
    async def main():
        model = make_model(VirtualClock(), FAST)
        await check(model, DirectCloud(model))

    run_virtual(main())


async def serve(application):
    server = tornado.httpserver.HTTPServer(application)
    sock, port = tornado.testing.bind_unused_port()
    server.add_socket(sock)
    return server, AdapterSettings(adapter="standin", url=f"http://127.0.0.1:{port}")


def over_http(check):
    async def main():
        model = make_model(LoopClock(), FAST)
        server, cfg = await serve(cloud_application(model))
        try:
            await check(model, StandinCloud(cfg, "a", None, None))
        finally:
            await model.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


@pytest.fixture(params=[direct, over_http])
def run(request):
    return request.param


def buy_request(token, zone="a", market=SPOT):
    return BuyRequest(token, "pool", zone, "small", market)


async def wait_for_live_hosts(cloud, zone="a"):
    while True:
        hosts = (await cloud.hosts(zone)).value
        if all(host.state != "starting" for host in hosts):
            return hosts
        await asyncio.sleep(0.01)


def test_a_token_buys_one_host_even_if_its_answer_is_lost(run):
    async def check(model, cloud):
        model.faults.lose_after = 1.0
        assert isinstance(await cloud.buy(buy_request("t")), AnswerLost)
        model.faults.lose_after = 0.0
        bought = await cloud.buy(buy_request("t"))
        assert bought.value.host_id == "host-1"
        assert [host.token for host in await wait_for_live_hosts(cloud)] == ["t"]

    run(check)


def test_a_start_is_refused_by_rule_and_by_capacity(run):
    async def check(model, cloud):
        model.faults.refused.add(("b", None, SPOT))
        assert isinstance(await cloud.buy(buy_request("b", "b")), Refused)
        assert isinstance(await cloud.buy(buy_request("1")), Ok)
        assert isinstance(await cloud.buy(buy_request("2")), Ok)
        assert isinstance(await cloud.buy(buy_request("3")), Refused)
        assert isinstance(await cloud.buy(buy_request("4", "nowhere")), Refused)

    run(check)


def test_a_reclaimed_host_is_announced_and_then_gone(run):
    async def check(model, cloud):
        await cloud.buy(buy_request("t"))
        await cloud.buy(buy_request("u", market=ON_DEMAND))
        await wait_for_live_hosts(cloud)
        assert model.reclaim_share(1.0, notice=seconds(0.2)) == 1
        model.reclaim("host-2")
        (notice,) = (await cloud.notices("a")).value
        assert (notice.server, notice.source) == ("host-1", "cloud")
        assert notice.left <= seconds(0.2)
        await asyncio.sleep(0.3)
        assert [host.host_id for host in (await cloud.hosts("a")).value] == ["host-2"]
        assert [host.host_id for host in model.stopped] == ["host-1"]

    run(check)


def test_an_outage_refuses_every_call(run):
    async def check(model, cloud):
        model.faults.outage = True
        calls = (cloud.buy(buy_request("t")), cloud.hosts("a"), cloud.prices(), cloud.notices("a"))
        assert {type(await call) for call in (*calls, cloud.release("x"))} == {Unavailable}

    run(check)


def test_hosts_are_charged_by_the_hour_at_moving_prices():
    async def main():
        model = make_model(VirtualClock())
        await model.buy(buy_request("t", market=ON_DEMAND))
        await asyncio.sleep(3600)
        on_demand_cost = model.settle_cost()
        await model.release("host-1")
        before = model.settle_cost()
        await asyncio.sleep(3600)
        return (
            on_demand_cost,
            model.settle_cost() - before,
            {price.per_hour for price in model.list_prices()},
        )

    on_demand_cost, after, prices = run_virtual(main())
    assert abs(on_demand_cost - 3.0) < 0.01
    assert after == 0.0
    assert 3.0 in prices and 1.0 not in prices


def test_the_host_list_lags():
    async def main():
        model = HostListModel(VirtualClock(), lag=seconds(30))
        server = start_server(HOST_STUB)
        model.put(server)
        await asyncio.sleep(29)
        early = len(model.listing().hosts)
        await asyncio.sleep(2)
        model.put(server, HostState.GONE)
        late = len(model.listing().hosts)
        await asyncio.sleep(30)
        return early, late, len(model.listing().hosts)

    assert run_virtual(main()) == (0, 1, 0)


def test_loads_of_a_zone_share_the_weight_stores_rate():
    async def main():
        model = WeightModel(WeightSettings(rate=1e9, default_size=10**10), VirtualClock())
        await asyncio.gather(*(model.load("a", "m", "1") for _ in range(3)))
        return asyncio.get_running_loop().time()

    assert abs(run_virtual(main()) - 30.0) < 0.5


def test_the_host_list_and_the_weight_store_over_http():
    async def main():
        hosts = HostListModel(LoopClock(), lag=seconds(0))
        hosts.put(start_server(HOST_STUB), HostState.LEAVING)
        weights = WeightModel(WeightSettings(sizes={"m@2": 7}), LoopClock())
        first, list_cfg = await serve(host_list_application(hosts))
        second, weight_cfg = await serve(weight_application(weights))
        host_list = StandinHostList(list_cfg, "a", None, None)
        store = StandinWeights(weight_cfg, "a", None, None)
        listed = await host_list.list() == Ok(hosts.listing())
        found = [listed, await store.size("m", "2"), await store.rate()]
        hosts.outage = weights.outage = True
        found.extend([type(await host_list.list()), type(await store.rate())])
        first.stop()
        second.stop()
        return found

    assert asyncio.run(main()) == [True, Ok(7), Ok(1e9), Unavailable, Unavailable]


HOST_STUB = type("Host", (), {"host_id": "h", "pool": "p", "zone": "a"})
