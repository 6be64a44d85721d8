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
    """Limits of callers' connections.

    Attributes:
      max_body_bytes: A longer body is answered with 413.
      max_held_body_bytes: What the bodies of all requests may hold together; one for which there is
        no room is answered with 503.
      max_connections: How many connections callers may have open; further ones are closed.
      header_timeout: From the connection's last answer to the end of the next request's headers.
      body_timeout: From the end of the headers to the end of the body.
      write_timeout: How long a caller may read nothing before its connection is closed.
      interactive_patience: The time-out for a complete interactive answer if the caller states
        none.
      standard_patience: The same for standard requests.
      batch_patience: The same for batch requests.
      standard_write_interval: The minimum time between two writes of one standard stream; tokens
        that arrive meanwhile are sent in one event.  Interactive streams have no minimum.
      batch_write_interval: The same for batch streams.
    """

    max_body_bytes: int = setting(default=1 << 20, check=at_least(1))
    max_held_body_bytes: int = setting(default=64 << 20, check=at_least(1))
    max_connections: int = setting(default=2000, check=at_least(1))
    header_timeout: datetime.timedelta = 20 * _SECOND
    body_timeout: datetime.timedelta = 30 * _SECOND
    write_timeout: datetime.timedelta = 60 * _SECOND
    interactive_patience: datetime.timedelta = 30 * _SECOND
    standard_patience: datetime.timedelta = 120 * _SECOND
    batch_patience: datetime.timedelta = 1800 * _SECOND
    standard_write_interval: datetime.timedelta = 0 * _SECOND
    batch_write_interval: datetime.timedelta = 0.2 * _SECOND

    def answer_timeout(self, priority: Priority) -> datetime.timedelta:
        """Returns the default time-out for a complete answer, by priority."""
        return {
            Priority.INTERACTIVE: self.interactive_patience,
            Priority.STANDARD: self.standard_patience,
            Priority.BATCH: self.batch_patience,
        }[priority]

    def write_interval(self, priority: Priority) -> datetime.timedelta:
        """Returns the minimum time between two writes of one stream, by priority."""
        return {
            Priority.INTERACTIVE: datetime.timedelta(),
            Priority.STANDARD: self.standard_write_interval,
            Priority.BATCH: self.batch_write_interval,
        }[priority]


@attrs.frozen
class PeerAddress:
    """Addresses for communication with the other processes of the system.

    Attributes:
      endpoint: Where this process listens for them.
      seeds: Addresses of others, contacted as long as no other process is known.
    """

    endpoint: Endpoint
    seeds: tuple[Endpoint, ...] = ()


@attrs.frozen
class EntrySettings:
    """Settings of an entry process.

    Attributes:
      document: Files of the document's sections, by section, for a deployment without a table
        service; otherwise the document is kept in that service.
      peer: Addresses of the system's processes; without them this process runs alone.
      silence_limit: Not used.
      balancer_delay: How long a planned stop goes on accepting requests after `/readyz` reports not
        ready, by which time the load balancer should have noticed.
      stop_limit: The maximum time that a planned stop waits for requests in flight.
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
