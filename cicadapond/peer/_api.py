"""What other modules see of membership: members, their digests, and our own digest."""

import abc
import datetime
import enum
import typing

import attrs

from cicadapond.data import LoadReport
from cicadapond.kernel import Ok, Unavailable


class MemberState(enum.Enum):
    """What this process believes of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


@attrs.frozen
class Digest:
    """What one process tells all others; small, whole, replaced by its next version.

    Attributes:
      revision: The document revision in force in this process.
      in_flight: Requests that this process has running, by backend server.
      leaving: Numbers of backend servers that this process was the first to say are leaving, or
        no longer are: `drain.says_leaving` tells which.
      drains: Drain numbers that this process has acknowledged, by backend server.
      loads: Reports of the servers that this process watches for all.
      convicted: Hashes of poison requests, with the wall-clock end of the conviction.
      suspects: Hashes of requests that a crash has made suspects, with their crash count.
      spent: Running totals of what this process admitted, by client account with a quota.
      usage: How many requests of each client account began to run here, by window number.
      demand: How many servers of each service this process's requests keep busy.
      readings: Running totals of prompt reading sent, in milliseconds by engine.
      copies: What this process reads from the table service for its data centre, by table.
    """

    revision: int = 0
    in_flight: typing.Mapping[str, int] = attrs.field(factory=dict)
    leaving: typing.Mapping[str, int] = attrs.field(factory=dict)
    drains: typing.Mapping[str, int] = attrs.field(factory=dict)
    loads: typing.Mapping[str, LoadReport] = attrs.field(factory=dict)
    convicted: typing.Mapping[str, datetime.datetime] = attrs.field(factory=dict)
    suspects: typing.Mapping[str, int] = attrs.field(factory=dict)
    spent: typing.Mapping[str, float] = attrs.field(factory=dict)
    usage: typing.Mapping[int, typing.Mapping[str, int]] = attrs.field(factory=dict)
    demand: typing.Mapping[str, float] = attrs.field(factory=dict)
    readings: typing.Mapping[str, int] = attrs.field(factory=dict)
    copies: typing.Mapping[str, list] = attrs.field(factory=dict)


@attrs.frozen
class Member:
    """One process of the system as this process sees it.

    `heard` is the monotonic instant of the last direct or relayed word from it; `version` grows
    with each change of its digest within one incarnation.
    """

    name: str
    zone: str
    role: str
    incarnation: int
    state: MemberState
    heard: datetime.timedelta
    version: int
    digest: Digest


class Peers(abc.ABC):
    """Membership as the rest of the process uses it."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all known members but this process, dead ones until they are forgotten."""

    @abc.abstractmethod
    def publish(self, digest: Digest) -> None:
        """Replaces this process's own digest; it reaches all live members in under 2 s."""

    @abc.abstractmethod
    def subscribe(self, listener: typing.Callable[[Member], None]) -> None:
        """Calls `listener` at each change of a member's digest or state."""

    @abc.abstractmethod
    def heard_from_zone(self, zone: str) -> datetime.timedelta | None:
        """Returns the monotonic instant of the last word from any process of a data centre."""

    def tell_everywhere(self, concerns: typing.Callable[[str], bool]) -> None:
        """Sets which backend servers' counts in flight matter in other data centres."""
        return None

    async def leave(self) -> None:
        """Says to all that this process ends, for a planned stop."""
        return None

    def answered_zone(self, zone: str) -> datetime.timedelta | None:
        """Returns the last instant at which a data centre may have heard from this one.

        A process there counts this data centre as heard from no later instant on.
        """
        return self.heard_from_zone(zone)

    async def ask(self, member: str, topic: str, payload) -> Ok[object] | Unavailable:
        """Sends a question to one member and waits a bounded time for the answer.

        Args:
          member: The member's name.
          topic: What the question is about; the member's handler of this topic answers.
          payload: Whatever msgpack can carry.

        Returns:
          Ok with the answer, or Unavailable if none came or nothing there answers the topic.
        """
        return Unavailable(f"{member} cannot be asked about {topic!r}")

    def answer(self, topic: str, handler: typing.Callable[[object], object]) -> None:
        """Answers questions about a topic with what `handler` returns for their payload."""
        return None


class NoPeers(Peers):
    """A process alone: no members, and its digest goes nowhere."""

    def members(self):
        return ()

    def publish(self, digest):
        return None

    def subscribe(self, listener):
        return None

    def heard_from_zone(self, zone):
        return None
