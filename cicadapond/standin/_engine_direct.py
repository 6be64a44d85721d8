"""In-process adapter of a simulated engine, for the virtual event loop."""

import asyncio
import typing

from cicadapond.backend import Engine, EngineStream, NotSent
from cicadapond.data import BackendServer, Broken, FailureKind, GenerateCall
from cicadapond.kernel import Unavailable
from cicadapond.standin._engine import EngineModel


class DirectEngine(Engine):
    """An in-process client of an `EngineModel`.

    Args:
      model: The engine.
      server: The backend server that it represents.
      models: All engines by name; the possible targets of KV exports.
      reachable: Returns whether the network connects both ends now; while it doesn't, new
        attempts are unreachable and open streams deliver nothing.
    """

    def __init__(
        self,
        model: EngineModel,
        server: BackendServer,
        models: typing.Mapping[str, EngineModel] | None = None,
        reachable: typing.Callable[[], bool] = lambda: True,
    ):
        self.server = server
        self.model = model
        self._models = models if models is not None else {}
        self._reachable = reachable

    def generate(self, call):
        if not self._reachable():
            return _UnreachableStream(call)
        return _DirectStream(self.model, call, self._reachable)

    async def export_kv(self, stream_id, target, timeout):
        found = self._models.get(target.name)
        if found is None or not self._reachable():
            return NotSent(f"engine {target.name!r} is unreachable")
        return await self.model.export_kv(stream_id, found, timeout)

    async def load_report(self):
        return self.model.load_report() if self._reachable() else _UNREACHABLE

    async def cache_events(self, after):
        return self.model.cache_events(after) if self._reachable() else _UNREACHABLE

    async def order(self, order):
        return self.model.order(order) if self._reachable() else _UNREACHABLE

    async def state(self):
        return self.model.state() if self._reachable() else _UNREACHABLE


_UNREACHABLE = Unavailable("the engine is unreachable")


class _UnreachableStream(EngineStream):
    def __init__(self, call):
        self._broken = Broken(call.epoch, FailureKind.UNREACHABLE, "the engine is out of reach")

    async def read(self):
        return (self._broken,)

    def pause(self):
        return None

    def resume(self):
        return None

    def close(self):
        return None


class _DirectStream(EngineStream):
    def __init__(self, model: EngineModel, call: GenerateCall, reachable):
        self._model = model
        self._call = call
        self._reachable = reachable
        self._run = model.submit(call)
        self._not_paused = asyncio.Event()
        self._not_paused.set()

    async def read(self):
        await self._not_paused.wait()
        events = await self._run.read()
        if not self._reachable():
            await asyncio.get_running_loop().create_future()
        if events[-1] is None:
            detail = "the stream ended without its end"
            events[-1] = Broken(self._call.epoch, FailureKind.TRUNCATED, detail)
        return tuple(events)

    def pause(self):
        self._not_paused.clear()

    def resume(self):
        self._not_paused.set()

    def close(self):
        self._model.cancel(self._call.stream_id, self._call.epoch)
