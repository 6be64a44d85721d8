"""Tracks requests that crash the backend servers that run them; no I/O.

Callers send such requests again under new ids, and other requests may crash servers in the same
way.  A broken connection alone is no crash: it counts only if the server is down afterwards, and
then for every request whose connection to it broke.  Each process reports the crashes that it
observed to the others, and the successes of requests that have traits of those that broke.
"""

import datetime
import typing

import attrs

from cicadapond.containment._culprits import SEPARATOR, Cause, crashes_of, find_culprits
from cicadapond.containment._evidence import Crash, CrashEvidence, Successes
from cicadapond.kernel import Clock, doubled

# Crashes count as evidence for this long.
CRASH_RETENTION = datetime.timedelta(seconds=120)
# A trait that was blamed is remembered for this long after its last crash.
BLAME_RETENTION = datetime.timedelta(minutes=30)
# Connections that broke at most this long before their server was found down count for its crash.
SAME_CRASH_WINDOW = datetime.timedelta(milliseconds=1500)
# Successes are counted in windows; the present one and the last one speak for a trait.
SUCCESS_WINDOW = datetime.timedelta(seconds=15)
# One request with a blamed trait is sent on trial after the first of these times, counted from the
# last crash or trial, and each further one after twice the time of the one before.  Without trials
# a trait that was blamed wrongly could never be cleared; a trial of the right one costs a server.
FIRST_TRIAL_DELAY = datetime.timedelta(seconds=60)
MAX_TRIAL_DELAY = datetime.timedelta(hours=1)
# The delay of the first trial of a cause that no success tells from the rest of the crashes.
EARLY_TRIAL_DELAY = datetime.timedelta(seconds=5)
# Requests with some of the traits of a cause are sent on trial by one process, and by twice as many
# after each of these times, since the one that comes first may get no such request.
TRIAL_ROUND = datetime.timedelta(seconds=1.5)
MAX_TRIAL_ROUNDS = 10
# A trial of which nothing was heard for this long is made again.
TRIAL_TIMEOUT = datetime.timedelta(seconds=5)
# How often the evidence is weighed anew.
EVALUATION_INTERVAL = datetime.timedelta(milliseconds=250)


@attrs.frozen
class _BrokenConnection:
    traits: tuple[str, ...]
    at: datetime.datetime


@attrs.define
class _SuccessCount:
    """Successes of requests with one trait, in the present window and the one before."""

    window: int
    last: datetime.datetime
    count: int = 0
    previous: int = 0

    def advance(self, window: int) -> None:
        """Moves on to the present window."""
        if window != self.window:
            self.previous = self.count if window == self.window + 1 else 0
            self.window, self.count = window, 0


@attrs.define
class _Trials:
    """The trials of a blamed trait: how many there were, and when the last one was."""

    count: int
    last: datetime.datetime


@attrs.define
class _Distinction:
    """The trials that tell which trait of a cause crashes servers.

    Attributes:
      since: When they began.
      crashed_at: When the last crash was that the cause explains.
      sent_at: When this process sent the last one, None if it sent none.
    """

    since: datetime.datetime
    crashed_at: datetime.datetime
    sent_at: datetime.datetime | None = None


