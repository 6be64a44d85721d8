"""Feeds the costs of leaving the data centre with what the summaries tell."""

import collections

from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway._orders import slots_per_server
from cicadapond.gateway._parts import Parts
from cicadapond.gateway.settings import ZoneCostUse
from cicadapond.kernel import Task, seconds
from cicadapond.zones import ZoneCosts, ZoneLoad

UPDATE_INTERVAL = seconds(0.5)


class ZoneFlowTask(Task):
    """Updates the shares of requests that leave the data centre.

    Args:
      costs: The costs to update.
      parts: The components of this process.
      cluster: Knows what the callers of each data centre need.
    """

    name = "zone flows"

    def __init__(self, costs: ZoneCosts, parts: Parts, cluster: Cluster):
        self._costs = costs
        self._parts = parts
        self._cluster = cluster
        self._receivers: dict[str, tuple[str, ...]] = {}

    async def run(self):
        while True:
            self.update()
            await self._parts.clock.sleep(UPDATE_INTERVAL)

    def update(self) -> None:
        """Updates the shares of all services that they are on for."""
        table = self._parts.active_configuration.table
        if table is None:
            return
        for service in table.cfg.services.values():
            servers = self._parts.registry.usable(service.name)
            if self._is_on(service):
                self._update_service(table.cfg, service, servers)
            else:
                self._costs.remove(service.name)

    def record_connect(self, server, took) -> None:
        """Records how long it took to connect to a server."""
        entry = self._parts.registry.find(server)
        if entry is not None:
            self._costs.record_connect(entry.zone, took)

    def _is_on(self, service):
        if service.engine is None or len(self._parts.cfg.zones) < 2:
            return False
        if self._parts.cfg.zone_costs is ZoneCostUse.AUTO:
            return self._parts.placer.reports_pace(service.name)
        return self._parts.cfg.zone_costs is ZoneCostUse.ON

    def _update_service(self, cfg, service, servers):
        slots = slots_per_server(service, servers)
        demands = self._cluster.demand_by_zone(service.name, slots)
        # What only this process knows of servers is left out, so that all come to the same shares.
        capacity = collections.Counter(entry.zone for entry in servers)
        loads = {
            zone: ZoneLoad(max(demand.prefill, demand.batches), capacity[zone])
            for zone, (demand, _) in demands.items()
        }
        ages = {zone: age for zone, (_, age) in demands.items()}
        objectives = [
            route.objective
            for route in cfg.routes
            if any(each.service == service.name for each in route.services)
        ]
        self._costs.update(service.name, loads, ages, min(objectives, default=None))
        self._report(service.name, loads)

    def _report(self, service, loads):
        shares = self._costs.shares(service)
        for zone, share in shares.items():
            self._parts.metrics.gauge("zone_share", share, service=service, zone=zone)
        receivers = tuple(sorted(zone for zone, share in shares.items() if share > 0.0))
        if receivers != self._receivers.get(service, ()):
            self._receivers[service] = receivers
            self._parts.log.write(
                "zone_shares",
                service=service,
                shares={zone: round(share, 3) for zone, share in shares.items()},
                loads={
                    zone: [round(load.demand, 2), round(load.capacity, 2)]
                    for zone, load in loads.items()
                },
            )
