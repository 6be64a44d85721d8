"""How gateway processes find each other: a row of each in the store."""

import datetime
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
            if await self._write():
                found = await self._tables.scan(PROCESS_TABLE)
                if isinstance(found, Ok):
                    rows = {r.key: r.value for r in found.value if isinstance(r.value, dict)}
                    self._correct_clock(rows)
                    return rows
            await self._clock.sleep(REGISTER_RETRY_INTERVAL)

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
                by_zone.setdefault(value.get("zone", ""), []).append(name)
        ranked = [
            (position, zone != self._cfg.zone, zone, name)
            for zone, names in by_zone.items()
            for position, name in enumerate(hubs(zone, names, len(names)))
        ]
        return tuple(Endpoint(*rows[name]["peer"]) for *_, name in sorted(ranked))

    def _correct_clock(self, rows):
        readings = [value["reading"] for value in rows.values() if value.get("reading")]
        correction = self._clock.correct(readings)
        if correction is not None:
            by_ms = round(correction.total_seconds() * 1000)
            self._log.write("clock_corrected", by_ms=by_ms)
