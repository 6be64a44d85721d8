"""Compares a plan with the hosts held, to find the hosts to buy and to release."""

import collections

import attrs

from cicadapond.capacity._api import HeldHost, Target, target_of

_RELEASE_ORDER = {"starting": 0, "live": 1}


@attrs.frozen
class HostChanges:
    """The changes to make: the targets to buy hosts for, one host each, and hosts to release."""

    buys: tuple[Target, ...]
    releases: tuple[HeldHost, ...]


def host_changes(plan: dict[Target, int], hosts: tuple[HeldHost, ...], zone: str) -> HostChanges:
    """Returns the part of the difference that one zone's controller carries out.

    A live host is only released once everything planned for its pool is live, in all zones, so
    that the new hosts are ready before the old ones drain.

    Args:
      plan: How many hosts to hold for each target.
      hosts: The hosts held now, of all zones.
      zone: The controller's zone.
    """
    held = collections.defaultdict(list)
    for host in hosts:
        if host.state != "leaving":
            held[target_of(host)].append(host)
    buys = []
    releases = []
    for target in sorted(plan.keys() | held.keys(), key=_sort_key):
        if target.zone != zone:
            continue
        missing = plan.get(target, 0) - len(held[target])
        buys.extend([target] * missing)
        releases.extend(_surplus(plan, held, target, -missing))
    return HostChanges(tuple(buys), tuple(releases))


def _surplus(plan, held, target, count):
    if count <= 0:
        return []
    ready = _is_plan_live(plan, held, target.pool)
    candidates = [host for host in held[target] if host.state == "starting" or ready]
    candidates.sort(key=lambda host: (_RELEASE_ORDER[host.state], host.rank, host.host_id))
    return candidates[:count]


def _is_plan_live(plan, held, pool):
    """Returns whether all hosts planned for a pool are live."""
    return all(
        sum(host.state == "live" for host in held.get(target, ())) >= count
        for target, count in plan.items()
        if target.pool == pool
    )


def _sort_key(target):
    return (target.pool, target.zone, target.machine_class, target.market.value)
