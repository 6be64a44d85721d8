"""The controller's decision: from the document and the real state to the actions that remain.

Pure but for the memory that it is given.  It runs again and again on what is read back, so an
action whose effect does not show is simply decided again.
"""

import collections

from cicadapond.controller._assign import assign_models
from cicadapond.controller._engines import (
    Wanted,
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
from cicadapond.controller._observed import Observed
from cicadapond.controller._orders import Action, Buy, EndDrain, Release
from cicadapond.data import ServerKind
from cicadapond.document import Intent


def reconcile(intent: Intent, seen: Observed, memory: ControlMemory) -> list[Action]:
    """Decides what to do in one zone.

    Args:
      intent: The document in force.
      seen: The real state, read just before.
      memory: What earlier decisions learnt.

    Returns:
      The actions, in order.
    """
    wanted = _wanted(intent, seen)
    outdated = {
        pool: frozenset(found.seen.server.name for found in engines if found.outdated)
        for pool, engines in wanted.items()
    }
    hosts = decide_hosts(intent, seen, memory, outdated)
    actions = [Buy(target) for target in hosts.buys]
    leaving = _leaving(seen, hosts)
    actions.extend(_let_go(seen, hosts, leaving))
    actions.extend(_keep_services(seen, leaving))
    for pool, engines in sorted(wanted.items()):
        staying = [found for found in engines if found.seen.server.name not in leaving]
        planned = None if hosts.planned is None else hosts.planned.get(pool, 0)
        actions.extend(_keep(pool, staying, planned, seen, memory))
    return actions


def _wanted(intent, seen):
    """Returns, by pool, the engines of the zone with the models that they shall run."""
    pools = collections.defaultdict(list)
    for server in seen.servers:
        if server.server.kind is ServerKind.ENGINE and not server.noticed:
            pools[server.server.pool].append(server)
    wanted = {}
    for pool, engines in pools.items():
        assigned = assign_models(intent, pool, engines)
        wanted[pool] = [
            Wanted(found, *assigned[found.server.name])
            for found in engines
            if found.server.name in assigned
        ]
    return wanted


# Hosts that go


def _leaving(seen, hosts):
    """Returns the servers of hosts that are let go, by server name."""
    return {
        host.server.name: host
        for host in seen.hosts or ()
        if host.host_id in hosts.let_go and host.server is not None
    }


def _let_go(seen, hosts, leaving):
    servers = {found.server.name: found for found in seen.servers}
    actions = []
    for host in seen.hosts or ():
        if host.host_id in hosts.let_go and host.server is None:
            actions.append(Release(host.host_id))
    for name, host in sorted(leaving.items()):
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


# Servers that stay


def _keep_services(seen, leaving):
    actions = []
    for found in seen.servers:
        if found.server.kind is not ServerKind.SERVICE or found.server.name in leaving:
            continue
        if found.ordered:
            actions.extend(drain_orders(found))
        elif found.draining:
            actions.append(EndDrain(found.server.name))
    return actions


def _keep(pool, engines, planned, seen, memory):
    actions = []
    loads = sum(
        found.seen.state is not None and found.seen.state.loading is not None for found in engines
    )
    beginning = {
        found.seen.server.name for found in drains_to_begin(pool, engines, planned, seen, memory)
    }
    for found in _by_need(engines):
        state = found.seen.state
        if found.seen.ordered:
            actions.extend(drain_orders(found.seen))
            continue
        if state is None or state.loading is not None:
            continue
        if found.current:
            actions.extend(ready_orders(found))
        elif may_load(found):
            if loads < load_limit(seen, found.name, found.model.version):
                actions.append(run_order(found))
                loads += 1
        elif found.seen.draining or found.seen.server.name in beginning:
            actions.extend(drain_orders(found.seen))
    return actions


def _by_need(engines):
    """Returns engines, those of the model with the fewest ready ones first."""
    ready = collections.Counter(found.name for found in engines if found.current)
    return sorted(engines, key=lambda found: (ready[found.name], found.seen.server.name))
