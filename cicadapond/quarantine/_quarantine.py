"""Detects poison requests by the crashes that they cause and keeps them off backend servers.

When a server crashes, each request in flight there becomes a suspect.  Suspects are identified by
a hash of their content because callers resend the same request under new ids.  A suspect may run
only on the server that its hash selects, and only one suspect on trial runs there at a time; every
process computes the same assignment from the same suspects.  The trial ends once the request has
progressed well past the point of the crash.  If the server crashes with exactly one suspect on
trial, that request is quarantined.  A complete answer removes the suspicion.
"""

import datetime
import hashlib
import typing

import attrs

from cicadapond.kernel import Clock, seconds

ZERO = datetime.timedelta()


@attrs.frozen
class QuarantineSettings:
    """Timing and limits of suspicion.

    Attributes:
      suspect_term: How long a request remains a suspect without another crash.
      settle: How long a suspect waits before it runs, so that its process has received all other
        suspects and any quarantine by another process; must exceed the digests' delay.
      peer_precedence: How long a suspect reported by another process can precede a local one.
      max_suspects: Number of suspects kept; the oldest is dropped first.
    """

    suspect_term: datetime.timedelta = seconds(600)
    settle: datetime.timedelta = seconds(2.5)
    peer_precedence: datetime.timedelta = seconds(30)
    max_suspects: int = 10_000


@attrs.frozen
class Ticket:
    """One attempt of a request on a server.

    Attributes:
      content_hash: Hash of the request's content.
      server: The name of the server.
      generation: The server's crash count when the attempt started.
      number: Distinguishes the attempts of this process.
    """

    content_hash: str
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
    received_at: datetime.timedelta


