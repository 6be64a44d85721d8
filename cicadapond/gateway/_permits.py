"""The calls between processes by which permits of servers' limits are handed on.

Each process asks the keepers for what it lacks, asks the owners as a keeper, and answers both.
"""

import abc
import asyncio
import contextlib
import datetime
import typing

import attrs
from absl import logging

from cicadapond.advisories import ServerAdvisories
from cicadapond.credits import (
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
# How many of them are tried for a request that waits, as each takes CALL_TIMEOUT if it is gone.
MAX_TRIES = 2
# If the keepers that were asked first have nothing, so many others of a busy server are asked.
MAX_FURTHER_PARTS = 2
# A keeper that has changed, or none, is logged at most this often for each server.
KEEPER_LOG_INTERVAL = datetime.timedelta(seconds=10)
# The candidates of more servers and parts than this are ranked anew, as some servers have gone.
MAX_RANKED = 5000


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
        self._next_part: dict[str, int] = {}
        # By server and part: the candidates, and the last one and when it was logged.
        self._ranked: tuple[tuple[str, ...], dict[tuple[str, int], list[str]]] = ((), {})
        self._keepers: dict[tuple[str, int], tuple[str | None, datetime.timedelta]] = {}

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
            "keepers": {
                f"{server} {part}": keeper
                for (server, part), (keeper, _) in sorted(self._keepers.items())
            },
            "kept": self._keeper.state(),
        }

    # As borrower

    def _ask_keepers(self):
        """Starts the calls that are due; returns whether anything is wanted."""
        now = self._clock.monotonic()
        asks = self._advisories.asks(ASK_INTERVAL)
        for ask in asks:
            is_due = now >= self._next_ask.get(ask.server, now)
            if is_due and ask.server not in self._asking:
                self._asking.add(ask.server)
                self._start(self._ask(ask))
        return bool(asks)

    async def _ask(self, ask):
        """Asks the keepers of as many parts as permits are wanted, then those of all others."""
        first = self._next_part.get(ask.server, 0)
        self._next_part[ask.server] = (first + ask.wanted) % ask.parts
        asks, got = ask.divide(first), 0
        try:
            got = sum(await asyncio.gather(*map(self._ask_part, asks)))
            if not got and len(asks) < ask.parts:
                rest = [
                    attrs.evolve(asks[0], part=(first + number) % ask.parts)
                    for number in range(len(asks), min(ask.parts, len(asks) + MAX_FURTHER_PARTS))
                ]
                got = sum(await asyncio.gather(*map(self._ask_part, rest)))
        finally:
            self._asking.discard(ask.server)
            now = self._clock.monotonic()
            if not got:
                self._advisories.receive(ask, None, now, ASK_INTERVAL)
            self._next_ask[ask.server] = now + (MIN_ASK_INTERVAL if got else ASK_INTERVAL)
        self._metrics.count("permits_asked", ask.wanted)
        self._metrics.count("permits_borrowed", got)

    async def _ask_part(self, ask):
        """Asks the keeper of one part, the deputies if it does not answer."""
        for _ in range(MAX_TRIES):
            keeper = self._keeper_of(ask.server, ask.part)
            if keeper is None:
                return 0
            payload = ["ask", self._process, [ask.as_list()]]
            sent_at = self._clock.monotonic()
            found = await self._call(keeper, payload, read_ask_reply)
            if found is not None:
                reply = next((each for each in found if each.server == ask.server), None)
                return self._advisories.receive(ask, reply, sent_at, None)
            self._unreachable_until[keeper] = self._clock.monotonic() + KEEPER_RETRY_DELAY
        return 0

    def _keeper_of(self, server, part):
        """Returns the first process by rank that is not known to be out of reach."""
        now, live = self._clock.monotonic(), tuple(self._live())
        if self._ranked[0] != live or len(self._ranked[1]) >= MAX_RANKED:
            self._ranked = (live, {})
            self._forget(now)
        ranked = self._ranked[1].get((server, part))
        if ranked is None:
            ranked = rank(f"{TOPIC} {server} {part}", live)[:KEEPER_CANDIDATES]
            self._ranked[1][server, part] = ranked
        keeper = next((p for p in ranked if self._unreachable_until.get(p, now) <= now), None)
        last, logged_at = self._keepers.get((server, part), (None, now - KEEPER_LOG_INTERVAL))
        if last != keeper and now - logged_at >= KEEPER_LOG_INTERVAL:
            logged_at = now
            self._log.write("permit_keeper", server=server, part=part, keeper=keeper, last=last)
        self._keepers[server, part] = (keeper, logged_at)
        return keeper

    def _forget(self, now):
        """Drops what is remembered of processes and servers that may be gone."""
        for times in (self._unreachable_until, self._next_ask):
            for name in [name for name, until in times.items() if until <= now]:
                del times[name]
        known = self._advisories.state()
        self._next_part = {s: part for s, part in self._next_part.items() if s in known}
        self._keepers = {key: each for key, each in self._keepers.items() if key[0] in known}

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
