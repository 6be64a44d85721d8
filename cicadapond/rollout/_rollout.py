"""One rollout in one process: which version a request gets, and the evidence.

It answers the load of a service while a new version of its servers takes over its traffic: a
decision for a request uses only figures that are renewed a few times a second.
"""

import datetime
import math

from cicadapond.rollout._credits import Credits, route_shares
from cicadapond.rollout._data import ALL_ROUTES, Phase, RolloutState, Verdict
from cicadapond.rollout._evidence import Evidence, Totals, add_totals, read_totals
from cicadapond.rollout._judge import SequentialTest
from cicadapond.rollout._old_times import OldTimes
from cicadapond.rollout._plan import end_margin
from cicadapond.rollout._split import CanaryChoice, canary_count
from cicadapond.serving import ServerEntry

# How often the figures of a rollout are renewed, at most.
REFRESH_INTERVAL = datetime.timedelta(milliseconds=250)
# How old the counts of other processes are.
REPORT_DELAY = datetime.timedelta(milliseconds=400)
# How often a process judges on its own evidence, which is part of that of all, while it hears it.
OWN_TEST_INTERVAL = datetime.timedelta(seconds=1)
# How long the times of an engine of the new version do not count after its first request.
COLD_TIME = datetime.timedelta(milliseconds=1500)
# The parts of the tolerance that the trial and the shift may use, by the counts of all processes.
TRIAL_TOLERANCE_PART = 0.7
SHIFT_TOLERANCE_PART = 0.7
# Taken from the part of each process in the shift, in requests: by chance some have sent more than
# their part in the trial.
PART_RESERVE = 0.08


