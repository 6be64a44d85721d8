"""Durable requests: accepted once they are stored, and run to completion by some entry.

Their callers do not wait for the answer and can fetch or stream it from any entry.
"""

import asyncio
import collections.abc
import functools

import attrs
from absl import logging

from cicadapond.data import Completion, Finished, Token
from cicadapond.entry._completion_run import STATUS_VERSION_RETIRED
from cicadapond.entry._parts import Parts
from cicadapond.entry._sink import CompletionSink
from cicadapond.journal import (
    Journal,
    JournalSettings,
    RequestReader,
    RequestRow,
    RequestState,
    journal_sweep_plan,
)
from cicadapond.kernel import Failed, NotRun, Ok, Task, TaskGroup, Unavailable, Unknown
from cicadapond.peer import MemberState
from cicadapond.provider import TableSweep

STATUS_NOT_FOUND = 404
STATUS_NOT_IMPLEMENTED = 501
STATUS_VERSION_CHANGED = 409
RunCompletion = collections.abc.Callable[
    [Completion, CompletionSink, tuple[str, ...], str],
    collections.abc.Awaitable[Ok[Finished] | NotRun | Failed],
]


@attrs.frozen
class DurableRequest:
    """A durable request as its caller sees it.

    `tokens` are the stored tokens in order: the complete answer once `state` is DONE.
    """

    row: RequestRow
    tokens: tuple[str, ...]

    @property
    def state(self) -> RequestState:
        """The request's stored state."""
        return self.row.state


class DurableRequests:
    """The durable requests of one entry.

    Args:
      parts: The entry's shared components.
      run_completion: Generates a completion, given the tokens that exist already and the model
        version that generated them ("" if there are none).
      cfg: The journal's settings.
      process: The entry's name.
    """

    def __init__(
        self,
        parts: Parts,
        run_completion: RunCompletion,
        cfg: JournalSettings | None = None,
        process: str = "entry",
    ):
        self._parts = parts
        self._cfg = cfg or JournalSettings()
        self._run_completion = run_completion
        self._tasks = TaskGroup()
        self._runs: dict[str, asyncio.Task] = {}
        self._slots = asyncio.Semaphore(self._cfg.max_running)
        self._journal = None if parts.journal_tables is None else self._make_journal(process)

    def start(self) -> None:
        """Starts the tasks that write the journal, adopt requests and remove expired rows."""
        if self._journal is None:
            return
        parts = self._parts
        sweep = TableSweep(
            journal_sweep_plan(self._cfg),
            parts.statistics_tables or parts.journal_tables,
            parts.objects,
            parts.clock,
            parts.metrics,
            parts.rng,
        )
        self._tasks.start(_LoopTask("journal-writes", self._journal.write_loop))
        adopt = functools.partial(self._journal.adopt_loop, self._free_capacity)
        self._tasks.start(_LoopTask("journal-adoption", adopt))
        self._tasks.start(sweep)

    async def stop(self) -> None:
        """Cancels all runs and releases their requests with the tokens, for adoption at once."""
        await self._cancel_runs(tuple(self._runs))
        if self._journal is not None:
            await self._journal.release()
        await self.close()

    async def close(self) -> None:
        """Stops everything without releasing requests, as if the process had died."""
        await self._cancel_runs(tuple(self._runs))
        await self._tasks.stop()

    def state(self) -> dict:
        """Returns the journal's state, for a dump."""
        return {} if self._journal is None else self._journal.state()

    async def accept(self, req: Completion) -> Ok[str] | NotRun | Unknown:
        """Accepts a request; see `Journal.accept`."""
        if self._journal is None:
            reason = "this deployment has no table service to keep requests in"
            return NotRun(reason, status=STATUS_NOT_IMPLEMENTED)
        return await self._journal.accept(req)

    async def lookup(self, request_id: str, account: str) -> Ok[DurableRequest] | NotRun:
        """Returns a request's stored state and tokens.

        Args:
          request_id: The request.
          account: The account that must own it.
        """
        reader = self._reader(request_id)
        row = None if reader is None else await reader.poll()
        refusal = _refusal(row, request_id, account)
        if refusal is not None:
            return refusal
        return Ok(DurableRequest(row.value, tuple(reader.tokens)))

    async def follow(
        self,
        request_id: str,
        account: str,
        sink: CompletionSink,
        after: int = 0,
        version: str = "",
    ) -> Ok[Finished] | NotRun | Failed:
        """Streams a request's stored tokens, whichever entry runs it.

        Only stored tokens are delivered, since a new owner continues after these and could generate
        others in place of the rest.

        Args:
          request_id: The request.
          account: The account that must own it.
          sink: Takes the tokens.
          after: How many tokens the caller has already.
          version: The model version that generated those, "" if the caller does not say.

        Returns:
          Ok once all tokens have been delivered, NotRun, or Failed. It is also Failed if the answer
          was restarted with another version after the caller had received tokens.
        """
        reader = self._reader(request_id)
        row = None if reader is None else await reader.poll()
        refusal = _refusal(row, request_id, account)
        if refusal is not None:
            return refusal
        while True:
            if isinstance(row, Ok) and row.value is None:
                return NotRun(f"no request {request_id!r}", status=STATUS_NOT_FOUND)
            if isinstance(row, Ok):
                if after and version and reader.version != version:
                    return Failed(
                        "the answer began again with another version", STATUS_VERSION_CHANGED
                    )
                version = reader.version
                sink.set_version(version)
                after = await _send_new_tokens(sink, row.value.epoch, reader.tokens, after)
                end = _final_outcome(row.value, reader.tokens)
                if end is not None:
                    return end
            after = await self._follow_locally(request_id, sink, after, version)
            await self._parts.clock.sleep(self._cfg.poll_interval)
            row = await reader.poll()

    async def _follow_locally(self, request_id, sink, after, version):
        """Streams for as long as this process runs the request and its version is unchanged.

        Returns:
          How many tokens the caller has then.
        """
        journal = self._journal
        while (tokens := journal.durable_tokens(request_id)) is not None:
            if journal.version(request_id) != version:
                return after
            after = await _send_new_tokens(sink, 0, tokens, after)
            if journal.durable_tokens(request_id) == tokens:
                await journal.wait_for_progress(request_id)
        return after

    # Running

    def _make_journal(self, process):
        parts = self._parts
        return Journal(
            parts.journal_tables,
            parts.objects,
            self._cfg,
            parts.clock,
            parts.metrics,
            parts.rng,
            process,
            self._process_count,
            self._dead_processes,
            self._start_run,
            self._cancel_lost_runs,
        )

    def _process_count(self):
        members = self._parts.peers.members()
        return 1 + sum(member.state is MemberState.ALIVE for member in members)

    def _dead_processes(self):
        members = self._parts.peers.members()
        dead = (MemberState.DEAD, MemberState.LEFT)
        return {member.name for member in members if member.state in dead}

    def _free_capacity(self):
        return self._cfg.max_open - self._journal.open_requests

    def _reader(self, request_id):
        parts = self._parts
        if parts.journal_tables is None:
            return None
        return RequestReader(parts.journal_tables, parts.objects, request_id)

    def _start_run(self, req, tokens):
        request_id = req.request_id
        run = self._tasks.spawn(self._run_until_final(req), f"durable {request_id}")
        self._runs[request_id] = run
        run.add_done_callback(lambda done: self._remove_run(request_id, done))

    def _remove_run(self, request_id, run):
        if self._runs.get(request_id) is run:
            del self._runs[request_id]

    def _cancel_lost_runs(self, request_ids):
        for request_id in request_ids:
            if request_id in self._runs:
                self._runs[request_id].cancel()

    async def _cancel_runs(self, request_ids):
        runs = [self._runs[request_id] for request_id in request_ids]
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    async def _run_until_final(self, req):
        backoff = self._cfg.first_backoff
        while True:
            async with self._slots:
                outcome = await self._run_once(req)
            if await self._record_if_final(req, outcome):
                return
            wait = getattr(outcome, "retry_after", None) or backoff
            await self._parts.clock.sleep(wait * (0.5 + self._parts.rng.random()))
            backoff = min(2 * backoff, self._cfg.longest_backoff)

    async def _run_once(self, req):
        tokens = self._journal.tokens(req.request_id)
        if tokens is None:
            return None
        sink = _JournalSink(self._journal, req.request_id, len(tokens))
        version = self._journal.version(req.request_id)
        try:
            return await self._run_completion(req, sink, tokens, version)
        except Exception as exc:
            self._parts.metrics.count("durable_run_errors")
            logging.exception("durable request %s failed to run", req.request_id)
            return NotRun(f"the run ended in {exc!r}")

    async def _record_if_final(self, req, outcome):
        term = self._parts.intent().policies.durable_term
        if not self._journal.owns(req.request_id):
            return True
        match outcome:
            case Ok(finished) if finished.length == len(self._journal.tokens(req.request_id)):
                await self._journal.finish(req.request_id, finished, term)
                return True
            case Failed(_, status) if status == STATUS_VERSION_RETIRED:
                self._parts.metrics.count("durable_restarts")
                self._journal.set_model_version(req.request_id, "")
                return False
            case Failed(reason, status):
                self._journal.fail(req.request_id, reason, status, term)
                return True
        return False


