"""Settings of an entry process."""

import datetime

import attrs

from cicadapond.admission import CapacitySettings
from cicadapond.data import Endpoint, Priority
from cicadapond.journal import JournalSettings
from cicadapond.kernel import at_least, setting
from cicadapond.ledger import LedgerSettings
from cicadapond.provider import BudgetSettings, PlatformSettings

_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class HttpLimits:
    """What one caller's connection may take of the process.

    Attributes:
      max_body_bytes: A longer body is answered with 413.
      header_timeout: From the connection's last answer to the end of the next request's headers.
      body_timeout: From the end of the headers to the end of the body.
      write_timeout: How long a caller may read nothing before its connection is closed.
      interactive_patience: The wait for a whole answer where the caller gives none, by priority;
        so with the two that follow.
      standard_write_interval: The least time between two writes of one stream; tokens that come
        meanwhile leave in one event.  Interactive streams have none.
      batch_write_interval: The same for batch streams.
    """

    max_body_bytes: int = setting(default=1 << 20, check=at_least(1))
    header_timeout: datetime.timedelta = 20 * _SECOND
    body_timeout: datetime.timedelta = 30 * _SECOND
    write_timeout: datetime.timedelta = 60 * _SECOND
    interactive_patience: datetime.timedelta = 30 * _SECOND
    standard_patience: datetime.timedelta = 120 * _SECOND
    batch_patience: datetime.timedelta = 1800 * _SECOND
    standard_write_interval: datetime.timedelta = 0 * _SECOND
    batch_write_interval: datetime.timedelta = 0.2 * _SECOND

    def patience(self, priority: Priority) -> datetime.timedelta:
        """Returns how long a caller of a priority waits for its whole answer."""
        return {
            Priority.INTERACTIVE: self.interactive_patience,
            Priority.STANDARD: self.standard_patience,
            Priority.BATCH: self.batch_patience,
        }[priority]

    def write_interval(self, priority: Priority) -> datetime.timedelta:
        """Returns the least time between two writes of one stream of a priority."""
        return {
            Priority.INTERACTIVE: datetime.timedelta(),
            Priority.STANDARD: self.standard_write_interval,
            Priority.BATCH: self.batch_write_interval,
        }[priority]


@attrs.frozen
class PeerAddress:
    """Where this process listens for the other processes of the system, and where some are.

    Attributes:
      endpoint: The own address.
      seeds: Addresses of others, asked as long as none is known.
    """

    endpoint: Endpoint
    seeds: tuple[Endpoint, ...] = ()


@attrs.frozen
class EntrySettings:
    """What an entry process is told when it starts.

    Attributes:
      document: Files of the document's sections, by section, for a deployment without a table
        service; with one the document is kept there.
      peer: Where the processes of the system reach each other; without it this one is alone.
      balancer_delay: How long a planned stop goes on taking requests after `/readyz` says not
        ready, until the balancer has noticed.
      stop_limit: How long a planned stop waits for requests in flight at most.
    """

    name: str
    zone: str
    http: Endpoint
    admin: Endpoint
    platform: PlatformSettings
    peer: PeerAddress | None = None
    document: dict[str, str] = setting(factory=dict)
    budget: BudgetSettings = attrs.field(factory=BudgetSettings)
    ledger: LedgerSettings = attrs.field(factory=LedgerSettings)
    journal: JournalSettings = attrs.field(factory=JournalSettings)
    engine_adapter: str = "sse"
    service_adapter: str = "http"
    host_list_interval: datetime.timedelta = _SECOND
    silence_limit: datetime.timedelta = 5 * _SECOND
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)
    http_limits: HttpLimits = attrs.field(factory=HttpLimits)
    balancer_delay: datetime.timedelta = 5 * _SECOND
    stop_limit: datetime.timedelta = 600 * _SECOND
