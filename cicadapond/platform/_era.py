"""The era of the store, as its responses tell it."""

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Malformed
from cicadapond.kernel import Metrics
from cicadapond.provider import MAX_ERA


class StoreEra:
    """The newest era of the store that this process knows.

    Args:
      log: The event log; gets a line when the store proves to be restored.
      metrics: Counts restores.

    Attributes:
      current: The newest era, None before the first response.
    """

    def __init__(self, log: EventLog, metrics: Metrics):
        self.current: int | None = None
        self._log = log
        self._metrics = metrics
        self._newest_version = 0
        self._has_logged_malformed = False

    def observe(
        self, told: int | Malformed | None, version: int | None, sent_in: int | None
    ) -> int:
        """Records what a response tells.

        Args:
          told: The era that it states, if any.
          version: Its version number, None if it has none.
          sent_in: The era that was known when the call was sent.

        Returns:
          The era of the response.  One that states none is of the era in which its call was sent.
        """
        if isinstance(told, Malformed):
            if not self._has_logged_malformed:
                self._has_logged_malformed = True
                self._log.write("store_era_unreadable", reason=told.reason)
            told = None
        era = told if told is not None else sent_in or 0
        self._raise_to(era, version)
        if era == self.current:
            self._newest_version = max(self._newest_version, version or 0)
        return era

    def hear(self, era: int) -> None:
        """Records an era that another process tells."""
        if 0 < era <= MAX_ERA:
            self._raise_to(era, None)

    def _raise_to(self, era, version):
        if self.current is not None and era > self.current:
            self._metrics.count("store_restores")
            self._log.write(
                "store_restored",
                era=era,
                last_era=self.current,
                version=version,
                last_version=self._newest_version,
            )
            self._newest_version = 0
        self.current = max(era, self.current or 0)
