"""Membership as other modules use it: members, their digests, and this process's own digest."""

import abc
import datetime
import enum
import typing

import attrs

from cicadapond.data import Endpoint, LoadReport
from cicadapond.kernel import Ok, Unavailable


class MemberState(enum.Enum):
    """The state of a member as this process knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


@attrs.frozen
class Digest:
    """The state that one process publishes to the others; small, and always replaced entirely.

    `report` and the `in_flight` of most servers go only to its own data centre, `report` only to
    its hubs where there are hubs; `loads` go less often to the others.

    Attributes:
      revision: The revision of the configuration document in force in this process.
      in_flight: Number of requests that this process has running, by backend server.
      leaving: The leaving number, by backend server, that this process assigned as the first to
        report the server as leaving, or as no longer leaving; `drain.is_leaving_number` tells
        which.
      drains: Drain numbers that this process has acknowledged, by backend server.
      loads: Load reports of the servers that this process polls on behalf of all.
      convicted: Hashes of quarantined poison requests, with the wall-clock end of the quarantine.
      suspects: Hashes of requests suspected of causing a crash, with their crash count.
      copies: What this process reads from the table service on behalf of others, by table.
      restored_copies: The same of a table service that has been restored; earlier builds, which
        cannot compare its versions, ignore it.
      restore: What it knows of restores of the table service, and keeps in spite of them.
      report: What this process tells about its own work, in the embedding program's own format.
      summary: What it tells everybody about the work of its data centre, in that format.
    """

    revision: int = 0
    in_flight: typing.Mapping[str, int] = attrs.field(factory=dict)
    leaving: typing.Mapping[str, int] = attrs.field(factory=dict)
    drains: typing.Mapping[str, int] = attrs.field(factory=dict)
    loads: typing.Mapping[str, LoadReport] = attrs.field(factory=dict)
    convicted: typing.Mapping[str, datetime.datetime] = attrs.field(factory=dict)
    suspects: typing.Mapping[str, int] = attrs.field(factory=dict)
    copies: typing.Mapping[str, list] = attrs.field(factory=dict)
    restored_copies: typing.Mapping[str, list] = attrs.field(factory=dict)
    restore: typing.Mapping[str, int] = attrs.field(factory=dict)
    report: typing.Mapping[str, object] = attrs.field(factory=dict)
    summary: typing.Mapping[str, object] = attrs.field(factory=dict)


@attrs.frozen
class Member:
    """One process of the system as this process knows it.

    `last_heard` is the monotonic time of the last message from it, direct or relayed; `version`
    grows with each change of its digest within one incarnation; `endpoint` is the address at which
    it listens for other processes.
    """

    name: str
    zone: str
    role: str
    incarnation: int
    state: MemberState
    last_heard: datetime.timedelta
    version: int
    digest: Digest
    endpoint: Endpoint | None = None


class Peers(abc.ABC):
    """Membership as the rest of the process uses it."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all known members except this process, dead ones until they are forgotten."""

    @abc.abstractmethod
    def publish(self, digest: Digest, at_once: bool = False) -> None:
        """Replaces this process's own digest.

        Changes in urgent sections reach the live members concerned in under 2 s, others at their
        intervals.

        Args:
          digest: The digest.
          at_once: Whether to send all changes now, whatever was sent before, as the last ones.
        """

    @abc.abstractmethod
    def subscribe(self, listener: typing.Callable[[Member], None]) -> None:
        """Calls `listener` at each change of a member's digest or state."""

    @abc.abstractmethod
    def last_heard_from_zone(self, zone: str) -> datetime.timedelta | None:
        """Returns the monotonic send time of the last heartbeat that a data centre acknowledged.

        It was sent by this process or, as far as known, by another one of its data centre; None if
        there is none.
        """

    def set_wide_servers(self, is_wide_server: typing.Callable[[str], bool]) -> None:
        """Sets for which backend servers in-flight counts are also sent to other data centres."""
        return None

    async def leave(self) -> None:
        """Announces to all members that this process ends, for a planned stop."""
        return None

    def last_ack_to_zone(self, zone: str) -> datetime.timedelta | None:
        """Returns the latest time at which a data centre may have heard from this one.

        No process there has a later time for its last contact with this data centre.
        """
        return self.last_heard_from_zone(zone)

    async def query(self, member: str, topic: str, payload) -> Ok[object] | Unavailable:
        """Sends a query to one member and waits a bounded time for the answer.

        Args:
          member: The member's name.
          topic: The topic of the query, which selects the member's handler.
          payload: Any value that msgpack can encode.

        Returns:
          Ok with the answer, or Unavailable if none arrived or the member has no handler.
        """
        return Unavailable(f"{member} cannot be asked about {topic!r}")

    def register_handler(self, topic: str, handler: typing.Callable[[object], object]) -> None:
        """Registers the handler of a topic: takes a query's payload, returns the answer."""
        return None


class NoPeers(Peers):
    """Membership of a process that runs alone: no members, and its digest is not sent."""

    def members(self):
        return ()

    def publish(self, digest, at_once=False):
        return None

    def subscribe(self, listener):
        return None

    def last_heard_from_zone(self, zone):
        return None
