"""One attempt of a request: chooses a server, holds the request if need be, and sends it."""

import asyncio
import datetime

import attrs

from cicadapond.forwarding import Broken, NotSent, ResponseSink, StreamWhole, Whole
from cicadapond.gateway._request import (
    MIN_TIME_LEFT,
    DeadlineExceededError,
    RequestState,
    milliseconds,
)
from cicadapond.gateway._retries import Retries
from cicadapond.gateway._start_check import StartState
from cicadapond.gateway._stream_moves import RelayedStream
from cicadapond.kernel import NotRun
from cicadapond.placing import LONG_PREFILL_MS, should_hold
from cicadapond.queueing import Decision
from cicadapond.serving import Dispatch, MemoryHandle, RouteKind, ServerEntry

# Interval at which a held request checks again for a server that can respond in time.
HOLD_POLL_INTERVAL = datetime.timedelta(milliseconds=40)
# Interval at which a request that waits for the outcome of a rollout checks it.
OUTCOME_POLL_INTERVAL = datetime.timedelta(milliseconds=20)
# How many servers are asked for one attempt whether they are the starts that are listed.
MAX_START_CHECKS = 4
# The share of the time left to a request that it waits for the server table.
MAX_TABLE_WAIT_SHARE = 0.5
# A request waits for a server's limit to admit it if it still gets there within this share of its
# objective; else it is refused at once.
PERMIT_WAIT_SHARE = 0.5


