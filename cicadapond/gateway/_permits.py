"""The calls between processes by which permits of servers' limits are handed on.

Each process asks the keepers for what it lacks, asks the owners as a keeper, and answers both.
"""

import abc
import asyncio
import contextlib
import datetime
import typing

from absl import logging

from cicadapond.advisories import ServerAdvisories
from cicadapond.credits import (
    Ask,
    PermitKeeper,
    read_ask,
    read_ask_reply,
    read_lend,
    read_lend_reply,
)
from cicadapond.eventlog import EventLog
from cicadapond.gateway._cluster import Cluster
from cicadapond.kernel import Clock, Metrics, Task
from cicadapond.peer import rank

TOPIC = "permits"
# A process asks for a server this often, and for a request that waits after the shorter time.
ASK_INTERVAL = datetime.timedelta(milliseconds=250)
MIN_ASK_INTERVAL = datetime.timedelta(milliseconds=100)
# How often a keeper looks for loans whose frame has begun.
TICK_INTERVAL = datetime.timedelta(milliseconds=20)
# Calls take 2 to 4 ms; a host that is 2.5 times slower for 600 ms still answers within this time.
CALL_TIMEOUT = datetime.timedelta(milliseconds=150)
# A process that did not answer is not asked as a keeper for this long.
KEEPER_RETRY_DELAY = datetime.timedelta(seconds=3)
# How many processes are tried as keepers, by rank: more than a deputy as some may be of an earlier
# build, which does not answer.
KEEPER_CANDIDATES = 8
# A keeper that has changed, or none, is logged at most this often for each server.
KEEPER_LOG_INTERVAL = datetime.timedelta(seconds=10)


class PermitCalls(abc.ABC):
    """Carries calls to other processes."""

    @abc.abstractmethod
    async def call(self, process: str, payload: list, timeout: datetime.timedelta) -> object | None:
        """Returns the reply of a process, None if none came in time or it knows no such call."""


