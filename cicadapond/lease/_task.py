"""The task that keeps one lease through the table service."""

import datetime
import random
import typing

from absl import logging

from cicadapond.kernel import AnswerLost, Clock, Metrics, Ok, Task
from cicadapond.lease._keeper import Grant, LeaseKeeper, LeaseSettings
from cicadapond.provider import TableService, Write


class LeaseTask(Task):
    """Takes and renews a lease, and says at any time whether this process may act.

    Args:
      cfg: The terms.
      name: The lease's name, usually the data centre.
      holder: This process's name.
      tables: The table service, in its class LEASE.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Spreads reads in time and makes this start's identity.
      candidate: Whether this process should take the lease when it can; the others follow it
        at a slow pace and take it too, but late.
      companions: Returns writes that go with each renewal, in the same transaction.
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
        candidate: typing.Callable[[], bool] = lambda: True,
        companions: typing.Callable[[], tuple[Write, ...]] = lambda: (),
    ):
        self.keeper = LeaseKeeper(cfg, name, holder, f"{holder}-{rng.getrandbits(64):016x}")
        self._cfg = cfg
        self._tables = tables
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._candidate = candidate
        self._companions = companions
        self._fencing: int | None = None

    def grant(self) -> Grant | None:
        """Returns the right to act now, None without one; asked right before each order."""
        return self.keeper.grant(self._clock.monotonic())

    async def run(self):
        while True:
            await self.step()
            await self._clock.sleep(self._pause())

    async def step(self) -> None:
        """Reads the row once and writes it if that is due."""
        if not await self._read():
            return
        now = self._clock.monotonic()
        write = self.keeper.proposal(now)
        if write is not None:
            await self._write(write)
        self._note_change()

    async def release(self) -> None:
        """Gives the lease back, so that another process need not wait for its end."""
        write = self.keeper.release()
        if write is not None:
            await self._tables.transact((write,))

    def state(self) -> dict:
        """Returns the lease as this process sees it, for a dump."""
        grant = self.grant()
        return {
            "name": self.keeper.name,
            "holder": self.keeper.holder(),
            "held_here": grant is not None,
            "fencing": grant.fencing if grant else None,
            "left": grant.end - self._clock.monotonic() if grant else None,
        }

    async def _read(self):
        outcome = await self._tables.read((self.keeper.key,))
        if not isinstance(outcome, Ok):
            self._metrics.count("lease_read_failures")
            return False
        self.keeper.observe(outcome.value[self.keeper.key], self._clock.monotonic())
        return True

    async def _write(self, write):
        outcome = await self._tables.transact((write, *self._companions()))
        match outcome:
            case Ok(versions):
                version = versions[write.table, write.key]
                self.keeper.written(write, version, self._clock.monotonic())
            case AnswerLost():
                self._metrics.count("lease_answers_lost")
                await self._read()
            case _:
                self._metrics.count("lease_write_failures", outcome=type(outcome).__name__)

    def _note_change(self):
        grant = self.grant()
        fencing = grant.fencing if grant else None
        if fencing != self._fencing:
            self._metrics.count("lease_changes")
            logging.info("lease %s: fencing number held here %s", self.keeper.name, fencing)
            self._fencing = fencing

    def _pause(self) -> datetime.timedelta:
        eager = self.grant() is not None or self._candidate()
        interval = self._cfg.renewal if eager else self._cfg.idle_poll
        return interval * self._rng.uniform(0.8, 1.0)
