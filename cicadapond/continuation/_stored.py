"""What is kept in the store of streams' origins, for a start after all processes were killed.

A data centre has two kinds of rows: the software versions whose streams its callers may still take
up, and, while there are several of them, the streams of each by bucket of time.  The first says
whether an unknown stream can only have begun at one version, the second finds the known ones.  A
row is written by one run of one process alone, so that a call that is carried out late replaces
nothing newer.
"""

import datetime
import typing

import attrs

from cicadapond.continuation._origins import BUCKET, ORIGIN_RETENTION, Buckets, merge_buckets
from cicadapond.kernel import Clock

# How often the row of versions is written again if they do not change.
VERSIONS_REFRESH = datetime.timedelta(seconds=5)
# Versions are taken from the rows that were written at most this long before the newest one: the
# writers of the others had ended earlier.  Several refreshes, as the store may fail some.
VERSIONS_MAX_AGE = ORIGIN_RETENTION + 2 * VERSIONS_REFRESH
# Separates the writer's run from the number of the bucket in the key of a row.
_SEPARATOR = " "

Versions = typing.Mapping[str, typing.Collection[str]]


class VersionHistory:
    """The software versions that were in service before this process started, by service.

    Args:
      clock: The clock.

    Attributes:
      is_loaded: Whether it is known which they were.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._versions: dict[str, set[str]] = {}
        self._until = clock.monotonic() + ORIGIN_RETENTION
        self.is_loaded = False

    def load(self, versions: Versions) -> None:
        """Sets the versions; they count for as long as callers may take up streams of before."""
        self._versions = {service: set(found) for service, found in versions.items()}
        self.is_loaded = True

    def versions(self, service: str) -> set[str]:
        """Returns the versions whose streams, begun before this process, may be taken up."""
        if self._clock.monotonic() >= self._until:
            self._versions.clear()
        return set(self._versions.get(service, ()))


@attrs.frozen
class StoredOrigins:
    """What the rows of all data centres say together.

    Attributes:
      versions: The versions whose streams may be taken up, by service.
      buckets: The streams of each version.
      expired: The keys of rows that nobody needs any more.
      expiring: The keys of the rows of streams, and the numbers of their buckets.
    """

    versions: dict[str, set[str]] = attrs.field(factory=dict)
    buckets: dict[int, dict[str, bytes]] = attrs.field(factory=dict)
    expired: tuple[str, ...] = ()
    expiring: dict[str, int] = attrs.field(factory=dict)


def versions_row(versions: Versions, at: datetime.datetime) -> dict:
    """Returns the row of versions as of a moment."""
    services = {service: sorted(found) for service, found in versions.items()}
    return {"at_ms": round(at.timestamp() * 1000), "versions": services}


def bucket_key(run: str, number: int) -> str:
    """Returns the key of the row of one bucket, by its writer's run."""
    return f"{run}{_SEPARATOR}{number}"


def read_rows(rows: typing.Iterable[tuple[str, object]]) -> StoredOrigins:
    """Returns what rows say; those of other builds that cannot be read say nothing.

    Args:
      rows: Their keys and values.
    """
    heads: dict[str, tuple[int, dict[str, set[str]]]] = {}
    buckets: dict[int, dict[str, bytes]] = {}
    expiring: dict[str, int] = {}
    for key, value in rows:
        try:
            if _SEPARATOR in key:
                number = int(key.rpartition(_SEPARATOR)[2])
                merge_buckets(buckets, {number: _read_bucket(value)})
                expiring[key] = number
            else:
                versions = {
                    str(name): set(map(str, each)) for name, each in value["versions"].items()
                }
                heads[key] = int(value["at_ms"]), versions
        except (AttributeError, KeyError, TypeError, ValueError):
            continue
    newest = max((at_ms for at_ms, _ in heads.values()), default=0)
    oldest = newest - VERSIONS_MAX_AGE / datetime.timedelta(milliseconds=1)
    versions: dict[str, set[str]] = {}
    for at_ms, found in heads.values():
        if at_ms >= oldest:
            for service, each in found.items():
                versions.setdefault(service, set()).update(each)
    expired = tuple(key for key, (at_ms, _) in heads.items() if at_ms < oldest)
    return StoredOrigins(versions, buckets, expired, expiring)


def _read_bucket(value):
    # `bytes` of a number would be that many zeros.
    return {str(version): b"".join((hashes,)) for version, hashes in value.items()}


class UntoldStreams:
    """Which streams that a process reports are not told by its data centre's hub."""

    def __init__(self):
        # How large the buckets were when all of their streams had been told.
        self._told_sizes: dict[int, int] = {}

    def find(
        self, reported: Buckets, told: Buckets, before: int, with_told: bool = False
    ) -> Buckets:
        """Returns the buckets that lack streams, with all that the process reports of them.

        Args:
          reported: What the process reports to the hub.
          told: What the hub tells of the data centre.
          before: The number of the first bucket that the hub may not have told yet.
          with_told: Whether to add what the hub tells of these buckets.
        """
        untold = {}
        for number, versions in reported.items():
            if number >= before or self._told_sizes.get(number) == _size(versions):
                continue
            known = told.get(number, {})
            both: dict[int, dict[str, bytes]] = {number: dict(known)}
            merge_buckets(both, {number: versions})
            if _size(both[number]) > _size(known):
                untold[number] = both[number] if with_told else dict(versions)
            else:
                self._told_sizes[number] = _size(versions)
        for number in [number for number in self._told_sizes if number not in reported]:
            del self._told_sizes[number]
        return untold


class BucketRows:
    """Which rows of streams one process has written, and has to write or remove.

    Args:
      run: The run of the process.

    Attributes:
      run: The name under which to write.
    """

    def __init__(self, run: str):
        self.run = run
        self._written: dict[int, int] = {}
        self._expiring: dict[str, int] = {}

    def expire(self, keys: typing.Mapping[str, int]) -> None:
        """Adds rows that others wrote, to be removed when their buckets are too old."""
        self._expiring |= keys

    def changed(self, buckets: Buckets, limit: int) -> dict[int, dict[str, bytes]]:
        """Returns the newest buckets that are not written as they are now, at most `limit`."""
        changed = [
            number
            for number, versions in buckets.items()
            if versions and self._written.get(number, 0) < _size(versions)
        ]
        return {number: dict(buckets[number]) for number in sorted(changed)[-limit:]}

    def record_written(self, buckets: Buckets) -> None:
        """Records that buckets were written."""
        for number, versions in buckets.items():
            self._written[number] = _size(versions)
            self._expiring[bucket_key(self.run, number)] = number

    def record_doubtful(self, buckets: Buckets, run: str) -> None:
        """Records that a write of buckets may still be carried out.

        Args:
          buckets: The buckets.
          run: Under what name to write from now on, so that it replaces nothing newer.
        """
        self._expiring |= {bucket_key(self.run, number): number for number in buckets}
        self.run = run

    def record_lost(self) -> None:
        """Records that any of the rows may be missing, as after a restore of the store."""
        self._written.clear()

    def expired(self, now: datetime.datetime, limit: int) -> list[str]:
        """Returns the keys of rows whose streams nobody takes up any more, at most `limit`."""
        oldest = (now.timestamp() - ORIGIN_RETENTION.total_seconds()) / BUCKET.total_seconds()
        return [key for key, number in self._expiring.items() if number < oldest][:limit]

    def record_removed(self, keys: typing.Iterable[str]) -> None:
        """Records that rows were removed."""
        for key in keys:
            self._written.pop(self._expiring.pop(key, None), None)


def _size(versions):
    return sum(map(len, versions.values()))
