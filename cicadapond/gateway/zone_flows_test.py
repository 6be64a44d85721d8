"""For which services the costs of leaving the data centre are planned, and from what."""

import types

import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway._zone_flows import ZoneFlowTask
from cicadapond.gateway.settings import ZoneCostUse
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.scaling import Demand
from cicadapond.serving import EngineLimits, ServerEntry, Service
from cicadapond.zones import ZoneCosts

ENGINES = Service("pool", 9, EngineLimits(8, 10**6))
PLAIN = Service("pool", 9)


class Log:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


def flow_task(service, use, demands, states_pace=False):
    clock, log, metrics = ManualClock(), Log(), Metrics()
    registry, costs = ServerRegistry(clock), ZoneCosts(clock, "a")
    for zone in "aabbcc":
        entry = ServerEntry(f"{zone}{len(registry.all())}", "pool", Endpoint("::1", 1), zone, 8)
        registry.put(entry, 1)
    cfg = types.SimpleNamespace(services={"pool": service}, routes=())
    parts = types.SimpleNamespace(
        clock=clock,
        log=log,
        metrics=metrics,
        registry=registry,
        placer=types.SimpleNamespace(reports_pace=lambda service: states_pace),
        active_configuration=types.SimpleNamespace(table=types.SimpleNamespace(cfg=cfg)),
        cfg=types.SimpleNamespace(zones=("a", "b", "c"), zone_costs=use),
    )
    heard = {zone: (Demand(need, 0.0), seconds(0.2)) for zone, need in demands.items()}
    cluster = types.SimpleNamespace(demand_by_zone=lambda service, slots: heard)
    return parts, costs, ZoneFlowTask(costs, parts, cluster)


@pytest.mark.parametrize(
    ("service", "states_pace", "use", "is_on"),
    [
        (ENGINES, True, ZoneCostUse.AUTO, True),
        (ENGINES, False, ZoneCostUse.AUTO, False),
        (ENGINES, False, ZoneCostUse.ON, True),
        (PLAIN, True, ZoneCostUse.ON, False),
        (ENGINES, True, ZoneCostUse.OFF, False),
    ],
)
def test_costs_are_planned_only_where_the_deployment_asks_for_it(service, states_pace, use, is_on):
    """All other deployments are served as before."""
    _, costs, task = flow_task(service, use, {"a": 1.8, "b": 0.1, "c": 0.1}, states_pace)
    task.update()
    assert costs.is_on("pool") is is_on


def test_shares_follow_from_the_demand_and_the_servers_of_the_data_centres():
    parts, costs, task = flow_task(ENGINES, ZoneCostUse.ON, {"a": 1.8, "b": 0.1, "c": 0.1})
    for _ in range(10):
        task.update()
        parts.clock.advance(seconds(0.5))
    assert costs.shares("pool")["b"] > 0.1
    assert [event for event, _ in parts.log.events] == ["zone_shares"]
    assert "zone_share" in parts.metrics.exposition()
    task.record_connect("b2", seconds(0.003))
    assert costs.distance_ms("b") == pytest.approx(3.0)
