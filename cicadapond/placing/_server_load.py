"""What a process knows of the load of one server, and how far it is still true; no I/O.

It answers many processes that share engines under overload: what each of them knows of the others'
requests is stale when it is used, and prefill that is heard of late is often done by then.
Instants and durations are milliseconds of monotonic time.
"""

import collections

import attrs

from cicadapond.placing._prefixes import PrefixCacheModel
from cicadapond.serving import LoadHeader

# What a server or other processes reported loses half of its weight in this time.
LOAD_HALF_LIFE_MS = 400.0
# A digest is some hundred milliseconds old when it arrives, a server's own report is not.
DIGEST_WEIGHT = 1.0
# The weight of the mean of the service's servers, which counts where nothing recent is known.
MEAN_WEIGHT = 0.1
# The pace of a server's host changes many times a second, so a report of it decays faster.
PACE_HALF_LIFE_MS = 200.0
# Numbers of requests that others reported longer ago than this are ignored.
MAX_IN_FLIGHT_AGE_MS = 3000.0
# How long additions to a prefill queue are kept: longer than any prompt is queued before its caller
# gives up.
QUEUE_HISTORY_MS = 4000.0
# Work that is heard of late can have been done in idle time of at most this length.
MAX_IDLE_MS = 2000.0


@attrs.frozen
class EngineWork:
    """What some processes have sent to an engine.

    `prefill_total_ms` is a running total of prefill, `in_flight` the number of requests there.
    """

    prefill_total_ms: int
    in_flight: int


class PrefillQueue:
    """The prefill queued at an engine, in milliseconds of work; it drains in real time.

    The recent additions are listed, to correct the estimate when a request's answer begins: all
    prefill that was queued up to that request is done by then.  The time in which the queue seemed
    empty is kept, since work that is heard of only later was done in it.
    """

    __slots__ = ("_added", "_idle_ms", "_updated_at", "_waiting_ms")

    def __init__(self):
        self._waiting_ms = 0.0
        self._updated_at = 0.0
        self._idle_ms = 0.0
        self._added = collections.deque()

    def remaining_ms(self, now: float) -> float:
        """Returns the work that is still queued."""
        if not self._waiting_ms:
            return 0.0
        return max(0.0, self._waiting_ms - (now - self._updated_at))

    def add(self, prefill_ms: float, now: float) -> None:
        """Adds a prompt that is sent now."""
        self._settle(now)
        self._append(prefill_ms, now, now)

    def add_late(self, prefill_ms: float, since: float, now: float) -> None:
        """Adds work that others sent at unknown instants after `since`."""
        self._settle(now)
        done = min(prefill_ms, self._idle_ms, now - since)
        self._idle_ms -= done
        if prefill_ms > done:
            self._append(prefill_ms - done, (since + now) / 2, now)

    def discard_up_to(self, sent_at: float, now: float) -> None:
        """Drops what was queued before a prompt whose answer has begun."""
        self._settle(now)
        later = sum(prefill_ms for at, prefill_ms in self._added if at > sent_at)
        self._waiting_ms = min(self._waiting_ms, later)

    def _settle(self, now):
        elapsed = now - self._updated_at
        done = min(self._waiting_ms, elapsed)
        self._waiting_ms -= done
        self._idle_ms = min(MAX_IDLE_MS, self._idle_ms + elapsed - done)
        self._updated_at = now

    def _append(self, prefill_ms, at, now):
        self._waiting_ms += prefill_ms
        self._added.append((at, prefill_ms))
        while self._added and now - self._added[0][0] > QUEUE_HISTORY_MS:
            self._added.popleft()


