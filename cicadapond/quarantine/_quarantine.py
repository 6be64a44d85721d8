"""Poison requests: found by the crashes that they cause, kept away from backend servers.

A crash makes each request in flight there a suspect, by a hash of its content, as callers send it
again under new ids.  A suspect may run only on the one server that its hash assigns it to, and one
suspect on trial at a time there; all processes compute the same assignment from the same suspects.
The trial ends once the request has gone on well past the place of the crash.  A second crash with
it as the only suspect on trial convicts; a whole answer clears.
"""

import datetime
import hashlib
import typing

import attrs

from cicadapond.kernel import Clock, seconds

ZERO = datetime.timedelta()


@attrs.frozen
class QuarantineSettings:
    """Terms of suspicion.

    Attributes:
      suspect_term: How long a suspect stays one without another crash.
      settle: How long a suspect waits before it runs, so that its process has heard of all other
        suspects and of its conviction elsewhere; longer than the digests take.
      peer_precedence: How long another process's suspect keeps its place before ours.
      max_suspects: Suspects kept; the oldest goes first.
    """

    suspect_term: datetime.timedelta = seconds(600)
    settle: datetime.timedelta = seconds(2.5)
    peer_precedence: datetime.timedelta = seconds(30)
    max_suspects: int = 10_000


@attrs.frozen
class Ticket:
    """One attempt of a request on a server; `generation` is the server's crash count."""

    body: str
    server: str
    generation: int
    number: int


@attrs.define
class _Suspect:
    crashes: int
    expires: datetime.timedelta
    on_trial: bool = True


@attrs.define
class _Wait:
    since: datetime.timedelta
    requests: int = 0


@attrs.define
class _PeerSuspect:
    crashes: int
    heard: datetime.timedelta


