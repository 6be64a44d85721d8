"""Keeps in the store which versions began the streams, so that it outlasts a stop of all processes.

Processes tell each other of their streams, but forget them if all of them stop at the same time.
One process of each data centre, a hub, writes for all of it: the versions in service when they
change, and the streams only while there are several versions of a service.  A process whose streams
the hub does not tell, as one of them is cut off or stands still, writes them itself.
"""

import datetime
import zlib

from cicadapond.continuation import (
    BUCKET,
    VERSIONS_REFRESH,
    BucketRows,
    UntoldStreams,
    bucket_key,
    bucket_number,
    merge_buckets,
    read_rows,
    versions_row,
)
from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway._digest_pace import digest_intervals
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._shared_rate import RateShares, SharedRate
from cicadapond.kernel import AnswerLost, Ok
from cicadapond.provider import TableService, Write

TABLE = "origins"
# As whose streams a process knows those that it has read, beside those that data centres tell.
SOURCE = "store"
# A stream is stored so long after it was told.  Grows with the data centres, for all of which the
# store takes 400 writes/s.
WRITE_INTERVAL = datetime.timedelta(milliseconds=200)
WRITE_INTERVAL_PER_ZONE = datetime.timedelta(milliseconds=20)
READ_RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
READ_PAGE = 500
# A transaction takes 100 rows.
MAX_WRITES = 60
MAX_REMOVALS = 30
# The hub tells the streams of its data centre within this time and two digests.
TELLING_ALLOWANCE = datetime.timedelta(milliseconds=100)
# What all processes may use of the store's writes for streams that no hub tells.
UNTOLD_WRITE_SHARES = RateShares(lasting=0.2, peak=0.5, burst=4)
# A process that was the hub writes on for this time, as the next one may not hear it yet.
HANDOVER_TIME = datetime.timedelta(seconds=2)
# Separates a process's run from the number of writes before whose outcome it does not know.
DOUBT_MARK = "~"
# Rows whose streams are too old are removed with the next write, or by themselves when so many are
# due.
REMOVALS_WITHOUT_WRITE = 20


def write_interval(zones: int) -> datetime.timedelta:
    """Returns the time between two writes of a hub.

    Args:
      zones: How many data centres there are.
    """
    return max(WRITE_INTERVAL, zones * WRITE_INTERVAL_PER_ZONE)


def telling_time(neighbours: int) -> datetime.timedelta:
    """Returns the time after which a process writes the streams that its hub has not told.

    Args:
      neighbours: How many processes of a data centre tell its hub.
    """
    shortest, _ = digest_intervals(neighbours)
    return TELLING_ALLOWANCE + 2 * shortest + BUCKET