class Sending:
    """The attempts of one request at servers.

    Args:
      state: The request.
      retries: The limits on its attempts.
      sink: Receives the answer.
    """

    def __init__(self, state: RequestState, retries: Retries, sink: ResponseSink):
        self._state = state
        self._parts = state.parts
        self._retries = retries
        self._sink = sink
        # The servers that did not say which start they are.
        self._unstated: list[ServerEntry] = []

    async def run(self):
        parts = self._parts
        await self._wait_for_rollout()
        if self._passes_queue():
            with self._state.waits.measure("queue"):
                admission = await parts.queues.admit(self._state)
            if admission.decision is Decision.REJECT:
                return NotRun(admission.reason, admission.retry_after), None
            servers = self._state.servers.candidates()
            if admission.server in servers:
                servers = [admission.server]
        else:
            with self._state.waits.measure("hold"):
                servers = await self._servers_after_hold()
        if not servers and self._state.servers.limited():
            return self._limited_outcome(), None
        self._state.time_left()  # raises if it is too late
        with self._state.waits.measure("start_check"):
            placement, is_reached = await self._place(servers)
        if not is_reached:
            return NotSent("no connection"), placement.server
        if placement is None:
            if self._state.servers.version is not None:
                self._log_version_unserved()
            return NotSent("no server takes requests"), None
        if placement.departure != "own":
            parts.metrics.count(
                "zone_departures",
                service=self._state.service,
                zone=placement.server.zone,
                reason=placement.departure,
            )
        if parts.queues is not None:
            parts.queues.record_sent(placement.request, placement.expected)
        if self._state.req.generation is not None:
            work = datetime.timedelta(milliseconds=placement.request.work_ms)
            tokens = self._state.req.generation.prompt_tokens
            parts.demand.add_prefill(self._state.service, work, tokens)
            if placement.request.work_ms >= LONG_PREFILL_MS:
                parts.publish_soon()
        return await self._send(placement, self._state.deadline - parts.clock.monotonic())

    async def _place(self, servers):
        """Chooses a server; one that must have a version is asked if it is the start listed.

        Returns:
          The placement, None if there is no server, and whether the server could be reached.
        """
        parts, state = self._parts, self._state
        until = parts.clock.monotonic() + MAX_TABLE_WAIT_SHARE * state.time_left()
        for _ in range(MAX_START_CHECKS):
            if not servers and not self._unstated:
                now = parts.clock.monotonic()
                if await state.servers.refresh_unserved(now, until):
                    servers = state.servers.candidates()
            placement = parts.placer.place(servers, state.req.generation, state.priority() or 0)
            if placement is None and self._unstated:
                break
            if placement is None or state.servers.version is None or parts.start_check is None:
                return placement, True
            try:
                start = await parts.start_check.check(placement.server)
                state.time_left()
            except BaseException:
                parts.placer.mark_ended(placement.request)
                raise
            if start is StartState.CONFIRMED:
                return placement, True
            parts.placer.mark_ended(placement.request)
            if start is StartState.NOT_REACHED:
                return placement, False
            if start is StartState.UNKNOWN:
                self._unstated.append(placement.server)
            state.servers.exclude_start(placement.server)
            servers = state.servers.candidates()
        return await self._place_unstated(until), True

    async def _place_unstated(self, until):
        """Chooses one of the servers that did not say which start they are, once the table does."""
        parts, state = self._parts, self._state
        if not self._unstated:
            return None
        listed = await parts.start_check.listed(self._unstated, until)
        self._unstated.clear()
        state.time_left()
        for entry in listed:
            state.servers.include_start(entry)
        servers = [entry for entry in state.servers.candidates() if entry in listed]
        return parts.placer.place(servers, state.req.generation, state.priority() or 0)

    async def continue_at(self, entry: ServerEntry, memory: MemoryHandle):
        """Sends a request whose run was stopped, to go on from a copy of its memory.

        It is no further attempt: the run is the same, and the engine runs nothing if the copy is
        not there.

        Args:
          entry: The engine that has the copy.
          memory: The copy.

        Returns:
          The outcome and the engine.
        """
        left = self._state.time_left()
        # Only the last tokens are prefilled, so it adds nothing to the engine's queue, and its
        # first event says nothing about prefill.
        generation = attrs.evolve(self._state.req.generation, prompt_tokens=0, parts=())
        priority = self._state.priority() or 0
        placement = self._parts.placer.place([entry], generation, priority)
        placement.request.estimate = None
        return await self._send(placement, left, memory)

    async def _send(self, placement, left, memory=None):
        parts = self._parts
        entry, self._state.in_flight = placement.server, placement.request
        self._state.server = entry
        dispatch = Dispatch(
            server=entry,
            time_left=left,
            account=self._state.account.name if self._state.account else None,
            last_event_id=self._state.last_event_id,
            priority=self._state.priority(),
            memory=memory,
            fetch_from=placement.fetch_from,
            may_be_over=self._state.may_be_over,
        )
        if placement.fetch_from is not None:
            parts.metrics.count("fetches", service=self._state.service)
        started = self._state.attempt_begun_at = parts.clock.monotonic()
        self._state.is_sending = True
        self._state.crash_watch.begin_attempt()
        self._state.has_head = False
        self._state.observer = parts.rollouts.observe(self._state.route.name, placement)
        took = outcome = None
        self._state.relayed = stream = self._enter_stream(entry)
        try:
            async with asyncio.timeout(left.total_seconds()) as timeout:
                if stream is not None:
                    stream.timeout = timeout
                outcome = await parts.attempt.run(
                    self._state.req,
                    dispatch,
                    self._sink,
                    self._retries.silence_limits(placement.expected),
                    self._state.route.repeatable,
                    lambda: self._check_send(entry, memory),
                )
            self._state.is_unanswered = False
            if isinstance(outcome, Whole | StreamWhole):
                self._state.complete = outcome
            if isinstance(outcome, Whole):
                took = parts.clock.monotonic() - started
        except TimeoutError:
            if not timeout.expired():
                raise
            if stream is None or not stream.is_cut:
                self._state.log("attempt_timed_out", server=entry.name)
                if not self._state.has_head:
                    parts.links.timed_out(entry)
                raise DeadlineExceededError() from None
            outcome = Broken("its run was moved", was_stopped=True)
        finally:
            if stream is not None:
                parts.evacuation.end_attempt(stream)
            parts.placer.mark_ended(self._state.in_flight, took)
            begun_at = self._state.in_flight.begun_at
            if begun_at is not None:
                took_answer = parts.clock.monotonic() - begun_at
                parts.demand.end_answer(self._state.service, took_answer)
            self._state.observer.end(outcome)
        self._state.is_sending = False
        parts.malformed_answers.record(entry, outcome, parts.clock.monotonic() - started)
        self._state.log(
            "attempt",
            server=entry.name,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
            status=outcome.head.status if isinstance(outcome, Whole) else None,
            reading_ms=round(self._state.in_flight.work_ms),
            expected_ms=milliseconds(placement.expected),
            first_event_ms=self._first_event_ms(started),
            took_ms=milliseconds(parts.clock.monotonic() - started),
            rate_limit=self._rate_limit(entry),
            version=entry.version,
            resumes=self._state.req.resumes,
            after_event=dispatch.last_event_id,
            events=getattr(outcome, "events", None),
            is_framed=getattr(outcome, "is_framed", None),
            moving_to=stream.destination.name if stream and stream.destination else None,
            moved_from=memory.source.name if memory is not None else None,
            fetch_from=placement.fetch_from.name if placement.fetch_from is not None else None,
            leaving_ms=self._leaving_ms(entry, started),
            **self._crash_evidence(outcome),
        )
        return outcome, entry

    async def _wait_for_rollout(self):
        """Waits while the servers that the request may be sent to would stop before it ends."""
        parts, state = self._parts, self._state
        begun = parts.clock.monotonic()
        while state.servers.must_wait(state.time_left()):
            await parts.clock.sleep(OUTCOME_POLL_INTERVAL)
        held = parts.clock.monotonic() - begun
        if held >= OUTCOME_POLL_INTERVAL:
            parts.metrics.record("rollout_held", held)
            state.log("held", held_ms=milliseconds(held), reason="a rollout is about to complete")

    def _passes_queue(self):
        """Returns whether this request waits in the queue of its service, on its first attempt."""
        return (
            self._parts.queues is not None
            and self._state.req.generation is not None
            and not self._state.send_count
            and bool(self._state.servers.candidates())
            and self._parts.queues.is_on(self._state.service)
        )

    def _crash_evidence(self, outcome):
        """Returns the log fields by which requests that crash servers can be compared."""
        if not isinstance(outcome, Broken):
            return {}
        return {
            "traits": list(self._state.crash_watch.traits),
            "writing_ms": milliseconds(self._state.crash_watch.writing_time()),
        }

    async def _servers_after_hold(self):
        """Returns the candidate servers, after holding a request that would exceed its objective.

        Requests that can still meet their objective are sent first meanwhile.
        """
        parts = self._parts
        begun = parts.clock.monotonic()
        wanted = False
        while True:
            servers = self._state.servers.candidates()
            if not servers and not wanted:
                wanted = True
                parts.advisories.want(self._state.servers.limited())
            if not servers and self._can_wait_for_permit():
                await parts.clock.sleep(HOLD_POLL_INTERVAL)
                continue
            if self._state.req.generation is None or self._state.send_count:
                return servers
            best = parts.placer.best(
                servers, self._state.req.generation, self._state.priority() or 0
            )
            if best is None:
                return servers
            expected_ms, entry = best
            expected = datetime.timedelta(milliseconds=expected_ms)
            held = parts.clock.monotonic() - begun
            if not should_hold(expected, self._state.route.objective, held, self._state.time_limit):
                break
            await parts.clock.sleep(HOLD_POLL_INTERVAL)
        if held >= HOLD_POLL_INTERVAL:
            parts.metrics.record("held", held)
            self._state.log("held", held_ms=milliseconds(held), expected_ms=milliseconds(expected))
        return [entry]

    def _rate_limit(self, entry):
        advisory = self._parts.advisories.get(entry)
        return advisory.rate_limit if advisory is not None else None

    def _first_event_ms(self, started):
        if self._state.in_flight.begun_at is None:
            return None
        return milliseconds(self._state.in_flight.begun_at - started)

    def _is_past_drain(self, entry):
        """Returns whether a server may have been leaving for longer than it accepts requests."""
        since = self._parts.registry.leaving_since(entry)
        drain = self._parts.cfg.bounds.drain
        return since is not None and self._parts.clock.monotonic() - since >= drain

    def _leaving_ms(self, entry, started):
        """Returns how long the server may have been leaving when the attempt began."""
        since = self._parts.registry.leaving_since(entry)
        return milliseconds(started - since) if since is not None else None

    def _can_wait_for_permit(self):
        """Returns whether a limited server may be sent this request well within its objective."""
        wait = self._state.servers.time_until_permit()
        waited = self._parts.clock.monotonic() - self._state.received_at
        return wait is not None and waited + wait <= PERMIT_WAIT_SHARE * self._state.route.objective

    def _log_version_unserved(self):
        """Logs that no known server may go on with a stream at its version."""
        registry, version = self._parts.registry, self._state.servers.version
        age = registry.age()
        usable = registry.usable(self._state.service)
        self._state.log(
            "version_unserved",
            version=version,
            resumes=self._state.req.resumes,
            listed=sum(entry.version == version for entry in usable),
            versions=sorted({entry.version for entry in usable}),
            servers_ms=milliseconds(age) if age is not None else None,
        )

    def _limited_outcome(self):
        """Refuses this request because of what the servers stated."""
        self._parts.metrics.count("requests_limited", service=self._state.service)
        limited, tried = self._state.servers.limited(), self._state.servers.tried
        self._state.log("limited", servers=len(limited), tried=len(tried))
        return NotSent("the servers accept no more requests at the moment")

    def _enter_stream(self, entry):
        """Returns the stream of an attempt if its engine can move it, None otherwise."""
        state, parts = self._state, self._parts
        tries, engine = 0, self._engine_limits()
        if state.relayed is not None:
            tries, engine = state.relayed.tries, state.relayed.limits
            parts.evacuation.release(state.relayed)
        if parts.evacuation is None or engine is None or engine.moves is None:
            return None
        if state.route.kind is not RouteKind.STREAM or state.req.generation is None:
            return None
        stream = RelayedStream(
            id=state.req.id,
            server=entry,
            limits=engine,
            generation=state.req.generation,
            deadline=state.deadline,
            is_resumable=state.route.resumable,
            log=state.log,
            tries=tries,
            last_event_id=state.last_event_id,
        )
        parts.evacuation.enter(stream)
        return stream

    def _engine_limits(self):
        """Returns the capacity of the engines of the request's service, None if it is not known."""
        table = self._parts.active_configuration.table
        service = table.cfg.services.get(self._state.service) if table is not None else None
        return service.engine if service is not None else None

    def _stops_too_soon(self, entry):
        """Returns whether a rollout has come so near to its completion that the request waits."""
        state = self._state
        left = state.deadline - self._parts.clock.monotonic()
        return state.servers.version is None and self._parts.rollouts.must_wait(
            state.service, state.route.name, [entry], left
        )

    def _is_start_in_doubt(self, entry):
        """Returns whether a stream that goes on at its version might go on at another one."""
        if self._state.servers.version is None:
            return False
        starts = self._parts.starts
        if starts.is_just_confirmed(entry):
            return False
        return not starts.is_version_sure(entry, self._parts.clock.now())

    def _check_send(self, entry, memory):
        """Returns the reason why the request must not be sent now; if it may be, counts the send.

        A run that goes on from a copy is no further attempt, and may go back to the engine that
        stopped it although that leaves.  It would have gone on there whatever became of its
        version.

        Returns:
          The reason, None if the request may be sent.
        """
        goes_back = memory is not None and memory.source.start == entry.start
        if not goes_back and not self._parts.registry.takes_requests(entry):
            return "the server is leaving"
        if goes_back and self._is_past_drain(entry):
            return "the engine that stopped the run has been leaving for too long"
        if memory is None and self._is_start_in_doubt(entry):
            return "the server may have started again"
        if memory is None and self._parts.rollouts.is_stopped(entry):
            return "the server's version gets no requests"
        if memory is None and self._stops_too_soon(entry):
            return "the server is about to stop"
        if not self._state.is_still_allowed():
            return "the client account can no longer be checked"
        if self._state.deadline - self._parts.clock.monotonic() < MIN_TIME_LEFT:
            return "no time is left"
        advisories = self._parts.advisories
        if advisories.is_paused(entry) if goes_back else not advisories.take(entry):
            return "the server accepts no more at the moment"
        if memory is None:
            self._state.count_send()
        self._state.is_unanswered = True
        self._parts.rollouts.record_sent(entry, self._state.route.name)
        self._state.observer.sent()
        return None
