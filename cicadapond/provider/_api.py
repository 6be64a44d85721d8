"""Abstract classes of the platform's services, and the registries of their adapters.

Every call returns an outcome and never raises for an outage: `Ok`, `Unavailable` (a write has
certainly not taken effect), `AnswerLost` (it may have), `Conflict` (a condition failed).  For the
storage, `Unavailable` with a `retry_after` means that it is over its rate limit; without one it
counts as a failure of the storage.
"""

import abc
import dataclasses
import datetime

import attrs

from cicadapond.data import BackendServer, HostListing, Market, Notice
from cicadapond.kernel import AnswerLost, Conflict, Ok, Registry, Unavailable

# The transactional table service


@attrs.frozen
class Row:
    """A row as stored in the table service.

    `version` increases with each write of the row; an absent row has version 0 of the service's era
    and value None.
    `value` is any object that msgpack can encode.
    """

    table: str
    key: str
    version: int
    value: object


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    `expected` is the version that the row must have for the transaction to take effect: 0 for
    absent, None for no condition.  A `value` of None deletes; with `check_only` the condition is
    tested and nothing is written.
    """

    table: str
    key: str
    value: object = None
    expected: int | None = None
    check_only: bool = False


class TableService(abc.ABC):
    """Transactions with conditional writes over tables of rows."""

    def era(self) -> int:
        """Returns the newest era of the service that is known; see `era_of`.

        What was written in an earlier era may be lost.
        """
        return 0

    @abc.abstractmethod
    async def transact(
        self, writes: tuple[Write, ...]
    ) -> Ok[dict] | Conflict | Unavailable | AnswerLost:
        """Applies all writes or none.

        Returns:
          Ok with a dict of (table, key) to the new version; Conflict with the rows whose
          condition failed; Unavailable; or AnswerLost.
        """

    @abc.abstractmethod
    async def read(self, keys: tuple[tuple[str, str], ...]) -> Ok[dict] | Unavailable:
        """Reads a consistent snapshot of rows.

        Returns:
          Ok with a dict of (table, key) to Row (version 0 where absent), or Unavailable.
        """

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Ok[tuple[Row, ...]] | Unavailable:
        """Reads rows whose key starts with `prefix` in key order, from the first after `after`."""


@attrs.frozen
class RawRow:
    """A row written by another system, undecoded; `value` is None if the row was deleted."""

    key: str
    version: int
    value: bytes | None


@attrs.frozen
class Changes:
    """Rows of a table, and the version up to which they are complete.

    `service_time` is the table service's own monotonic clock when it answered.
    """

    rows: tuple[RawRow, ...]
    version: int
    service_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The table service no longer has the changes since that version: read a new snapshot."""


class ChangeFeed(abc.ABC):
    """Tables written by other systems, followed through their changes."""

    def era(self) -> int:
        """Returns the newest era of the service that is known; see `era_of`."""
        return 0

    def hear_era(self, era: int) -> None:
        """Records an era of the service that another process tells."""
        return None

    @abc.abstractmethod
    async def snapshot(self, table: str) -> Ok[Changes] | Unavailable:
        """Reads all rows of a table."""

    @abc.abstractmethod
    async def changes(
        self, table: str, since: int, wait: datetime.timedelta
    ) -> Ok[Changes] | HistoryLost | Unavailable:
        """Reads the rows that changed after a version, waiting for the first change.

        Args:
          table: The table.
          since: The version up to which the caller has all rows.
          wait: How long to wait for a change; if there is none, the answer has no rows.
        """


class ObjectStore(abc.ABC):
    """Named objects, written and read as a whole."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> Ok[None] | Unavailable | AnswerLost:
        """Stores an object, replacing one of the same name."""

    @abc.abstractmethod
    async def get(self, name: str) -> Ok[bytes | None] | Unavailable:
        """Reads an object; Ok(None) if there is none."""

    @abc.abstractmethod
    async def delete(self, name: str) -> Ok[None] | Unavailable | AnswerLost:
        """Removes an object if it exists."""


# Hosts


class HostList(abc.ABC):
    """The list of live and leaving hosts, which may be out of date."""

    @abc.abstractmethod
    async def list(self) -> Ok[HostListing] | Unavailable:
        """Reads the list."""


@attrs.frozen
class Price:
    """The current price per hour of a host of a zone, machine class and market.

    Prices are in the platform's currency.
    """

    zone: str
    machine_class: str
    market: Market
    per_hour: float


@attrs.frozen
class BuyRequest:
    """An order for one host; orders with the same `token` are one order."""

    token: str
    pool: str
    zone: str
    machine_class: str
    market: Market


@attrs.frozen
class CloudHost:
    """A host as reported by the cloud API; `server` is None until its backend server answers."""

    host_id: str
    token: str
    pool: str
    zone: str
    machine_class: str
    market: Market
    state: str  # "starting", "live", "leaving"
    server: BackendServer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The cloud has no host of this zone, class and market now."""

    reason: str
    retry_after: datetime.timedelta | None = None


class CloudApi(abc.ABC):
    """Buys and releases hosts, and reports reclaim notices."""

    @abc.abstractmethod
    async def buy(self, request: BuyRequest) -> Ok[CloudHost] | Refused | Unavailable | AnswerLost:
        """Buys a host; repeating a token returns the host already bought with it."""

    @abc.abstractmethod
    async def release(self, host_id: str) -> Ok[None] | Unavailable | AnswerLost:
        """Releases a host; one that no longer exists counts as released."""

    @abc.abstractmethod
    async def hosts(self, zone: str) -> Ok[tuple[CloudHost, ...]] | Unavailable:
        """Reads the hosts of a zone."""

    @abc.abstractmethod
    async def prices(self) -> Ok[tuple[Price, ...]] | Unavailable:
        """Reads the current prices."""

    @abc.abstractmethod
    async def notices(self, zone: str) -> Ok[tuple[Notice, ...]] | Unavailable:
        """Reads the notices in force for a zone's hosts."""


class WeightStore(abc.ABC):
    """The rate-limited store that engines load weights from."""

    @abc.abstractmethod
    async def size(self, model: str, version: str) -> Ok[int] | Unavailable:
        """Reads the size in bytes of a model version's weights."""

    @abc.abstractmethod
    async def rate(self) -> Ok[float] | Unavailable:
        """Reads the store's total rate for all engines of a zone, in bytes per second."""


# Adapters register here: each takes (settings, zone, clock, metrics).

table_services: Registry[TableService] = Registry("table service adapter")
object_stores: Registry[ObjectStore] = Registry("object store adapter")
host_lists: Registry[HostList] = Registry("host list adapter")
cloud_apis: Registry[CloudApi] = Registry("cloud API adapter")
weight_stores: Registry[WeightStore] = Registry("weight store adapter")
