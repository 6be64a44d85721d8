"""A stand-in engine reached in memory, for the virtual loop; no socket anywhere."""

import asyncio
import typing

from cicadapond.backend import Engine, EngineStream, NotSent
from cicadapond.data import BackendServer, BreakKind, Broken, GenerateCall
from cicadapond.kernel import Unavailable
from cicadapond.standin._engine import EngineModel


class DirectEngine(Engine):
    """Adapter of an engine in the same process.

    Args:
      model: The engine.
      server: How the system names it.
      models: All engines by name; KV cache is exported to these.
      reachable: Tells whether messages pass between the two ends now; a cut makes new attempts
        unreachable, and open streams silent.
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

    async def export_kv(self, stream_id, target, limit):
        found = self._models.get(target.name)
        if found is None or not self._reachable():
            return NotSent(f"engine {target.name!r} is out of reach")
        return await self.model.export_kv(stream_id, found, limit)

    async def load_report(self):
        return self.model.load_report() if self._reachable() else _CUT

    async def cache_events(self, after):
        return self.model.cache_events(after) if self._reachable() else _CUT

    async def order(self, order):
        return self.model.order(order) if self._reachable() else _CUT

    async def state(self):
        return self.model.state() if self._reachable() else _CUT


_CUT = Unavailable("the engine is out of reach")


class _UnreachableStream(EngineStream):
    def __init__(self, call):
        self._broken = Broken(call.epoch, BreakKind.UNREACHABLE, "the engine is out of reach")

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
        self._open = asyncio.Event()
        self._open.set()

    async def read(self):
        await self._open.wait()
        events = await self._run.read()
        if not self._reachable():
            await asyncio.get_running_loop().create_future()
        if events[-1] is None:
            detail = "the stream ended without its end"
            events[-1] = Broken(self._call.epoch, BreakKind.TRUNCATED, detail)
        return tuple(events)

    def pause(self):
        self._open.clear()

    def resume(self):
        self._open.set()

    def close(self):
        self._model.cancel(self._call.stream_id, self._call.epoch)
