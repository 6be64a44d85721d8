"""Passes a request on to another process, if this one does not reach the servers."""

import asyncio
import datetime

from cicadapond.forwarding import Broken, NotSent, Refused, ResponseSink, StreamWhole, Whole
from cicadapond.gateway._relay_protocol import AMBIGUOUS_STATUSES
from cicadapond.gateway._request import MIN_TIME_LEFT, DeadlineExceededError, RequestState
from cicadapond.gateway._retries import Retries
from cicadapond.serving import Dispatch

# After so many servers in a row to which it got no connection, a request is passed on.
MIN_FAILED_SERVERS = 2
# For how long a request that may have run waits while nobody reaches a server.
MAX_LINK_WAIT = datetime.timedelta(milliseconds=1500)
LINK_POLL_INTERVAL = datetime.timedelta(milliseconds=40)


class PassingOn:
    """The ways of one request over other processes.

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

    def is_due(self):
        """Returns whether another process is more likely to reach a server."""
        if self._parts.relay is None:
            return False
        lost_links = self._parts.links.is_cut_off(self._state.service)
        return lost_links or self._state.no_connections >= MIN_FAILED_SERVERS

    async def run(self):
        """Passes the request on; returns its final outcome, None if servers may still be tried."""
        if self._state.was_passed_on:
            self._state.reason = "this process does not reach a server either"
            return self._retries.failure_outcome()
        for target in self._parts.relay.targets(self._state.service, self._state.req.id):
            started = self._parts.clock.monotonic()
            outcome = await self._relay_to(target)
            took = self._parts.clock.monotonic() - started
            self._parts.malformed_answers.record(target, outcome, took)
            self._state.log("relayed", target=target.name, **_log_fields(outcome))
            final = self._evaluate_relayed(outcome)
            if final is not None:
                return final
            if not self._retries.may_try_again():
                return self._retries.failure_outcome()
        if self._state.was_refused_elsewhere:
            return await self._wait_for_links()
        if self._parts.links.cannot_serve(self._state.service):
            self._state.reason = "neither this process nor another one reaches a server"
            return await self._wait_for_links()
        return None

    async def _wait_for_links(self):
        """Waits for the links to the servers, for a request that would get 502 otherwise.

        Sound servers may all be silent for a moment, and its caller cannot be told that it has not
        run.  A request that has not run is refused at once: its caller knows when to come back.

        Returns:
          The final outcome, None if servers may be tried.
        """
        state, clock = self._state, self._parts.clock
        if state.may_have_run and state.route.repeatable:
            ends_at = min(clock.monotonic() + MAX_LINK_WAIT, state.deadline - MIN_TIME_LEFT)
            while clock.monotonic() < ends_at:
                await clock.sleep(LINK_POLL_INTERVAL)
                if not self._parts.links.is_cut_off(state.service):
                    state.allow_unreached()
                    return None
        return self._retries.failure_outcome()

    async def _relay_to(self, target):
        parts, left = self._parts, self._state.time_left()
        dispatch = Dispatch(
            server=target,
            time_left=left,
            last_event_id=self._state.last_event_id,
            max_attempts=self._state.max_attempts - self._state.send_count,
        )
        self._state.is_relaying = True
        parts.demand.end(self._state.service)  # the other process counts it
        try:
            async with asyncio.timeout(left.total_seconds()) as timeout:
                outcome = await parts.relay.attempt.run(
                    self._state.req,
                    dispatch,
                    self._sink,
                    self._retries.silence_limits(datetime.timedelta()),
                    self._state.route.repeatable,
                    self._check_relay,
                )
            self._state.is_unanswered = False
            if isinstance(outcome, StreamWhole):
                self._state.complete = outcome
            return outcome
        except TimeoutError:
            if not timeout.expired():
                raise
            raise DeadlineExceededError() from None
        finally:
            parts.demand.begin(self._state.service)
            self._state.is_relaying = False

    def _check_relay(self):
        if not self._state.is_still_allowed():
            return "the client account can no longer be checked"
        self._state.count_send()
        self._state.is_unanswered = True
        return None

    def _evaluate_relayed(self, outcome):
        match outcome:
            case Whole(head=head) if _may_be_refusal(head):
                return self._evaluate_doubtful(f"an answer {head.status} of unknown origin")
            case StreamWhole() | Whole():
                self._state.complete = outcome
                return outcome
            case NotSent(reason=reason):
                self._state.reason = reason
            case Refused(reason=reason, head=head):
                self._count_sends(head)
                self._state.was_refused_elsewhere = True
                self._state.reason = f"another process refused it: {reason}"
            case Broken(reason=reason, head=head):
                self._count_sends(head)
                return self._evaluate_doubtful(reason)
        return None

    def _count_sends(self, head):
        """Replaces the one send that passing on counts as by those that the other process made."""
        if head is not None and head.relay_sends is not None:
            self._state.send_count += head.relay_sends - 1

    def _evaluate_doubtful(self, reason):
        self._state.may_have_run = True
        self._state.reason = reason
        return None if self._state.route.repeatable else self._retries.failure_outcome()


def _log_fields(outcome):
    """Returns what tells in the log whose answer it was, and what the other process stated."""
    head = getattr(outcome, "head", None)
    return {
        "outcome": type(outcome).__name__,
        "status": head.status if head is not None else None,
        "is_signed": head.is_signed if head is not None else None,
        "sends": head.relay_sends if head is not None else None,
    }


def _may_be_refusal(head):
    """Returns whether an answer may be the refusal of a process that makes no statements."""
    return head.relay_sends is None and not head.is_signed and head.status in AMBIGUOUS_STATUSES
