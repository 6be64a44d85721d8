"""Remembers the version that began each stream, and tells the other processes.

A caller may take a broken stream up at any process, also after the process that began it has been
killed.  So the processes tell each other of streams that have been in progress for a moment, and of
each from its first event on while several versions are in service; most streams are over before and
are never told.  A stream is told as a short hash of its first request's id, in buckets of time by
version: a few bytes each, and a bucket is dropped as a whole.
"""

import datetime
import hashlib
import math
import typing

import attrs

from cicadapond.kernel import Clock

# Callers take a stream up within their time limit, which is shorter than this.
ORIGIN_RETENTION = datetime.timedelta(seconds=20)
# While one version is in service, a stream that was in progress for less than this is told only if
# it breaks.
MIN_TOLD_AGE = datetime.timedelta(milliseconds=100)
BUCKET = datetime.timedelta(milliseconds=250)
# With 100,000 known streams, one lookup in 3 billion finds another stream.
HASH_BYTES = 6

# Told as the version of a stream if it is not sure which start of a server wrote it.  No server has
# this version, so that processes of earlier builds send such a stream to none.
UNKNOWN_VERSION = "\0"
# A stream whose version is not sure is told so after this time, unless it becomes sure before.
MAX_UNSURE_AGE = datetime.timedelta(seconds=4)

# The hashes of streams, concatenated, by version and by the number of the bucket.
Buckets = typing.Mapping[int, typing.Mapping[str, bytes]]


@attrs.define
class _Origin:
    version: str
    begun_at: datetime.timedelta
    is_sure: typing.Callable[[], bool]
    is_resumable: bool = True
    min_told_age: datetime.timedelta = MIN_TOLD_AGE
    is_due: bool = False
    is_broken: bool = False
    is_complete: bool = False
    told_version: str | None = None

    def known_version(self) -> str:
        return self.version if self.is_sure() else UNKNOWN_VERSION


