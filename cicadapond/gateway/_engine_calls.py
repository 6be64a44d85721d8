"""The calls to engines beside the requests of callers, as an abstract class."""

import abc
import datetime

import attrs

from cicadapond.serving import ServerEntry


@attrs.frozen
class Moved:
    """The run was stopped and its memory copied.

    Attributes:
      handle: The name of the copy.
      events: How many events the run had made when it stopped.
    """

    handle: str
    events: int


@attrs.frozen
class KeptAtSource:
    """The run was stopped and could not be copied; its engine keeps the memory."""

    handle: str
    reason: str


@attrs.frozen
class MoveDeclined:
    """The engine did not move the run.

    Attributes:
      reason: Why.
      has_no_run: Whether the engine knows of no such run: it has ended, or had not begun.
      is_busy: Whether another call for the same run is in progress.
    """

    reason: str
    has_no_run: bool = False
    is_busy: bool = False


@attrs.frozen
class MoveUnknown:
    """The call was sent and no readable answer came: the run may be stopped, or not."""

    reason: str


MoveResult = Moved | KeptAtSource | MoveDeclined | MoveUnknown


@attrs.frozen
class StatedStart:
    """What a server says of its start.

    Attributes:
      born: When it started, in Unix milliseconds; None if it does not say, or not in time.
      reason: Why it is not known, "" if it is.
    """

    born: int | None
    reason: str = ""


@attrs.frozen
class AnotherServer:
    """The server at the address is not the one that was asked."""


@attrs.frozen
class NotReached:
    """No connection to the server could be made."""


class EngineCalls(abc.ABC):
    """Calls to engines beside the requests of callers."""

    @abc.abstractmethod
    async def move(
        self,
        source: ServerEntry,
        request_id: str,
        destination: ServerEntry,
        timeout: datetime.timedelta,
    ) -> MoveResult:
        """Stops a run at an engine and copies its memory to another one.

        Args:
          source: The engine that runs the request.
          request_id: The request's id.
          destination: The engine that receives the copy.
          timeout: How long the copy may take.
        """

    @abc.abstractmethod
    async def free(self, source: ServerEntry, handle: str) -> None:
        """Frees a copy that is not used, at both ends; a failure is ignored, as copies expire."""

    @abc.abstractmethod
    async def ask_start(
        self, server: ServerEntry, timeout: datetime.timedelta
    ) -> StatedStart | AnotherServer | NotReached:
        """Asks the server at the address of an entry when it started.

        Args:
          server: The entry.
          timeout: How long the answer may take.
        """

    @abc.abstractmethod
    def drop_server(self, server: ServerEntry) -> None:
        """Closes the connections to an engine that is gone."""
