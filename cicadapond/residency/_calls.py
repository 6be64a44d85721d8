"""The calls to engines that ask which prompt parts they keep, as an abstract class."""

import abc
import datetime

from cicadapond.residency._data import CallsExceeded, NoAnswer, PartEvents, PartList
from cicadapond.serving import ServerEntry


class PartCalls(abc.ABC):
    """Asks engines which prompt parts they keep in memory."""

    @abc.abstractmethod
    async def events(
        self, server: ServerEntry, since: int, wait: datetime.timedelta
    ) -> PartEvents | CallsExceeded | NoAnswer:
        """Returns the changes from an event on; waits for one if there is none yet.

        Args:
          server: The engine.
          since: The number of the first event to return.
          wait: How long the engine may wait for an event.
        """

    @abc.abstractmethod
    async def list(self, server: ServerEntry) -> PartList | CallsExceeded | NoAnswer:
        """Returns all parts that an engine keeps; it delays the engine."""

    @abc.abstractmethod
    def drop_server(self, server: ServerEntry) -> None:
        """Closes the connections to an engine that is gone."""