class Quarantine:
    """One process's record of suspected and quarantined requests.

    Args:
      clock: The clock.
      conviction_term: Returns how long a request stays quarantined.
      cfg: Timing and limits of suspicion.
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
        self._on_quarantined: typing.Callable[[str, datetime.datetime], None] | None = None
        self._on_change: typing.Callable[[], None] = lambda: None
        self._suspects: dict[str, _Suspect] = {}
        self._peer_suspects: dict[str, dict[str, _PeerSuspect]] = {}
        self._cleared: dict[str, datetime.timedelta] = {}
        self._quarantined: dict[str, datetime.datetime] = {}
        self._in_flight: dict[str, dict[int, Ticket]] = {}
        self._waiting: dict[str, _Wait] = {}
        self._placement_candidates: dict[str, tuple[str, ...]] = {}
        self._generations: dict[str, int] = {}
        self._last_number = 0

    # State shared with other processes

    def on_change(self, callback: typing.Callable[[], None]) -> None:
        """Sets the callback for new suspects and quarantines, which peers must receive at once."""
        self._on_change = callback

    def on_quarantined(self, callback: typing.Callable[[str, datetime.datetime], None]) -> None:
        """Sets the callback that gets the hash and the end of each quarantine by this process."""
        self._on_quarantined = callback

    def suspects(self) -> dict[str, int]:
        """Returns the hashes of the suspects on trial with their crash counts."""
        self._expire()
        return {
            content_hash: suspect.crashes
            for content_hash, suspect in self._suspects.items()
            if suspect.on_trial
        }

    def quarantined(self) -> dict[str, datetime.datetime]:
        """Returns the quarantined requests' hashes with the wall-clock end of each quarantine."""
        self._expire()
        return dict(self._quarantined)

    def merge(
        self,
        quarantined: typing.Mapping[str, datetime.datetime],
        suspects: typing.Mapping[str, int],
        source: str = "",
    ) -> None:
        """Merges the state of another process.

        Args:
          quarantined: Its quarantined requests; the later end of a quarantine applies.
          suspects: Its suspects, which replace those received from the same source before.
          source: The name of the process.
        """
        now = self._clock.monotonic()
        for content_hash, end in quarantined.items():
            if content_hash not in self._quarantined or self._quarantined[content_hash] < end:
                self._quarantined[content_hash] = end
                self._suspects.pop(content_hash, None)
        before = self._peer_suspects.get(source, {})
        self._peer_suspects[source] = {
            content_hash: before.get(content_hash) or _PeerSuspect(crashes, now)
            for content_hash, crashes in suspects.items()
        }
        self._expire()

    def dump(self) -> dict:
        """Returns the state for the debug dump."""
        return {
            "suspects": self.suspects(),
            "convicted": {
                content_hash: str(end) for content_hash, end in self.quarantined().items()
            },
            "peer_suspects": sum(map(len, self._peer_suspects.values())),
            "in_flight": {
                name: len(tickets) for name, tickets in self._in_flight.items() if tickets
            },
        }

    # Placement

    def quarantined_until(self, content_hash: str) -> datetime.datetime | None:
        """Returns the end of a request's quarantine, None if it is not quarantined."""
        end = self._quarantined.get(content_hash)
        return end if end is not None and end > self._clock.now() else None

    def is_suspect(self, content_hash: str) -> bool:
        """Returns whether a request may run only on the server that `assign_server` returns."""
        if content_hash in self._suspects:
            self._expire()
        if content_hash in self._suspects:
            return self._suspects[content_hash].on_trial
        if content_hash in self._cleared:
            return False
        return any(content_hash in reported for reported in self._peer_suspects.values())

    def begin_wait(self, content_hash: str) -> None:
        """Records that a suspect waits for its server, so that it takes part in the ordering."""
        wait = self._waiting.setdefault(content_hash, _Wait(self._clock.monotonic()))
        wait.requests += 1

    def end_wait(self, content_hash: str) -> None:
        """Records that one request with this hash no longer waits."""
        wait = self._waiting.get(content_hash)
        if wait is None:
            return
        wait.requests -= 1
        if wait.requests <= 0:
            del self._waiting[content_hash]

    def assign_server(self, content_hash: str, servers: typing.Sequence[str]) -> str | None:
        """Returns the server on which a waiting suspect may run now, None if it must keep waiting.

        Args:
          content_hash: The suspect's hash.
          servers: The names of the eligible servers.
        """
        if not servers or not self._has_settled(content_hash):
            return None
        server = _assigned_server(content_hash, servers)
        competitors = self._active_suspects()
        if any(
            ticket.content_hash in competitors
            for ticket in self._in_flight.get(server, {}).values()
        ):
            return None
        if (
            self._first_preceding_suspect(content_hash, competitors - {content_hash}, servers)
            is not None
        ):
            return None
        self._placement_candidates[content_hash] = tuple(servers)
        return server

    def _first_preceding_suspect(self, content_hash, competitors, servers):
        """Returns a suspect that precedes this one on its server, if there is any."""
        server = _assigned_server(content_hash, servers)
        for competitor in competitors:
            if competitor < content_hash and _assigned_server(competitor, servers) == server:
                return competitor
        return None

    def servers_with_suspects(self) -> frozenset[str]:
        """Returns the servers where this process runs a suspect; other requests avoid them."""
        if not self._suspects and not any(self._peer_suspects.values()):
            return frozenset()
        return frozenset(
            server
            for server, tickets in self._in_flight.items()
            if any(self.is_suspect(ticket.content_hash) for ticket in tickets.values())
        )

    def _has_settled(self, content_hash):
        wait = self._waiting.get(content_hash)
        return wait is not None and self._clock.monotonic() - wait.since >= self._cfg.settle

    def _active_suspects(self):
        """Returns the suspects on trial or waiting here, and those that peers recently reported."""
        running = {
            ticket.content_hash
            for tickets in self._in_flight.values()
            for ticket in tickets.values()
        }
        own = {
            content_hash
            for content_hash, suspect in self._suspects.items()
            if suspect.on_trial and (content_hash in running or content_hash in self._waiting)
        }
        return (own | self._active_peer_suspects()) - self._quarantined.keys()

    def _active_peer_suspects(self):
        since = self._clock.monotonic() - self._cfg.peer_precedence
        return {
            content_hash
            for reported in self._peer_suspects.values()
            for content_hash, suspect in reported.items()
            if suspect.received_at > since and content_hash not in self._cleared
        }

    # Results of attempts

    def started(self, content_hash: str, server: str) -> Ticket:
        """Records that a request was sent to a server."""
        self._last_number += 1
        ticket = Ticket(content_hash, server, self._generations.get(server, 0), self._last_number)
        self._in_flight.setdefault(server, {})[ticket.number] = ticket
        return ticket

    def ended(self, ticket: Ticket) -> None:
        """Records that an attempt is over, without changing its suspicion; safe to call twice."""
        self._in_flight.get(ticket.server, {}).pop(ticket.number, None)

    def progressed(self, ticket: Ticket) -> None:
        """Records that an attempt has progressed well past the point of the last crash.

        A poison request crashes its server again soon after it is resumed, so the trial is over
        and the next suspect may run; only a complete answer removes the suspicion.
        """
        suspect = self._suspects.get(ticket.content_hash)
        if suspect is not None:
            suspect.on_trial = False

    def completed(self, ticket: Ticket) -> None:
        """Records a complete answer, which removes the suspicion from the request."""
        self.ended(ticket)
        self._suspects.pop(ticket.content_hash, None)
        self._placement_candidates.pop(ticket.content_hash, None)
        self._cleared[ticket.content_hash] = self._clock.monotonic() + self._cfg.suspect_term

    def crashed(self, ticket: Ticket) -> None:
        """Records that a server crashed with an attempt in flight.

        The first report of a crash covers all attempts that this process had there; reports for
        the other attempts then have no effect.
        """
        server = ticket.server
        if ticket.generation != self._generations.get(server, 0):
            return
        self._generations[server] = ticket.generation + 1
        tickets = self._in_flight.pop(server, {})
        tickets.setdefault(ticket.number, ticket)
        content_hashes = {attempt.content_hash for attempt in tickets.values()}
        on_trial = {
            content_hash for content_hash in content_hashes if self.is_suspect(content_hash)
        }
        if len(on_trial) == 1 and not self._peer_suspect_may_be_cause(*on_trial):
            self._quarantine(*on_trial)
        else:
            for content_hash in content_hashes:
                self._add_suspect(content_hash)

    def _peer_suspect_may_be_cause(self, content_hash):
        """Returns whether another process may have run a suspect of its own on the same server.

        A peer's suspect that has precedence, and was not known here when this one was placed,
        did not wait for it.
        """
        servers = self._placement_candidates.get(content_hash)
        if not servers:
            return False
        return (
            self._first_preceding_suspect(
                content_hash, self._active_peer_suspects() - {content_hash}, servers
            )
            is not None
        )

    def _quarantine(self, content_hash):
        end = self._clock.now() + self._conviction_term()
        self._suspects.pop(content_hash, None)
        self._placement_candidates.pop(content_hash, None)
        self._quarantined[content_hash] = end
        self._on_change()
        if self._on_quarantined is not None:
            self._on_quarantined(content_hash, end)

    def _add_suspect(self, content_hash):
        if content_hash in self._quarantined:
            return
        now = self._clock.monotonic()
        self._cleared.pop(content_hash, None)
        crashes = self._suspects[content_hash].crashes if content_hash in self._suspects else 0
        self._suspects[content_hash] = _Suspect(crashes + 1, now + self._cfg.suspect_term)
        self._on_change()
        while len(self._suspects) > self._cfg.max_suspects:
            self._suspects.pop(next(iter(self._suspects)))

    def _expire(self):
        now, wall = self._clock.monotonic(), self._clock.now()
        self._suspects = {
            content_hash: suspect
            for content_hash, suspect in self._suspects.items()
            if suspect.expires > now
        }
        self._cleared = {
            content_hash: end for content_hash, end in self._cleared.items() if end > now
        }
        self._quarantined = {
            content_hash: end for content_hash, end in self._quarantined.items() if end > wall
        }


def _assigned_server(content_hash: str, servers: typing.Sequence[str]) -> str:
    """Returns a suspect's server by rendezvous hashing, the same in every process."""
    return max(servers, key=lambda server: _rendezvous_weight(content_hash, server))


def _rendezvous_weight(content_hash, server):
    return hashlib.blake2b(f"{content_hash} {server}".encode(), digest_size=8).digest()
