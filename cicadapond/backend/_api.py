"""Abstract classes of engines and plain services, and the registries of their adapters."""

import abc
import dataclasses
import datetime

from cicadapond.data import (
    Answer,
    BackendServer,
    CacheEvent,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    ServiceCall,
    StreamEvent,
)
from cicadapond.kernel import AnswerLost, Ok, Registry, Unavailable, Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call has left, or the backend server itself says that it did not run it."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An engine has carried out an order, or has begun to."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """An engine refused an order; `newest_fencing` is set if the number was too old."""

    reason: str
    newest_fencing: int | None = None


class EngineStream(abc.ABC):
    """One attempt's stream of tokens from one engine, owned by one task."""

    @abc.abstractmethod
    async def read(self) -> tuple[StreamEvent, ...]:
        """Waits for the next events.

        Returns:
          One or more events.  The last one may be `Finished` or `Broken`, and after that nothing
          more is read.  Silence is not detected here: the reader has the limit.
        """

    @abc.abstractmethod
    def pause(self) -> None:
        """Asks for no more events for now; buffers stay bounded."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Takes events again after `pause`."""

    @abc.abstractmethod
    def close(self) -> None:
        """Cancels what still runs and drops the connection; safe to call twice."""


class Engine(abc.ABC):
    """A model engine; one object per engine and process."""

    server: BackendServer

    @abc.abstractmethod
    def generate(self, call: GenerateCall) -> EngineStream:
        """Starts an attempt; failures to connect arrive as a `Broken` event."""

    @abc.abstractmethod
    async def export_kv(
        self, stream_id: str, target: BackendServer, limit: datetime.timedelta
    ) -> Ok[str] | NotSent | Unavailable:
        """Copies a running stream's KV cache to another engine.

        The engines move the bytes between themselves.  The stream runs on meanwhile; what it
        generates after the export began is not covered and is prefilled at the target.

        Returns:
          Ok with the handle to name in `GenerateCall.kv_handle` at the target.
        """

    @abc.abstractmethod
    async def load_report(self) -> Ok[LoadReport] | Unavailable:
        """Reads the engine's load."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> Ok[tuple[CacheEvent, ...]] | Unavailable:
        """Reads the cache events numbered above `after`."""

    @abc.abstractmethod
    async def order(self, order: Order) -> Accepted | OrderRefused | Unavailable | AnswerLost:
        """Gives an order."""

    @abc.abstractmethod
    async def state(self) -> Ok[EngineState] | Unavailable:
        """Reads back what the engine runs."""

    async def close(self) -> None:
        """Releases connections."""
        return None


class PlainService(abc.ABC):
    """A backend server of a plain service; one object per server and process."""

    server: BackendServer

    @abc.abstractmethod
    async def call(
        self, call: ServiceCall, timeout: datetime.timedelta, fresh: bool
    ) -> Ok[Answer] | NotSent | Unknown:
        """Sends one call.

        Args:
          call: The call.
          timeout: How long to wait for the whole answer.
          fresh: Whether to use a new connection, as calls that must not repeat do.

        Returns:
          Ok with the whole answer, NotSent, or Unknown if any byte may have left and no whole
          answer came.
        """

    @abc.abstractmethod
    async def load_report(self) -> Ok[LoadReport] | Unavailable:
        """Reads the server's load."""

    async def close(self) -> None:
        """Releases connections."""
        return None


# Adapters register here: each takes (server, clock, metrics).

engines: Registry[Engine] = Registry("engine adapter")
plain_services: Registry[PlainService] = Registry("plain service adapter")