class OriginStore:
    """Reads the origins of streams at the start, and writes those of a data centre as its hub.

    Args:
      parts: The components of this process.
      tables: The store.
      cluster: The processes; knows whether this one is its data centre's hub.
    """

    def __init__(self, parts: Parts, tables: TableService, cluster: Cluster):
        self._parts = parts
        self._tables = tables
        self._cluster = cluster
        self._clock = parts.clock
        self._rows: BucketRows | None = None
        self._leftover: dict[str, int] = {}
        self._unneeded: tuple[str, ...] = ()
        self._versions: dict[str, set[str]] = {}
        self._versions_written_at: datetime.timedelta | None = None
        # The era of the store in which all that counts as written was written.
        self._era = 0
        self._doubtful_writes = 0
        self._speaks_until = datetime.timedelta()
        self._untold_streams = UntoldStreams()
        self._untold_due: datetime.timedelta | None = None
        self._untold_rate = SharedRate(
            parts.clock,
            parts.cfg.store_writes_per_second,
            UNTOLD_WRITE_SHARES,
            lambda: parts.processes(),
        )

    async def run(self) -> None:
        """Reads and then writes until cancelled."""
        while not await self._read():
            await self._clock.sleep(READ_RETRY_INTERVAL)
        while True:
            await self._clock.sleep(write_interval(len(self._cluster.live_by_zone())))
            now = self._clock.monotonic()
            if self._cluster.speaks_for_zone():
                self._speaks_until = now + HANDOVER_TIME
            if now < self._speaks_until:
                await self._write_for_zone()
            elif self._cluster.has_settled():
                await self._write_untold()

    async def _read(self):
        rows, after = [], ""
        while True:
            page = await self._tables.scan(TABLE, after=after, limit=READ_PAGE)
            if not isinstance(page, Ok):
                return False
            rows += page.value
            if len(page.value) < READ_PAGE:
                break
            after = page.value[-1].key
        found = read_rows((row.key, row.value) for row in rows)
        self._leftover, self._unneeded = found.expiring, found.expired
        self._parts.origins.apply(SOURCE, found.buckets)
        self._parts.version_history.load(found.versions)
        if rows:
            self._parts.log.write(
                "origins_read",
                rows=len(rows),
                versions={service: sorted(each) for service, each in found.versions.items()},
            )
        return True

    async def _write_for_zone(self):
        rows, versions = self._own_rows(), self._versions_in_service()
        if versions is None:
            return
        rows.expire(self._leftover)
        self._leftover = {}
        streams = {}
        if self._has_several(versions):
            origins = self._parts.origins
            streams = origins.told(self._cluster.zone)
            if not self._cluster.speaks_for_zone():
                streams = {number: dict(found) for number, found in streams.items()}
                merge_buckets(streams, origins.reported())
        due = versions if self._versions_are_due(versions) else None
        await self._write(streams, due, REMOVALS_WITHOUT_WRITE)

    async def _write_untold(self):
        """Writes the streams of this process that the hub has not told in time."""
        streams = self._untold()
        if streams and not self._has_several(self._versions_in_service() or {}):
            streams = {}
        has_expired = self._rows is not None and self._rows.expired(self._clock.now(), 1)
        if not streams and not has_expired:
            self._untold_due = None
            return
        now = self._clock.monotonic()
        if self._untold_due is None:
            # Many processes lose a hub at the same moment.
            spread = zlib.crc32(self._cluster.own_run().encode()) / 2**32
            self._untold_due = now + spread * self._untold_rate.interval(UNTOLD_WRITE_SHARES.peak)
        if now >= max(self._untold_due, self._untold_rate.next_at()):
            self._own_rows()
            if await self._write(streams, None, 1):
                self._untold_rate.record_call()

    def _untold(self):
        """Returns the buckets with streams of this process that the hub has not told in time."""
        neighbours = len(self._cluster.live_by_zone()[self._cluster.zone])
        # Whole buckets, which were told in part later.
        before = bucket_number(self._clock.now() - telling_time(neighbours) + BUCKET)
        origins = self._parts.origins
        told = origins.told(self._cluster.zone)
        # A process that was the hub has written rows with what is told, and replaces them.
        was_hub = self._speaks_until > datetime.timedelta()
        return self._untold_streams.find(origins.reported(), told, before, with_told=was_hub)

    def _own_rows(self):
        if self._rows is None:
            self._rows = BucketRows(self._cluster.own_run())
        return self._rows

    async def _write(self, streams, versions, least_removals):
        """Writes rows that have changed, and removes those that are too old.

        Args:
          streams: The streams.
          versions: The versions in service, None to write none.
          least_removals: How many rows are removed by a call that writes none.

        Returns:
          Whether that took a call.
        """
        if self._tables.era() > self._era:
            self._era = self._tables.era()
            self._rows.record_lost()
            self._versions_written_at = None
        now = self._clock.now()
        buckets = self._rows.changed(streams, MAX_WRITES)
        expired = self._rows.expired(now, MAX_REMOVALS)
        writes = [
            Write(TABLE, bucket_key(self._rows.run, number), found)
            for number, found in buckets.items()
        ]
        if versions is not None:
            writes.append(Write(TABLE, self._rows.run, versions_row(versions, now)))
        if not writes and len(expired) < least_removals:
            return False
        unneeded = self._unneeded[: MAX_REMOVALS - len(expired)]
        writes += [Write(TABLE, key) for key in (*expired, *unneeded)]
        written = await self._tables.transact(tuple(writes))
        if not isinstance(written, Ok):
            self._parts.metrics.count("origin_write_failures", outcome=type(written).__name__)
            if isinstance(written, AnswerLost):
                self._start_rows(buckets)
            return True
        self._rows.record_written(buckets)
        self._rows.record_removed(expired)
        self._unneeded = self._unneeded[len(unneeded) :]
        if versions is not None:
            self._versions, self._versions_written_at = versions, self._clock.monotonic()
        return True

    def _start_rows(self, doubtful):
        """Writes other rows from now on, as a late write may still replace the present ones."""
        self._unneeded += (self._rows.run,)
        self._versions_written_at = None
        self._doubtful_writes += 1
        run = f"{self._cluster.own_run()}{DOUBT_MARK}{self._doubtful_writes}"
        self._rows.record_doubtful(doubtful, run)

    def _versions_are_due(self, versions):
        if self._versions_written_at is None or versions != self._versions:
            return True
        return self._clock.monotonic() - self._versions_written_at >= VERSIONS_REFRESH

    def _versions_in_service(self):
        """Returns the versions whose streams may be taken up, None if the services are not known.

        Services without servers too, as they had some lately.
        """
        table = self._parts.active_configuration.table
        if table is None:
            return None
        return {service: self._parts.software_versions(service) for service in table.cfg.services}

    def _has_several(self, versions):
        """Returns whether a service has several versions, one of them perhaps not listed yet."""
        starts = self._parts.starts
        return any(
            len(found) > 1 or starts.has_unlisted(service) for service, found in versions.items()
        )
