"""What processes tell each other of the parts that engines keep, bounded in bytes; no I/O.

It handles many processes and engines, whose parts change several times a second under load: what
all processes together tell must not grow with the number of engines or with their changes.
"""

import datetime
import math
import typing

import attrs

from cicadapond.kernel import Clock
from cicadapond.residency._hashes import HASH_BYTES

# What a process receives of this kind, in bytes a second, at most: a quarter of the control
# overhead that it may have.  It falls with the engines above a size, as the other kinds grow.
BYTES_PER_SECOND = 5000.0
FULL_SIZE = 64
# Allowances that are not used are kept for this long, so that a new engine is told at once.
BURST = datetime.timedelta(seconds=10)
# Parts of all engines that are told; a process takes at most 2 MB for them.
MAX_PARTS = 8000
MAX_PARTS_PER_ENGINE = 128
# A change is told with the other parts of its bucket, which has about so many.
PARTS_PER_BUCKET = 8
# An entry has the hash of a part and its tokens, in units, which are rounded down.
TOKENS_PER_UNIT = 128
MAX_UNITS = 255
_ENTRY_BYTES = HASH_BYTES + 1
# The bytes of an item of a report beside its entries: key and quotation marks.
ITEM_BYTES = 28


@attrs.frozen
class HeldParts:
    """What one start of an engine keeps, as processes tell it.

    Attributes:
      born: The start time of the engine in Unix milliseconds.
      buckets: Entries of a hash and of tokens; a part is in the bucket of its hash modulo their
        number.
    """

    born: int
    buckets: tuple[bytes, ...]

    def parts(self) -> dict[int, int]:
        """Returns the tokens kept by the hash of the part."""
        found = {}
        for bucket in self.buckets:
            found |= decode_bucket(bucket)
        return found


def decode_bucket(raw: bytes) -> dict[int, int]:
    """Returns the tokens by the hash of the part."""
    return {
        int.from_bytes(raw[at : at + HASH_BYTES], "big"): raw[at + HASH_BYTES] * TOKENS_PER_UNIT
        for at in range(0, len(raw) - _ENTRY_BYTES + 1, _ENTRY_BYTES)
    }


def parts_per_engine(engines: int) -> int:
    """Returns how many parts of each engine are told."""
    return max(1, min(MAX_PARTS_PER_ENGINE, MAX_PARTS // max(1, engines)))


class PacedValues:
    """Values of which changes are told as bytes allow, the one first that has waited longest.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._told: dict[int, bytes] = {}
        self._waiting: dict[int, bytes] = {}
        self._allowance = math.inf
        self._updated_at = clock.monotonic()

    def clear(self) -> None:
        """Forgets what was told."""
        self._told, self._waiting = {}, {}

    def update(self, wanted: typing.Mapping[int, bytes], rate: float) -> dict[int, bytes]:
        """Returns what is told now.

        Args:
          wanted: The values as they are.
          rate: The bytes that may be told in a second, infinite for no limit.
        """
        for number in self._told.keys() - wanted.keys():
            del self._told[number]
        self._waiting = {
            number: wanted[number] for number in self._waiting if number in wanted
        } | wanted
        for number, raw in wanted.items():
            if raw == self._told.get(number):
                del self._waiting[number]
        self._grow(rate)
        for number, raw in list(self._waiting.items()):
            if self._allowance <= 0.0:
                break
            self._allowance -= _item_bytes(raw)
            self._told[number] = raw
            del self._waiting[number]
        return dict(self._told)

    def _grow(self, rate):
        """Adds the bytes for the time since the last update; the first telling is whole."""
        now = self._clock.monotonic()
        elapsed, self._updated_at = (now - self._updated_at).total_seconds(), now
        if math.inf in (rate, self._allowance):
            self._allowance = sum(map(_item_bytes, self._waiting.values()))
        else:
            limit = max(self._allowance, rate * BURST.total_seconds())
            self._allowance = min(limit, self._allowance + rate * elapsed)


def _item_bytes(raw):
    """Returns the bytes of an item of a report, as base64."""
    return ITEM_BYTES + 4 * len(raw) / 3


class Publication:
    """What this process tells of one engine that it watches.

    Args:
      clock: Gives the time.
      born: The start time of the engine in Unix milliseconds.
    """

    def __init__(self, clock: Clock, born: int):
        self._born = born
        self._told = PacedValues(clock)
        self._buckets = 0

    def update(
        self, kept: typing.Mapping[int, int], engines: int, rate: float = BYTES_PER_SECOND
    ) -> HeldParts:
        """Returns what is told now; a bucket that has changed, as soon as the bytes allow.

        Args:
          kept: The tokens of shared parts that the engine keeps, the latest part first.
          engines: The engines of which all processes together tell.
          rate: The bytes of this kind that a process may receive in a second, from all of them.
        """
        limit = parts_per_engine(engines)
        count = -(-limit // PARTS_PER_BUCKET)
        if count != self._buckets:
            self._buckets = count
            self._told.clear()
        rate = min(rate, BYTES_PER_SECOND) * min(1.0, FULL_SIZE / max(1, engines))
        told = self._told.update(_encode(kept, limit, count), rate / max(1, engines))
        return HeldParts(self._born, tuple(told.get(each, b"") for each in range(count)))


def _encode(kept, limit, count):
    """Returns the entries of the latest parts, by bucket."""
    buckets: dict[int, list[bytes]] = {bucket: [] for bucket in range(count)}
    left = limit
    for key, tokens in kept.items():
        units = min(MAX_UNITS, tokens // TOKENS_PER_UNIT)
        if not units:
            continue
        buckets[key % count].append(key.to_bytes(HASH_BYTES, "big") + bytes((units,)))
        left -= 1
        if not left:
            break
    return {bucket: b"".join(sorted(entries)) for bucket, entries in buckets.items()}
