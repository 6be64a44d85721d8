"""The newest statement of each backend server, and what it lets this process send; no I/O."""

import datetime
import typing

import attrs

from cicadapond.advisories._pauses import PauseChange, Pauses
from cicadapond.advisories._places import deal_places
from cicadapond.credits import (
    FRAME,
    Ask,
    AskReply,
    LendReply,
    LoanRequest,
    PermitLedger,
    Permits,
    PermitSchedule,
    frame_of,
    keeper_parts,
    permit_owners,
    time_until_frame,
)
from cicadapond.kernel import Clock
from cicadapond.serving import ResponseHead, ServerEntry

# Where a request waits for a place at a brittle server, it looks again after this time.
PLACE_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# The places at brittle servers are dealt anew this often.
SHARES_LIFETIME = datetime.timedelta(milliseconds=200)
# A process that a brittle server turned away leaves it alone for between these times, so that all
# processes together are turned away half as often as the server bears.
MIN_BRITTLE_PAUSE = datetime.timedelta(milliseconds=250)
MAX_BRITTLE_PAUSE = datetime.timedelta(seconds=10)
BRITTLE_SHARE = 0.5
# A keeper's answer comes within this time; a request that waits for it looks again then.
BORROW_TIME = datetime.timedelta(milliseconds=20)
# How long the end of a limit is reported: processes that hear of it later find out by an answer.
ENDED_LIMIT_REPORTED = datetime.timedelta(seconds=10)
# Of how many servers that are gone the statements are kept; the oldest are dropped first.
MAX_GONE = 1024


@attrs.frozen
class Advisory:
    """What a server said of itself.

    Attributes:
      born: The start of the server that said it, as `ServerEntry.born`.
      rate_limit: The requests per second that it accepts from all processes together, None if it
        states no limit.
      said_at: When it began to say so, in UTC.
      is_leaving: Whether it says that it leaves; a start that leaves does not come back.
      brittle: How many requests it may turn away in a second, None if it does not say.
      unreadable: The headers with invalid values.
    """

    born: int
    rate_limit: float | None
    said_at: datetime.datetime
    is_leaving: bool = False
    brittle: int | None = None
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class AdvisoryChange:
    """A statement that differs from the last one; `before` is None if there was none."""

    server: str
    before: Advisory | None
    after: Advisory


@attrs.define
class _Known:
    """An advisory, whether this process heard it itself, and its permits."""

    advisory: Advisory
    is_own: bool
    ledger: PermitLedger = attrs.field(factory=PermitLedger)


@attrs.frozen
class _Schedule:
    processes: tuple[str, ...]
    schedule: PermitSchedule


@attrs.frozen
class _Shares:
    """This process's places at the servers of a service, as of a time."""

    at: datetime.timedelta
    shares: dict[str, int]


