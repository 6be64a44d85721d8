"""Remembers the version that began each stream, and tells the other processes.

A caller may take a broken stream up at any process, also after the process that began it has been
killed.  So the processes tell each other of streams that have been in progress for a moment; most
streams are over before and are never told.  A stream is told as a short hash of its first request's
id, in buckets of time by version: a few bytes each, and a bucket is dropped as a whole.
"""

import datetime
import hashlib
import math
import typing

import attrs

from cicadapond.kernel import Clock

# Callers take a stream up within their time limit, which is shorter than this.
ORIGIN_RETENTION = datetime.timedelta(seconds=20)
# A stream that was in progress for less than this is told only if it breaks.
MIN_TOLD_AGE = datetime.timedelta(milliseconds=100)
BUCKET = datetime.timedelta(milliseconds=250)
# With 100,000 known streams, one lookup in 3 billion finds another stream.
HASH_BYTES = 6

# The hashes of streams, concatenated, by version and by the number of the bucket.
Buckets = typing.Mapping[int, typing.Mapping[str, bytes]]


@attrs.define
class _Origin:
    version: str
    begun_at: datetime.timedelta
    is_due: bool = False
    is_told: bool = False


class StreamOrigins:
    """The versions that began the streams of all processes.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._own: dict[str, _Origin] = {}
        self._told: dict[int, dict[str, bytes]] = {}
        self._received: dict[str, dict[int, dict[str, bytes]]] = {}

    def begin(self, request_id: str, version: str) -> None:
        """Records that a stream's first event has come from a server of a version."""
        self._forget()
        if request_id not in self._own:
            self._own[request_id] = _Origin(version, self._clock.monotonic())

    def is_due(self, request_id: str) -> bool:
        """Returns, once for each stream, whether it has become time to tell of it."""
        origin = self._own.get(request_id)
        if origin is None or origin.is_due:
            return False
        origin.is_due = self._clock.monotonic() - origin.begun_at >= MIN_TOLD_AGE
        return origin.is_due

    def complete(self, request_id: str) -> None:
        """Records that a stream has come to its end, so that it need not be told any more."""
        origin = self._own.get(request_id)
        if origin is not None:
            origin.is_told = True

    def break_off(self, request_id: str) -> None:
        """Records that a stream has broken off: its caller may take it up at once."""
        origin = self._own.get(request_id)
        if origin is not None:
            origin.is_due = True

    def find(self, request_id: str) -> str | None:
        """Returns the version that began a stream, None if it is not known.

        Args:
          request_id: The id of the request that brought the first event.
        """
        origin = self._own.get(request_id)
        if origin is not None:
            return origin.version
        wanted = _hash(request_id)
        for buckets in self._received.values():
            for versions in buckets.values():
                for version, hashes in versions.items():
                    if _contains(hashes, wanted):
                        return version
        return None

    def versions(self) -> set[str]:
        """Returns the versions that began any stream that was told lately."""
        self._forget()
        own = {origin.version for origin in self._own.values()}
        return own.union(
            *(versions for buckets in self._received.values() for versions in buckets.values())
        )

    def reported(self) -> dict[int, dict[str, bytes]]:
        """Returns what the other processes should know of this one's streams."""
        self._forget()
        now = self._clock.monotonic()
        bucket = self._bucket()
        for request_id, origin in self._own.items():
            if not origin.is_told and (origin.is_due or now - origin.begun_at >= MIN_TOLD_AGE):
                origin.is_told = origin.is_due = True
                versions = self._told.setdefault(bucket, {})
                versions[origin.version] = versions.get(origin.version, b"") + _hash(request_id)
        return {number: dict(versions) for number, versions in self._told.items()}

    def apply(self, zone: str, buckets: Buckets) -> None:
        """Applies what a data centre told of its streams; what it told before still holds."""
        merge_buckets(self._received.setdefault(zone, {}), buckets)

    def told(self, source: str) -> Buckets:
        """Returns what a data centre told of its streams."""
        self._forget()
        return self._received.get(source, {})

    def _bucket(self):
        return math.floor(self._clock.now().timestamp() / BUCKET.total_seconds())

    def _forget(self):
        oldest = self._clock.monotonic() - ORIGIN_RETENTION
        while self._own:
            request_id, origin = next(iter(self._own.items()))
            if origin.begun_at >= oldest:
                break
            del self._own[request_id]
        for buckets in (self._told, *self._received.values()):
            drop_old_buckets(buckets, newest=self._bucket())


def merge_buckets(known: dict[int, dict[str, bytes]], told: Buckets) -> None:
    """Adds the streams that were told to those that are known."""
    for number, versions in told.items():
        into = known.setdefault(number, {})
        for version, hashes in versions.items():
            into[version] = _union(into.get(version, b""), hashes)


def drop_old_buckets(buckets: dict[int, dict[str, bytes]], newest: int | None = None) -> None:
    """Drops what was told longer ago than `ORIGIN_RETENTION` before the newest bucket."""
    if newest is None:
        newest = max(buckets, default=0)
    oldest = newest - ORIGIN_RETENTION // BUCKET
    for number in [number for number in buckets if number < oldest]:
        del buckets[number]


def _union(known, told):
    """Returns the hashes of both; a bucket is mostly told again as it grows."""
    if told.startswith(known):
        return told
    for start in range(0, len(told), HASH_BYTES):
        if not _contains(known, told[start : start + HASH_BYTES]):
            known += told[start : start + HASH_BYTES]
    return known


def _contains(hashes, wanted):
    start = hashes.find(wanted)
    while start != -1 and start % HASH_BYTES:
        start = hashes.find(wanted, start + 1)
    return start != -1


def _hash(request_id):
    return hashlib.blake2b(request_id.encode(), digest_size=HASH_BYTES).digest()
