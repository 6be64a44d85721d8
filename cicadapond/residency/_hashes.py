"""Short hashes of the names of prompt parts, and which parts several requests share; no I/O.

It handles many requests whose prompts have a part of their own each: engines tell of all parts, and
only those that further requests will use are worth their bytes in the reports of the processes.
"""

import collections
import datetime
import hashlib
import typing

from cicadapond.kernel import Clock
from cicadapond.serving import PromptPart

HASH_BYTES = 4
# Shared parts are reported in so many groups, so that a new one changes few bytes.
GROUPS = 16
# A shared part is reported for at least this long after the last request with it.
RETENTION = datetime.timedelta(seconds=60)
# Shared parts that a process reports at most, the latest ones; 1.4 KB.
MAX_REPORTED = 256
# Shared parts of others that are kept in each group at most, and how long one that is told no more.
MAX_HEARD = 64


def part_hash(name: str) -> int:
    """Returns the hash by which processes tell each other of a part.

    Two of 1,000 parts have the same one in 1 of 8,600 deployments; one of them is then expected
    where only the other is kept, and prefilled.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest(), "big")


class SharedParts:
    """The parts that requests share, as this process and others saw them in requests.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: collections.OrderedDict[int, datetime.timedelta] = collections.OrderedDict()
        self._heard: dict[str, dict[int, bytes]] = {}
        self._known: set[int] = set()

    def record(self, parts: typing.Sequence[PromptPart]) -> None:
        """Records the shared parts of a request."""
        now = self._clock.monotonic()
        for part in parts:
            key = part_hash(part.name)
            self._seen[key] = now
            self._seen.move_to_end(key)
        while len(self._seen) > MAX_REPORTED:
            self._seen.popitem(last=False)

    def reported(self) -> dict[int, bytes]:
        """Returns the hashes of the parts that this process saw lately, by group."""
        oldest = self._clock.monotonic() - RETENTION
        while self._seen and next(iter(self._seen.values())) < oldest:
            self._seen.popitem(last=False)
        groups: dict[int, list[int]] = {}
        for key in self._seen:
            groups.setdefault(key % GROUPS, []).append(key)
        return {
            group: b"".join(key.to_bytes(HASH_BYTES, "big") for key in sorted(keys))
            for group, keys in groups.items()
        }

    def apply(self, zone: str, groups: typing.Mapping[int, bytes]) -> None:
        """Applies what the processes of a data centre saw."""
        if self._heard.get(zone) == groups:
            return
        self._heard[zone] = dict(groups)
        self._known = set()
        for heard in self._heard.values():
            for raw in heard.values():
                self._known.update(split_hashes(raw))

    def __contains__(self, key: int) -> bool:
        return key in self._seen or key in self._known


def split_hashes(raw: bytes) -> list[int]:
    """Returns the hashes in a group."""
    ends = range(HASH_BYTES, len(raw) + 1, HASH_BYTES)
    return [int.from_bytes(raw[end - HASH_BYTES : end], "big") for end in ends]


def merge_groups(reports: typing.Iterable[typing.Mapping[int, bytes]]) -> dict[int, bytes]:
    """Returns the union of what several processes saw, bounded in size."""
    merged: dict[int, set[int]] = {}
    for groups in reports:
        for group, raw in groups.items():
            merged.setdefault(group, set()).update(split_hashes(raw))
    return {
        group: b"".join(key.to_bytes(HASH_BYTES, "big") for key in sorted(keys)[:MAX_HEARD])
        for group, keys in merged.items()
    }