class ServerAdvisories:
    """Keeps what the servers said, and the requests that it still allows.

    Args:
      clock: Gives the time; its wall-clock time is close to that of the other processes.
      process: This process's name.
      processes: Returns the sorted names of all processes that send to the servers, this one
        included, or None while they are unknown; servers with a limit are avoided then.
      in_flight: Returns how many requests this process has placed at a server.
      servers: Returns the servers of a service that accept requests.

    Attributes:
      on_want: Is called if a request finds no permit; None if there is nobody to borrow from.
    """

    def __init__(
        self,
        clock: Clock,
        process: str = "",
        processes: typing.Callable[[], tuple[str, ...] | None] | None = None,
        in_flight: typing.Callable[[str], int] = lambda server: 0,
        servers: typing.Callable[[str], list[ServerEntry]] = lambda service: [],
    ):
        self._clock = clock
        self._process = process
        self._processes = processes or (lambda: (process,))
        self._in_flight = in_flight
        self._servers = servers
        self._shares: dict[str, _Shares] = {}
        # The services of which the last server that was heard said that it is brittle.
        self._brittle_services: set[str] = set()
        self._known: dict[str, _Known] = {}
        # Kept after the entry is gone, as an entry that lapsed comes back under the same start.
        self._gone: dict[str, _Known] = {}
        self._schedules: dict[str, _Schedule] = {}
        self._pauses = Pauses(clock, process)
        self.on_want: typing.Callable[[], None] | None = None
        self._wants = 0

    def watch_pauses(self, on_change: typing.Callable[[PauseChange], None]) -> None:
        """Calls `on_change` with each change of the time for which a server wants nothing."""
        self._pauses.on_change = on_change

    # Statements

    def get(self, entry: ServerEntry) -> Advisory | None:
        """Returns what this start of a server said last, None if it stated nothing."""
        known = self._find(entry)
        return known.advisory if known is not None else None

    def record(self, entry: ServerEntry, head: ResponseHead) -> AdvisoryChange | None:
        """Records the head of a server's answer; returns what has changed, None if nothing has."""
        if head.retry_after is not None:
            self._pauses.begin(entry.name, entry.born, head.retry_after)
        elif head.brittle is not None and head.not_executed:
            self._pauses.begin(entry.name, entry.born, self._brittle_pause(head.brittle))
        else:
            self._pauses.answered(entry.name, entry.born)
        self._note_brittle(entry.service, head.brittle)
        before = self.get(entry)
        last = before or Advisory(entry.born, None, self._clock.now())
        after = attrs.evolve(
            last,
            rate_limit=head.rate_limit,
            is_leaving=head.is_leaving or last.is_leaving,
            brittle=head.brittle,
            unreadable=head.unreadable,
        )
        if after == last:
            return None
        after = attrs.evolve(after, said_at=self._clock.now())
        self._put(entry, after, is_own=True)
        return AdvisoryChange(entry.name, before, after)

    def merge(self, entry: ServerEntry, advisory: Advisory) -> None:
        """Applies what another process heard from a server, if it is newer."""
        known = self.get(entry)
        if advisory.born != entry.born:
            return
        if known is None or advisory.said_at > known.said_at:
            self._note_brittle(entry.service, advisory.brittle)
            is_leaving = advisory.is_leaving or (known is not None and known.is_leaving)
            self._put(entry, attrs.evolve(advisory, is_leaving=is_leaving), is_own=False)

    def reported(self) -> dict[str, Advisory]:
        """Returns what the other processes should know, by server.

        That is what this process heard itself, and which servers leave, as the process that heard
        it may be gone.
        """
        oldest = self._clock.now() - ENDED_LIMIT_REPORTED
        return {
            server: known.advisory
            for server, known in self._known.items()
            if known.advisory.is_leaving
            or (known.is_own and (_binds(known.advisory) or known.advisory.said_at >= oldest))
        }

    def remove(self, server: str) -> None:
        """Sets aside what a server that is gone said, until an entry of the same start is seen."""
        known = self._known.pop(server, None)
        self._schedules.pop(server, None)
        # Without a start, a later server under this name cannot be told from this one.
        if known is not None and known.advisory.born:
            self._gone.pop(server, None)
            self._gone[server] = known
            while len(self._gone) > MAX_GONE:
                del self._gone[next(iter(self._gone))]

    def state(self) -> dict:
        """Returns the statements in force, for a dump."""
        now = self._clock.now()
        return {
            server: {
                "rate_limit": known.advisory.rate_limit,
                "leaving": known.advisory.is_leaving,
                "brittle": known.advisory.brittle,
                "age_ms": round((now - known.advisory.said_at).total_seconds() * 1000),
                "heard_here": known.is_own,
            }
            for server, known in sorted(self._known.items())
            if _binds(known.advisory)
        }

    # Limits

    def may_send(self, entry: ServerEntry) -> bool:
        """Returns whether the server's statements let this process send another request now."""
        if entry.name in self._gone:
            self._restore(entry)
        return self._is_permitted(entry, self._find(entry), self._in_flight(entry.name))

    def is_paused(self, entry: ServerEntry) -> bool:
        """Returns whether a server wants nothing at the moment."""
        return bool(self._pauses.remaining(entry.name, entry.born))

    def _is_permitted(self, entry, known, in_flight):
        if self.is_paused(entry):
            return False
        if self._is_brittle(entry, known) and in_flight >= self._places(entry):
            return False
        if known is None:
            return True
        if known.advisory.rate_limit is None:
            return True
        schedule = self._schedule(entry.name)
        if schedule is None:
            return False
        frame = frame_of(self._clock.now())
        share = schedule.permits(known.advisory.rate_limit, frame)
        ledger = known.ledger
        if ledger.own_left(share, frame):
            return True
        return ledger.has_borrowed and bool(ledger.borrowed_left(self._clock.monotonic()))

    def _is_brittle(self, entry, known):
        """Returns whether a server is brittle.

        One that has said nothing since it started is, if its service is: all processes would send
        it many requests at once, before its first answers could hold them back.
        """
        if known is not None:
            return known.advisory.brittle is not None
        return entry.service in self._brittle_services

    def _places(self, entry):
        """Returns how many requests this process may have at a brittle server."""
        processes, now = self._processes(), self._clock.monotonic()
        if processes is None:
            return 1
        known = self._shares.get(entry.service)
        if known is None or now - known.at >= SHARES_LIFETIME:
            slots = {server.name: server.slots for server in self._servers(entry.service)}
            shares = deal_places(slots, self._process, processes)
            known = self._shares[entry.service] = _Shares(now, shares)
        return known.shares.get(entry.name, 0)

    def _brittle_pause(self, brittle):
        count = len(self._processes() or (self._process,))
        pause = datetime.timedelta(seconds=count / (BRITTLE_SHARE * max(1, brittle)))
        return min(max(pause, MIN_BRITTLE_PAUSE), MAX_BRITTLE_PAUSE)

    def take(self, entry: ServerEntry) -> bool:
        """Counts a request that is about to be sent, and is placed at the server already.

        Returns:
          Whether it may be sent.
        """
        known = self._find(entry)
        if not self._is_permitted(entry, known, self._in_flight(entry.name) - 1):
            return False
        if known is not None:
            frame, limit = frame_of(self._clock.now()), known.advisory.rate_limit
            if limit is None:
                known.ledger.use_unlimited(frame)
            else:
                share = self._schedule(entry.name).permits(limit, frame)
                # A permit may have ended since the check above.
                if not known.ledger.take(share, frame, self._clock.monotonic()):
                    return False
        self._pauses.take(entry.name, entry.born)
        return True

    def time_until_permit(self, entry: ServerEntry) -> datetime.timedelta | None:
        """Returns the time until this process may send to a server that it may not send to now.

        A permit may be borrowed by then.  None if its limit admits nothing for a long time.
        """
        known = self._find(entry)
        if (
            known is not None
            and known.advisory.rate_limit is not None
            and self.on_want is not None
            and not self._pauses.remaining(entry.name, entry.born)
            and known.ledger.may_borrow(self._clock.monotonic())
        ):
            return BORROW_TIME
        return self.time_until_own_permit(entry)

    def time_until_own_permit(self, entry: ServerEntry) -> datetime.timedelta | None:
        """Returns the time as `time_until_permit`, but does not count on borrowed permits."""
        pause = self._pauses.remaining(entry.name, entry.born)
        if pause:
            return pause
        known, schedule = self._find(entry), self._schedule(entry.name)
        if schedule is None:
            return None
        if known is None or known.advisory.rate_limit is None:
            return PLACE_POLL_INTERVAL if self._is_brittle(entry, known) else None
        now = self._clock.now()
        ahead = schedule.frames_until_permit(known.advisory.rate_limit, frame_of(now))
        return time_until_frame(frame_of(now) + ahead, now) if ahead is not None else None

    # Permits that are handed on

    def want(self, entries: typing.Sequence[ServerEntry]) -> None:
        """Records a request that found no permit at any of some servers, once for each request."""
        processes = self._processes()
        if self.on_want is None or processes is None or len(processes) < 2:
            return
        # A borrowed permit would expire unused at a server that pauses.
        ready = [each for each in entries if not self._pauses.remaining(each.name, each.born)]
        found = [self._find(entry) for entry in ready]
        limited = [known for known in found if known and known.advisory.rate_limit is not None]
        if limited:
            self._wants += 1
            limited[self._wants % len(limited)].ledger.want(self._clock.monotonic())
            self.on_want()

    def asks(self, ahead: datetime.timedelta) -> list[Ask]:
        """Returns what this process would borrow.

        Args:
          ahead: The time until it asks again.
        """
        now, found = self._clock.monotonic(), []
        for server, known in self._known.items():
            limit = known.advisory.rate_limit
            if limit is None or not known.ledger.is_short(now):
                continue
            wanted = known.ledger.to_ask(ahead, now)
            if wanted:
                parts = keeper_parts(len(self._processes() or ()), limit)
                demand = known.ledger.demand(now)
                found.append(Ask(server, known.advisory.born, limit, wanted, demand, parts=parts))
        return found

    def receive(
        self,
        ask: Ask,
        reply: AskReply | None,
        sent_at: datetime.timedelta,
        again: datetime.timedelta | None,
    ) -> int:
        """Adds what was borrowed.

        Args:
          ask: What this process asked for.
          reply: The answer, None if there is nobody to ask.
          sent_at: The monotonic time right before the call was sent.
          again: How long it does not ask again if it got nothing; None if it asks at once.

        Returns:
          The number of permits.
        """
        known = self._known.get(ask.server)
        if known is None or known.advisory.born != ask.born:
            return 0
        if _is_lower(known.advisory.rate_limit, ask.limit):
            return 0  # the limit has fallen during the call
        is_meant = reply is not None and reply.server == ask.server
        permits, now = reply.permits if is_meant else (), self._clock.monotonic()
        total = 0
        for each in permits:
            count = min(each.count, ask.wanted - total)
            if count:
                known.ledger.receive(count, sent_at + each.left, now)
                total += count
        if not total and again is not None:
            known.ledger.give_up(now + again)
        return total

    def lend(self, request: LoanRequest) -> LendReply | None:
        """Gives up permits of the frame that is on.

        None if the server's limit is not known here, or a lower one to those that ask.
        """
        known = self._known.get(request.server)
        if known is None or known.advisory.born != request.born:
            return None
        limit, schedule = known.advisory.rate_limit, self._schedule(request.server)
        if limit is None or schedule is None or limit > request.limit:
            return None
        wall, now = self._clock.now(), self._clock.monotonic()
        frame = frame_of(wall)
        left = min(FRAME, time_until_frame(frame + 1, wall))
        count = 0
        if not self._pauses.remaining(request.server, request.born):
            share = schedule.permits(limit, frame)
            count = known.ledger.lend(share, frame, left, request.most, now)
        return LendReply(request.server, frame, Permits(count, left))

    def owners(self, server: str, born: int, frame: int) -> typing.Mapping[str, int] | None:
        """Returns how many permits of a frame each process owns.

        None if the server's limit or the processes are not known.
        """
        known, processes = self._known.get(server), self._processes()
        if known is None or processes is None or known.advisory.born != born:
            return None
        limit = known.advisory.rate_limit
        return permit_owners(server, processes, limit, frame) if limit is not None else None

    def _find(self, entry):
        known = self._known.get(entry.name) or self._gone.get(entry.name)
        return known if known is not None and known.advisory.born == entry.born else None

    def _restore(self, entry):
        """Takes up what a server had said whose entry is listed again."""
        known = self._gone.pop(entry.name)
        if known.advisory.born == entry.born:
            self._known[entry.name] = known

    def _put(self, entry, advisory, is_own):
        known = self._find(entry)
        if known is None:
            self._known[entry.name] = _Known(advisory, is_own)
        else:
            if _is_lower(advisory.rate_limit, known.advisory.rate_limit):
                known.ledger.drop_borrowed()
            known.advisory, known.is_own = advisory, is_own

    def _note_brittle(self, service, brittle):
        if brittle is not None:
            self._brittle_services.add(service)
        else:
            self._brittle_services.discard(service)

    def _schedule(self, server):
        processes = self._processes()
        if processes is None:
            return None
        known = self._schedules.get(server)
        if known is None or known.processes != processes:
            schedule = PermitSchedule(server, self._process, processes)
            known = self._schedules[server] = _Schedule(processes, schedule)
        return known.schedule


def _is_lower(limit, before):
    return limit is not None and (before is None or limit < before)


def _binds(advisory):
    """Returns whether a statement keeps requests from its server."""
    states_limit = advisory.rate_limit is not None or advisory.brittle is not None
    return states_limit or advisory.is_leaving
