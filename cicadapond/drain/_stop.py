"""Whether a backend server may stop: no process can have work there, now or later.

The server is marked as leaving under a number.  Every live process acknowledges the number in its
digest, together with its own count of requests there.  A process that cannot be asked has limited
itself by the time that its data centre was last heard plus a term: it sends work to other data
centres' servers only while it hears from them.
"""

import datetime
import typing

import attrs

from cicadapond.drain._leaving import LeavingBook
from cicadapond.kernel import Clock
from cicadapond.peer import Digest, Member, MemberState, Peers

_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class DrainSettings:
    """The terms of a drain.

    Attributes:
      limit_term: A process of another data centre uses a server only while it has heard from the
        server's data centre within this term.
      margin: What is waited beyond the term, for answers
        of other relays that are not known here yet.
    """

    limit_term: datetime.timedelta = 3 * _SECOND
    margin: datetime.timedelta = 2 * _SECOND


@attrs.frozen
class StopDecision:
    """Whether a server may stop, and if not, what it waits for."""

    allowed: bool
    waiting_for: tuple[str, ...] = ()


class DrainView:
    """Decides for one process, usually the controller, when drained servers may stop.

    Args:
      zone: The process's own data centre.
      book: The numbers.
      peers: Membership.
      own: Returns this process's own digest.
      clock: Gives the time.
      cfg: The terms.
    """

    def __init__(
        self,
        zone: str,
        book: LeavingBook,
        peers: Peers,
        own: typing.Callable[[], Digest],
        clock: Clock,
        cfg: DrainSettings | None = None,
    ):
        self._zone = zone
        self._book = book
        self._peers = peers
        self._own = own
        self._clock = clock
        self._cfg = cfg or DrainSettings()
        self._begun: dict[str, tuple[int, datetime.timedelta]] = {}

    def begin(self, server: str, source: str = "operator") -> int:
        """Marks a server as leaving, if it is not yet.

        Returns:
          The drain's number.
        """
        self._book.mark(server, source, acknowledge=True)
        return self._since(server)[0]

    def undrain(self, server: str) -> bool:
        """Lets a server take new work again, unless a notice still says that it leaves."""
        self._begun.pop(server, None)
        return self._book.undo(server)

    def may_stop(self, server: str, backend_running: int | None) -> StopDecision:
        """Decides whether a server may stop now.

        Args:
          server: The backend server.
          backend_running: How many requests the server itself says that it runs, None if it
            could not be asked.

        Returns:
          The decision; without one that allows it, the server must go on.
        """
        if not self._book.is_leaving(server):
            return StopDecision(False, (f"{server} is not leaving",))
        number, since = self._since(server)
        waits = []
        if backend_running is None:
            waits.append("the server's own count is not known")
        elif backend_running:
            waits.append(f"the server itself runs {backend_running}")
        own = self._own().in_flight.get(server, 0)
        if own:
            waits.append(f"this process has {own} in flight")
        for member in self._peers.members():
            waits.extend(self._member_waits(member, server, number, since))
        return StopDecision(not waits, tuple(waits))

    def _since(self, server):
        number = self._book.number(server)
        known = self._begun.get(server)
        if known is None or known[0] != number:
            known = (number, self._clock.monotonic())
            self._begun[server] = known
        return known

    def _member_waits(self, member: Member, server, number, since):
        if member.state is MemberState.LEFT:
            return
        now = self._clock.monotonic()
        term = self._cfg.limit_term + self._cfg.margin
        if member.state is MemberState.DEAD:
            if now - max(member.heard, since) <= term:
                yield f"{member.name} may still be alive"
            return
        if self._limits_itself(member, now, since, term):
            return
        count = member.digest.in_flight.get(server, 0)
        if member.digest.drains.get(server, 0) < number:
            yield f"{member.name} has not acknowledged"
        elif count:
            yield f"{member.name} has {count} in flight"

    def _limits_itself(self, member, now, since, term):
        """Whether a process of another data centre cannot hear this one any more."""
        if member.zone == self._zone:
            return False
        answered = self._peers.answered_zone(member.zone)
        return now - max(answered or since, since) > term
