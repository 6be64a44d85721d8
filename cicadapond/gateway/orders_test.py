"""The orders of a service: which servers count, and what a process observes without the lease."""

import types

from cicadapond.containment import CrashTracker
from cicadapond.data import Endpoint
from cicadapond.gateway._orders import ServiceOrders
from cicadapond.gateway._rollout_gate import NoRollouts
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.scaling import Demand, DemandMeter
from cicadapond.serving import EngineLimits, Scaling, ServerEntry, ServerOrder, Service

POOL = Service("pool", 9, EngineLimits(8, 10**6), Scaling(1, 9, seconds(4), 0.18, {"a": 1.0}))


def service_orders(clock, demand):
    registry, crashes = ServerRegistry(clock), CrashTracker(clock)
    for zone in "aabbcc":
        name = f"e{len(registry.all())}"
        entry = ServerEntry(name, "pool", Endpoint("::1", 1), zone, 8, is_reclaimable=True)
        registry.put(entry, 1)
    configuration = types.SimpleNamespace(
        table=types.SimpleNamespace(cfg=types.SimpleNamespace(services={"pool": POOL}, routes=()))
    )
    parts = types.SimpleNamespace(
        clock=clock,
        metrics=Metrics(),
        registry=registry,
        rollouts=NoRollouts(),
        demand=DemandMeter(clock),
        crashes=crashes,
        active_configuration=configuration,
        cfg=types.SimpleNamespace(zones=("a", "b", "c")),
    )
    heard = {zone: (Demand(demand / 2, 0.0), seconds(0)) for zone in "ab"}
    cluster = types.SimpleNamespace(demand_by_zone=lambda service, slots: heard)
    return parts, ServiceOrders(parts, cluster, lambda: True)


def on_demand(orders):
    planned = orders.orders(lambda service, boot: {})
    return sum(order.count for order in planned if not order.reclaimable)


def test_crashed_servers_count_as_gone_before_their_entries_are():
    """The entries stay for seconds, in which nothing was ordered in their place."""
    clock = ManualClock()
    parts, orders = service_orders(clock, 3.0)
    for _ in range(8):
        orders.observe()
        clock.advance(seconds(1))
    assert on_demand(orders) == 1
    for name in ("e0", "e1"):
        parts.crashes.record_broken_connection(("request x",), f"{name}/0")
        parts.crashes.record_server_down(f"{name}/0")
    assert orders.listed(ServerOrder("pool", "a", True, 2)).serving == 0
    assert on_demand(orders) == 2  # four are left, two of which one data centre may withdraw
    for name in ("e2", "e3"):
        parts.crashes.record_broken_connection(("request x",), f"{name}/0")
        parts.crashes.record_server_down(f"{name}/0")
    assert on_demand(orders) == 4
    assert orders.inputs("pool")["basis"] == "next_reclaim"
    clock.advance(seconds(4.1))
    assert orders.listed(ServerOrder("pool", "a", True, 2)).serving == 2


def test_nothing_is_planned_for_a_service_that_the_configuration_dropped():
    """A change of the configuration during a call would end the duties."""
    parts, orders = service_orders(ManualClock(), 3.0)
    parts.active_configuration.table.cfg.services.clear()
    assert orders.boot("pool") is None
    assert orders.orders(lambda service, boot: {}) == []