class _LoopTask(Task):
    """A coroutine function that runs until it is cancelled."""

    def __init__(self, name, loop):
        self.name = name
        self._loop = loop

    async def run(self):
        await self._loop()


class _JournalSink(CompletionSink):
    """Appends tokens to the journal, in order and each once."""

    def __init__(self, journal, request_id, length):
        self._journal = journal
        self._request_id = request_id
        self._length = length

    def set_version(self, version):
        if self._journal.owns(self._request_id):
            self._journal.set_model_version(self._request_id, version)

    async def tokens(self, tokens):
        new_tokens = []
        for token in tokens:
            if token.sequence == self._length:
                new_tokens.append(token.text)
                self._length += 1
        if new_tokens and self._journal.owns(self._request_id):
            self._journal.append(self._request_id, tuple(new_tokens))


def _refusal(row, request_id, account):
    if row is None:
        return NotRun("this deployment keeps no requests", status=STATUS_NOT_IMPLEMENTED)
    if isinstance(row, Unavailable):
        return NotRun(row.reason, row.retry_after)
    if row.value is None or row.value.request.account != account:
        return NotRun(f"no request {request_id!r}", status=STATUS_NOT_FOUND)
    return None


async def _send_new_tokens(sink, epoch, tokens, after):
    new_tokens = tuple(Token(epoch, n, tokens[n]) for n in range(after, len(tokens)))
    if new_tokens:
        await sink.tokens(new_tokens)
    return max(after, len(tokens))


def _final_outcome(row, tokens):
    match row.state:
        case RequestState.DONE:
            return Ok(Finished(row.epoch, len(tokens), *row.finish))
        case RequestState.FAILED:
            return Failed(row.reason, row.status)
    return None