class CrashTracker:
    """Finds by which traits requests crash servers.

    Args:
      clock: The clock; its wall-clock time is compared with that of other processes.
      zone: This process's data centre.
      tries: Returns whether this process is among those, up to a number, that send requests with
        a cause on trial.
      explained: Returns those of the crashed starts of servers that no request is to blame for.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str = "",
        tries: typing.Callable[[str, int], bool] = lambda cause, count: False,
        explained: typing.Callable[
            [typing.Collection[str]], typing.Collection[str]
        ] = lambda servers: (),
    ):
        self._explained = explained
        self._clock = clock
        self._zone = zone
        self._tries = tries
        self._trials: dict[str, _Trials] = {}
        self._distinctions: dict[str, _Distinction] = {}
        self._broken_connections: dict[str, list[_BrokenConnection]] = {}
        self._observed: dict[str, Crash] = {}
        self._known: dict[str, Crash] = {}
        # The traits in known crashes.
        self._suspected: set[str] = set()
        self._successes: dict[str, _SuccessCount] = {}
        self._successes_pruned_at = clock.monotonic()
        self._zone_successes: dict[str, typing.Mapping[str, Successes]] = {}
        # The last success of each suspected trait, also at processes that have ended since.
        self._last_successes: dict[str, datetime.datetime] = {}
        self._culprits: dict[str, Cause] = {}
        self._blamed: dict[str, datetime.datetime] = {}
        # Those of the blamed traits that were told from others by successes or by many crashes.
        self._confirmed: set[str] = set()
        # Causes that were stored before this process started.
        self._restored: dict[str, datetime.datetime] = {}
        self._evaluated_at: datetime.timedelta | None = None

    def find_cause(self, traits: typing.Sequence[str]) -> str | None:
        """Returns the name of the cause because of which a request must not be sent, or None."""
        if not self._known and not self._restored:
            return None
        self._evaluate()
        suspected = [cause for cause in self._culprits.values() if cause.suspects(traits)]
        found = min(suspected, key=lambda cause: not cause.convicts(traits), default=None)
        return found.name if found is not None else None

    def convicts(self, name: str, traits: typing.Collection[str]) -> bool:
        """Returns whether a request is known to crash servers, and not only suspected."""
        cause = self._culprits.get(name)
        return cause is not None and cause.convicts(traits)

    def begin_trial(self, name: str, traits: typing.Collection[str]) -> bool:
        """Returns whether to send one request on trial; counts the trial.

        Args:
          name: The cause because of which the request is not sent otherwise.
          traits: The traits of the request.
        """
        cause = self._culprits.get(name)
        if cause is None:
            return False
        if not cause.convicts(traits):
            return self._begin_distinction(cause)
        now = self._clock.now()
        trials = self._trials.get(name, _Trials(0, cause.at))
        if self._is_confirmed(cause) or trials.count:
            delay = doubled(FIRST_TRIAL_DELAY, trials.count, MAX_TRIAL_DELAY)
            due, count = max(cause.at, trials.last) + delay, 1
        else:
            due = cause.at + EARLY_TRIAL_DELAY
            count = _processes_that_try(now - due)
        if now < due or not self._tries(name, count):
            return False
        self._trials[name] = _Trials(trials.count + 1, now)
        return True

    def _begin_distinction(self, cause):
        now, known = self._clock.now(), self._distinctions.get(cause.name)
        if known is None or known.crashed_at != cause.at:
            known = self._distinctions[cause.name] = _Distinction(now, cause.at)
        if known.sent_at is not None and now - known.sent_at < TRIAL_TIMEOUT:
            return False
        if not self._tries(cause.name, _processes_that_try(now - known.since)):
            return False
        known.sent_at = now
        return True

    def cancel_trial(self, name: str) -> None:
        """Takes back the last trial because of a cause, as no server could take the request."""
        if name in self._distinctions:
            self._distinctions[name].sent_at = None
        self._trials.pop(name, None)

    def record_broken_connection(self, traits: tuple[str, ...], server: str) -> None:
        """Records that a request's connection broke before its response was complete.

        Args:
          traits: The request's traits.
          server: The start of the server.
        """
        self._broken_connections.setdefault(server, []).append(
            _BrokenConnection(traits, self._clock.now())
        )

    def record_server_down(self, server: str) -> tuple[str, ...]:
        """Records that a server is down; returns the traits of the requests that it ran."""
        now = self._clock.now()
        broken = self._broken_connections.pop(server, [])
        recent = [each for each in broken if now - each.at <= SAME_CRASH_WINDOW]
        if not recent:
            return ()
        traits = frozenset(trait for each in recent for trait in each.traits)
        crash = Crash(min(each.at for each in recent), traits)
        self._observed[server] = crash.merged_with(self._observed.get(server, crash))
        self._learn({server: crash})
        return tuple(sorted(traits))

    def record_server_up(self, server: str) -> None:
        """Records that a server accepts connections, so its broken connections were no crash."""
        self._broken_connections.pop(server, None)

    def record_server_restarted(self, server: str, at: datetime.datetime) -> None:
        """Records that a start of a server has ended, for which no request is blamed.

        Args:
          server: The start.
          at: When the next one began.
        """
        crash = Crash(min(at, self._clock.now()), frozenset())
        self._observed[server] = crash.merged_with(self._observed.get(server, crash))
        self._learn({server: crash})

    def record_success(self, traits: tuple[str, ...], began_at: datetime.datetime) -> None:
        """Records a request that a server answered without crashing.

        Args:
          traits: The request's traits.
          began_at: When the answer began.
        """
        self._prune_successes()
        window = self._window()
        for trait in traits:
            known = self._successes.setdefault(trait, _SuccessCount(window, began_at))
            known.advance(window)
            known.count += 1
            known.last = max(known.last, began_at)

    def observed(self) -> CrashEvidence:
        """Returns what this process observed itself, to report to the others."""
        self._expire()
        suspected = self._suspected.union(*(name.split(SEPARATOR) for name in self._restored))
        successes = {
            trait: self._own_successes(trait) for trait in suspected & self._successes.keys()
        }
        return CrashEvidence(dict(self._observed), successes)

    def crashed_at(self, server: str) -> datetime.datetime | None:
        """Returns when any process noticed first that a start of a server ended, if one did."""
        crash = self._known.get(server)
        return crash.at if crash is not None else None

    def has_restarted(self, server: str) -> bool:
        """Returns whether a start has ended, as far as is known without a crash."""
        crash = self._known.get(server)
        return crash is not None and not crash.traits

    def known_crashes(self) -> dict[str, Crash]:
        """Returns the crashes that any process observed, by start of a server."""
        self._expire()
        return dict(self._known)

    def known(self) -> CrashEvidence:
        """Returns what any process observed, of successes only when the last one was.

        It may be told again by others than those who observed it.
        """
        last = {trait: Successes(0, at) for trait, at in self._last_successes.items()}
        return CrashEvidence(self.known_crashes(), last)

    def apply(self, zone: str, evidence: CrashEvidence) -> None:
        """Adds what the processes of a data centre observed, this one perhaps included."""
        self._zone_successes[zone] = evidence.successes
        self._learn(evidence.crashes)
        now = self._clock.now()
        for trait, seen in evidence.successes.items():
            last = min(seen.last, now)  # the clock of another process may be ahead
            known = self._last_successes.get(trait)
            if known is None or last > known:
                self._last_successes[trait] = last
                self._evaluated_at = None

    def culprits(self) -> dict[str, datetime.datetime]:
        """Returns the names of what is blamed now, with the time of the last crash of each."""
        if not self._known and not self._restored:
            return {}
        self._evaluate()
        return {name: cause.at for name, cause in self._culprits.items()}

    def is_confirmed(self, name: str) -> bool:
        """Returns whether a cause that is blamed now needs no early trial."""
        cause = self._culprits.get(name)
        return cause is not None and self._is_confirmed(cause)

    def is_cleared(self, name: str, at: datetime.datetime) -> bool:
        """Returns whether a request succeeded that had a trait of a cause, after a time."""
        return any(self._successes_of(trait).last > at for trait in name.split(SEPARATOR))

    def restore(
        self,
        causes: typing.Mapping[str, datetime.datetime],
        unconfirmed: typing.Collection[str] = (),
    ) -> None:
        """Adds what was blamed before this process started.

        Args:
          causes: The names of the causes, with the time of the last crash of each.
          unconfirmed: Those that no successes told from the rest of the crashes.
        """
        self._restored |= causes
        for name, at in causes.items():
            if SEPARATOR not in name:
                self._blamed[name] = at
                if name not in unconfirmed:
                    self._confirmed.add(name)
        self._evaluated_at = None

    def _learn(self, crashes):
        for server, crash in crashes.items():
            known = self._known.get(server)
            merged = crash if known is None else crash.merged_with(known)
            if merged != known:
                self._known[server] = merged
                self._suspected |= merged.traits
                self._evaluated_at = None

    def _evaluate(self):
        now = self._clock.monotonic()
        if self._evaluated_at is not None and now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        self._evaluated_at = now
        self._expire()
        for trait, at in list(self._blamed.items()):
            if self._successes_of(trait).last > at:
                del self._blamed[trait]
                self._confirmed.discard(trait)
        known = {server: crash for server, crash in self._known.items() if crash.traits}
        explained = self._explained(known.keys())
        crashes = [crash for server, crash in known.items() if server not in explained]
        crashes += [crash for name, at in self._restored.items() for crash in crashes_of(name, at)]
        self._culprits = find_culprits(crashes, self._successes_of, self._blamed)
        for cause in self._culprits.values():
            if cause.is_sole:
                self._blamed[cause.name] = cause.at
                if cause.is_confirmed:
                    self._confirmed.add(cause.name)

    def _is_confirmed(self, cause):
        return cause.is_confirmed or cause.name in self._confirmed

    def _successes_of(self, trait):
        """Returns what all processes tell; this one is in its zone's report, or ahead of it."""
        own = self._own_successes(trait)
        near = self._zone_successes.get(self._zone, {}).get(trait, Successes())
        total = Successes(max(own.count, near.count), max(own.last, near.last))
        for zone, successes in self._zone_successes.items():
            if zone != self._zone and trait in successes:
                total = total.merged_with(successes[trait])
        last = self._last_successes.get(trait, total.last)
        return attrs.evolve(total, last=max(total.last, last))

    def _own_successes(self, trait):
        known = self._successes.get(trait)
        if known is None:
            return Successes()
        known.advance(self._window())
        return Successes(known.count + known.previous, known.last)

    def _window(self):
        return self._clock.monotonic() // SUCCESS_WINDOW

    def _prune_successes(self):
        now = self._clock.monotonic()
        if now - self._successes_pruned_at < SUCCESS_WINDOW:
            return
        self._successes_pruned_at = now
        oldest = self._clock.now() - CRASH_RETENTION
        for trait in [key for key, known in self._successes.items() if known.last < oldest]:
            del self._successes[trait]

    def _expire(self):
        now = self._clock.now()
        for crashes in (self._observed, self._known):
            for server in [k for k, crash in crashes.items() if crash.at <= now - CRASH_RETENTION]:
                del crashes[server]
                self._suspected = {trait for each in self._known.values() for trait in each.traits}
        for expiring in (self._restored, self._last_successes):
            for name in [k for k, at in expiring.items() if at <= now - CRASH_RETENTION]:
                del expiring[name]
        for trait in [k for k, at in self._blamed.items() if at <= now - BLAME_RETENTION]:
            del self._blamed[trait]
            self._confirmed.discard(trait)
        for name in self._trials.keys() - self._culprits.keys() - self._blamed.keys():
            del self._trials[name]
        for name in self._distinctions.keys() - self._culprits.keys():
            del self._distinctions[name]


def _processes_that_try(elapsed):
    """Returns how many processes may send a request on trial so long after the first one may."""
    return 2 ** max(0, min(elapsed // TRIAL_ROUND, MAX_TRIAL_ROUNDS))
