"""Decides whether a backend server may stop: no process has work there or can send any.

The server is marked as leaving under a number.  Every live process acknowledges the number in its
digest, together with its own count of requests there.  An unreachable process of another data
centre counts as idle once a term has passed since that data centre could last hear from this one:
a process sends work to another data centre's servers only while it receives messages from there.
"""

import datetime
import typing

import attrs

from cicadapond.drain._leaving import LeavingServers
from cicadapond.kernel import Clock
from cicadapond.peer import Digest, Member, MemberState, Peers

_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class DrainSettings:
    """Durations of a drain.

    Attributes:
      limit_term: A process of another data centre uses a server only if it has received a message
        from the server's data centre within this term.
      margin: Additional wait beyond the term, because answers sent by other relays may not be
        known here yet.
    """

    limit_term: datetime.timedelta = 3 * _SECOND
    margin: datetime.timedelta = 2 * _SECOND


@attrs.frozen
class StopDecision:
    """Whether a server may stop, and if not, the reasons."""

    allowed: bool
    waiting_for: tuple[str, ...] = ()


class StopDecider:
    """Decides for one process, usually the controller, when drained servers may stop.

    Args:
      zone: The process's own data centre.
      leaving_servers: The servers that are leaving.
      peers: The membership.
      own: Returns this process's own digest.
      clock: The clock.
      cfg: Durations.
    """

    def __init__(
        self,
        zone: str,
        leaving_servers: LeavingServers,
        peers: Peers,
        own: typing.Callable[[], Digest],
        clock: Clock,
        cfg: DrainSettings | None = None,
    ):
        self._zone = zone
        self._leaving_servers = leaving_servers
        self._peers = peers
        self._own = own
        self._clock = clock
        self._cfg = cfg or DrainSettings()
        self._numbers_since: dict[str, tuple[int, datetime.timedelta]] = {}

    def begin(self, server: str, source: str = "operator") -> int:
        """Starts a drain: marks a server as leaving unless a drain is already in effect.

        Returns:
          The drain's number.
        """
        self._leaving_servers.mark(server, source, acknowledge=True)
        return self._since(server)[0]

    def undrain(self, server: str) -> bool:
        """Lets a server accept new work again; a notice that is still in force marks it again."""
        self._numbers_since.pop(server, None)
        return self._leaving_servers.unmark(server)

    def may_stop(self, server: str, backend_running: int | None) -> StopDecision:
        """Decides whether a server may stop now.

        Args:
          server: The backend server.
          backend_running: How many running requests the server itself reports, None if it could
            not be queried.

        Returns:
          The decision; the server must keep running unless it is allowed to stop.
        """
        if not self._leaving_servers.is_leaving(server):
            return StopDecision(False, (f"{server} is not leaving",))
        number, since = self._since(server)
        reasons = []
        if backend_running is None:
            reasons.append("the server's own count is not known")
        elif backend_running:
            reasons.append(f"the server itself runs {backend_running}")
        own = self._own().in_flight.get(server, 0)
        if own:
            reasons.append(f"this process has {own} in flight")
        for member in self._peers.members():
            reasons.extend(self._member_reasons(member, server, number, since))
        return StopDecision(not reasons, tuple(reasons))

    def _since(self, server):
        number = self._leaving_servers.number(server)
        begun = self._numbers_since.get(server)
        if begun is None or begun[0] != number:
            begun = (number, self._clock.monotonic())
            self._numbers_since[server] = begun
        return begun

    def _member_reasons(self, member: Member, server, number, since):
        if member.state is MemberState.LEFT:
            return
        now = self._clock.monotonic()
        term = self._cfg.limit_term + self._cfg.margin
        if member.state is MemberState.DEAD:
            if now - max(member.last_heard, since) <= term:
                yield f"{member.name} may still be alive"
            return
        if self._has_stopped_sending(member, now, since, term):
            return
        count = member.digest.in_flight.get(server, 0)
        if member.digest.drains.get(server, 0) < number:
            yield f"{member.name} has not acknowledged"
        elif count:
            yield f"{member.name} has {count} in flight"

    def _has_stopped_sending(self, member, now, since, term):
        """Returns whether a process of another data centre no longer sends work to this one."""
        if member.zone == self._zone:
            return False
        answered = self._peers.last_ack_to_zone(member.zone)
        return now - max(answered or since, since) > term
