"""Decides whether a request may be sent once more, for how long a server may be silent, and what is
returned if no further server is tried.
"""

import datetime

from cicadapond.forwarding import SilenceTimeouts
from cicadapond.gateway._request import RequestState
from cicadapond.kernel import Failed, NotRun, Unknown

# While a request may still be retried, an attempt times out if no response has begun after the
# longer of these multiples of the route's objective and of the expected time to the response; at
# the latest after this share of the request's time, to leave time for a retry, but not before the
# minimum.
ANSWER_TIMEOUT_OBJECTIVES = 2.5
ANSWER_TIMEOUT_EXPECTATIONS = 3.0
ANSWER_TIMEOUT_SHARE = 0.4
MIN_ANSWER_TIMEOUT = datetime.timedelta(milliseconds=350)
# Maximum gap between stream events, while the request may still be retried, if the server no longer
# accepts connections.
EVENT_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Callers abandon a stream after a gap between events of the longest of: this minimum, and these
# multiples of the route's objective and of its `max_event_gap`.  While the request may still be
# retried, an attempt at a reachable server that is only slow is given up after this share of that
# gap.
MIN_CALLER_GAP_LIMIT = datetime.timedelta(seconds=2)
CALLER_GAP_LIMIT_OBJECTIVES = 4
CALLER_GAP_LIMIT_PAUSES = 8
CALLER_GAP_LIMIT_SHARE = 0.85
# Retry-After values: for a transient shortage, for a process that is ending, and when no request
# could be sent to any server.
SHORT_RETRY_AFTER = datetime.timedelta(milliseconds=250)
# Short, as another process accepts the caller's next connection.
STOPPING_RETRY_AFTER = datetime.timedelta(milliseconds=50)
NO_SERVER_RETRY_AFTER = datetime.timedelta(seconds=1)
# A request on trial takes about this long to show whether requests like it crash servers.
SUSPECT_RETRY_AFTER = datetime.timedelta(seconds=1.5)
INTERNAL_ERROR = "an internal error"


class Retries:
    """The limits on further attempts of one request.

    Args:
      state: The request.
    """

    def __init__(self, state: RequestState):
        self._state = state
        self._parts = state.parts

    def refusal(self):
        """Returns the outcome if no further server may be tried, else None."""
        contained = self.contained_outcome()
        if contained is not None:
            return self.failure_outcome() if self._state.may_have_run else contained
        if not self._state.is_still_allowed():
            if self._state.may_have_run:
                return self.failure_outcome()
            return NotRun("the client account can no longer be checked", SHORT_RETRY_AFTER)
        return None

    def contained_outcome(self):
        """Returns the outcome if the request crashes servers, or may do so, else None."""
        cause = self._state.crash_watch.find_cause()
        if cause is None:
            return None
        if not self._state.send_count and self._state.crash_watch.begin_trial(cause):
            self._state.log("trial", cause=cause)
            return None
        if not self._state.crash_watch.is_convicted(cause):
            self._parts.metrics.count("requests_suspected", service=self._state.service)
            self._state.log("suspected", cause=cause)
            return NotRun("this request may crash servers", SUSPECT_RETRY_AFTER)
        self._parts.metrics.count("requests_contained", service=self._state.service)
        self._state.log("contained", cause=cause)
        return Failed("this request crashes servers", status=500)

    def may_try_again(self):
        """Returns whether the request may be sent once more.

        The limit on retries is asked once for each further send: attempts that find no connection
        take nothing from it.
        """
        if self._state.send_count == 0:
            return True
        if self._state.send_count >= self._state.max_attempts:
            return False
        if self._state.reply.has_begun and self._state.last_event_id is None:
            return False  # no server could tell where to go on
        if self._state.may_have_run and (
            not self._state.route.repeatable or self._state.crash_watch.is_on_trial
        ):
            return False
        if self._state.has_retry_permit:
            return True
        allowed = self._parts.retry_limiter.allow(self._state.service, self._parts.processes())
        if not allowed:
            self._state.log("repeat_denied", service=self._state.service)
        self._state.has_retry_permit = allowed
        return allowed

    def silence_limits(self, expected):
        """Returns the time limits for a server that sends nothing.

        There are none if the request will not be retried; they are longer if a late response is
        expected.
        """
        if (
            not self._state.route.repeatable
            or self._state.send_count + 1 >= self._state.max_attempts
        ):
            return SilenceTimeouts()
        limit = ANSWER_TIMEOUT_SHARE * (self._state.time_limit)
        first = max(
            ANSWER_TIMEOUT_OBJECTIVES * self._state.route.objective,
            ANSWER_TIMEOUT_EXPECTATIONS * expected,
        )
        gap_limit = max(
            MIN_CALLER_GAP_LIMIT, CALLER_GAP_LIMIT_OBJECTIVES * self._state.route.objective
        )
        if self._state.route.max_event_gap is not None:
            gap_limit = max(gap_limit, CALLER_GAP_LIMIT_PAUSES * self._state.route.max_event_gap)
        return SilenceTimeouts(
            max(MIN_ANSWER_TIMEOUT, min(first, limit)),
            EVENT_TIMEOUT,
            max(EVENT_TIMEOUT, CALLER_GAP_LIMIT_SHARE * gap_limit),
        )

    def failure_outcome(self):
        if self._state.fallback is not None:
            return self._state.fallback
        if self._state.may_have_run:
            return Unknown(self._state.reason, status=502)
        wait = self._state.servers.retry_after(self._state.req.id)
        if wait is None:
            wait = NO_SERVER_RETRY_AFTER if self._state.send_count == 0 else SHORT_RETRY_AFTER
        return NotRun(self._state.reason, wait)

    def timeout_outcome(self):
        if self._state.fallback is not None:
            return self._state.fallback
        if self._state.send_count or self._state.may_have_run:
            return Unknown("the time limit passed", status=504)
        return NotRun("no server could take it within its time", None)

    def error_outcome(self):
        """Returns the outcome of a request whose handling raised an unexpected error.

        A complete answer is delivered.  That nothing was sent is known of a request that was not
        counted as sent, and of no other.
        """
        if self._state.complete is not None:
            return self._state.complete
        if self._state.send_count or self._state.may_have_run:
            return Unknown(INTERNAL_ERROR, status=502)
        return NotRun(INTERNAL_ERROR, SHORT_RETRY_AFTER)

    def stopped_outcome(self):
        """Returns the outcome of a request that is ended because this process stops."""
        if self._state.fallback is not None:
            return self._state.fallback
        if self._state.may_have_run or self._state.is_unanswered:
            return Unknown("this process is ending", status=504)
        return NotRun("this process is ending", STOPPING_RETRY_AFTER)
