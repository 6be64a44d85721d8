"""Servers on which all processes agree for a prefix, by rendezvous hashing; no I/O."""

import hashlib
import typing

from cicadapond.serving import ServerEntry

# An odd number whose product with the difference of two hashes orders servers differently for each
# prefix.
_MIXER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1


class PrefixHomes:
    """Finds the home servers of prefixes; the hashes of the servers' names are kept."""

    def __init__(self):
        self._name_hashes: dict[str, int] = {}

    def find(
        self, prefix: str, servers: typing.Sequence[ServerEntry], by_zone: bool
    ) -> tuple[ServerEntry, ...]:
        """Returns the homes of a prefix.

        Args:
          prefix: The name of the prefix.
          servers: The servers.
          by_zone: Whether there is one in each data centre, else one in all.
        """
        prefix_hash, hashes = _hash(prefix), self._name_hashes
        homes, highest = {}, {}
        for entry in servers:
            name_hash = hashes.get(entry.name)
            if name_hash is None:
                name_hash = hashes[entry.name] = _hash(entry.name)
            rank = (prefix_hash ^ name_hash) * _MIXER & _HASH_MASK
            zone = entry.zone if by_zone else None
            if rank > highest.get(zone, -1):
                homes[zone], highest[zone] = entry, rank
        return tuple(homes.values())

    def remove(self, server: str) -> None:
        """Drops what is kept of a server that is gone."""
        self._name_hashes.pop(server, None)


def _hash(name):
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