class Rollout:
    """One rollout in one process.

    Args:
      state: Its state.
      clock: The clock.
      bounds: What a bad version may receive.
      rng: Draws the initial credits.

    Attributes:
      state: Its state as last heard.
      totals: What this process counted.
      fleet: The larger of what this process and what all heard processes counted.
    """

    def __init__(self, state, clock, bounds, rng):
        self.state: RolloutState = state
        self.totals = Totals(state.order.service, state.rollout_id)
        self.fleet = Evidence()
        self._clock = clock
        self._bounds = bounds
        self._credits = Credits(rng)
        self._canaries = CanaryChoice(state.rollout_id)
        self._own_test = SequentialTest(state.order.duration)
        self._heard_test = SequentialTest(state.order.duration)
        self._heard: dict[str, dict[str, tuple[int, ...]]] = {}
        self._heard_sum: dict[str, tuple[int, ...]] = {}
        self._heard_changed = False
        self._heard_at: datetime.timedelta | None = None
        self._own_tested_at: datetime.timedelta | None = None
        self._shares: dict[str, float] = {}
        self._work_share = 0.0
        self._canary_running = math.inf
        self._refreshed_at: datetime.timedelta | None = None
        self._is_exhausted = False
        # What this process counted, and what it may send in all until the end of a shift.
        self._requests = self._sent = 0
        self._part = math.inf
        self._since = clock.monotonic()
        self._rounding = rng.random()
        # The usable servers of the new version and the number of others, at the last request.
        self._new: list[ServerEntry] = []
        self._old_count = 0
        self._has_new = True
        # When engines of the new version count as warm, by start; and those sent to in the trial.
        self._warm_at: dict[str, datetime.timedelta] = {}
        self._tried: set[str] = set()
        self._old_times = OldTimes()
        self._is_good = False

    def set_state(self, state):
        if state.phase is Phase.SHIFT and self.state.phase is not Phase.SHIFT:
            # Of the others it is not known that any process has sent requests to them.
            self._warm_at = {key: at for key, at in self._warm_at.items() if key in self._tried}
        self.state = state

    @property
    def _is_bad(self):
        return self._own_test.is_bad or self._heard_test.is_bad

    def is_stopped(self, version):
        """Returns whether nothing goes to the version before the trial, or as it was found bad."""
        if version != self.state.order.to or self.state.phase.has_ended:
            return False
        return self._is_bad or self.state.phase is Phase.WAITING

    def choose(self, route, servers):
        to = self.state.order.to
        old = [entry for entry in servers if entry.version != to]
        self._has_new = len(old) < len(servers)
        if not self._has_new:
            return old
        new = [entry for entry in servers if entry.version == to]
        self._new, self._old_count = new, len(old)
        match self.state.phase:
            case Phase.COMPLETED:
                return new
            case Phase.TRIAL | Phase.SHIFT if self._may_go_on():
                if self._is_shifted(route):
                    return old if self._has_spent_part() else new
                if self._credits.may_send(route):
                    return self._choose_canaries()
        return old

    def must_wait(self, route, left):
        """Returns whether a request without a server of the new version waits for the outcome."""
        state, now = self.state, self._clock.now()
        if self._is_bad or not self._has_new or self._elapsed() >= state.order.duration:
            return False
        # A trial ends in a completion only if the version is good; else a wait serves nothing.
        if state.phase is not Phase.SHIFT and (state.phase is not Phase.TRIAL or not self._is_good):
            return False
        lasts = self._old_times.lasts(route, self._clock.monotonic())
        stops_at = state.completes_at or state.ends_at - end_margin(state.order.duration)
        return now + lasts > stops_at and left > lasts / 2

    def record_request(self, route):
        if self.state.phase.has_ended:
            return
        self.totals.add_request(route)
        self._requests += 1
        # What could not be sent for want of a server is not made up for when there is one.
        if self._has_new and self.state.phase in (Phase.TRIAL, Phase.SHIFT):
            self._credits.grow(route, self._shares.get(route, self.state.share))

    def record_sent(self, entry, route):
        if self.state.phase.has_ended:
            return
        self.totals.add_sent(route)
        self._sent += 1
        if not self._is_shifted(route):
            self._credits.spend(route)
            self._tried.add(entry.start)
        if entry.start not in self._warm_at:
            self._warm_at[entry.start] = self._clock.monotonic() + COLD_TIME

    def record(self, seen):
        if self.state.phase.has_ended:
            return
        is_new = seen.version == self.state.order.to
        if not is_new and seen.duration is not None:
            self._old_times.record(seen.route, seen.duration, self._clock.monotonic())
        warm_at = self._warm_at.get(seen.server) if is_new else None
        began_at = self._clock.monotonic() - (seen.duration or datetime.timedelta())
        is_warm = warm_at is None or began_at >= warm_at
        self.totals.add(seen, is_new, is_warm)

    def apply(self, zone, sums):
        known = self._heard.setdefault(zone, {})
        for key, counts in sums.items():
            before = known.get(key, ())
            if not before or any(map(int.__lt__, before, counts)):
                known[key] = tuple(map(max, before, counts)) if before else counts
                self._heard_changed = True

    def refresh(self):
        """Renews the figures that decisions use, if they are old."""
        now = self._clock.monotonic()
        if self._refreshed_at is not None and now - self._refreshed_at < REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        own = self.totals.reported()
        if self._heard_changed:
            self._heard_changed, self._heard_at = False, now
            self._heard_sum = add_totals(self._heard.values())
            if not self.state.phase.has_ended:
                self._heard_test.update(read_totals(self._heard_sum), now)
        self.fleet = read_totals(_larger(own, self._heard_sum))
        if self.state.phase.has_ended:
            return
        hears = self._heard_at is not None and now - self._heard_at < OWN_TEST_INTERVAL
        if (
            not hears
            or self._own_tested_at is None
            or (now - self._own_tested_at >= OWN_TEST_INTERVAL)
        ):
            self._own_tested_at = now
            self._own_test.update(read_totals(own), now)
        self._is_good = self.judgement().verdict is Verdict.GOOD
        self._old_times.set_means(self.fleet.durations())
        self._shares = route_shares(self.state.share, self.fleet.requests)
        self._work_share = self._find_work_share()
        self._update_exposure()
        if self.state.phase is Phase.TRIAL:
            # The canary engines are those of all processes, and get requests from now on.
            for entry in self._choose_canaries():
                self._warm_at.setdefault(entry.start, now + COLD_TIME)

    def judgement(self):
        is_shifting = self.state.phase is Phase.SHIFT
        own = self._own_test.judgement(is_shifting)
        heard = self._heard_test.judgement(is_shifting)
        for found in (heard, own):
            if found.verdict is Verdict.BAD:
                return found
        own_count, heard_count = self._own_test.outcomes, self._heard_test.outcomes
        return own if own_count > heard_count else heard

    def dump(self):
        found = self.judgement()
        return {
            "verdict": found.verdict.value,
            "reason": found.reason,
            "evidence": dict(found.evidence),
            "requests": dict(self.fleet.requests),
            "sent": dict(self.fleet.sent),
            "credits": self._credits.state(),
            "shares": {route: round(share, 4) for route, share in self._shares.items()},
            "is_stopped": self._is_bad,
            "is_exhausted": self._is_exhausted,
        }

    def _choose_canaries(self):
        count = canary_count(self._old_count, self._work_share, self._canary_running)
        return self._canaries.choose(self._new, count)

    def _may_go_on(self):
        """Returns whether the version gets requests; none after the time limit."""
        if self._is_bad or self._is_exhausted:
            return False
        return self._elapsed() < self.state.order.duration

    def _elapsed(self):
        """Returns the time since the order, at least that since it was heard of.

        The clock of the host that wrote the state may be ahead of this one's.
        """
        heard_for = self._clock.monotonic() - self._since
        return max(self._clock.now() - self.state.started_at, heard_for)

    def _is_shifted(self, route):
        if self.state.phase is not Phase.SHIFT:
            return False
        shifted = self.state.shifted
        return route in shifted or ALL_ROUTES in shifted

    def _find_work_share(self):
        """Returns the share of the engines' time that the requests of the trial take.

        Notes how many of these run at a time.
        """
        durations = self.fleet.durations()
        usual = sum(durations.values()) / len(durations) if durations else 1.0
        work = {
            route: count * durations.get(route, usual)
            for route, count in self.fleet.requests.items()
        }
        canary = sum(amount * self._shares.get(route, 0.0) for route, amount in work.items())
        total = sum(work.values())
        if durations:
            elapsed = max(REFRESH_INTERVAL, self._elapsed()).total_seconds()
            self._canary_running = canary / elapsed
        return canary / total if total else self.state.share

    def _has_spent_part(self):
        """Returns whether this process has sent its part of what the version may receive.

        The parts of all processes add up to the whole, without delay by what they hear; each is
        rounded up or down at random, so that there is no bias however many processes there are.
        """
        return self._sent > self._part - PART_RESERVE + self._rounding - 1

    def _update_exposure(self):
        """Compares the counts of all processes with what the version may receive."""
        requests, sent = sum(self.fleet.requests.values()), sum(self.fleet.sent.values())
        share, tolerance = self._bounds.share, self._bounds.tolerance
        elapsed = self._elapsed()
        heard = max(elapsed - REPORT_DELAY, elapsed / 2, REFRESH_INTERVAL)
        expected = requests * max(1.0, self.state.order.duration / heard)
        allowed = share * expected
        if self._heard_sum:  # else each process would use the whole tolerance
            allowed += SHIFT_TOLERANCE_PART * tolerance
        # Computed before the shift too, as its first requests come before the next refresh.
        self._part = allowed * self._requests / max(1.0, requests * (elapsed / heard))
        if self.state.phase is not Phase.SHIFT:
            allowed = share * requests + TRIAL_TOLERANCE_PART * tolerance
        self._is_exhausted = sent > allowed


def _larger(own, heard):
    sums = dict(heard)
    for key, counts in own.items():
        known = sums.get(key)
        sums[key] = tuple(map(max, known, counts)) if known else counts
    return sums