@attrs.define
class ServerLoad:
    """The load of one server as this process knows it.

    Attributes:
      prefix_cache: The prompt parts that it caches.
      in_flight: The requests of this process that it has.
      queue: Its prefill queue.
      total_prefill_ms: The prefill that this process has sent it, in total.
      own_tokens: The tokens that this process's requests hold in its memory.
    """

    prefix_cache: PrefixCacheModel
    in_flight: set = attrs.field(factory=set)
    queue: PrefillQueue = attrs.field(factory=PrefillQueue)
    total_prefill_ms: float = 0.0
    own_tokens: int = 0
    _stated_tokens: tuple[int, float] | None = None
    _report: LoadHeader | None = None
    _reported_at: float = 0.0
    _others_at_report: int = 0
    # Own prefill that the total of this data centre does not include yet.
    _unreported_ms: float = 0.0
    _others_totals: dict[str, tuple[str, int, float]] = attrs.field(factory=dict)
    _others: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _others_sum: int = 0
    _others_newest: float = 0.0

    def add_prompt(self, prefill_ms: float, now: float) -> None:
        """Counts a prompt that this process sends."""
        self.queue.add(prefill_ms, now)
        self.total_prefill_ms += prefill_ms
        self._unreported_ms += prefill_ms

    def report(self, report: LoadHeader, now: float) -> None:
        """Stores what the server states of its load."""
        self._report, self._reported_at = report, now
        self._others_at_report = max(0, report.running + report.waiting - len(self.in_flight))

    def apply_others(
        self, zone: str, reporter: str, work: EngineWork | None, includes_own: bool, now: float
    ) -> None:
        """Applies what the processes of a data centre have sent there, None if nothing."""
        self._drop_others(zone, now)
        if work is None:
            return
        in_flight = work.in_flight - (len(self.in_flight) if includes_own else 0)
        self._others[zone] = (max(0, in_flight), now)
        self._others_sum += max(0, in_flight)
        self._others_newest = now
        last_reporter, last_ms, since = self._others_totals.get(zone, (None, 0, now))
        self._others_totals[zone] = (reporter, work.prefill_total_ms, now)
        if reporter != last_reporter:
            return
        added = max(0, work.prefill_total_ms - last_ms)
        if includes_own:
            own = min(added, self._unreported_ms)
            self._unreported_ms -= own
            added -= own
        if added:
            self.queue.add_late(added, since, now)

    def others_count(self) -> int:
        """Returns how many requests of others the last digests stated."""
        return self._others_sum

    def recent_others(self, now: float) -> int:
        """Returns how many requests of others recent digests stated."""
        return self._others_sum if now - self._others_newest < MAX_IN_FLIGHT_AGE_MS else 0

    def has_waiting(self) -> bool:
        """Returns whether requests wait for a slot there, by the server's last word."""
        return self._report is not None and self._report.waiting > 0

    def others_in_flight(self, now: float, mean_others: float) -> float:
        """Returns how many requests of other processes the server has.

        It is the mean of what the server itself states, of what the other processes report, and of
        the service's servers, weighted by age.

        Args:
          now: The time.
          mean_others: The mean of `others_count` over the servers of the service.
        """
        weight, total = MEAN_WEIGHT, MEAN_WEIGHT * mean_others
        if self._others:
            age_ms = now - self._others_newest
            if age_ms < MAX_IN_FLIGHT_AGE_MS:
                heard = DIGEST_WEIGHT * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
                weight += heard
                total += heard * self._others_sum
        if self._report is not None:
            stated = 0.5 ** ((now - self._reported_at) / LOAD_HALF_LIFE_MS)
            weight += stated
            total += stated * self._others_at_report
        return total / weight

    def report_memory(self, used_tokens: int, now: float) -> None:
        """Stores how many tokens in its memory the server states that it cannot evict."""
        self._stated_tokens = used_tokens, now

    def used_tokens(self, now: float, others_tokens: float) -> float:
        """Returns the tokens in the server's memory that it cannot evict.

        That is what it stated, while that is recent, else the tokens of the requests there.

        Args:
          now: The time.
          others_tokens: The expected tokens of others' requests.
        """
        counted = self.own_tokens + others_tokens
        if self._stated_tokens is None:
            return counted
        stated, at = self._stated_tokens
        return counted + 0.5 ** ((now - at) / LOAD_HALF_LIFE_MS) * (stated - counted)

    def pace(self, now: float) -> float:
        """Returns how long work takes on the server's host, as a multiple of the usual time."""
        report = self._report
        if report is None or report.pace is None:
            return 1.0
        return 1.0 + (report.pace - 1.0) * 0.5 ** ((now - self._reported_at) / PACE_HALF_LIFE_MS)

    def _drop_others(self, zone, now):
        """Drops what a data centre reported, and what any reported long ago."""
        self._others_sum -= self._others.pop(zone, (0, now))[0]
        oldest = now - MAX_IN_FLIGHT_AGE_MS
        while self._others:  # in the order of the reports
            first = next(iter(self._others))
            count, at = self._others[first]
            if at > oldest:
                return
            del self._others[first]
            self._others_sum -= count


@attrs.define
class ServiceOthers:
    """The requests of other processes at the servers of one service, as last reported.

    `own` is the number of this process's requests there.
    """

    servers: int = 0
    own: int = 0
    in_flight: int = 0
    heard_at: float = 0.0

    def mean(self, now: float) -> float:
        """Returns the mean over the servers, 0 if nothing was heard for long."""
        if not self.servers or now - self.heard_at >= MAX_IN_FLIGHT_AGE_MS:
            return 0.0
        return self.in_flight / self.servers

    def mean_with_own(self, now: float) -> float:
        """Returns the mean of all processes' requests over the servers.

        Unlike the number at the engine that seems emptiest it is right on average, however often it
        is asked.
        """
        return self.mean(now) + self.own / max(1, self.servers)
