"""Prompts with a part that crashes engines among sound ones, in virtual time.

Several processes share engines; each learns of crashes late, and of those of others later still.
The drawn cases have quiet times, replacements of all processes, and engines that crash for other
reasons.
"""

import datetime
import heapq
import itertools
import random

import attrs

from cicadapond.containment import CrashTracker, merge_evidence
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import ManualClock, seconds

CASES = 200
CRASH_S, ANSWER_S, SOUND_WRITING_S = 0.06, 0.6, 1.0
DETECTION_S, REPORT_INTERVAL_S = 0.07, 0.25
RESTART_S = 4.0
CONTACT_S = 3.0
MAX_SENT_AFTER_FIFTH = 3
MIN_REQUESTS, MIN_SHARE = 20, 0.5
SESSIONS, GROUPS = 40, 6
BAD = "part bad"


@attrs.frozen
class Conditions:
    """The load and the faults of one run; rates are per second, times in seconds.

    Attributes:
      position: Which part of its prompt crashes engines; 0 is the first.
      random_crashes: The rate at which engines crash for other reasons.
      quiet_s: How long no request comes before the first one that crashes engines.
      replaced_at: When all processes are replaced; only what is stored lasts.
      shared: The name of the part that all sound requests share.
    """

    processes: int = 6
    engines: int = 10
    sound_rate: float = 40.0
    bad_rate: float = 2.0
    bad_from_s: float = 5.0
    length_s: float = 25.0
    first_word_s: float = 0.1
    position: int = 1
    random_crashes: float = 0.0
    quiet_s: float = 0.0
    replaced_at: tuple[float, ...] = ()
    shared: str = "all"


def draw(seed: int) -> Conditions:
    """Returns a case, drawn by a seed."""
    rng = random.Random(seed)
    quiet = rng.choice((0.0, rng.uniform(5, 25), rng.uniform(25, 60)))
    bad_from = 17 + quiet
    replaced = (rng.uniform(bad_from - 5, bad_from + 25) for _ in range(rng.choice((0, 0, 1, 2))))
    return Conditions(
        processes=rng.choice((2, 3, 6, 20)),
        engines=rng.randint(4, 16),
        sound_rate=2 ** rng.uniform(0, 5.3),
        bad_rate=2 ** rng.uniform(-1.5, 2),
        bad_from_s=bad_from,
        length_s=bad_from + 40,
        first_word_s=rng.uniform(0.05, 0.4),
        position=rng.choice((0, 1, 1, 2)),
        random_crashes=rng.choice((0.0, rng.uniform(0.02, 0.3))),
        quiet_s=quiet,
        replaced_at=tuple(sorted(replaced)),
        shared=rng.choice(("all", "zz")),
    )


@attrs.define
class _Request:
    """A request on an engine; `engine` is the engine's start."""

    traits: tuple[str, ...]
    is_bad: bool
    tracker: CrashTracker
    engine: str = ""
    began_at: datetime.datetime | None = None


@attrs.define
class _Sound:
    """A sound request: when it was sent, and whether it began or was refused because of crashes."""

    at: float
    is_refused: bool = False
    is_on_trial: bool = False
    has_begun: bool = False


