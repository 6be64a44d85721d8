"""Finds out whether a server is still the start that is listed, by asking it.

The server table may be old: the store is out of reach, this process stood still, or the entry of a
new start is not written yet.
"""

import asyncio
import datetime
import enum

import attrs

from cicadapond.gateway._engine_calls import EngineCalls, NotReached
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._request import milliseconds
from cicadapond.gateway.data import ServerEntry
from cicadapond.kernel import TaskGroup

ANSWER_TIMEOUT = datetime.timedelta(milliseconds=250)
# How often a server is asked on behalf of streams that have begun there.
ANSWER_INTERVAL = datetime.timedelta(milliseconds=200)


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
        # The starts that are asked on behalf of streams, and those to be asked once more.
        self._watched: set[str] = set()
        self._wanted: set[str] = set()

    async def check(self, entry: ServerEntry) -> StartState:
        """Returns whether a request that needs an entry's software may be sent by the entry.

        A server that does not say is taken for the listed start if the table is as new as this
        call, and no crash of that start is known.
        """
        parts, begun = self._parts, self._parts.clock.monotonic()
        if parts.starts.is_just_confirmed(entry):
            return StartState.CONFIRMED
        answer = await self._ask(entry)
        state = answer.state
        if state is StartState.UNKNOWN:
            await parts.refresh_servers(begun)
            is_listed = parts.registry.is_current_as_of(begun)
            is_listed = is_listed and parts.registry.takes_requests(entry)
            if is_listed and parts.starts.is_version_sure(entry, parts.clock.now()):
                state = StartState.CONFIRMED
        parts.metrics.count("start_checks", outcome=state.value)
        if state is not StartState.CONFIRMED:
            age = parts.registry.age()
            parts.log.write(
                "start_not_confirmed",
                server=entry.start,
                state=state.value,
                reason=answer.reason,
                servers_ms=milliseconds(age) if age is not None else None,
            )
        return state

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
        if answer.born is None:
            return _Answer(StartState.UNKNOWN, answer.reason)
        if answer.born and not entry.born:
            return _Answer(StartState.UNKNOWN, "its entry has no start")
        parts.starts.record_stated(entry, answer.born, asked_at)
        if parts.starts.is_confirmed(entry, asked_at):
            return _Answer(StartState.CONFIRMED)
        if answer.born > entry.born and parts.crashes.crashed_at(entry.start) is None:
            began = datetime.datetime.fromtimestamp(answer.born / 1000, datetime.UTC)
            parts.crashes.record_server_restarted(entry.start, began)
            parts.publish_soon()
        parts.log.write("server_is_another_start", server=entry.start, born=answer.born)
        return _Answer(StartState.SUPERSEDED)
