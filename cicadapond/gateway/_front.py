"""Client-facing side of the gateway: listener, request admission and graceful shutdown."""

import asyncio
import datetime
import socket

from cicadapond.forwarding import ChannelClosedError, Malformed
from cicadapond.gateway._caller import CallerConnection, Reply
from cicadapond.gateway._caller_requests import ReceivedRequest, RequestError, RequestHandler
from cicadapond.gateway._final_answer import send_local_answer
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._relay_protocol import PassedOn
from cicadapond.gateway._retries import (
    INTERNAL_ERROR,
    SHORT_RETRY_AFTER,
    STOPPING_RETRY_AFTER,
)
from cicadapond.gateway._run import RequestRun
from cicadapond.gateway._waits import WaitTimes
from cicadapond.kernel import FreeWork, raised_at
from cicadapond.routes import Admitted, BadKey, NoRoute, NotReady
from cicadapond.serving import RequestLimits

# What the system keeps until it is accepted; beyond it callers try again after seconds.
LISTEN_BACKLOG = 4096
# So many connections are accepted before those beyond the limit are closed.
ACCEPTED_AT_ONCE = 32
# The load balancer sends new connections until two readiness checks, one second apart, have failed.
BALANCER_DELAY = datetime.timedelta(seconds=3)
# For how long a process that stops accepts requests whatever their time limit.  Shorter than the
# delay, as a busy process learns of its signal late.
OPEN_STOP_DELAY = datetime.timedelta(milliseconds=2500)
# The shares of the grace period after which requests in progress are ended with an answer, and
# connections that are still in use are aborted.
ANSWER_SHARE = 0.9
GRACE_SHARE = 0.93
NOT_READY_RETRY_AFTER = datetime.timedelta(milliseconds=500)
# How long a stream that is continued waits for its account's quota.  After a restart all callers
# are back within this time, and new requests would take whatever is there.
MAX_QUOTA_HOLD = datetime.timedelta(seconds=1)
QUOTA_POLL_INTERVAL = datetime.timedelta(milliseconds=40)
# Used until the first configuration has been read.
DEFAULT_LIMITS = RequestLimits(
    header_bytes=16 * 1024,
    body_bytes=4 * 1024 * 1024,
    header_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)


