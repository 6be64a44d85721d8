"""Which hosts to buy and to let go: the capacity policy's plan against what is held."""

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
    difference,
    target_of,
)
from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import Observed
from cicadapond.document import Intent, PolicyIntent

OLD_RANK = 0
CURRENT_RANK = 1


@attrs.frozen
class HostDecision:
    """What to buy, which hosts to let go, and how many servers of a pool this zone shall have.

    `planned` is None where the cloud cannot be read.
    """

    buys: tuple[Target, ...] = ()
    let_go: frozenset[str] = frozenset()
    planned: dict[str, int] | None = None


def decide_hosts(
    intent: Intent, seen: Observed, memory: ControlMemory, outdated: dict[str, frozenset[str]]
) -> HostDecision:
    """Plans hosts.

    Args:
      intent: The document in force.
      seen: The real state.
      memory: Refusals, reclaims and need; told what is seen now.
      outdated: By pool, this zone's servers that run another version than they shall.

    Returns:
      What to buy and to let go; nothing while the cloud cannot be read.
    """
    if seen.hosts is None or seen.prices is None:
        return HostDecision()
    _remember(seen, memory)
    view = capacity_view(intent, seen, memory, outdated)
    plan = _policy(intent).plan(view)
    planned = collections.Counter()
    for target, count in plan.items():
        if target.zone == seen.zone:
            planned[target.pool] += count
    _add_surge(plan, view, seen.zone, outdated)
    found = difference(plan, view.hosts, seen.zone)
    let_go = frozenset(host.host_id for host in found.releases)
    return HostDecision(found.buys, let_go, dict(planned))


def _policy(intent):
    """Returns the document's policy; the default if this release lacks it."""
    name = intent.policies.capacity
    known = name in capacity_policies.names()
    return capacity_policies.create(name if known else PolicyIntent().capacity)


def capacity_view(intent, seen, memory, outdated) -> CapacityView:
    """Returns what the capacity policy decides on."""
    old = frozenset().union(*outdated.values())
    classes = intent.cost.machine_classes
    hosts = tuple(_held(host, classes, old) for host in seen.hosts)
    offers = tuple(
        _offer(price, classes, memory, seen.now)
        for price in seen.prices
        if price.machine_class in classes
    )
    return CapacityView(tuple(_needs(intent, seen, memory)), hosts, offers, intent.cost)


def _needs(intent, seen, memory):
    replicas = collections.Counter()
    for model in intent.models.values():
        replicas[model.pool] += model.replicas
    for name, application in intent.applications.items():
        replicas[name] += application.replicas
    for pool, count in sorted(replicas.items()):
        yield PoolNeed(
            pool, memory.needs.need(pool, seen.loads.get(pool, PoolLoad()), seen.now), count
        )


def _held(host, classes, old):
    machine_class = classes.get(host.machine_class)
    is_old = host.server is not None and host.server.name in old
    return HeldHost(
        host_id=host.host_id,
        pool=host.pool,
        zone=host.zone,
        machine_class=host.machine_class,
        market=host.market,
        state=host.state,
        slots=machine_class.slots if machine_class else 0,
        rank=OLD_RANK if is_old else CURRENT_RANK,
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


def _remember(seen, memory):
    held = collections.Counter((host.zone, host.machine_class, host.market) for host in seen.hosts)
    memory.rates.observe(held, seen.now)
    leaving = {host.host_id: host for host in seen.hosts if host.state == "leaving"}
    for host_id in leaving.keys() - memory.reclaimed:
        host = leaving[host_id]
        memory.rates.reclaimed((host.zone, host.machine_class, host.market))
    memory.reclaimed = set(leaving)


def _add_surge(plan, view, zone, outdated):
    """Plans one host more for each pool of this zone whose version changes, if it can be had."""
    for pool, servers in outdated.items():
        own = [
            target
            for target in plan
            if target.pool == pool and target.zone == zone and _can_have_more(view, plan, target)
        ]
        if servers and own:
            plan[max(own, key=lambda target: (plan[target], str(target)))] += 1


def _can_have_more(view, plan, target):
    """Returns whether one more host than planned is held already or can be bought."""
    held = sum(host.state != "leaving" and target_of(host) == target for host in view.hosts)
    return held > plan[target] or any(
        offer.available
        for offer in view.offers
        if (offer.zone, offer.machine_class, offer.market)
        == (target.zone, target.machine_class, target.market)
    )
