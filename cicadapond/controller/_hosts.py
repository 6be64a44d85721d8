"""Decides which hosts to buy and to release: compares the capacity policy's plan with the hosts."""

import collections

import attrs

from cicadapond.capacity import (
    CapacityView,
    HeldHost,
    Offer,
    PoolLoad,
    PoolNeed,
    Target,
    capacity_policies,
    host_changes,
    target_of,
)
from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import ObservedState
from cicadapond.document import Intent, PolicyIntent

OUTDATED_RANK = 0
CURRENT_RANK = 1


@attrs.frozen
class HostDecision:
    """Which hosts to buy and to release.

    Attributes:
      buys: The hosts to buy.
      releases: IDs of the hosts to release.
      planned: By pool, the number of servers planned in this zone; None while the cloud API cannot
        be read.
    """

    buys: tuple[Target, ...] = ()
    releases: frozenset[str] = frozenset()
    planned: dict[str, int] | None = None


def decide_hosts(
    intent: Intent,
    observed: ObservedState,
    memory: ControlMemory,
    outdated: dict[str, frozenset[str]],
) -> HostDecision:
    """Plans hosts.

    Args:
      intent: The document in force.
      observed: The actual state.
      memory: Refusals, reclaim rates and need; updated with the observed state.
      outdated: By pool, this zone's servers that run another version than assigned.

    Returns:
      What to buy and to release; nothing while the cloud API cannot be read.
    """
    if observed.hosts is None or observed.prices is None:
        return HostDecision()
    _record_observations(observed, memory)
    view = capacity_view(intent, observed, memory, outdated)
    plan = _policy(intent).plan(view)
    planned = collections.Counter()
    for target, count in plan.items():
        if target.zone == observed.zone:
            planned[target.pool] += count
    _add_surge(plan, view, observed.zone, outdated)
    changes = host_changes(plan, view.hosts, observed.zone)
    releases = frozenset(host.host_id for host in changes.releases)
    return HostDecision(changes.buys, releases, dict(planned))


def _policy(intent):
    """Returns the document's policy, or the default if this release does not know it."""
    name = intent.policies.capacity
    known = name in capacity_policies.names()
    return capacity_policies.create(name if known else PolicyIntent().capacity)


def capacity_view(intent, observed, memory, outdated) -> CapacityView:
    """Returns the input of the capacity policy."""
    outdated_names = frozenset().union(*outdated.values())
    classes = intent.cost.machine_classes
    hosts = tuple(_held_host(host, classes, outdated_names) for host in observed.hosts)
    offers = tuple(
        _offer(price, classes, memory, observed.now)
        for price in observed.prices
        if price.machine_class in classes
    )
    return CapacityView(tuple(_pool_needs(intent, observed, memory)), hosts, offers, intent.cost)


def _pool_needs(intent, observed, memory):
    replicas = collections.Counter()
    for model in intent.models.values():
        replicas[model.pool] += model.replicas
    for name, application in intent.applications.items():
        replicas[name] += application.replicas
    for pool, count in sorted(replicas.items()):
        yield PoolNeed(
            pool, memory.needs.need(pool, observed.loads.get(pool, PoolLoad()), observed.now), count
        )


def _held_host(host, classes, outdated_names):
    machine_class = classes.get(host.machine_class)
    is_outdated = host.server is not None and host.server.name in outdated_names
    return HeldHost(
        host_id=host.host_id,
        pool=host.pool,
        zone=host.zone,
        machine_class=host.machine_class,
        market=host.market,
        state=host.state,
        slots=machine_class.slots if machine_class else 0,
        rank=OUTDATED_RANK if is_outdated else CURRENT_RANK,
    )


def _offer(price, classes, memory, now):
    key = (price.zone, price.machine_class, price.market)
    return Offer(
        zone=price.zone,
        machine_class=price.machine_class,
        market=price.market,
        per_hour=price.per_hour,
        slots=classes[price.machine_class].slots,
        available=memory.refusals.available(key, now),
        reclaims_per_hour=memory.rates.per_hour(key),
    )


def _record_observations(observed, memory):
    held = collections.Counter(
        (host.zone, host.machine_class, host.market) for host in observed.hosts
    )
    memory.rates.observe(held, observed.now)
    leaving = {host.host_id: host for host in observed.hosts if host.state == "leaving"}
    for host_id in leaving.keys() - memory.leaving_hosts:
        host = leaving[host_id]
        memory.rates.record_reclaim((host.zone, host.machine_class, host.market))
    memory.leaving_hosts = set(leaving)


def _add_surge(plan, view, zone, outdated):
    """Plans an additional host for each pool of this zone with a version change, if available."""
    for pool, servers in outdated.items():
        local_targets = [
            target
            for target in plan
            if target.pool == pool and target.zone == zone and _can_exceed_plan(view, plan, target)
        ]
        if servers and local_targets:
            plan[max(local_targets, key=lambda target: (plan[target], str(target)))] += 1


def _can_exceed_plan(view, plan, target):
    """Returns whether one host beyond the plan is held already or can be bought."""
    held = sum(host.state != "leaving" and target_of(host) == target for host in view.hosts)
    return held > plan[target] or any(
        offer.available
        for offer in view.offers
        if (offer.zone, offer.machine_class, offer.market)
        == (target.zone, target.machine_class, target.market)
    )