class StreamOrigins:
    """The versions that began the streams of all processes.

    Args:
      clock: Gives the time.

    Attributes:
      changes: How many times buckets of other sources have changed, as far as that was told.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._own: dict[str, _Origin] = {}
        self._told: dict[int, dict[str, bytes]] = {}
        self._received: dict[str, dict[int, dict[str, bytes]]] = {}
        self._received_at: dict[str, datetime.timedelta] = {}
        self.changes = 0
        # The count of changes at the last one of each bucket, by source and number.
        self._changed: dict[str, dict[int, int]] = {}

    def begin(
        self,
        request_id: str,
        version: str,
        is_sure: typing.Callable[[], bool] = lambda: True,
        is_resumable: bool = True,
        has_other_versions: bool = False,
    ) -> None:
        """Records that a stream's first event has come from a server of a version.

        Args:
          request_id: The id of the request.
          version: The version.
          is_sure: Returns whether it is, by what has become known, that of the server's start that
            wrote the event.
          is_resumable: Whether its caller may take it up; the others are not told of it otherwise.
          has_other_versions: Whether other versions of the service are known.
        """
        self._forget()
        if request_id not in self._own:
            min_told_age = datetime.timedelta() if has_other_versions else MIN_TOLD_AGE
            self._own[request_id] = _Origin(
                version, self._clock.monotonic(), is_sure, is_resumable, min_told_age
            )

    def correct(self, request_id: str, version: str) -> None:
        """Records that a stream's first event came from a server of another version."""
        origin = self._own.get(request_id)
        if origin is not None:
            origin.version = version

    def is_due(self, request_id: str) -> bool:
        """Returns, once for each stream, whether it has become time to tell of it."""
        origin = self._own.get(request_id)
        if origin is None or origin.is_due or not origin.is_resumable:
            return False
        origin.is_due = self._clock.monotonic() - origin.begun_at >= origin.min_told_age
        return origin.is_due

    def complete(self, request_id: str) -> None:
        """Records that a stream has come to its end, so that it need not be told any more."""
        origin = self._own.get(request_id)
        if origin is not None:
            origin.is_complete = True

    def break_off(self, request_id: str) -> None:
        """Records that a stream has broken off: its caller may take it up at once."""
        origin = self._own.get(request_id)
        if origin is not None:
            origin.is_due = origin.is_broken = True

    def find(self, request_id: str, is_in_progress: bool = False, since: int = 0) -> str | None:
        """Returns the version that began a stream, None if nothing is known of it.

        A request that was passed on to a second process, as the first was silent, may have begun at
        both; which of them its caller heard is not known here.

        Args:
          request_id: The id of the request that brought the first event.
          is_in_progress: Whether the caller hears the stream from this process.
          since: The value of `changes` when nothing was known of the stream; what the other
            sources had told by then is not searched again.

        Returns:
          `UNKNOWN_VERSION` if the stream is known, and it is not sure at which version it began.
        """
        origin = self._own.get(request_id)
        if origin is not None and is_in_progress:
            return origin.known_version()
        wanted = _hash(request_id)
        found = {
            version
            for source, changed in self._changed.items()
            for number, change in changed.items()
            if change > since
            for version, hashes in self._received[source][number].items()
            if _contains(hashes, wanted)
        }
        if origin is not None:
            # This process may have told that the version was not sure, and be sure now.
            found = found - {UNKNOWN_VERSION} | {origin.known_version()}
        return found.pop() if len(found) == 1 else UNKNOWN_VERSION if found else None

    def versions(self) -> set[str]:
        """Returns the versions that began any stream that was told lately, as far as is known."""
        self._forget()
        own = {origin.version for origin in self._own.values()}
        found = own.union(
            *(versions for buckets in self._received.values() for versions in buckets.values())
        )
        return found - {UNKNOWN_VERSION}

    def reported(self) -> dict[int, dict[str, bytes]]:
        """Returns what the other processes should know of this one's streams."""
        self._forget()
        now = self._clock.monotonic()
        bucket = self._bucket()
        for request_id, origin in self._own.items():
            version = self._to_tell(origin, now - origin.begun_at)
            if version is not None:
                origin.is_due, origin.told_version = True, version
                versions = self._told.setdefault(bucket, {})
                versions[version] = versions.get(version, b"") + _hash(request_id)
        return {number: dict(versions) for number, versions in self._told.items()}

    def apply(self, zone: str, buckets: Buckets) -> None:
        """Applies what a data centre told of its streams; what it told before still holds."""
        changed = merge_buckets(self._received.setdefault(zone, {}), buckets)
        if changed:
            self.changes += 1
        self._changed.setdefault(zone, {}).update(dict.fromkeys(changed, self.changes))
        self._received_at[zone] = self._clock.monotonic()

    def ages(self) -> dict[str, datetime.timedelta]:
        """Returns how long ago each data centre, or other source, last told of its streams."""
        now = self._clock.monotonic()
        return {source: now - at for source, at in self._received_at.items()}

    def told_ages(self, request_id: str) -> dict[str, datetime.timedelta]:
        """Returns how long ago each data centre, or other source, first told of a stream."""
        wanted, newest = _hash(request_id), self._bucket()
        return {
            source: (newest - min(numbers)) * BUCKET
            for source, buckets in self._received.items()
            if (
                numbers := [
                    number
                    for number, versions in buckets.items()
                    if any(_contains(hashes, wanted) for hashes in versions.values())
                ]
            )
        }

    def told(self, source: str) -> Buckets:
        """Returns what a data centre told of its streams."""
        self._forget()
        return self._received.get(source, {})

    def _to_tell(self, origin, age):
        """Returns the version to tell of a stream now, None for nothing new."""
        if origin.is_complete or not origin.is_resumable:
            return None
        if not origin.is_due and age < origin.min_told_age:
            return None
        if origin.told_version == UNKNOWN_VERSION:
            return None
        version = origin.known_version()
        if version == UNKNOWN_VERSION and origin.told_version is None:
            is_awaited = not origin.is_broken and age < MAX_UNSURE_AGE
            return None if is_awaited else version
        return version if version != origin.told_version else None

    def _bucket(self):
        return bucket_number(self._clock.now())

    def _forget(self):
        oldest = self._clock.monotonic() - ORIGIN_RETENTION
        while self._own:
            request_id, origin = next(iter(self._own.items()))
            if origin.begun_at >= oldest:
                break
            del self._own[request_id]
        for buckets in (self._told, *self._received.values(), *self._changed.values()):
            drop_old_buckets(buckets, newest=self._bucket())


def bucket_number(at: datetime.datetime) -> int:
    """Returns the number of the bucket of a time."""
    return math.floor(at.timestamp() / BUCKET.total_seconds())


def merge_buckets(known: dict[int, dict[str, bytes]], told: Buckets) -> list[int]:
    """Adds the streams that were told to those that are known.

    Returns:
      The numbers of the buckets that have grown.
    """
    grown = []
    for number, versions in told.items():
        into = known.setdefault(number, {})
        size = sum(map(len, into.values()))
        for version, hashes in versions.items():
            into[version] = _union(into.get(version, b""), hashes)
        if sum(map(len, into.values())) > size:
            grown.append(number)
    return grown


def drop_old_buckets(buckets: dict[int, typing.Any], newest: int | None = None) -> None:
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
