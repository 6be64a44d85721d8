"""Who talks to whom: rendezvous hashing over live members, without any agreement."""

import hashlib
import typing


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """Returns names in the order of their rendezvous hash for a key, best first.

    Each process computes the same order from the same names; a name that comes or goes moves
    only what it is first for.
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def owner(key: str, names: typing.Iterable[str]) -> str | None:
    """Returns the name that a key belongs to, None without names."""
    return max(names, key=lambda name: _score(key, name), default=None)


def _score(key, name):
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
