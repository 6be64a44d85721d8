"""Draws the conclusions from an attempt's outcome: for its server, and for the request."""

from cicadapond.forwarding import Broken, NotSent, Refused, StreamWhole, Whole
from cicadapond.gateway._request import RequestState
from cicadapond.gateway._retries import Retries
from cicadapond.serving import RouteKind


class Evaluation:
    """Evaluates the attempts of one request.

    Args:
      state: The request.
      retries: The limits on its attempts.
    """

    def __init__(self, state: RequestState, retries: Retries):
        self._state = state
        self._parts = state.parts
        self._retries = retries

    def evaluate(self, outcome, entry):
        """Returns the final outcome of the request, None if another server may be tried."""
        parts = self._parts
        if not isinstance(outcome, NotSent | Broken):
            parts.links.worked(entry)
        match outcome:
            case NotSent(reason=reason):
                self._state.reason = reason
                if entry is not None and reason == "no connection":
                    parts.links.failed(entry)
                    self._state.no_connections += 1
                    self._state.unreached.add(entry.name)
                    self._state.servers.tried.add(entry.name)
                return None if entry is not None else self._retries.failure_outcome()
            case Refused(reason=reason, is_misdirected=is_misdirected):
                self._state.reason = f"a server refused it: {reason}"
                self._state.servers.tried.add(entry.name)
                if is_misdirected:
                    parts.registry.mark_closed(entry)
                    parts.pool.drop_server(entry.name)
                    self._state.log("server_is_another", server=entry.name)
                return None
            case StreamWhole():
                parts.health.record_success(entry.name)
                self._state.crash_watch.complete_answer()
                return outcome
            case Whole(head=head):
                return self._evaluate_complete(outcome, head, entry)
            case Broken(was_stopped=True):
                return self._evaluate_stopped(outcome, entry)
            case Broken():
                return self._evaluate_broken(outcome, entry)
        raise AssertionError(f"unexpected outcome {outcome}")

    def _evaluate_complete(self, outcome, head, entry):
        self._state.count_usage()
        self._state.servers.tried.add(entry.name)
        self._state.may_have_run = True
        if head.load is not None:
            self._parts.placer.update_load(entry.name, head.load)
        if head.status < 500:
            self._parts.health.record_success(entry.name)
            self._state.crash_watch.complete_answer()
            return outcome
        self._server_failed(entry)
        self._state.fallback = outcome
        self._state.reply.hold(len(outcome.body))
        can_repeat = self._state.route.kind is RouteKind.IDEMPOTENT
        return None if can_repeat else outcome

    def _evaluate_broken(self, outcome, entry):
        self._state.may_have_run = True
        self._state.reason = outcome.reason
        self._state.may_be_over = outcome.may_be_whole
        self._state.servers.tried.add(entry.name)
        if outcome.was_silent and outcome.head is None:
            self._parts.links.failed(entry)
        else:
            self._server_failed(entry)
        if outcome.head is not None:
            self._state.count_usage()
        if outcome.was_closed:
            self._state.crash_watch.break_off(entry)
            self._parts.check_server(entry)
        if not self._state.route.repeatable:
            return self._retries.failure_outcome()
        return None

    def _evaluate_stopped(self, outcome, entry):
        """Evaluates a run that was stopped to be moved, or may have been; no fault of the server.

        A further attempt counts as one, and takes from the budget of retries.
        """
        self._state.may_have_run = True
        self._state.reason = f"its engine left and it could not be moved: {outcome.reason}"
        self._state.may_be_over = outcome.may_be_whole
        self._state.servers.tried.add(entry.name)
        self._state.count_usage()
        return None if self._state.route.repeatable else self._retries.failure_outcome()

    def _server_failed(self, entry):
        other_servers = tuple(
            other.name
            for other in self._parts.registry.usable(self._state.service)
            if other.name != entry.name
        )
        if self._parts.health.record_failure(entry.name, other_servers):
            self._parts.log.write("server_rests", server=entry.name, service=self._state.service)
