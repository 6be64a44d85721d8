"""Decides which actions bring the actual state to the document's intent.

The decision has no side effects except on the memory passed in.  It is repeated on the state read
back, so an action without a visible effect is decided again.
"""

import collections

from cicadapond.controller._assign import assign_models
from cicadapond.controller._engines import (
    EngineAssignment,
    drain_orders,
    drains_to_begin,
    is_idle,
    load_limit,
    may_load,
    ready_orders,
    run_order,
    stop_order,
)
from cicadapond.controller._hosts import decide_hosts
from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import ObservedState
from cicadapond.controller._orders import Action, Buy, EndDrain, Release
from cicadapond.data import ServerKind
from cicadapond.document import Intent


def reconcile(intent: Intent, observed: ObservedState, memory: ControlMemory) -> list[Action]:
    """Decides what to do in one zone.

    Args:
      intent: The document in force.
      observed: The actual state, read just before.
      memory: Observations kept from earlier decisions; updated.

    Returns:
      The actions, in order.
    """
    assignments = _assign_engines(intent, observed)
    outdated = {
        pool: frozenset(engine.observed.server.name for engine in engines if engine.outdated)
        for pool, engines in assignments.items()
    }
    hosts = decide_hosts(intent, observed, memory, outdated)
    actions = [Buy(target) for target in hosts.buys]
    releasing = _servers_to_release(observed, hosts)
    actions.extend(_release_hosts(observed, hosts, releasing))
    actions.extend(_service_actions(observed, releasing))
    for pool, engines in sorted(assignments.items()):
        staying = [engine for engine in engines if engine.observed.server.name not in releasing]
        planned = None if hosts.planned is None else hosts.planned.get(pool, 0)
        actions.extend(_engine_actions(pool, staying, planned, observed, memory))
    return actions


def _assign_engines(intent, observed):
    """Returns, by pool, the engines of the zone with the models that they should run."""
    pools = collections.defaultdict(list)
    for server in observed.servers:
        if server.server.kind is ServerKind.ENGINE and not server.being_reclaimed:
            pools[server.server.pool].append(server)
    assignments = {}
    for pool, engines in pools.items():
        assigned = assign_models(intent, pool, engines)
        assignments[pool] = [
            EngineAssignment(engine, *assigned[engine.server.name])
            for engine in engines
            if engine.server.name in assigned
        ]
    return assignments


# Hosts to release


def _servers_to_release(observed, hosts):
    """Returns the hosts to release that have a server, by server name."""
    return {
        host.server.name: host
        for host in observed.hosts or ()
        if host.host_id in hosts.releases and host.server is not None
    }


def _release_hosts(observed, hosts, releasing):
    servers = {server.server.name: server for server in observed.servers}
    actions = []
    for host in observed.hosts or ():
        if host.host_id in hosts.releases and host.server is None:
            actions.append(Release(host.host_id))
    for name, host in sorted(releasing.items()):
        server = servers.get(name)
        if server is None:
            continue
        if not is_idle(server):
            actions.extend(drain_orders(server))
            continue
        if server.state is not None and server.server.kind is ServerKind.ENGINE:
            actions.append(stop_order(server))
        actions.append(Release(host.host_id))
    return actions


# Servers to keep


def _service_actions(observed, releasing):
    actions = []
    for service in observed.servers:
        if service.server.kind is not ServerKind.SERVICE or service.server.name in releasing:
            continue
        if service.drain_ordered:
            actions.extend(drain_orders(service))
        elif service.draining:
            actions.append(EndDrain(service.server.name))
    return actions


def _engine_actions(pool, engines, planned, observed, memory):
    actions = []
    running_loads = sum(
        engine.observed.state is not None and engine.observed.state.loading is not None
        for engine in engines
    )
    drains = {
        engine.observed.server.name
        for engine in drains_to_begin(pool, engines, planned, observed, memory)
    }
    for engine in _fewest_ready_first(engines):
        state = engine.observed.state
        if engine.observed.drain_ordered:
            actions.extend(drain_orders(engine.observed))
            continue
        if state is None or state.loading is not None:
            continue
        if engine.current:
            actions.extend(ready_orders(engine))
        elif may_load(engine):
            if running_loads < load_limit(observed, engine.name, engine.model.version):
                actions.append(run_order(engine))
                running_loads += 1
        elif engine.observed.draining or engine.observed.server.name in drains:
            actions.extend(drain_orders(engine.observed))
    return actions


def _fewest_ready_first(engines):
    """Returns the engines sorted by the number of ready engines of their model."""
    ready = collections.Counter(engine.name for engine in engines if engine.current)
    return sorted(engines, key=lambda engine: (ready[engine.name], engine.observed.server.name))