class Play:
    """One run of the load.

    Args:
      seed: Draws arrivals, prompts and placement.
      cfg: The conditions.
    """

    def __init__(self, seed: int, cfg: Conditions | None = None):
        self.cfg = cfg or Conditions()
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        # What the store keeps of causes: when the last crash was, and whether it was confirmed.
        self.stored: dict[str, tuple[datetime.datetime, bool]] = {}
        self.trackers = self._make_trackers()
        self.running = {f"e-{number}/0": [] for number in range(self.cfg.engines)}
        self.bad_crashes, self.bad_sent = [], []
        self.sound: list[_Sound] = []
        self.blamed: set[str] = set()
        self._events = []
        self._order = itertools.count()
        self._at(0.0, self._arrive_sound)
        self._at(self.cfg.bad_from_s, self._arrive_bad)
        self._at(0.0, self._report)
        for at in self.cfg.replaced_at:
            self._at(at, self._replace_all)
        if self.cfg.random_crashes:
            self._at(0.0, self._crash_any)

    def run(self) -> "Play":
        """Plays to the end."""
        while self.clock.monotonic() < seconds(self.cfg.length_s):
            due, _, action, args = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.monotonic())
            action(*args)
        return self

    # Results

    @property
    def sound_sent(self) -> int:
        """How many sound requests came."""
        return len(self.sound)

    @property
    def sound_refused(self) -> int:
        """How many sound requests were refused because of crashes."""
        return sum(each.is_refused for each in self.sound)

    def sent_late(self) -> int:
        """Returns how many crashing prompts were sent later than allowed."""
        if len(self.bad_crashes) < 5:
            return 0
        allowed_until = self.bad_crashes[4] + CONTACT_S
        return sum(at > allowed_until for at in self.bad_sent)

    def crashes_after_fifth(self) -> int:
        """Returns how many engines prompts crashed after the fifth one."""
        return max(0, len(self.bad_crashes) - 5)

    def is_lost(self) -> bool:
        """Returns whether too few sound requests begin once the cause should be known."""
        if not self.bad_crashes:
            return False
        since = self.bad_crashes[:5][-1] + 2 * CONTACT_S
        late = [each.has_begun for each in self.sound if each.at >= since]
        return len(late) >= MIN_REQUESTS and sum(late) < MIN_SHARE * len(late)

    def wrongly_blamed(self) -> set[str]:
        """Returns the parts that were blamed by their name although they crash nothing."""
        return {name for name in self.blamed if name.startswith("part ") and name != BAD}

    def longest_refusal_s(self) -> float:
        """Returns the longest time from a refused sound request to the next that is let through."""
        longest, since = 0.0, None
        for each in self.sound:
            if each.is_refused and since is None:
                since = each.at
            elif since is not None and not each.is_refused and not each.is_on_trial:
                longest, since = max(longest, each.at - since), None
        return max(longest, self.cfg.length_s - since) if since is not None else longest

    # Events

    def _at(self, delay, action, *args):
        due = self.clock.monotonic() + seconds(delay)
        heapq.heappush(self._events, (due, next(self._order), action, args))

    def _now(self):
        return self.clock.monotonic().total_seconds()

    def _make_trackers(self):
        def make(number):
            return CrashTracker(
                self.clock, "z", tries=lambda cause, count: self._place(cause, number) < count
            )

        trackers = [make(number) for number in range(self.cfg.processes)]
        unconfirmed = {name for name, (_, is_confirmed) in self.stored.items() if not is_confirmed}
        for tracker in trackers:
            tracker.restore({name: at for name, (at, _) in self.stored.items()}, unconfirmed)
        return trackers

    def _place(self, cause, number):
        """Returns the place of a process among those that try a cause."""
        return (number + len(cause)) % self.cfg.processes

    def _replace_all(self):
        for requests in self.running.values():
            requests.clear()
        self.trackers = self._make_trackers()

    def _arrive_sound(self):
        self._at(self.rng.expovariate(self.cfg.sound_rate), self._arrive_sound)
        if not 0 <= self.cfg.bad_from_s - self._now() <= self.cfg.quiet_s:
            self._send(self._make_request(is_bad=False))

    def _arrive_bad(self):
        self._at(self.rng.expovariate(self.cfg.bad_rate), self._arrive_bad)
        self._send(self._make_request(is_bad=True))

    def _make_request(self, is_bad):
        session, number = self.rng.randrange(SESSIONS), next(self._order)
        parts = [self.cfg.shared, f"group-{session % GROUPS}", f"session-{session}"]
        if is_bad:
            parts[self.cfg.position] = "bad"
        names = (f"part {name}" for name in (f"own-{number}", *reversed(parts)))
        return _Request((f"request {number}", *names), is_bad, self.rng.choice(self.trackers))

    def _send(self, request):
        record = _Sound(self._now())
        if not request.is_bad:
            self.sound.append(record)
        cause = request.tracker.find_cause(request.traits)
        if cause is not None:
            record.is_on_trial = request.tracker.begin_trial(cause, request.traits)
            record.is_refused = not record.is_on_trial
            if record.is_refused:
                return
        if request.is_bad:
            self.bad_sent.append(self._now())
        if not self.running:
            if record.is_on_trial:
                request.tracker.cancel_trial(cause)
        else:
            request.engine = self.rng.choice(list(self.running))
            self.running[request.engine].append(request)
            self._at(self.cfg.first_word_s, self._begin, request, record)

    def _begin(self, request, record):
        if request in self.running.get(request.engine, ()):
            request.began_at = self.clock.now()
            record.has_begun = True
            if request.is_bad:
                self._at(CRASH_S, self._crash, request.engine, True)
            else:
                self._at(self.rng.choice((ANSWER_S, SOUND_WRITING_S)), self._finish, request)

    def _finish(self, request):
        if request in self.running.get(request.engine, ()):
            self.running[request.engine].remove(request)
            request.tracker.record_success(request.traits, request.began_at)

    def _crash_any(self):
        self._at(self.rng.expovariate(self.cfg.random_crashes), self._crash_any)
        if self.running:
            self._crash(self.rng.choice(list(self.running)), False)

    def _crash(self, engine, is_bad):
        if engine not in self.running:
            return
        if is_bad:
            self.bad_crashes.append(self._now())
        broken = self.running.pop(engine)
        for request in broken:
            request.tracker.record_broken_connection(request.traits, engine)
        for tracker in {id(request.tracker): request.tracker for request in broken}.values():
            self._at(DETECTION_S, tracker.record_server_down, engine)
        name, _, start = engine.partition("/")
        self._at(RESTART_S, self.running.setdefault, f"{name}/{int(start) + 1}", [])

    def _report(self):
        self._at(REPORT_INTERVAL_S, self._report)
        evidence = merge_evidence([tracker.observed() for tracker in self.trackers])
        for tracker in self.trackers:
            tracker.apply("z", evidence)
            for name, (at, _) in list(self.stored.items()):
                if tracker.is_cleared(name, at):
                    del self.stored[name]
            for name, at in tracker.culprits().items():
                self.stored[name] = (at, tracker.is_confirmed(name))
                if "," not in name:
                    self.blamed.add(name)


