"""The era of the store, as its responses tell it."""

from cicadapond.eventlog import EventLog
from cicadapond.gateway import Malformed
from cicadapond.kernel import Metrics


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

    def observe(self, told: int | Malformed | None, version: int | None) -> None:
        """Records what a response tells.

        Args:
          told: The era that it states, if any.
          version: Its version number, None if it has none.
        """
        if isinstance(told, Malformed):
            if not self._has_logged_malformed:
                self._has_logged_malformed = True
                self._log.write("store_era_unreadable", reason=told.reason)
            told = None
        if self.current is None:
            self.current = told or 0
        elif told is not None and told > self.current:
            self._metrics.count("store_restores")
            self._log.write(
                "store_restored",
                era=told,
                last_era=self.current,
                version=version,
                last_version=self._newest_version,
            )
            self.current = told
            self._newest_version = 0
        self._newest_version = max(self._newest_version, version or 0)
