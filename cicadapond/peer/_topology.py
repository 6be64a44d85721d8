"""Which members connect to which: rendezvous hashing over live members, without coordination."""

import collections
import hashlib
import typing


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """Returns names in the order of their rendezvous hash for a key, best first.

    Each process computes the same order from the same names; adding or removing a name moves only
    the keys for which that name ranks first.
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def owner(key: str, names: typing.Iterable[str]) -> str | None:
    """Returns the name that owns a key, None without names."""
    return max(names, key=lambda name: _score(key, name), default=None)


def hubs(zone: str, members: typing.Iterable[str], count: int) -> list[str]:
    """Returns the members of a data centre that the others connect to, the primary one first."""
    return rank(f"hub {zone}", members)[:count]


def relays(
    zone: str, members: typing.Iterable[str], others: typing.Iterable[str], count: int
) -> dict[str, list[str]]:
    """Returns which members of a data centre connect to each of the others.

    A member relays to a second data centre only when every member relays to one, so that no
    process carries much more of the traffic between data centres than the rest.

    Args:
      zone: The data centre.
      members: Its live members.
      others: The other data centres.
      count: How many members connect to each of them.
    """
    members = tuple(members)
    roles = collections.Counter()
    chosen = {}
    for other in sorted(others):
        ranked = sorted(rank(f"{zone}>{other}", members), key=lambda name: roles[name])
        chosen[other] = ranked[:count]
        roles.update(chosen[other])
    return chosen


def _score(key, name):
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
