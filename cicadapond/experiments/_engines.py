"""A test bench of stand-in engines and completion runners in virtual time."""

import asyncio
import collections
import random
import typing

import attrs

from cicadapond.data import (
    BackendServer,
    Completion,
    Endpoint,
    GenerateCall,
    LoadReport,
    ServerKind,
    Token,
)
from cicadapond.document import Intent, ModelIntent
from cicadapond.entry._completion import CompletionRunner
from cicadapond.entry._completion_settings import CompletionSettings
from cicadapond.entry._parts import Parts
from cicadapond.entry._sink import CompletionSink
from cicadapond.kernel import Clock, Metrics, Ok, VirtualClock, seconds
from cicadapond.peer import NoPeers
from cicadapond.routing import ServerView
from cicadapond.standin import (
    DirectEngine,
    EngineModel,
    EngineSettings,
    EngineTiming,
    expected_tokens,
)

POOL = "shade-pool"
MODEL = "shade-model"
VERSION = "v1"
SHARE_INTERVAL = seconds(1)


class BenchFleet:
    """The fleet of one entry as the completion runner uses it; the bench updates its views."""

    def __init__(self, servers: list[BackendServer], adapters: dict, clock: Clock):
        self._views = {server.name: ServerView(server) for server in servers}
        self._adapters = adapters
        self._clock = clock
        self._listeners: list[typing.Callable] = []
        self._visible: set[str] | None = None

    def views(self, pool):
        return [
            view
            for name, view in self._views.items()
            if not view.leaving and (self._visible is None or name in self._visible)
        ]

    def restrict_to(self, names):
        """Offers only the named servers; None offers all again."""
        self._visible = None if names is None else set(names)

    def adapter(self, name):
        return self._adapters[name]

    def request_started(self, name):
        self._views[name].own_in_flight += 1

    def request_finished(self, name):
        self._views[name].own_in_flight -= 1

    def is_leaving(self, name):
        return self._views[name].leaving

    def on_leaving(self, callback):
        self._listeners.append(callback)

    def apply_notice(self, name, time_left):
        """Handles the notice of an engine's reclaim."""
        self._views[name].leaving = True
        for listener in self._listeners:
            listener(name, time_left)

    def in_flight(self):
        """Returns this entry's requests by server."""
        return {name: view.own_in_flight for name, view in self._views.items()}

    def set_peer_in_flight(self, in_flight):
        """Sets the sum of the other entries' requests by server."""
        for name, view in self._views.items():
            view.peer_in_flight = in_flight.get(name, 0)

    def set_load_report(self, name, report: LoadReport):
        """Stores an engine's load report."""
        self._views[name].report = report
        self._views[name].report_at = self._clock.monotonic() - report.age


