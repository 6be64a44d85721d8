"""Abstract classes of engines and plain services, and the registries of their adapters.

The rest of the system uses backend servers only through these classes, so that a plug-in can add
another kind of engine or service protocol.
"""

import abc
import dataclasses
import datetime

from cicadapond.data import (
    BackendServer,
    CacheEvent,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    ServiceCall,
    ServiceResponse,
    StreamEvent,
)
from cicadapond.kernel import AnswerLost, Ok, Registry, Unavailable, Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The call did not run: no byte of it was sent, or the backend server says so itself."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An engine has executed an order, or has started to."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """An engine refused an order; `newest_fencing` is set if its fencing token was too old."""

    reason: str
    newest_fencing: int | None = None


class EngineStream(abc.ABC):
    """One attempt's stream of tokens from one engine, owned by one task."""

    @abc.abstractmethod
    async def read(self) -> tuple[StreamEvent, ...]:
        """Waits for the next events.

        Returns:
          One or more events.  The last one may be `Finished` or `Broken`; the stream must not be
          read after that.  There is no timeout here: the caller applies its own.
        """

    @abc.abstractmethod
    def pause(self) -> None:
        """Pauses the delivery of events until `resume`; buffers stay bounded."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Resumes the delivery of events after `pause`."""

    @abc.abstractmethod
    def close(self) -> None:
        """Cancels the attempt if it still runs and drops the connection; safe to call twice."""


class Engine(abc.ABC):
    """A model engine; one object per engine and process."""

    server: BackendServer

    @abc.abstractmethod
    def generate(self, call: GenerateCall) -> EngineStream:
        """Starts an attempt; failures to connect arrive as a `Broken` event."""

    @abc.abstractmethod
    async def export_kv(
        self, stream_id: str, target: BackendServer, timeout: datetime.timedelta
    ) -> Ok[str] | NotSent | Unavailable:
        """Copies a running stream's KV cache to another engine.

        The engines transfer the data directly.  The stream keeps running meanwhile; tokens that
        it generates after the start of the export are not covered and are prefilled at the target.

        Args:
          stream_id: The stream to export.
          target: The engine that receives the copy.
          timeout: How long to wait for the export.

        Returns:
          Ok with the handle to pass as `GenerateCall.kv_handle` to the target.
        """

    @abc.abstractmethod
    async def load_report(self) -> Ok[LoadReport] | Unavailable:
        """Reads the engine's load."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> Ok[tuple[CacheEvent, ...]] | Unavailable:
        """Reads the cache events numbered above `after`."""

    @abc.abstractmethod
    async def order(self, order: Order) -> Accepted | OrderRefused | Unavailable | AnswerLost:
        """Sends an order to the engine."""

    @abc.abstractmethod
    async def state(self) -> Ok[EngineState] | Unavailable:
        """Reads what the engine currently runs."""

    async def close(self) -> None:
        """Closes the connections to the engine."""
        return None


class PlainService(abc.ABC):
    """A backend server of a plain service; one object per server and process."""

    server: BackendServer

    @abc.abstractmethod
    async def call(
        self, call: ServiceCall, timeout: datetime.timedelta, new_connection: bool
    ) -> Ok[ServiceResponse] | NotSent | Unknown:
        """Sends one call.

        Args:
          call: The call.
          timeout: How long to wait for the complete answer.
          new_connection: Whether to use a new connection, as calls that must not be repeated do.

        Returns:
          Ok with the complete answer, NotSent, or Unknown if any byte may have been sent and no
          complete answer arrived.
        """

    @abc.abstractmethod
    async def load_report(self) -> Ok[LoadReport] | Unavailable:
        """Reads the server's load."""

    async def close(self) -> None:
        """Closes the connections to the server."""
        return None


# Registered adapters are constructed with (server, clock, metrics).

engines: Registry[Engine] = Registry("engine adapter")
plain_services: Registry[PlainService] = Registry("plain service adapter")