class ClusterCalls(PermitCalls):
    """Carries the calls on the connections between the processes."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    async def call(self, process, payload, timeout):
        return await self._cluster.query(process, TOPIC, payload, timeout)


class PermitExchange(Task):
    """One process's part in handing on permits: as borrower, as keeper and as owner.

    Args:
      process: This process's name.
      advisories: Has the permits of this process.
      calls: Carries the calls.
      live: Returns the names of the live processes, this one included.
      clock: The clock; its monotonic time also runs while the host is suspended.
      log: The event log.
      metrics: Counts calls and permits.
    """

    name = "permits"

    def __init__(
        self,
        process: str,
        advisories: ServerAdvisories,
        calls: PermitCalls,
        live: typing.Callable[[], typing.Sequence[str]],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._process = process
        self._advisories = advisories
        self._calls = calls
        self._live = live
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._keeper = PermitKeeper(clock, process, advisories.owners)
        self._is_wanted = asyncio.Event()
        self._calling: set[asyncio.Future] = set()
        # By server: when it may be asked for again, while no call is under way.
        self._next_ask: dict[str, datetime.timedelta] = {}
        self._asking: set[str] = set()
        self._unreachable_until: dict[str, datetime.timedelta] = {}
        self._ranked: tuple[tuple[str, ...], dict[str, list[str]]] = ((), {})
        self._keepers: dict[str, tuple[str | None, datetime.timedelta]] = {}

    async def run(self):
        self._advisories.on_want = self._is_wanted.set
        while True:
            self._is_wanted.clear()
            asks = self._ask_keepers()
            self._ask_owners()
            if asks or self._keeper.is_active():
                with contextlib.suppress(TimeoutError):  # nothing was wanted within the interval
                    async with asyncio.timeout(TICK_INTERVAL.total_seconds()):
                        await self._is_wanted.wait()
            else:
                await self._is_wanted.wait()

    async def close(self):
        self._advisories.on_want = None
        for call in list(self._calling):
            call.cancel()
        await asyncio.gather(*self._calling, return_exceptions=True)

    def answer(self, payload: object) -> list:
        """Answers a call of another process; a malformed one gets an empty reply."""
        try:
            match payload:
                case ["ask", str(process), list(items)]:
                    replies = [self._keeper.ask(process, ask) for ask in read_ask(items)]
                    self._is_wanted.set()
                case ["lend", list(items)]:
                    replies = [self._advisories.lend(request) for request in read_lend(items)]
                case _:
                    raise ValueError("no call of this kind is known")
        except (TypeError, ValueError) as exc:
            self._report_malformed(exc)
            return []
        return [reply.as_list() for reply in replies if reply is not None]

    def state(self) -> dict:
        """Returns what this process lends and keeps, for a dump."""
        return {
            "keepers": {server: keeper for server, (keeper, _) in sorted(self._keepers.items())},
            "kept": self._keeper.state(),
        }

    # As borrower

    def _ask_keepers(self):
        """Starts the calls that are due; returns whether anything is wanted."""
        now = self._clock.monotonic()
        asks = self._advisories.asks(ASK_INTERVAL)
        due: dict[str, list[Ask]] = {}
        for ask in asks:
            if ask.server in self._asking or now < self._next_ask.get(ask.server, now):
                continue
            keeper = self._keeper_of(ask.server, now)
            if keeper is None:
                self._advisories.receive(ask, None, now, KEEPER_RETRY_DELAY)
            else:
                due.setdefault(keeper, []).append(ask)
        for keeper, wanted in due.items():
            self._asking.update(ask.server for ask in wanted)
            self._start(self._ask(keeper, wanted))
        return bool(asks)

    async def _ask(self, keeper, asks):
        payload = ["ask", self._process, [ask.as_list() for ask in asks]]
        sent_at = self._clock.monotonic()
        try:
            found = await self._call(keeper, payload, read_ask_reply)
        finally:
            self._asking.difference_update(ask.server for ask in asks)
        now = self._clock.monotonic()
        if found is None:
            self._unreachable_until[keeper] = now + KEEPER_RETRY_DELAY
            self._is_wanted.set()  # the next one by rank is asked at once
            return
        replies = {reply.server: reply for reply in found}
        for ask in asks:
            reply = replies.get(ask.server)
            got = self._advisories.receive(ask, reply, sent_at, ASK_INTERVAL)
            self._next_ask[ask.server] = now + (MIN_ASK_INTERVAL if got else ASK_INTERVAL)
            self._metrics.count("permits_asked", ask.wanted)
            self._metrics.count("permits_borrowed", got)

    def _keeper_of(self, server, now):
        """Returns the first process by rank that is not known to be out of reach."""
        live = tuple(self._live())
        if self._ranked[0] != live:
            self._ranked = (live, {})
        ranked = self._ranked[1].get(server)
        if ranked is None:
            ranked = self._ranked[1][server] = rank(f"{TOPIC} {server}", live)[:KEEPER_CANDIDATES]
        keeper = next((p for p in ranked if self._unreachable_until.get(p, now) <= now), None)
        last, logged_at = self._keepers.get(server, (None, now - KEEPER_LOG_INTERVAL))
        if last != keeper and now - logged_at >= KEEPER_LOG_INTERVAL:
            logged_at = now
            self._log.write("permit_keeper", server=server, keeper=keeper, last=last)
        self._keepers[server] = (keeper, logged_at)
        return keeper

    # As keeper

    def _ask_owners(self):
        for owner, requests in self._keeper.due().items():
            self._start(self._collect(owner, requests))

    async def _collect(self, owner, requests):
        payload = ["lend", [request.as_list() for request in requests]]
        sent_at = self._clock.monotonic()
        found = None
        try:
            found = await self._call(owner, payload, read_lend_reply)
        finally:
            lent = self._keeper.lent(owner, requests, found, sent_at)
            self._metrics.count("permits_lent", lent)

    async def _call(self, process, payload, read):
        """Returns the decoded reply of a process, None if there is none that is readable."""
        if process == self._process:
            found = self.answer(payload)
        else:
            found = await self._calls.call(process, payload, CALL_TIMEOUT)
            outcome = "answered" if found is not None else "unanswered"
            self._metrics.count("permit_calls", outcome=outcome)
        if found is None:
            return None
        try:
            return read(found)
        except (TypeError, ValueError) as exc:
            self._report_malformed(exc)
            return None

    def _report_malformed(self, exc):
        self._metrics.count("permit_calls_malformed")
        self._log.write("permit_call_malformed", reason=str(exc))

    def _start(self, coro):
        call = asyncio.ensure_future(coro)
        self._calling.add(call)
        call.add_done_callback(self._finish)

    def _finish(self, call):
        self._calling.discard(call)
        if not call.cancelled() and call.exception() is not None:
            logging.error("a call about permits failed: %r", call.exception())