@experiments.register("crashes")
class CrashesExperiment(Experiment):
    """Counts sound parts that are blamed for crashes, engines lost and sound requests refused."""

    summary = f"a part of prompts that crashes engines, {CASES} drawn cases for each seed"

    def run(self, seeds):
        columns = (
            "seed",
            "cases",
            "a sound part blamed",
            "too few sound requests",
            "too many sent late",
            "most sent late",
            "mean crashes after the fifth",
            "most",
            "p50 s until let through",
            "p95 s",
            "most s",
            "refused (%)",
        )
        rows = tuple((seed, *_row(seed * CASES)) for seed in seeds)
        return (Table("Prompts with a part that crashes engines", columns, rows),)


def _row(first):
    plays = [Play(case, draw(case)).run() for case in range(first, first + CASES)]
    late = [play.sent_late() for play in plays]
    more = [play.crashes_after_fifth() for play in plays]
    waits = sorted(play.longest_refusal_s() for play in plays)
    refused = sum(play.sound_refused for play in plays) / sum(play.sound_sent for play in plays)
    return (
        len(plays),
        sum(bool(play.wrongly_blamed()) for play in plays),
        sum(play.is_lost() for play in plays),
        sum(count > MAX_SENT_AFTER_FIFTH for count in late),
        max(late),
        sum(more) / len(more),
        max(more),
        waits[len(waits) // 2],
        waits[len(waits) * 95 // 100],
        waits[-1],
        100 * refused,
    )
