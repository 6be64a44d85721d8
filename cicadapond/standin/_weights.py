"""Simulated weight store with a rate limit, without HTTP."""

import collections
import datetime

import attrs

from cicadapond.kernel import Clock, Ok, Unavailable, seconds, setting
from cicadapond.provider import WeightStore

CHUNK_BYTES = 64_000_000


@attrs.frozen
class WeightSettings:
    """Rate and contents of the weight store.

    Attributes:
      rate: Bytes per second for each zone.
      default_size: Bytes of a model version that `sizes` does not name.
      sizes: Bytes by "model@version".
    """

    rate: float = 1e9
    default_size: int = 10_000_000_000
    sizes: dict[str, int] = setting(factory=dict)


class WeightModel:
    """A simulated weight store; concurrent loads of a zone share its rate evenly.

    Args:
      cfg: Rate and sizes.
      clock: Gives the time.
    """

    def __init__(self, cfg: WeightSettings, clock: Clock):
        self.cfg = cfg
        self.outage = False
        self.bytes_sent = collections.Counter()
        self.max_concurrent_loads = 0
        self._clock = clock
        self._free_at: dict[str, datetime.timedelta] = {}
        self._loading = collections.Counter()

    def size(self, model: str, version: str) -> int:
        """Returns a model version's size in bytes."""
        return self.cfg.sizes.get(f"{model}@{version}", self.cfg.default_size)

    async def load(self, zone: str, model: str, version: str) -> None:
        """Returns once a backend server of a zone has a model version's weights."""
        left = self.size(model, version)
        self._loading[zone] += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self._loading[zone])
        try:
            while left > 0:
                chunk = min(left, CHUNK_BYTES)
                await self._send_chunk(zone, chunk)
                left -= chunk
        finally:
            self._loading[zone] -= 1

    async def _send_chunk(self, zone, size):
        while self.outage:
            await self._clock.sleep(seconds(1))
        now = self._clock.monotonic()
        start = max(now, self._free_at.get(zone, now))
        self._free_at[zone] = start + seconds(size / self.cfg.rate)
        await self._clock.sleep(self._free_at[zone] - now)
        self.bytes_sent[zone] += size


class DirectWeights(WeightStore):
    """An in-process client of a `WeightModel`."""

    def __init__(self, model: WeightModel):
        self.model = model
        self.reachable = True

    async def size(self, model, version):
        return self._answer(self.model.size(model, version))

    async def rate(self):
        return self._answer(self.model.cfg.rate)

    def _answer(self, value):
        if self.model.outage or not self.reachable:
            return Unavailable("the weight store does not answer")
        return Ok(value)