class Frontend(RequestHandler):
    """Accepts callers' connections and handles their requests.

    Args:
      parts: The components of this process.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._connections: set[CallerConnection] = set()
        self._slots = parts.caller_slots
        self._free_uploads = FreeWork()
        self._runs: set[RequestRun] = set()
        self._server: asyncio.Server | None = None
        self._relay_server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts accepting connections."""
        endpoint = self._parts.cfg.frontend
        loop = asyncio.get_running_loop()
        sock = socket.create_server((endpoint.host, endpoint.port), backlog=LISTEN_BACKLOG)
        self._server = await loop.create_server(self._accept, sock=sock, backlog=ACCEPTED_AT_ONCE)
        sock.listen(LISTEN_BACKLOG)
        if len(self._parts.cfg.peers) > 1:
            relay, handler = self._parts.cfg.peers[1], _RelayedRequests(self)
            self._relay_server = await loop.create_server(
                lambda: _TrackedConnection(handler, self._parts, self._connections),
                relay.host,
                relay.port,
                backlog=LISTEN_BACKLOG,
            )

    @property
    def busy(self) -> int:
        """How many connections have a request in progress."""
        return sum(not conn.is_idle for conn in self._connections)

    def end_requests(self) -> None:
        """Ends all requests in progress, each with an answer that tells whether it may have run."""
        for run in self._runs:
            run.end()

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        for server in (self._server, self._relay_server):
            if server is not None:
                server.close()
        for conn in list(self._connections):
            if conn.is_idle:
                conn.close()
                continue
            self._parts.log.write("broken_off", request=self._request_id(conn.request_headers))
            conn.abort()

    def _accept(self):
        conn = _TrackedConnection(
            self, self._parts, self._connections, self._free_uploads, self._slots
        )
        self._parts.metrics.count("caller_connections")
        return conn

    # RequestHandler

    def limits(self):
        table = self._parts.active_configuration.table
        return table.cfg.limits if table is not None else DEFAULT_LIMITS

    def is_stopping(self):
        return self._parts.stopping_since is not None

    def on_rejected(self, headers, exc):
        self._parts.metrics.count("requests", status=exc.status)
        request_id = self._request_id(headers)
        self._parts.log.write(
            "request_unreadable", request=request_id, status=exc.status, reason=str(exc)
        )
        return self._parts.header_codec.local_response_headers(request_id, exc.retry_after)

    def on_unfinished(self, headers, exc):
        self._parts.metrics.count("callers_left")
        self._parts.log.write(
            "request_unfinished", request=self._request_id(headers), reason=str(exc)
        )

    def on_failed(self, headers, exc):
        self._parts.log.write(
            "request_failed",
            request=self._request_id(headers),
            reason=repr(exc),
            raised_at=raised_at(exc),
        )

    def _request_id(self, headers):
        return self._parts.header_codec.request_id(headers)

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        await self._handle_logged(request, reply, None)

    async def handle_relayed(self, request: ReceivedRequest, reply: Reply) -> None:
        """Responds to a request that another process passed on."""
        passed_on, request.headers = PassedOn.take(request.headers)
        await self._handle_logged(request, reply, passed_on)

    async def _handle_logged(self, request, reply, passed_on):
        req = self._parts.header_codec.parse_request(
            request.method, request.target, request.headers, request.body
        )
        if isinstance(req, Malformed):
            raise RequestError(req.status, req.reason)
        run = None
        try:
            run = await self._admit(request, req, reply, passed_on)
            if run is not None:
                self._runs.add(run)
                await run.run()
        except asyncio.CancelledError:
            self._parts.metrics.count("callers_left")
            if run is not None:
                run.log_caller_left()
            else:
                self._parts.log.write("caller_left", request=req.id, sends=0)
            raise
        except (ChannelClosedError, RequestError):
            raise
        except Exception as exc:
            await self._end_after_error(request, req, reply, passed_on, run, exc)
        finally:
            self._runs.discard(run)

    async def _end_after_error(self, request, req, reply, passed_on, run, exc):
        """Ends a request whose handling failed with an answer, if its answer is not whole yet."""
        self.on_failed(request.headers, exc)
        loop = asyncio.get_running_loop()
        loop.call_exception_handler({"message": "a request failed", "exception": exc})
        if reply.is_finished:
            return
        if run is not None:
            await run.end_after_error()
        elif not reply.has_begun:
            retry_after = SHORT_RETRY_AFTER
            await self._answer_locally(req, reply, 503, INTERNAL_ERROR, retry_after, passed_on)
        else:
            raise exc

    async def _admit(self, request, req, reply, passed_on):
        """Returns the run of a request, None if it was refused."""
        parts = self._parts
        verdict = parts.active_configuration.find(req)
        if not isinstance(verdict, Admitted):
            await self._refuse(req, verdict, reply, passed_on)
            return None
        if not self._may_accept(req, verdict.route):
            await self._refuse_stopping(req, reply, passed_on)
            return None
        if passed_on is not None and not passed_on.agrees(verdict.route, req.id):
            reason = "this process has another configuration than the one that passed it on"
            await self._answer_locally(req, reply, 503, reason, SHORT_RETRY_AFTER, passed_on)
            return None
        waits = WaitTimes(parts.clock)
        with waits.measure("quota"):
            # The process that passed the request on has taken its quota.
            wait = await self._take_quota(req, verdict) if passed_on is None else None
        if wait is not None:
            account = verdict.account
            level = parts.quotas.level(account.name)
            parts.log.write(
                "over_quota",
                request=req.id,
                resumes=req.resumes,
                account=account.name,
                rate=account.rate,
                burst=account.burst,
                level=round(level) if level is not None else None,
                wait_ms=round(wait.total_seconds() * 1000),
                part=parts.quota_share(),
                waits_ms=waits.in_milliseconds(),
            )
            await self._answer_locally(
                req, reply, 429, "the client account's quota is used up", wait
            )
            return None
        if self._ends_requests():
            await self._refuse_stopping(req, reply, passed_on)
            return None
        return RequestRun(
            parts,
            req,
            verdict.route,
            verdict.account,
            reply,
            request.received_at,
            passed_on,
            waits,
        )

    def _may_accept(self, req, route):
        """Returns whether to accept a request, as this process may be stopping.

        Shortly after the signal every request is accepted, as most finish in time; after that,
        only one whose time limit ends before requests in progress are ended.
        """
        stopping_since = self._parts.stopping_since
        if stopping_since is None:
            return True
        now = self._parts.clock.monotonic()
        if now - stopping_since < OPEN_STOP_DELAY:
            return not self._ends_requests()
        limit = min(route.timeout, req.timeout) if req.timeout is not None else route.timeout
        return now + limit < self._answers_end_at()

    def _answers_end_at(self):
        return self._parts.stopping_since + self._parts.cfg.bounds.grace * ANSWER_SHARE

    def _ends_requests(self):
        """Returns whether requests in progress are ended, as the grace period is almost over."""
        if self._parts.stopping_since is None:
            return False
        return self._parts.clock.monotonic() >= self._answers_end_at()

    async def _take_quota(self, req, verdict):
        """Returns None once the request is within its account's quota, else when it may be."""
        account = verdict.account
        if account is None:
            return None
        units = 1.0
        if account.counts_tokens:
            units = req.generation.tokens if req.generation else account.default_tokens
        if req.last_event_id is not None and verdict.route.resumable:
            return await self._take_quota_to_continue(account, units)
        return await self._parts.quota_admission.take(account, units)

    async def _take_quota_to_continue(self, account, units):
        """Does the same for a stream, which waits for a moment before it uses the overage."""
        parts = self._parts
        held_until = parts.clock.monotonic() + MAX_QUOTA_HOLD
        while True:
            wait = await parts.quota_admission.take(account, units, continues=True)
            if wait is None or parts.clock.monotonic() + wait > held_until or self._ends_requests():
                break
            await parts.clock.sleep(min(wait, QUOTA_POLL_INTERVAL))
        if wait is None:
            return None
        share = parts.quota_share()
        own_share = min(share, 1.0 / parts.processes())
        if parts.quotas.take_to_continue(account, units, own_share):
            parts.metrics.count("continued_over_quota")
            return None
        # The rest of the quota and of the overage is at processes that are not heard yet, and the
        # caller, which has few tries, comes to another one.
        return share * wait

    async def _refuse(self, req, verdict, reply, passed_on):
        match verdict:
            case NoRoute():
                status, reason, retry_after = 404, "no route", None
            case BadKey():
                status, reason, retry_after = 401, "unknown key", None
            case NotReady(reason=reason):
                status, retry_after = 503, NOT_READY_RETRY_AFTER
        await self._answer_locally(req, reply, status, reason, retry_after, passed_on)

    async def _refuse_stopping(self, req, reply, passed_on):
        reason = "this process is ending"
        await self._answer_locally(req, reply, 503, reason, STOPPING_RETRY_AFTER, passed_on)

    async def _answer_locally(self, req, reply, status, reason, retry_after, passed_on=None):
        """Refuses a request that was sent to no server."""
        age = self._parts.active_configuration.age()
        self._parts.metrics.count("requests", status=status)
        self._parts.log.write(
            "refused",
            request=req.id,
            resumes=req.resumes,
            status=status,
            reason=reason,
            configuration=self._parts.active_configuration.version,
            configuration_age_ms=round(age.total_seconds() * 1000) if age is not None else None,
        )
        headers = passed_on.statement_headers(True, 0) if passed_on is not None else []
        await send_local_answer(self._parts, reply, req.id, status, reason, retry_after, headers)


class _RelayedRequests(RequestHandler):
    """Handles the requests that other processes pass on."""

    def __init__(self, frontend: Frontend):
        self._frontend = frontend

    def limits(self):
        return self._frontend.limits()

    def is_stopping(self):
        return self._frontend.is_stopping()

    def on_rejected(self, headers, exc):
        passed_on, headers = PassedOn.take(headers)
        statement = passed_on.statement_headers(not_executed=True, sends=0) if exc.not_run else []
        return [*self._frontend.on_rejected(headers, exc), *statement]

    def on_unfinished(self, headers, exc):
        self._frontend.on_unfinished(headers, exc)

    def on_failed(self, headers, exc):
        self._frontend.on_failed(headers, exc)

    async def handle(self, request, reply):
        await self._frontend.handle_relayed(request, reply)


class _TrackedConnection(CallerConnection):
    """A caller's connection that registers itself in the set of open connections."""

    def __init__(self, handler, parts, connections, free=None, slots=None):
        super().__init__(handler, parts.clock, parts.memory, parts.processor, free, slots)
        self._connections = connections

    def connection_made(self, transport):
        self._connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc):
        self._connections.discard(self)
        super().connection_lost(exc)
