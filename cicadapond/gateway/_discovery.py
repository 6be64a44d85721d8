"""How gateway processes find each other: a row of each in the store."""

import datetime
import ipaddress
import math
import random
import typing

from cicadapond.data import Endpoint
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._time import TrueClock
from cicadapond.kernel import Ok
from cicadapond.peer import hubs
from cicadapond.provider import TableService, Write

PROCESS_TABLE = "processes"
REGISTER_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
# The share of the store's writes by which all processes together write their rows again.
REWRITE_SHARE = 0.25
# How often a process that has found no other one reads the rows again, and for how long: after a
# restore of the store they are missing until their processes have written them again.
SEARCH_INTERVAL = datetime.timedelta(seconds=1)
SEARCH_TIME = datetime.timedelta(seconds=15)


class ProcessDiscovery:
    """Writes the row of this process and reads those of the others.

    Args:
      parts: The components of this process.
      tables: Holds the rows.
      clock: Corrected by the readings in the rows.
      rng: Spreads writes over time.
    """

    def __init__(self, parts: Parts, tables: TableService, clock: TrueClock, rng: random.Random):
        self._cfg = parts.cfg
        self._tables = tables
        self._clock = clock
        self._log = parts.log
        self._rng = rng
        # The era of the store in which the row was written.
        self._era = 0

    async def register(self) -> dict[str, dict]:
        """Writes this process's row and returns the readable rows of all processes by name."""
        while True:
            rows = await self._read() if await self._write() else None
            if rows is not None:
                self._correct_clock(rows)
                return rows
            await self._clock.sleep(REGISTER_RETRY_INTERVAL)

    async def search(
        self,
        is_alone: typing.Callable[[], bool],
        set_seeds: typing.Callable[[tuple[Endpoint, ...]], None],
    ) -> None:
        """Looks for others for a while if their rows may have been missing at the start.

        Args:
          is_alone: Returns whether no other process is alive, as far as is known.
          set_seeds: Receives where to look for them, as `seeds` returns it.
        """
        begun = self._clock.monotonic()
        while self._tables.era() and self._clock.monotonic() - begun < SEARCH_TIME:
            await self._clock.sleep(SEARCH_INTERVAL)
            rows = await self._read() if is_alone() else None
            if rows:
                set_seeds(self.seeds(rows))

    async def _read(self):
        """Returns the readable rows of all processes by name, None if the store does not answer."""
        found = await self._tables.scan(PROCESS_TABLE)
        if not isinstance(found, Ok):
            return None
        rows = {row.key: row.value for row in found.value}
        readable = {name: value for name, value in rows.items() if _is_row(value)}
        if len(readable) < len(rows):
            unreadable = sorted(ascii(name) for name in rows.keys() - readable.keys())
            self._log.write("process_rows_unreadable", rows=unreadable)
        return readable

    async def keep_registered(self, processes: typing.Callable[[], int]) -> None:
        """Writes the row again each time that the store was restored, until cancelled.

        Args:
          processes: Returns how many processes do so at a time.
        """
        while True:
            await self._clock.sleep(REGISTER_RETRY_INTERVAL)
            if self._tables.era() > self._era:
                rate = REWRITE_SHARE * self._cfg.store_writes_per_second
                delay_s = self._rng.uniform(0.0, processes() / rate)
                await self._clock.sleep(datetime.timedelta(seconds=delay_s))
                await self._write()

    async def _write(self):
        """Writes this process's row; returns whether it was written."""
        reading = self._clock.store_epoch()
        if reading is None:
            return False
        endpoint = self._cfg.peers[0]
        own = {
            "peer": [endpoint.host, endpoint.port],
            "zone": self._cfg.zone,
            "reading": reading,
        }
        era = self._tables.era()
        outcome = await self._tables.transact((Write(PROCESS_TABLE, self._cfg.name, own),))
        if not isinstance(outcome, Ok):
            return False
        self._era = era
        return True

    def seeds(self, rows: dict[str, dict]) -> tuple[Endpoint, ...]:
        """Returns where to look for the others: likely hubs, those of this data centre first."""
        by_zone: dict[str, list[str]] = {}
        for name, value in rows.items():
            if name != self._cfg.name:
                by_zone.setdefault(value["zone"], []).append(name)
        ranked = [
            (position, zone != self._cfg.zone, zone, name)
            for zone, names in by_zone.items()
            for position, name in enumerate(hubs(zone, names, len(names)))
        ]
        return tuple(Endpoint(*rows[name]["peer"]) for *_, name in sorted(ranked))

    def _correct_clock(self, rows):
        readings = [value["reading"] for value in rows.values()]
        correction = self._clock.correct(readings)
        if correction is not None:
            by_ms = round(correction.total_seconds() * 1000)
            self._log.write("clock_corrected", by_ms=by_ms)


def _is_row(value):
    """Returns whether a value is a process's row; another writer may have put anything there."""
    match value:
        case {"peer": [str(host), int(port)], "zone": str(), "reading": int() | float() as reading}:
            return _is_address(host, port) and math.isfinite(reading)
    return False


def _is_address(host, port):
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 <= port < 65536
