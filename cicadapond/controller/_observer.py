"""Reads the actual state: hosts, prices, engine states, and reports of other processes."""

import asyncio
import collections

from cicadapond.capacity import PoolLoad
from cicadapond.controller._observed import ObservedServer, ObservedState
from cicadapond.controller._parts import ControlParts
from cicadapond.data import HostState, ServerKind
from cicadapond.kernel import Ok, Unavailable


class Observer:
    """Reads the state of one zone, and of other zones as far as other processes report it.

    Args:
      parts: The controller's parts.
    """

    def __init__(self, parts: ControlParts):
        self._parts = parts
        self._adapters = {}
        self._host_listing = None
        self._weight_sizes = {}
        self._operator_ordered = frozenset()

    async def observe(self) -> ObservedState:
        """Reads everything once; values that cannot be read are None or missing."""
        parts = self._parts
        intent = parts.intent()
        zones = sorted({parts.zone, *intent.cost.zones})
        listing, hosts, prices, notices, rate = await asyncio.gather(
            self._read(parts.hosts.list()),
            self._read_hosts(zones),
            self._read_cloud("prices"),
            self._read_cloud("notices", parts.zone),
            self._read_weight_rate(),
        )
        self._host_listing = listing or self._host_listing
        known = self._known_servers(hosts)
        being_reclaimed = {notice.server for notice in notices or ()} | self._reported_leaving(
            known
        )
        await self._read_weight_sizes(intent)
        await self._read_operator_drains()
        if hosts is not None:
            parts.drains.forget(set(known))
        local = [server for server in known.values() if server.zone == parts.zone]
        return ObservedState(
            now=parts.clock.monotonic(),
            zone=parts.zone,
            servers=tuple(
                await asyncio.gather(
                    *(self._observe_server(server, being_reclaimed) for server in local)
                )
            ),
            hosts=hosts,
            prices=prices,
            loads=self._loads(known),
            ready_elsewhere=self._ready_elsewhere(known),
            weight_rate=rate,
            weight_sizes=dict(self._weight_sizes),
        )

    async def close(self) -> None:
        """Closes the engines' adapters."""
        for adapter in self._adapters.values():
            await adapter.close()

    def adapter(self, server):
        """Returns the adapter of an engine, created on first use."""
        if server.name not in self._adapters:
            self._adapters[server.name] = self._parts.engine(server)
        return self._adapters[server.name]

    # Platform

    async def _read(self, coro):
        """Returns the value of a read, or None if it failed or timed out."""
        try:
            async with asyncio.timeout(self._parts.cfg.read_limit.total_seconds()):
                outcome = await coro
        except TimeoutError:
            outcome = Unavailable("no answer in time")
        if isinstance(outcome, Ok):
            return outcome.value
        self._parts.metrics.count("controller_read_failures")
        return None

    async def _read_cloud(self, name, *args):
        if self._parts.cloud is None:
            return None
        return await self._read(getattr(self._parts.cloud, name)(*args))

    async def _read_hosts(self, zones):
        host_lists = await asyncio.gather(*(self._read_cloud("hosts", zone) for zone in zones))
        if any(hosts is None for hosts in host_lists):
            return None
        return tuple(host for hosts in host_lists for host in hosts)

    async def _read_weight_rate(self):
        if self._parts.weights is None:
            return None
        return await self._read(self._parts.weights.rate())

    async def _read_weight_sizes(self, intent):
        if self._parts.weights is None:
            return
        for name, model in intent.models.items():
            key = (name, model.version)
            if key not in self._weight_sizes:
                size = await self._read(self._parts.weights.size(*key))
                if size is not None:
                    self._weight_sizes[key] = size

    async def _read_operator_drains(self):
        """Reads the operators' drains; keeps the last ones read while the store is unavailable."""
        if self._parts.operator_drains is None:
            return
        drains = await self._read(self._parts.operator_drains.list())
        if drains is not None:
            self._operator_ordered = frozenset(drain.server for drain in drains)

    # Servers

    def _known_servers(self, hosts):
        listed = self._host_listing.hosts if self._host_listing is not None else ()
        servers = {
            entry.server.name: entry.server for entry in listed if entry.state is not HostState.GONE
        }
        if hosts is not None:
            live = {host.server.name: host.server for host in hosts if host.server is not None}
            servers = {
                name: server
                for name, server in servers.items()
                if name in live or not server.machine_class
            } | live
        for name in self._adapters.keys() - servers.keys():
            asyncio.ensure_future(self._adapters.pop(name).close())
        return servers

    def _reported_leaving(self, known):
        listed = self._host_listing.hosts if self._host_listing is not None else ()
        leaving = {entry.server.name for entry in listed if entry.state is HostState.LEAVING}
        for member in self._parts.peers.members():
            leaving.update(name for name, report in member.digest.loads.items() if report.leaving)
        return leaving & known.keys()

    async def _observe_server(self, server, being_reclaimed):
        drains = self._parts.drains
        state = None
        if server.kind is ServerKind.ENGINE:
            state = await self._read(self.adapter(server).state())
        return ObservedServer(
            server=server,
            state=state,
            in_flight=drains.in_flight(server.name),
            drained=drains.may_stop(server.name),
            draining=server.name in drains.draining(),
            being_reclaimed=server.name in being_reclaimed,
            drain_ordered=server.name in self._operator_ordered,
        )

    def _reports(self):
        for member in self._parts.peers.members():
            yield from member.digest.loads.items()

    def _loads(self, known):
        running, waiting = collections.Counter(), collections.Counter()
        for name, report in dict(self._reports()).items():
            if name in known:
                running[known[name].pool] += report.running
                waiting[known[name].pool] += report.waiting
        return {pool: PoolLoad(running[pool], waiting[pool]) for pool in running}

    def _ready_elsewhere(self, known):
        ready = collections.Counter()
        for name, report in dict(self._reports()).items():
            if name in known and known[name].zone != self._parts.zone and report.version:
                ready[report.model, report.version] += 1
        return ready