class RecordingSink(CompletionSink):
    """A sink that records the tokens, the time of the first one, and the gaps between them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self.texts: list[str] = []
        self.first_at = None
        self.gaps: list[tuple] = []
        self._last_at = None

    async def tokens(self, tokens: tuple[Token, ...]):
        now = self._clock.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.gaps.append((now, (now - self._last_at).total_seconds()))
        self._last_at = now
        for token in tokens:
            assert token.sequence == len(self.texts), "a token is missing or duplicated"
            self.texts.append(token.text)


@attrs.frozen
class BenchEntry:
    """One entry of the bench."""

    parts: Parts
    fleet: BenchFleet
    runner: CompletionRunner


@attrs.frozen
class CompletionResult:
    """The result of one completion."""

    outcome: object
    complete: bool
    first_token: object
    duration: object
    gaps: tuple[tuple, ...] = ()


class EngineBench:
    """Engines, and entries that share their counts and quarantines once a second.

    Args:
      engines: Number of engines.
      entries: Number of entries.
      seed: Seed of all random choices.
      intent: The document; by default one model and the default policies.
      engine: Settings of the engines.
      timing: Timing of the engines' work.
      cfg: Settings of the completion runners.
    """

    def __init__(
        self,
        engines: int,
        entries: int = 1,
        seed: int = 0,
        intent: Intent | None = None,
        engine: EngineSettings | None = None,
        timing: EngineTiming | None = None,
        cfg: CompletionSettings | None = None,
    ):
        self.clock = VirtualClock()
        self.intent = intent or Intent(models={MODEL: ModelIntent(POOL, VERSION)})
        self.servers = [
            BackendServer(f"e{n}", ServerKind.ENGINE, POOL, "yqr", Endpoint("127.0.0.1", n + 1))
            for n in range(engines)
        ]
        self.models = {
            server.name: EngineModel(
                timing or EngineTiming(),
                self.clock,
                engine or EngineSettings(),
                server.name,
                random.Random(f"{seed} {server.name}"),
            )
            for server in self.servers
        }
        self.entries = [self._entry(f"{seed} {n}", cfg) for n in range(entries)]
        self._tasks = [asyncio.ensure_future(self._share_state())]

    def _entry(self, seed, cfg):
        adapters = {
            server.name: DirectEngine(self.models[server.name], server, self.models)
            for server in self.servers
        }
        fleet = BenchFleet(self.servers, adapters, self.clock)
        parts = Parts(
            cfg=None,
            clock=self.clock,
            metrics=Metrics(),
            rng=random.Random(seed),
            intent=lambda: self.intent,
            fleet=fleet,
            peers=NoPeers(),
        )
        return BenchEntry(parts, fleet, CompletionRunner(parts, cfg))

    async def _share_state(self):
        while True:
            await self.clock.sleep(SHARE_INTERVAL)
            self._share_counts()
            self._share_quarantines()
            self._share_cache_events()

    def _share_counts(self):
        counts = [entry.fleet.in_flight() for entry in self.entries]
        for index, entry in enumerate(self.entries):
            others = collections.Counter()
            for other, in_flight_counts in enumerate(counts):
                if other != index:
                    others.update(in_flight_counts)
            entry.fleet.set_peer_in_flight(others)
            for name, model in self.models.items():
                report = model.load_report()
                if isinstance(report, Ok):
                    entry.fleet.set_load_report(name, report.value)

    def _share_quarantines(self):
        for index, source in enumerate(self.entries):
            quarantine = source.parts.quarantine
            for other in self.entries:
                if other is not source:
                    digest = (
                        quarantine.quarantined(),
                        quarantine.suspects(),
                        f"entry-{index}",
                    )
                    other.parts.quarantine.merge(*digest)

    def _share_cache_events(self):
        for entry in self.entries:
            router = entry.parts.router
            for name, model in self.models.items():
                events = model.cache_events(router.last_event(name))
                if isinstance(events, Ok):
                    router.cache_events(name, events.value)

    def notice(self, names, time_left) -> None:
        """Gives a reclaim notice for engines to the engines and to all entries at once."""
        for name in names:
            self.models[name].reclaim(time_left)
            for entry in self.entries:
                entry.fleet.apply_notice(name, time_left)

    async def ask(self, entry: int, prompt: str, max_tokens: int, **fields) -> CompletionResult:
        """Runs one completion through an entry and compares its tokens with the expected ones."""
        parts, runner = self.entries[entry].parts, self.entries[entry].runner
        req = Completion(
            request_id=f"{parts.rng.getrandbits(48):012x}",
            account="counter",
            model=MODEL,
            prompt=prompt,
            max_tokens=max_tokens,
            **fields,
        )
        sink = RecordingSink(self.clock)
        started = self.clock.monotonic()
        outcome = await runner.run(req, sink)
        call = GenerateCall("", 1, MODEL, VERSION, prompt, max_tokens, stop=req.stop, seed=req.seed)
        return CompletionResult(
            outcome,
            isinstance(outcome, Ok) and sink.texts == expected_tokens(call),
            None if sink.first_at is None else sink.first_at - started,
            self.clock.monotonic() - started,
            tuple(sink.gaps),
        )

    def computed_tokens(self) -> int:
        """Returns the tokens that all engines have computed, prefilled and generated."""
        return sum(
            model.counts["prefilled"] + model.counts["decoded"] for model in self.models.values()
        )

    def counter_total(self, name: str) -> int:
        """Returns a counter's sum over all engines."""
        return sum(model.counts[name] for model in self.models.values())

    async def close(self) -> None:
        """Stops all tasks, and checks that no attempt has outlived its request."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            assert not entry.runner.attempts, "an attempt outlived its request"
            assert not any(entry.fleet.in_flight().values()), "in-flight counts did not return to 0"
            entry.runner.stop()
        for model in self.models.values():
            await model.close()


def random_words(rng: random.Random, count: int) -> str:
    """Returns a text of `count` random words."""
    return " ".join(f"{rng.getrandbits(20):x}" for _ in range(count))