class Quarantine:
    """What one process knows of poison requests.

    Args:
      clock: Gives the time.
      conviction_term: Returns how long a conviction lasts.
      cfg: Terms of suspicion.
    """

    def __init__(
        self,
        clock: Clock,
        conviction_term: typing.Callable[[], datetime.timedelta] = lambda: seconds(3600),
        cfg: QuarantineSettings | None = None,
    ):
        self._clock = clock
        self._conviction_term = conviction_term
        self._cfg = cfg or QuarantineSettings()
        self._on_convicted: typing.Callable[[str, datetime.datetime], None] | None = None
        self._changed: typing.Callable[[], None] = lambda: None
        self._suspects: dict[str, _Suspect] = {}
        self._peer_suspects: dict[str, dict[str, _PeerSuspect]] = {}
        self._cleared: dict[str, datetime.timedelta] = {}
        self._convicted: dict[str, datetime.datetime] = {}
        self._in_flight: dict[str, dict[int, Ticket]] = {}
        self._waiting: dict[str, _Wait] = {}
        self._placements: dict[str, tuple[str, ...]] = {}
        self._generations: dict[str, int] = {}
        self._numbers = 0

    # What others see

    def on_change(self, callback: typing.Callable[[], None]) -> None:
        """Calls `callback` at each new suspect or conviction: others must hear of it at once."""
        self._changed = callback

    def on_convicted(self, callback: typing.Callable[[str, datetime.datetime], None]) -> None:
        """Calls `callback` with the hash and the end of each conviction by this process."""
        self._on_convicted = callback

    def suspects(self) -> dict[str, int]:
        """Returns the hashes of the suspects on trial with their crash counts."""
        self._expire()
        return {body: found.crashes for body, found in self._suspects.items() if found.on_trial}

    def convicted(self) -> dict[str, datetime.datetime]:
        """Returns the convicted requests' hashes with the wall-clock end of each conviction."""
        self._expire()
        return dict(self._convicted)

    def merge(
        self,
        convicted: typing.Mapping[str, datetime.datetime],
        suspects: typing.Mapping[str, int],
        source: str = "",
    ) -> None:
        """Takes what another process knows.

        Args:
          convicted: Its convictions; the later end holds.
          suspects: Its suspects, which replace those that the same source named before.
          source: The process.
        """
        now = self._clock.monotonic()
        for body, end in convicted.items():
            if body not in self._convicted or self._convicted[body] < end:
                self._convicted[body] = end
                self._suspects.pop(body, None)
        before = self._peer_suspects.get(source, {})
        self._peer_suspects[source] = {
            body: before.get(body) or _PeerSuspect(crashes, now)
            for body, crashes in suspects.items()
        }
        self._expire()

    def dump(self) -> dict:
        """Returns the whole state for a reader."""
        return {
            "suspects": self.suspects(),
            "convicted": {body: str(end) for body, end in self.convicted().items()},
            "peer_suspects": sum(map(len, self._peer_suspects.values())),
            "in_flight": {name: len(found) for name, found in self._in_flight.items() if found},
        }

    # What decides where a request may run

    def conviction_end(self, body: str) -> datetime.datetime | None:
        """Returns the end of a request's conviction, None if it is not convicted."""
        end = self._convicted.get(body)
        return end if end is not None and end > self._clock.now() else None

    def is_suspect(self, body: str) -> bool:
        """Returns whether a request may only run where `place` says."""
        if body in self._suspects:
            self._expire()
        if body in self._suspects:
            return self._suspects[body].on_trial
        if body in self._cleared:
            return False
        return any(body in found for found in self._peer_suspects.values())

    def wait(self, body: str) -> None:
        """Notes that a suspect waits for its server, which keeps its place among others."""
        found = self._waiting.setdefault(body, _Wait(self._clock.monotonic()))
        found.requests += 1

    def end_wait(self, body: str) -> None:
        """Notes that one request with this hash no longer waits."""
        found = self._waiting.get(body)
        if found is None:
            return
        found.requests -= 1
        if found.requests <= 0:
            del self._waiting[body]

    def place(self, body: str, servers: typing.Sequence[str]) -> str | None:
        """Returns the server on which a waiting suspect may run now, None if it has to wait on.

        Args:
          body: The suspect's hash.
          servers: The names of the servers that could take it.
        """
        if not servers or not self._settled(body):
            return None
        server = _assigned(body, servers)
        rivals = self._active_suspects()
        if any(ticket.body in rivals for ticket in self._in_flight.get(server, {}).values()):
            return None
        if self._first_rival(body, rivals - {body}, servers) is not None:
            return None
        self._placements[body] = tuple(servers)
        return server

    def _first_rival(self, body, rivals, servers):
        """Returns a suspect that goes before this one on its server, if there is any."""
        server = _assigned(body, servers)
        for rival in rivals:
            if rival < body and _assigned(rival, servers) == server:
                return rival
        return None

    def servers_with_suspects(self) -> frozenset[str]:
        """Returns the servers where this process has a suspect on trial; others avoid these."""
        if not self._suspects and not any(self._peer_suspects.values()):
            return frozenset()
        return frozenset(
            server
            for server, held in self._in_flight.items()
            if any(self.is_suspect(found.body) for found in held.values())
        )

    def _settled(self, body):
        found = self._waiting.get(body)
        return found is not None and self._clock.monotonic() - found.since >= self._cfg.settle

    def _active_suspects(self):
        """Returns the suspects on trial or waiting here, and those that peers have just named."""
        running = {found.body for held in self._in_flight.values() for found in held.values()}
        own = {
            body
            for body, found in self._suspects.items()
            if found.on_trial and (body in running or body in self._waiting)
        }
        return (own | self._peers_active()) - self._convicted.keys()

    def _peers_active(self):
        since = self._clock.monotonic() - self._cfg.peer_precedence
        return {
            body
            for named in self._peer_suspects.values()
            for body, found in named.items()
            if found.heard > since and body not in self._cleared
        }

    # What came of attempts

    def started(self, body: str, server: str) -> Ticket:
        """Notes that a request was sent to a server."""
        self._numbers += 1
        ticket = Ticket(body, server, self._generations.get(server, 0), self._numbers)
        self._in_flight.setdefault(server, {})[ticket.number] = ticket
        return ticket

    def ended(self, ticket: Ticket) -> None:
        """Notes that an attempt is over, with no word on its guilt; safe to call twice."""
        self._in_flight.get(ticket.server, {}).pop(ticket.number, None)

    def progressed(self, ticket: Ticket) -> None:
        """Notes that an attempt has gone on well past the place where its request's last broke.

        A poison request crashes its server again soon after it is resumed, so the trial is over
        and the next suspect may come; only a whole answer clears.
        """
        found = self._suspects.get(ticket.body)
        if found is not None:
            found.on_trial = False

    def whole(self, ticket: Ticket) -> None:
        """Notes a whole answer, which clears the request."""
        self.ended(ticket)
        self._suspects.pop(ticket.body, None)
        self._placements.pop(ticket.body, None)
        self._cleared[ticket.body] = self._clock.monotonic() + self._cfg.suspect_term

    def crashed(self, ticket: Ticket) -> None:
        """Notes that a server went down with an attempt in flight.

        All attempts that this process had there count at the first report of the crash; the
        reports of the others then change nothing.
        """
        server = ticket.server
        if ticket.generation != self._generations.get(server, 0):
            return
        self._generations[server] = ticket.generation + 1
        held = self._in_flight.pop(server, {})
        held.setdefault(ticket.number, ticket)
        bodies = {found.body for found in held.values()}
        on_trial = {body for body in bodies if self.is_suspect(body)}
        if len(on_trial) == 1 and not self._may_share_blame(*on_trial):
            self._convict(*on_trial)
        else:
            for body in bodies:
                self._accuse(body)

    def _may_share_blame(self, body):
        """Returns whether another process may have run a suspect of its own beside this one.

        One that has precedence, and that was not known when this one was placed, did not wait.
        """
        servers = self._placements.get(body)
        if not servers:
            return False
        return self._first_rival(body, self._peers_active() - {body}, servers) is not None

    def _convict(self, body):
        end = self._clock.now() + self._conviction_term()
        self._suspects.pop(body, None)
        self._placements.pop(body, None)
        self._convicted[body] = end
        self._changed()
        if self._on_convicted is not None:
            self._on_convicted(body, end)

    def _accuse(self, body):
        if body in self._convicted:
            return
        now = self._clock.monotonic()
        self._cleared.pop(body, None)
        crashes = self._suspects[body].crashes if body in self._suspects else 0
        self._suspects[body] = _Suspect(crashes + 1, now + self._cfg.suspect_term)
        self._changed()
        while len(self._suspects) > self._cfg.max_suspects:
            self._suspects.pop(next(iter(self._suspects)))

    def _expire(self):
        now, wall = self._clock.monotonic(), self._clock.now()
        self._suspects = {
            body: found for body, found in self._suspects.items() if found.expires > now
        }
        self._cleared = {body: end for body, end in self._cleared.items() if end > now}
        self._convicted = {body: end for body, end in self._convicted.items() if end > wall}


def _assigned(body: str, servers: typing.Sequence[str]) -> str:
    """Returns the server of a suspect: the highest hash of both, the same in every process."""
    return max(servers, key=lambda server: _weight(body, server))


def _weight(body, server):
    return hashlib.blake2b(f"{body} {server}".encode(), digest_size=8).digest()
