"""Orders of backend servers, which the lease holder sends to the platform."""

import abc
import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._cloud import Cloud, Declined, Holder
from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway._parts import Parts
from cicadapond.kernel import Clock, Metrics, Ok
from cicadapond.lease import LeaseTask
from cicadapond.scaling import CapacityPlanner, Listed, OrderBook, Outcome, Waiting, total
from cicadapond.serving import ServerEntry, ServerOrder, Service

# The objective of a service that no route leads to; nothing is asked of it.
DEFAULT_OBJECTIVE = datetime.timedelta(seconds=1)


class OrderPlan(abc.ABC):
    """Decides which orders should be in force."""

    @abc.abstractmethod
    def orders(
        self, arriving: typing.Callable[[str, datetime.timedelta], dict[str, int]]
    ) -> list[ServerOrder]:
        """Returns the orders that should be in force.

        Args:
          arriving: Returns, for a service and the boot time of its servers, how many reclaimable
            servers are starting in each data centre.
        """

    @abc.abstractmethod
    def listed(self, order: ServerOrder) -> Listed:
        """Returns the servers that are listed for an order."""

    @abc.abstractmethod
    def boot(self, service: str) -> datetime.timedelta | None:
        """Returns how long a server of a service takes to start, None if it is not ordered."""

    @abc.abstractmethod
    def inputs(self, service: str) -> dict:
        """Returns what decided the orders of a service, for the log."""


class ServerOrderer:
    """Sends the orders that are due, those of reclaimable servers first.

    What became of them decides how many on-demand servers are needed.

    Args:
      cloud: Receives the orders.
      plan: Decides which orders should be in force.
      clock: The clock.
      log: The event log; gets one line per order.
      metrics: The metrics; count orders by kind, cause and outcome.
    """

    def __init__(
        self, cloud: Cloud, plan: OrderPlan, clock: Clock, log: EventLog, metrics: Metrics
    ):
        self._cloud = cloud
        self._plan = plan
        self._log = log
        self._metrics = metrics
        self._book = OrderBook(clock)

    def restart(self) -> None:
        """Resets the record of sent orders while this process does not hold the lease."""
        self._book.clear()

    async def step(self, lease: LeaseTask, name: str) -> None:
        """Sends the orders that are due."""
        for reclaimable in (True, False):
            for order in self._plan.orders(self._book.arriving):
                if order.reclaimable is not reclaimable:
                    continue
                # The configuration may have changed during an earlier call.
                boot = self._plan.boot(order.service)
                if boot is None:
                    continue
                listed = self._plan.listed(order)
                due = self._book.due(order, listed, boot)
                if due is None:
                    continue
                grant = lease.grant()
                if grant is None:
                    return
                outcome = await self._cloud.order(Holder(name, grant.fencing, grant.end), order)
                self._book.record(order, _kind_of(outcome), listed)
                self._report(order, due, outcome, grant.fencing)

    def _report(self, order, due, outcome, fencing):
        self._metrics.count(
            "server_orders",
            kind="reclaimable" if order.reclaimable else "on-demand",
            cause=due.value,
            outcome=_kind_of(outcome).value,
        )
        self._log.write(
            "servers_ordered",
            service=order.service,
            zone=order.zone,
            reclaimable=order.reclaimable,
            count=order.count,
            fencing=fencing,
            cause=due.value,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
            declined=list(self._book.declined(order.service)),
            **self._plan.inputs(order.service),
        )


