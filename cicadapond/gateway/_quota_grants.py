"""Takes client accounts' quotas: asks their coordinators, and grants where this process is one."""

import abc
import collections
import datetime
import typing

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.gateway._cluster import Cluster
from cicadapond.kernel import Clock, Metrics
from cicadapond.quotas import GrantPart, QuotaShares, Use, coordinators, parts_of
from cicadapond.serving import ClientAccount

TOPIC = "quota"
# A call is given up after this multiple of what answers usually take, within bounds: they take some
# milliseconds, and a hundred and more where hosts have little of a processor left.
TIMEOUT_FACTOR = 6
MIN_CALL_TIMEOUT = datetime.timedelta(milliseconds=100)
MAX_CALL_TIMEOUT = datetime.timedelta(milliseconds=400)
FIRST_ANSWER_TIME = datetime.timedelta(milliseconds=20)
# The weight of the last answer, and the factor for one that did not come.
ANSWER_WEIGHT = 0.2
UNANSWERED_FACTOR = 1.5
# A process that did not answer is not asked for this long; one that has ended leaves the live ones.
RETRY_DELAY = datetime.timedelta(milliseconds=500)
# How many coordinators that do not answer are tried for one request.
MAX_TRIES = 2
# How many processes are considered as coordinators of a part; some may be of an earlier build.
CANDIDATES = 8
# So many of them may grant the part for callers of their own while those before do not answer.
DEPUTIES = 2
# After a refusal a process does not ask again for this long, and longer in a large deployment, so
# that a crowd of callers does not become a crowd of calls.
MIN_REFUSAL_TIME = datetime.timedelta(milliseconds=40)
REFUSAL_TIME_PER_PROCESS = datetime.timedelta(milliseconds=2)
MAX_REFUSAL_TIME = datetime.timedelta(milliseconds=250)
# What callers are told to wait if no coordinator answers: they come back to another process.
MAX_WAIT_ALONE = datetime.timedelta(seconds=1)
# If the reports of all data centres are at most so old, and an account's level by them is at least
# this share of its burst, a process spends a little of it without a grant.
MAX_REPORTS_AGE = datetime.timedelta(seconds=1)
MIN_DIRECT_LEVEL = 0.25
# The part that a process grants itself if it reaches no coordinator.
NO_COORDINATOR = -1
NO_TIME = datetime.timedelta()
MILLISECOND = datetime.timedelta(milliseconds=1)


class QuotaCalls(abc.ABC):
    """Carries calls to other processes."""

    @abc.abstractmethod
    async def call(self, process: str, payload: list, timeout: datetime.timedelta) -> object | None:
        """Returns the reply of a process, None if none came in time or it knows no such call."""


class ClusterQuotaCalls(QuotaCalls):
    """Carries the calls on the connections between the processes."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    async def call(self, process, payload, timeout):
        return await self._cluster.query(process, TOPIC, payload, timeout)


class Processes(typing.Protocol):
    """The processes that share quotas, as this one sees them."""

    def live_by_age(self) -> tuple[str, ...]:
        """Returns the names of the live ones, the one that runs for longest first."""

    def live_since(self) -> datetime.timedelta:
        """Returns since when these are the same, and this process has not been suspended."""

    def count(self) -> int:
        """Returns how many share quotas, with those that may live and are not heard."""

    def grant_share(self) -> float:
        """Returns the share of quotas that may be granted by the processes that are heard."""

    def all_take_grants(self) -> bool:
        """Returns whether no process is heard that takes quotas without grants."""

    def reports_age(self) -> datetime.timedelta:
        """Returns the age of the oldest report of a data centre with live processes."""


@attrs.define
class _Refusal:
    """The last refusal of an account's requests; smaller ones may still be within the quota."""

    units: float
    until: datetime.timedelta
    quota_at: datetime.timedelta


