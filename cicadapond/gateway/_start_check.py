"""Finds out whether a server is still the start that is listed, by asking it.

The server table may be old: the store is out of reach, this process stood still, or the entry of a
new start is not written yet.
"""

import asyncio
import datetime
import enum
import typing

import attrs

from cicadapond.gateway._engine_calls import AnotherServer, EngineCalls, NotReached
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._request import milliseconds
from cicadapond.gateway._starts import MAX_ANSWER_AGE, MAX_STATED
from cicadapond.kernel import TaskGroup
from cicadapond.serving import ServerEntry

ANSWER_TIMEOUT = datetime.timedelta(milliseconds=250)
# How often a server is asked on behalf of streams that have begun there.
ANSWER_INTERVAL = datetime.timedelta(milliseconds=200)
# How often a request that waits for the table tries again after a read that failed.
RETRY_INTERVAL = datetime.timedelta(milliseconds=100)


class StartState(enum.Enum):
    """What is known of the start that an entry names."""

    CONFIRMED = "confirmed"
    NOT_REACHED = "not reached"
    UNKNOWN = "unknown"
    SUPERSEDED = "superseded"


@attrs.frozen
class _Answer:
    """What a server has said of its start.

    Attributes:
      state: What follows from it.
      reason: Why that is not known, "" if it is.
    """

    state: StartState
    reason: str = ""


class StartCheck:
    """Asks servers which start they are.

    Args:
      parts: The components of this process.
      calls: The calls to servers.
      tasks: Runs the checks.
    """

    def __init__(self, parts: Parts, calls: EngineCalls, tasks: TaskGroup):
        self._parts = parts
        self._calls = calls
        self._tasks = tasks
        self._asking: dict[str, asyncio.Task[_Answer]] = {}
        # What servers that did not state their start answered last, and when they were asked.
        self._unstated: dict[str, tuple[datetime.datetime, _Answer]] = {}
        # The starts that are asked on behalf of streams, and those to be asked once more.
        self._watched: set[str] = set()
        self._wanted: set[str] = set()

    async def check(self, entry: ServerEntry) -> StartState:
        """Returns whether a request that needs an entry's software may be sent by the entry.

        A server that does not say is taken for the listed start if the table is of this moment, and
        no crash of that start is known.
        """
        parts = self._parts
        if parts.starts.is_just_confirmed(entry):
            return StartState.CONFIRMED
        answer = self._recent_answer(entry) or await self._ask(entry)
        state = answer.state
        if state is StartState.UNKNOWN and await self.listed((entry,)):
            state = StartState.CONFIRMED
        parts.metrics.count("start_checks", outcome=state.value)
        if state in (StartState.NOT_REACHED, StartState.SUPERSEDED):
            self._log_not_confirmed(entry, state, answer.reason)
        return state

    async def has_restarted(self, entry: ServerEntry) -> bool:
        """Returns whether a server says that it is another start than that of an entry."""
        return (await self._ask(entry)).state is StartState.SUPERSEDED

    async def listed(
        self,
        entries: typing.Sequence[ServerEntry],
        until: datetime.timedelta | None = None,
    ) -> list[ServerEntry]:
        """Returns the entries whose starts may be taken for those that answer, by the table.

        A table that is older by less than it takes a server to start again tells as much as one of
        this moment.

        Args:
          entries: Entries of servers that did not say which start they are.
          until: The monotonic time up to which to wait for a read of the table; None to wait for
            one call, if that is permitted.
        """
        parts, clock = self._parts, self._parts.clock
        while True:
            await parts.refresh_servers(clock.monotonic() - MAX_ANSWER_AGE, until)
            # A copy that was waited for may be old when it comes.
            is_current = parts.registry.is_current_as_of(clock.monotonic() - MAX_ANSWER_AGE)
            if is_current or until is None or clock.monotonic() >= until:
                break
            await clock.sleep(RETRY_INTERVAL)
        now = clock.now()
        found = [
            entry
            for entry in entries
            if is_current
            and parts.registry.takes_requests(entry)
            and parts.starts.is_version_sure(entry, now)
        ]
        for entry in entries if until is not None else ():
            if entry not in found and entry.start in self._unstated:
                reason = self._unstated[entry.start][1].reason
                self._log_not_confirmed(entry, StartState.UNKNOWN, reason)
        return found

    def check_soon(self, entry: ServerEntry) -> None:
        """Asks a server on behalf of the streams that have begun there by now."""
        self._wanted.add(entry.start)
        if entry.start not in self._watched:
            self._watched.add(entry.start)
            self._tasks.spawn(self._watch(entry), "check start")

    async def _watch(self, entry):
        try:
            while entry.start in self._wanted:
                while entry.start in self._asking:  # it was asked before
                    await asyncio.wait((self._asking[entry.start],))
                self._wanted.discard(entry.start)
                await self._ask(entry)
                await self._parts.clock.sleep(ANSWER_INTERVAL)
        finally:
            self._watched.discard(entry.start)

    def _log_not_confirmed(self, entry, state, reason):
        age = self._parts.registry.age()
        self._parts.log.write(
            "start_not_confirmed",
            server=entry.start,
            state=state.value,
            reason=reason,
            servers_ms=milliseconds(age) if age is not None else None,
        )

    def _recent_answer(self, entry):
        """Returns what a server that states no start answered a moment ago, None if nothing."""
        if entry.start not in self._unstated:
            return None
        asked_at, answer = self._unstated[entry.start]
        return answer if asked_at >= self._parts.starts.word_holds_since(entry) else None

    async def _ask(self, entry):
        """Asks a server; those who ask while a call is in progress share it."""
        task = self._asking.get(entry.start)
        if task is None:
            task = self._tasks.spawn(self._call(entry), "ask for a start")
            self._asking[entry.start] = task
        return await asyncio.shield(task) or _Answer(StartState.UNKNOWN, "the call failed")

    async def _call(self, entry):
        parts = self._parts
        asked_at = parts.clock.now()
        try:
            answer = await self._calls.ask_start(entry, ANSWER_TIMEOUT)
        finally:
            del self._asking[entry.start]
        if isinstance(answer, NotReached):
            return _Answer(StartState.NOT_REACHED)
        if isinstance(answer, AnotherServer):
            parts.registry.mark_closed(entry)
            parts.pool.drop_server(entry.name)
            parts.log.write("server_is_another", server=entry.name)
            return _Answer(StartState.SUPERSEDED, "another server has its address")
        if answer.born is None or (answer.born and not entry.born):
            unstated = _Answer(StartState.UNKNOWN, answer.reason or "its entry has no start")
            self._unstated.pop(entry.start, None)
            self._unstated[entry.start] = asked_at, unstated
            while len(self._unstated) > MAX_STATED:
                del self._unstated[next(iter(self._unstated))]
            return unstated
        parts.starts.record_stated(entry, answer.born, asked_at)
        if parts.starts.is_confirmed(entry, asked_at):
            return _Answer(StartState.CONFIRMED)
        if answer.born > entry.born and parts.crashes.crashed_at(entry.start) is None:
            began = datetime.datetime.fromtimestamp(answer.born / 1000, datetime.UTC)
            parts.crashes.record_server_restarted(entry.start, began)
            parts.publish_soon()
        parts.log.write("server_is_another_start", server=entry.start, born=answer.born)
        return _Answer(StartState.SUPERSEDED)
