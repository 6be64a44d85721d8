"""The state of one admitted request while it is served, shared by the steps of its way."""

import datetime

from cicadapond.forwarding import StreamWhole, Whole
from cicadapond.gateway._caller import Reply
from cicadapond.gateway._crash_watch import CrashWatch
from cicadapond.gateway._eligible import EligibleServers
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._relay_protocol import PassedOn
from cicadapond.gateway._rollout_gate import AttemptObserver
from cicadapond.gateway._stream_moves import RelayedStream
from cicadapond.gateway._waits import WaitTimes, milliseconds
from cicadapond.placing import InFlightRequest
from cicadapond.routes import choose_service
from cicadapond.serving import CallerRequest, ClientAccount, Route, RouteKind, ServerEntry

# With less time left than this, no server could respond.
MIN_TIME_LEFT = datetime.timedelta(milliseconds=5)
# Engines have ten priorities, 0 to 9; the account's rank takes precedence over the route's.
# Route ranks 0 to 2 fit into one account rank; further ones share the last.
LOWEST_PRIORITY = 9
ACCOUNT_RANK_STEP = 3
LOWEST_ROUTE_RANK = ACCOUNT_RANK_STEP - 1


class DeadlineExceededError(Exception):
    """The request's deadline has passed."""


class RequestState:
    """One admitted request: what it asks for, and what has happened to it so far.

    Args:
      parts: The components of this process.
      req: The request.
      route: Its route.
      account: Its client account, None if it has none.
      reply: Sends the response to the caller.
      received_at: The monotonic time at which the first byte of the request was received.
      passed_on: How another process passed it on, None if it comes from a caller.
      waits: For what it has waited so far, None for nothing.

    Attributes:
      deadline: The monotonic time at which the request must be answered.
      waits: For what, and how long, it has waited.
      passed_on: How another process passed it on, None if it comes from a caller.
      service: The service that runs it.
      crash_watch: What it tells of crashes of servers.
      servers: The servers that it may still be sent to.
      send_count: How often it was sent to a server, or passed on.
      has_retry_permit: Whether the limit on retries has admitted a further send.
      no_connections: To how many servers in a row it got no connection.
      unreached: The servers to which it got none.
      is_relaying: Whether the attempt in progress is one of another process.
      was_refused_elsewhere: Whether another process refused it.
      may_have_run: Whether a server may have run it.
      is_unanswered: Whether it was sent and the outcome of that attempt is not known yet.
      last_event_id: The id of the last event of its stream that was passed on.
      may_be_over: Whether its stream may have no further events.
      origin_id: The id by which the stream is known if its caller continues it.
      fallback: A complete answer with a server error, returned if nothing better follows.
      complete: The last complete answer, which is delivered even if its evaluation fails.
      reason: Why the last attempt failed.
      in_flight: The attempt in progress as placement knows it.
      has_head: Whether the attempt in progress has brought the head of a response.
      server: The server of the last attempt.
      attempt_begun_at: When that attempt began, None before the first one.
      is_sending: Whether it is in progress.
      observer: Learns what the last attempt shows of its server's version.
      relayed: Its stream in the attempt in progress or the last one, None if it cannot be moved.
    """

    def __init__(
        self,
        parts: Parts,
        req: CallerRequest,
        route: Route,
        account: ClientAccount | None,
        reply: Reply,
        received_at: datetime.timedelta,
        passed_on: PassedOn | None = None,
        waits: WaitTimes | None = None,
    ):
        self.parts = parts
        self.req = req
        self.route = route
        self.account = account
        self.reply = reply
        self.received_at = received_at
        limit = min(route.timeout, req.timeout) if req.timeout is not None else route.timeout
        self.deadline = received_at + limit
        self.passed_on = passed_on
        self.waits = waits or WaitTimes(parts.clock)
        self.max_attempts = route.max_attempts
        if passed_on is not None:
            self.max_attempts = min(route.max_attempts, passed_on.max_attempts)
        self.service = choose_service(route, req.id)
        account_name = account.name if account is not None else None
        self.crash_watch = CrashWatch(parts.crashes, parts.clock, req, account_name)
        self.servers = EligibleServers(parts, self.service, route.name)
        self.send_count = 0
        self.has_retry_permit = False
        self.no_connections = 0
        self.unreached: set[str] = set()
        self.is_relaying = False
        self.was_refused_elsewhere = False
        self.may_have_run = False
        self.is_unanswered = False
        self.last_event_id = req.last_event_id
        self.may_be_over = False
        self.origin_id = req.resumes or req.id
        self.fallback: Whole | None = None
        self.complete: Whole | StreamWhole | None = None
        self.reason = "nothing was tried"
        self.in_flight: InFlightRequest | None = None
        self.has_head = False
        self.server: ServerEntry | None = None
        self.attempt_begun_at: datetime.timedelta | None = None
        self.is_sending = False
        self.observer = AttemptObserver()
        self.relayed: RelayedStream | None = None
        self._usage_counted = False

    @property
    def time_limit(self) -> datetime.timedelta:
        """The time from the request's arrival to its deadline."""
        return self.deadline - self.received_at

    @property
    def was_passed_on(self) -> bool:
        """Whether another process passed the request on."""
        return self.passed_on is not None

    def statement_headers(self, not_executed: bool) -> list[tuple[bytes, bytes]]:
        """Returns the headers that tell the process that passed it on what became of it, if any.

        Args:
          not_executed: Whether no server has executed it or will execute it.
        """
        if self.passed_on is None:
            return []
        return self.passed_on.statement_headers(not_executed, self.send_count)

    def time_left(self) -> datetime.timedelta:
        """Returns the time to the deadline.

        Raises:
          DeadlineExceededError: If too little is left for a server to respond.
        """
        left = self.deadline - self.parts.clock.monotonic()
        if left < MIN_TIME_LEFT:
            raise DeadlineExceededError()
        return left

    def priority(self) -> int | None:
        """Returns the engine priority, by the account's rank first and the route's second."""
        if self.req.generation is None:
            return None
        rank = max(0, self.route.rank)
        if self.account is not None and self.account.rank is not None:
            rank = ACCOUNT_RANK_STEP * max(0, self.account.rank) + min(rank, LOWEST_ROUTE_RANK)
        return min(LOWEST_PRIORITY, rank)

    def is_still_allowed(self) -> bool:
        """Returns whether the request may still be sent, by its key and its route.

        A stream whose first events its caller has goes on, as it would have at its server.
        """
        return self.reply.has_begun or self.parts.active_configuration.still_allowed(self.req)

    def continues_stream(self) -> bool:
        """Returns whether its caller has received a part of its stream before."""
        return self.route.kind is RouteKind.STREAM and self.req.last_event_id is not None

    def count_send(self) -> None:
        """Counts that it is about to be sent to a server, or passed on."""
        self.send_count += 1
        self.has_retry_permit = False

    def allow_unreached(self) -> None:
        """Allows the servers again to which it got no connection."""
        self.servers.tried -= self.unreached
        self.unreached.clear()
        self.no_connections = 0

    def count_usage(self) -> None:
        """Counts, once for each request, that a server has begun to run it."""
        if self.account is not None and not self._usage_counted:
            self._usage_counted = True
            self.parts.usage.count(self.account.name, self.parts.clock.now())

    def log_caller_left(self) -> None:
        """Logs that the caller left, and where the attempt in progress was."""
        now = self.parts.clock.monotonic()
        sent_at = self.attempt_begun_at
        self.log(
            "caller_left",
            server=self.server.name if self.server is not None else None,
            is_sending=self.is_sending,
            has_head=self.has_head,
            sends=self.send_count,
            last_event=self.last_event_id,
            moving=self.relayed is not None and self.relayed.moving is not None,
            relaying=self.is_relaying,
            attempt_ms=milliseconds(now - sent_at) if sent_at is not None else None,
            took_ms=milliseconds(now - self.received_at),
        )

    def log(self, event: str, **fields) -> None:
        """Writes an event of this request to the log."""
        self.parts.log.write(
            event,
            request=self.req.id,
            route=self.route.name,
            configuration=self.parts.active_configuration.version,
            **fields,
        )
