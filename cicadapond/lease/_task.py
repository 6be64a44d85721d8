"""The task that acquires and renews one lease through the table service."""

import datetime
import random
import typing

from absl import logging

from cicadapond.kernel import AnswerLost, Clock, Conflict, Metrics, Ok, Task
from cicadapond.lease._state import Grant, LeaseSettings, LeaseState
from cicadapond.provider import TableService, Write

# After a term without a renewal, when the row is read to take the lease.
LAPSE_READ_DELAY = datetime.timedelta(milliseconds=100)
MIN_READ_INTERVAL = datetime.timedelta(milliseconds=300)
# After a renewal that failed, as the grant soon ends.
RENEWAL_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)


class LeaseTask(Task):
    """Acquires and renews a lease, and reports at any time whether this process may act.

    Args:
      cfg: Durations and intervals.
      name: The lease's name, usually the data centre.
      holder: This process's name.
      tables: The table service, called with the priority LEASE.
      clock: The clock.
      metrics: Counts failures and changes of the lease.
      rng: Source of poll jitter and of this run's identity.
      poll_interval: Returns how often this process checks whether it can take the lease, None for
        the interval of renewals.
      extra_writes: Returns writes to include in the transaction of each renewal.
    """

    name = "lease"

    def __init__(
        self,
        cfg: LeaseSettings,
        name: str,
        holder: str,
        tables: TableService,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        poll_interval: typing.Callable[[], datetime.timedelta] | None = None,
        extra_writes: typing.Callable[[], tuple[Write, ...]] = lambda: (),
    ):
        self.lease = LeaseState(cfg, name, holder, f"{holder}-{rng.getrandbits(64):016x}")
        self._cfg = cfg
        self._tables = tables
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._challenge_interval = poll_interval or (lambda: cfg.renewal)
        self._extra_writes = extra_writes
        self._fencing: int | None = None
        self._has_written = True

    def grant(self) -> Grant | None:
        """Returns the current grant or None; to be checked right before each order."""
        return self.lease.grant(self._clock.monotonic())

    def held_check(self) -> Write | None:
        """Returns the check to include in transactions that only the holder may make."""
        return self.lease.held_check()

    def era_age(self) -> datetime.timedelta:
        """Returns for how long at least this process or a holder has known the store's era."""
        return self.lease.era_age(self._clock.monotonic())

    async def run(self):
        while True:
            await self.step()
            stepped_at, jitter = self._clock.monotonic(), self._rng.uniform(0.8, 1.0)
            # The interval is looked up repeatedly, as it changes with the other processes.
            while (
                left := stepped_at + self._poll_interval() * jitter - self._clock.monotonic()
            ) > datetime.timedelta():
                await self._clock.sleep(min(left, self._cfg.renewal))

    async def step(self) -> None:
        """Writes the row if the lease can be taken or renewed; reads it first unless it is held."""
        is_held = self.lease.is_held(self._clock.monotonic())
        if not is_held and not await self._read():
            return
        now = self._clock.monotonic()
        write = self.lease.next_write(now)
        if write is not None:
            await self._write(write)
        now = self._clock.monotonic()
        if self.lease.must_write_again(now):
            await self._write(self.lease.next_write(now))
        self._log_change()

    def stop_acting(self) -> None:
        """Ends the current grant, before orders in transit are awaited and the lease released."""
        self.lease.stop_acting()

    async def release(self) -> None:
        """Releases the lease, so that another process need not wait for its end."""
        write = self.lease.release()
        if write is not None:
            await self._tables.transact((write,))

    def state(self) -> dict:
        """Returns the state of the lease for the debug dump."""
        grant = self.grant()
        return {
            "name": self.lease.name,
            "holder": self.lease.holder(),
            "earlier_build": self.lease.is_held_by_earlier_build(),
            "held_here": grant is not None,
            "fencing": grant.fencing if grant else None,
            "left": grant.end - self._clock.monotonic() if grant else None,
        }

    async def _read(self):
        outcome = await self._tables.read((self.lease.key,))
        if not isinstance(outcome, Ok):
            self._metrics.count("lease_read_failures")
            return False
        self._observe(outcome.value[self.lease.key])
        return True

    async def _write(self, write):
        outcome = await self._tables.transact((write, *self._extra_writes()))
        self._has_written = isinstance(outcome, Ok)
        match outcome:
            case Ok(versions):
                version = versions[write.table, write.key]
                self.lease.write_applied(write, version, self._clock.monotonic())
            case AnswerLost():
                self._metrics.count("lease_answers_lost")
                await self._read()
            case Conflict(current=current) if self.lease.key in current:
                self._metrics.count("lease_write_failures", outcome="Conflict")
                self._observe(current[self.lease.key])
            case Conflict():  # without the row if that is missing from a restored copy
                self._metrics.count("lease_write_failures", outcome="Conflict")
                await self._read()
            case _:
                self._metrics.count("lease_write_failures", outcome=type(outcome).__name__)

    def _observe(self, row):
        self.lease.observe(row, self._clock.monotonic(), self._tables.era())

    def _log_change(self):
        grant = self.grant()
        fencing = grant.fencing if grant else None
        if fencing != self._fencing:
            self._metrics.count("lease_changes")
            logging.info(
                "lease %s: fencing number held by this process: %s", self.lease.name, fencing
            )
            self._fencing = fencing

    def _poll_interval(self) -> datetime.timedelta:
        if self.lease.is_held(self._clock.monotonic()):
            return self._cfg.renewal if self._has_written else RENEWAL_RETRY_INTERVAL
        interval = self._challenge_interval()
        if self.lease.is_held_by_earlier_build():
            interval = min(interval, self._cfg.renewal)
        lapses_at = self.lease.lapses_at()
        if lapses_at is None:
            return interval
        # The holder has not renewed since the last read.
        until_lapse = lapses_at + LAPSE_READ_DELAY - self._clock.monotonic()
        return min(interval, max(until_lapse, MIN_READ_INTERVAL))