class ServiceOrders(OrderPlan):
    """Plans the orders of all services of the configuration.

    Args:
      parts: The components of this process.
      cluster: Knows the demand that all processes report.
      is_loaded: Returns whether this process has the server table.
    """

    def __init__(self, parts: Parts, cluster: Cluster, is_loaded: typing.Callable[[], bool]):
        self._parts = parts
        self._cluster = cluster
        self._is_loaded = is_loaded
        self._planner = CapacityPlanner(parts.clock)

    def observe(self) -> None:
        """Records servers and demand; every process calls it regularly, with the lease or not."""
        for service in self._services():
            servers = self._servers(service)
            self._planner.observe(service, servers, self._demand(service, servers))

    def orders(self, arriving):
        orders = []
        for service in self._services():
            servers = self._servers(service)
            orders += self._planner.plan(
                service,
                self._parts.cfg.zones,
                servers,
                self._demand(service, servers),
                self._waiting(service, servers),
                arriving(service.name, service.scaling.boot),
            )
            needed = self._planner.inputs(service.name).needed_on_demand
            self._parts.metrics.gauge("on_demand_needed", needed, service=service.name)
        maxima = {each.name: each.scaling.maximum for each in self._services()}
        return self._parts.rollouts.hold_orders(orders, maxima)

    def listed(self, order):
        service = self._parts.active_configuration.table.cfg.services[order.service]
        same = [
            entry
            for entry in self._parts.rollouts.carrying(order.service, self._parts.registry.all())
            if entry.service == order.service
            and entry.zone == order.zone
            and entry.is_reclaimable == order.reclaimable
        ]
        leaving = sum(entry.is_leaving for entry in same)
        running = self._without_crashed(service, [e for e in same if not e.is_leaving])
        return Listed(len(running), leaving)

    def boot(self, service):
        found = self._parts.active_configuration.table.cfg.services.get(service)
        return found.scaling.boot if found is not None and found.scaling is not None else None

    def inputs(self, service):
        inputs = self._planner.inputs(service)
        prompts = inputs.waiting.prompts
        return {
            "basis": inputs.basis.value,
            "needed_on_demand": inputs.needed_on_demand,
            "demand_prefill": round(inputs.present.prefill, 2),
            "demand_batches": round(inputs.present.batches, 2),
            "peak_prefill": round(inputs.peak.prefill, 2),
            "peak_batches": round(inputs.peak.batches, 2),
            "servers": inputs.servers,
            "arriving": inputs.arriving,
            "is_reclaiming": inputs.is_reclaiming,
            "objective_ms": round(inputs.waiting.objective.total_seconds() * 1e3),
            "prompt_ms": round(prompts.mean_s * 1e3, 1) if prompts is not None else None,
            "prompt_variation": round(prompts.variation, 2) if prompts is not None else None,
        }

    def _services(self) -> list[Service]:
        table = self._parts.active_configuration.table
        if table is None or not self._is_loaded():
            return []
        return [each for each in table.cfg.services.values() if each.scaling is not None]

    def _servers(self, service):
        usable = self._parts.registry.usable(service.name)
        carrying = self._parts.rollouts.carrying(service.name, usable)
        return self._without_crashed(service, carrying)

    def _without_crashed(self, service, servers) -> list[ServerEntry]:
        """Returns the servers that did not crash within the time that a new one takes to start.

        The entry of a crashed server stays in the table for some seconds.
        """
        since = self._parts.clock.now() - service.scaling.boot
        crashes = self._parts.crashes.known_crashes()
        crashed = {start for start, crash in crashes.items() if crash.traits and crash.at >= since}
        return [entry for entry in servers if entry.start not in crashed]

    def _demand(self, service, servers):
        slots = slots_per_server(service, servers)
        return total(need for need, _ in self._cluster.demand_by_zone(service.name, slots).values())

    def _waiting(self, service, servers):
        # The prompts of this process stand for those of all: only their mean and variation count.
        objectives = [
            route.objective
            for route in self._parts.active_configuration.table.cfg.routes
            if any(each.service == service.name for each in route.services)
        ]
        return Waiting(
            min(objectives, default=DEFAULT_OBJECTIVE),
            slots_per_server(service, servers),
            self._parts.demand.prompt_times(service.name),
            self._parts.demand.stay_s(service.name),
        )


def _kind_of(outcome) -> Outcome:
    if isinstance(outcome, Ok):
        return Outcome.ACCEPTED
    return Outcome.DECLINED if isinstance(outcome, Declined) else Outcome.FAILED


def slots_per_server(service, servers):
    """Returns how many requests a server of a service runs at once."""
    if service.engine is not None:
        return service.engine.slots
    return min((entry.slots for entry in servers), default=1)
