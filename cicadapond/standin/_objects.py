"""Simulated object store, without HTTP."""

import asyncio
import random

from cicadapond.kernel import Clock, Ok, Unavailable
from cicadapond.provider import ObjectStore
from cicadapond.standin._faults import StorageServer, StorageTiming


class ObjectModel:
    """A simulated object store, shared by all its clients.

    Args:
      clock: Gives the time.
      rng: Decides jitter and losses.
      timing: Latency and rate limits.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, timing: StorageTiming | None = None
    ) -> None:
        self.server = StorageServer(timing or StorageTiming(), clock, rng)
        self.bodies: dict[str, bytes] = {}

    @property
    def faults(self):
        """The faults that are active now."""
        return self.server.faults

    async def put(self, name: str, body: bytes):
        """Serves a put; outcomes as `ObjectStore`."""
        return await self.server.write(1, lambda: self._set(name, bytes(body)))

    async def get(self, name: str):
        """Serves a get; outcomes as `ObjectStore`."""
        return await self.server.read(1, lambda: Ok(self.bodies.get(name)))

    async def delete(self, name: str):
        """Serves a delete; outcomes as `ObjectStore`."""
        return await self.server.write(1, lambda: self._set(name, None))

    def _set(self, name, body):
        if body is None:
            self.bodies.pop(name, None)
        else:
            self.bodies[name] = body
        return Ok(None)


class DirectObjects(ObjectStore):
    """An in-process client of an `ObjectModel`.

    Args:
      model: The store.
    """

    def __init__(self, model: ObjectModel):
        self.model = model
        self.reachable = True

    async def put(self, name, body):
        return await self._send(self.model.put(name, body))

    async def get(self, name):
        return await self._send(self.model.get(name))

    async def delete(self, name):
        return await self._send(self.model.delete(name))

    async def _send(self, request):
        if not self.reachable:
            request.close()
            return Unavailable("the object store cannot be reached from here")
        return await asyncio.shield(asyncio.ensure_future(request))
