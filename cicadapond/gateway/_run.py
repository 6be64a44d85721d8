"""Serves one admitted request: tries servers one after the other, and sends the final answer.

The steps are modules of their own, along a request's way: `_sending` (choose a server and send),
`_relaying` (pass the answer on), `_continuing` (go on at another engine), `_evaluation` (what an
outcome means), `_retries` (whether to go on), `_passing_on` (over another process) and
`_final_answer`.  They share a `RequestState`.
"""

import asyncio
import datetime

from cicadapond.continuation import UNKNOWN_VERSION
from cicadapond.gateway._caller import Reply
from cicadapond.gateway._continuing import Continuing
from cicadapond.gateway._evaluation import Evaluation
from cicadapond.gateway._final_answer import FinalAnswer
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._passing_on import PassingOn
from cicadapond.gateway._relay_protocol import PassedOn
from cicadapond.gateway._relaying import AnswerRelay
from cicadapond.gateway._request import (
    DeadlineExceededError,
    RequestState,
    milliseconds,
)
from cicadapond.gateway._retries import SHORT_RETRY_AFTER, Retries
from cicadapond.gateway._sending import Sending
from cicadapond.gateway._waits import WaitTimes
from cicadapond.kernel import NotRun
from cicadapond.serving import CallerRequest, ClientAccount, Route

# Server selections per request, including those after which nothing was sent.
MAX_SERVER_CHOICES = 5


class RequestRun:
    """Runs one admitted request.

    Args:
      parts: The components of this process.
      req: The request.
      route: Its route.
      account: Its client account, None if it has none.
      reply: Sends the response to the caller.
      received_at: The monotonic time at which the first byte of the request was received.
      passed_on: How another process passed it on, None if it comes from a caller.
      waits: For what it has waited so far, None for nothing.
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
        self._parts = parts
        self._state = RequestState(parts, req, route, account, reply, received_at, passed_on, waits)
        sink = AnswerRelay(self._state)
        self._retries = Retries(self._state)
        self._sending = Sending(self._state, self._retries, sink)
        self._continuing = Continuing(self._state, self._sending)
        self._passing_on = PassingOn(self._state, self._retries, sink)
        self._evaluation = Evaluation(self._state, self._retries)
        self._stop_timeout = asyncio.timeout(None)
        self._is_trying = False

    async def run(self) -> None:
        """Serves the request; the final response has been sent when this returns."""
        parts = self._parts
        contained = self._retries.contained_outcome()
        if contained is not None:
            await FinalAnswer(self._state).send(contained)
            return
        if not self._state.was_passed_on:
            parts.retry_limiter.record_request(self._state.service)
            parts.rollouts.record_request(self._state.service, self._state.route.name)
        parts.demand.begin(self._state.service)
        try:
            async with self._stop_timeout:
                self._is_trying = True
                try:
                    final = await self._try_servers()
                finally:
                    self._is_trying = False
        except DeadlineExceededError:
            final = self._retries.timeout_outcome()
        except TimeoutError:
            if not self._stop_timeout.expired():
                raise
            final = self._retries.stopped_outcome()
        finally:
            parts.demand.end(self._state.service)
            if not self._state.send_count:
                self._state.crash_watch.cancel_trial()
            if self._state.relayed is not None:
                parts.evacuation.release(self._state.relayed)
        await FinalAnswer(self._state).send(final)

    def end(self) -> None:
        """Ends the request at once, with an answer that tells whether it may have run."""
        if self._is_trying:
            self._is_trying = False
            self._stop_timeout.reschedule(asyncio.get_running_loop().time())

    async def end_after_error(self) -> None:
        """Sends the final answer after `run` has raised an unexpected error."""
        await FinalAnswer(self._state).send(self._retries.error_outcome())

    def log_caller_left(self) -> None:
        """Logs that the caller left, and where the attempt in progress was."""
        self._state.log_caller_left()

    async def _try_servers(self):
        if self._state.continues_stream() and not await self._find_version(self._state.req.resumes):
            self._log_origin_unknown(self._state.req.resumes)
            return NotRun(
                "the software version that began the stream is not known", SHORT_RETRY_AFTER
            )
        for _ in range(MAX_SERVER_CHOICES):
            refusal = self._retries.refusal()
            if refusal is not None:
                return refusal
            if self._passing_on.is_due():
                final = await self._passing_on.run()
                if final is not None:
                    return final
            if not await self._knows_version():
                self._log_origin_unknown(self._state.origin_id)
                return self._retries.failure_outcome()
            outcome, entry = await self._sending.run()
            if isinstance(outcome, NotRun):
                return outcome
            outcome, entry = await self._continuing.follow(outcome, entry)
            final = self._evaluation.evaluate(outcome, entry)
            if final is not None:
                return final
            if not self._retries.may_try_again():
                break
        return self._retries.failure_outcome()

    def _log_origin_unknown(self, first_request_id):
        origins, age = self._parts.origins, self._parts.registry.age()
        lookup = self._parts.origin_lookup
        read_age = lookup.read_age() if lookup is not None else None
        reading = lookup.reading_time() if lookup is not None else None
        may_be_another_start = (
            first_request_id is not None and origins.find(first_request_id) == UNKNOWN_VERSION
        )
        self._state.log(
            "origin_unknown",
            resumes=first_request_id,
            may_be_another_start=may_be_another_start,
            versions=sorted(self._parts.software_versions(self._state.service)),
            read_ms=milliseconds(read_age) if read_age is not None else None,
            reading_ms=milliseconds(reading) if reading is not None else None,
            waits_ms=self._state.waits.in_milliseconds(),
            told_ms={source: milliseconds(age) for source, age in origins.ages().items()},
            servers_ms=milliseconds(age) if age is not None else None,
        )

    async def _knows_version(self):
        """Returns whether it is known at which software version a stream in progress goes on.

        If another process passed its beginning on, that process tells.
        """
        if not self._state.reply.has_begun:
            return True
        if self._state.servers.version is not None:
            origins = self._parts.origins
            return origins.find(self._state.origin_id, is_in_progress=True) != UNKNOWN_VERSION
        return await self._find_version(self._state.origin_id)

    async def _find_version(self, first_request_id):
        with self._state.waits.measure("lookup"):
            return await self._state.servers.find_version(first_request_id, self._state.time_left())