class QuotaAdmission:
    """Admits requests within the quotas of their accounts.

    Args:
      process: This process's name.
      shares: Decides on grants.
      processes: The processes that share quotas.
      calls: Carries the calls.
      find_account: Returns an account by name as configured now, None if there is none.
      clock: The clock; its monotonic time also runs while the host is suspended.
      log: The event log.
      metrics: Counts calls.
    """

    def __init__(
        self,
        process: str,
        shares: QuotaShares,
        processes: Processes,
        calls: QuotaCalls,
        find_account: typing.Callable[[str], ClientAccount | None],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        # When and how much this process spent lately without a grant, by account.
        self._direct: dict[str, collections.deque[tuple[datetime.timedelta, float]]] = {}
        self._process = process
        self._shares = shares
        self._processes = processes
        self._calls = calls
        self._find_account = find_account
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._refusals: dict[tuple[str, bool], _Refusal] = {}
        self._unreachable_until: dict[str, datetime.timedelta] = {}
        self._answer_time = FIRST_ANSWER_TIME
        self._next_part = 0
        self._live: tuple[str, ...] = ()
        self._live_since = NO_TIME
        self._ranked: dict[tuple[str, int], list[str]] = {}

    async def take(
        self, account: ClientAccount, units: float, continues: bool = False
    ) -> datetime.timedelta | None:
        """Takes units from an account's quota.

        Args:
          account: The account.
          units: What the request costs.
          continues: Whether it continues a stream, as `Use.CONTINUE` tells.

        Returns:
          None if the request is within the quota, else the time until it may be.
        """
        if account.rate <= 0.0:
            return None
        wait = self._refused_for(account, units, continues)
        if wait is not None:
            return wait
        if not self._spends_directly(account, units):
            wait = await self._ask_parts(account, units, Use.CONTINUE if continues else Use.BEGIN)
            if wait is not None:
                return self._note_refusal(account, units, continues, wait)
            self._refusals.pop((account.name, continues), None)
        self._shares.spend(account, units, self._processes.grant_share())
        return None

    def _refused_for(self, account, units, continues):
        """Returns for how long no coordinator is asked again after a refusal, None if one is."""
        refusal = self._refusals.get((account.name, continues))
        if refusal is None or units < refusal.units:
            return None
        now = self._clock.monotonic()
        return max(refusal.quota_at, refusal.until) - now if now < refusal.until else None

    def _note_refusal(self, account, units, continues, wait):
        """Records a refusal; returns for how long no such request is admitted."""
        now = self._clock.monotonic()
        pause = min(wait, MAX_REFUSAL_TIME)
        pause = max(pause, MIN_REFUSAL_TIME, self._processes.count() * REFUSAL_TIME_PER_PROCESS)
        self._refusals[account.name, continues] = _Refusal(units, now + pause, now + wait)
        return max(wait, pause)

    def answer(self, payload: object) -> list:
        """Answers a call of another process; one that cannot be answered gets an empty reply."""
        try:
            match payload:
                case ["take", str(name), int(number), int(parts), float(units), int(use)]:
                    account = self._find_account(name)
                    if account is None or parts < 1:
                        return []
                    wait = self._grant(account, units, Use(use), GrantPart(number, parts))
                    return [0 if wait is None else max(1, wait // MILLISECOND)]
        except (TypeError, ValueError) as exc:
            self._log.write("quota_call_malformed", reason=str(exc))
        self._metrics.count("quota_calls_malformed")
        return []

    def state(self) -> dict:
        """Returns what this process grants and knows of the accounts' quotas, for a dump."""
        return {
            "share": round(self._processes.grant_share(), 3),
            "unreachable": sorted(self._unreachable_until),
            "levels": self._shares.levels(),
        }

    # As the process that has the request

    def _spends_directly(self, account, units):
        """Returns whether a request needs no grant, as its account is far below its quota."""
        processes = self._processes
        if processes.count() == 1 or processes.grant_share() < 1.0:
            return False
        if processes.reports_age() > MAX_REPORTS_AGE:
            return False
        if self._shares.heard_level(account) < MIN_DIRECT_LEVEL * account.burst:
            return False
        now = self._clock.monotonic()
        spent = self._direct.setdefault(account.name, collections.deque())
        while spent and now - spent[0][0] >= MAX_REPORTS_AGE:
            spent.popleft()
        limit = self._shares.direct_limit(account) / processes.count()
        if sum(each for _, each in spent) + units > limit:
            return False
        spent.append((now, units))
        return True

    async def _ask_parts(self, account, units, use):
        """Asks the coordinators of all parts in turn until one grants; returns the least wait."""
        parts = parts_of(account, self._processes.count())
        first, least = self._next_part % parts, None
        self._next_part += 1
        for number in range(first, first + parts):
            wait = await self._ask(account, units, use, GrantPart(number % parts, parts))
            if wait is None:
                return None
            least = wait if least is None else min(least, wait)
        return least

    async def _ask(self, account, units, use, part):
        """Asks the coordinator of a part, and the next ones if it does not answer."""
        unanswered = 0
        for place, process in enumerate(self._coordinators(account.name, part.number)):
            if process == self._process:
                if place < DEPUTIES:
                    return self._grant(account, units, use, part)
                continue
            if self._unreachable_until.get(process, NO_TIME) > self._clock.monotonic():
                continue
            payload = ["take", account.name, part.number, part.parts, float(units), use.value]
            match await self._call(process, payload):
                case [0]:
                    return None
                case [int(wait_ms)] if wait_ms > 0:
                    return wait_ms * MILLISECOND
            self._unreachable_until[process] = self._clock.monotonic() + RETRY_DELAY
            unanswered += 1
            if unanswered >= MAX_TRIES:
                break
        return self._grant_alone(account, units, use)

    async def _call(self, process, payload):
        timeout = min(MAX_CALL_TIMEOUT, max(MIN_CALL_TIMEOUT, TIMEOUT_FACTOR * self._answer_time))
        sent_at = self._clock.monotonic()
        reply = await self._calls.call(process, payload, timeout)
        if reply is not None:
            took = self._clock.monotonic() - sent_at
            self._answer_time += ANSWER_WEIGHT * (took - self._answer_time)
        else:
            longest = MAX_CALL_TIMEOUT / TIMEOUT_FACTOR
            self._answer_time = min(longest, UNANSWERED_FACTOR * self._answer_time)
        self._metrics.count("quota_calls", answered=reply is not None)
        return reply

    def _grant_alone(self, account, units, use):
        """Grants from what only this process may spend while it reaches no coordinator."""
        self._metrics.count("quota_without_coordinator")
        share, tenure = self._processes.grant_share(), None
        if self._processes.all_take_grants():
            share, tenure = share / self._processes.count(), NO_TIME
        part = GrantPart(NO_COORDINATOR, 1)
        wait = self._shares.grant(account, units, share, use, part, tenure)
        return min(wait, MAX_WAIT_ALONE) if wait is not None else None

    def _coordinators(self, account, number):
        self._follow_processes()
        ranked = self._ranked.get((account, number))
        if ranked is None:
            ranked = coordinators(account, number, self._live)[:CANDIDATES]
            self._ranked[account, number] = ranked
        return ranked

    # As coordinator

    def _grant(self, account, units, use, part):
        if self._processes.count() == 1:
            tenure = None
        elif self._grants(account.name, part):
            tenure = self._clock.monotonic() - self._live_since
        else:
            tenure = NO_TIME
        share = self._processes.grant_share()
        return self._shares.grant(account, units, share, use, part, tenure)

    def _grants(self, account, part):
        """Returns whether this process is the first that should grant a part of a quota."""
        return part.number != NO_COORDINATOR and (
            self._coordinators(account, part.number)[:1] == [self._process]
        )

    def _follow_processes(self):
        """Gives up what other processes grant from now on."""
        live, since = self._processes.live_by_age(), self._processes.live_since()
        if live != self._live:
            self._live, self._ranked = live, {}
            self._live_since = since
            self._shares.withdraw(self._grants)
        elif since != self._live_since:
            # Others may have granted everything while this process was suspended.
            self._live_since = since
            self._shares.withdraw(lambda account, part: False)
        now = self._clock.monotonic()
        for name in [name for name, until in self._unreachable_until.items() if until <= now]:
            del self._unreachable_until[name]
