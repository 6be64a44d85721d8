"""Chooses the backend server of a request by the expected time until its answer begins; no I/O.

It suits many prompts that share long prefixes, on engines that prefill prompts one after the other
and generate in a batch with a limited number of slots.  The estimate includes the prompt tokens
queued at the engine, the tokens of this prompt that it has not cached, the size of its batch, and
the wait for a slot if the batch is full.  All are converted into milliseconds, so that a shorter
queue can be weighed against a warmer cache.

Under overload the same wait must not be counted twice: while a prompt waits for a slot, the prompts
before it are prefilled, so that the longer of the two counts.  Prompts that wait behind it because
they are less urgent do not count at all.  Engines preempt less urgent requests for more urgent ones
when slots or memory run out; what that costs counts in the choice, where engines state their pace.

The processes agree without communication on the home engine of a shared prefix, by rendezvous
hashing; a home engine counts as having the prefix cached.  They report to each other how much
prefill they have sent to each engine and how many requests they have there, since a long prompt of
one process delays the short prompts of all others.
"""

import datetime
import random
import typing

from cicadapond.kernel import Clock
from cicadapond.placing._candidate import (
    Candidate,
    Estimate,
    InFlightRequest,
    Placement,
)
from cicadapond.placing._first_event import FirstEventModel, Prompt
from cicadapond.placing._learned import LearnedTimes
from cicadapond.placing._prefixes import PrefixCacheModel
from cicadapond.placing._prompt_caches import PromptCaches
from cicadapond.placing._sampling import sample_servers
from cicadapond.placing._server_load import (
    MAX_IN_FLIGHT_AGE_MS,
    EngineWork,
    ServerLoad,
    ServiceOthers,
)
from cicadapond.placing._slot_wait import expected_excess, full_probability
from cicadapond.residency import CachedParts, NothingKnown
from cicadapond.serving import Generation, LoadHeader, ServerEntry
from cicadapond.zones import ZoneCosts

# A prefill of at least this length is reported to the other processes at once.
LONG_PREFILL_MS = 30.0
# Of several servers with free slots the emptier one is preferred: what is known of others is stale.
FREE_SLOT_COST = 0.2
OTHER_ZONE_COST_MS = 1.8
# The bytes of a request and its response for each of their tokens, about the length of a word.
BYTES_PER_TOKEN = 4
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Placer:
    """Tracks the load of backend servers and places requests on them.

    Args:
      clock: Gives the time.
      zone: This process's data centre; servers elsewhere cost OTHER_ZONE_COST_MS more.
      rng: Draws the engines that a placement compares.
      zone_costs: What they cost instead for the services that it is on for, None for no service.
      by_version: Whether the software versions of a service are learned apart.
      memory: Returns how many tokens an engine of a service holds in memory, None if unknown.
      cached_parts: What is known of the prompt parts that engines keep, None to guess it.

    Attributes:
      on_change: Is called if an answer has begun or ended, with its request, and with None if
        something else has changed what `estimate` returns.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        rng: random.Random | None = None,
        zone_costs: ZoneCosts | None = None,
        by_version: bool = False,
        memory: typing.Callable[[str], int | None] = lambda service: None,
        cached_parts: CachedParts | None = None,
    ):
        self.on_change: typing.Callable[[InFlightRequest | None], None] = lambda request: None
        self._clock = clock
        self._zone = zone
        self._zone_costs = zone_costs
        self._rng = rng or random.Random()
        self._loads: dict[str, ServerLoad] = {}
        self._services: dict[str, str] = {}
        self._learned = LearnedTimes(by_version, memory)
        self._others: dict[str, ServiceOthers] = {}
        self._paced_services: set[str] = set()
        self._prompt_caches = PromptCaches(cached_parts or NothingKnown())
        self._heard_at = -MAX_IN_FLIGHT_AGE_MS
        self._reported_by_zone: dict[str, set[str]] = {}

    def model(self, service: str, priority: int = 0, version: str = "") -> FirstEventModel:
        """Returns the model of a service's engines for requests of one priority."""
        return self._learned.model(service, priority, version)

    def expected_as(self, placement: Placement, version: str) -> float | None:
        """Returns the expected time to a request's first event if its server had that version.

        Returns:
          The time in milliseconds, None for a plain service.
        """
        request, estimate = placement.request, placement.request.estimate
        if estimate is None or estimate.prompt is None:
            return None
        model = self.model(request.service, request.priority, version)
        prefill_ms = model.prefill_ms(estimate.prompt)
        expected = model.predict(request.server, prefill_ms, estimate.ahead_ms, estimate.running)
        return expected * estimate.pace

    def estimate(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> list[tuple[float, ServerEntry, float]]:
        """Returns tuples of the expected delay, the server and the work, in the order of choice.

        That is by delay and, where it applies, the cost of leaving the data centre.  The delay is
        the time until the answer begins; the work is the prefill, or the duration of a plain
        service's call.  Both are in milliseconds.  The priority is the engine's, 0 the most urgent.
        """
        return [
            (found.expected_ms - found.cost_ms, found.entry, found.work_ms)
            for found in self._candidates(
                servers, generation, priority, self._homes(servers, generation)
            )
        ]

    def best(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> tuple[float, ServerEntry] | None:
        """Returns the delay in milliseconds and the server that `place` would choose.

        Of many servers only a few are compared, and not the same each time; None if there is none.
        """
        found = self.choose(servers, generation, priority)
        return (found.expected_ms - found.cost_ms, found.entry) if found is not None else None

    def place(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> Placement | None:
        """Chooses a server and counts the request there; returns None if there is no server."""
        chosen = self.choose(servers, generation, priority)
        if chosen is None:
            return None
        entry, now = chosen.entry, self._clock.monotonic()
        request = InFlightRequest(
            entry.name, entry.service, chosen.work_ms, now, priority, version=entry.version
        )
        request.estimate = chosen.estimate
        load = self._load(entry)
        if generation is not None:
            self._prompt_caches.record_placed(generation, load, chosen.fetch)
            load.add_prompt(chosen.work_ms, now / _MILLISECOND)
            request.tokens = generation.tokens
            load.own_tokens += request.tokens
            self._learned.record_prefill(entry.service, chosen.work_ms)
        load.in_flight.add(request)
        self._others[entry.service].own += 1
        departure = "own"
        if self._costs_of(entry.service) is not None:
            departure = self._zone_costs.record_placed(entry.service, entry.zone)
        expected = (chosen.expected_ms - chosen.cost_ms) * _MILLISECOND
        source = chosen.fetch.source if chosen.fetch is not None else None
        return Placement(entry, expected, request, departure, chosen.in_flight, source)

    def choose(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> Candidate | None:
        """Returns the best candidate, of a few servers if other processes place requests too.

        It is None if there is no server.
        """
        if not servers:
            return None
        now = self._clock.monotonic() / _MILLISECOND
        homes = self._homes(servers, generation)
        if generation is None or now - self._heard_at >= MAX_IN_FLIGHT_AGE_MS:
            return self._candidates(servers, generation, priority, homes)[0]
        sample = sample_servers(servers, lambda entry: entry.zone == self._zone, self._rng)
        near = [home for home in homes if len(homes) == 1 or home.zone == self._zone]
        sample += [home for home in near if home not in sample]
        best = self._candidates(sample, generation, priority, homes)[0]
        if best.estimate.has_slot and best.estimate.ahead_ms <= best.work_ms:
            return best
        others = sample_servers(servers, lambda entry: entry.zone != self._zone, self._rng, 1)
        others += [home for home in homes if home not in sample and home not in others]
        found = self._candidates(others, generation, priority, homes)[0]
        return min(best, found, key=lambda candidate: candidate.expected_ms)

    def _candidates(self, servers, generation, priority, homes):
        """Returns the servers with the expected delay there, the shortest one first."""
        now = self._clock.monotonic() / _MILLISECOND
        loads = [self._load(entry) for entry in servers]
        views = {
            of: self._view(*of, generation, priority, now)
            for of in {(entry.service, entry.version) for entry in servers}
        }
        prompts = {}
        costs = self._costs_of(servers[0].service) if servers else None
        zone_costs = self._zone_costs_ms(costs, servers, generation)
        candidates = []
        for entry, load in zip(servers, loads, strict=True):
            view = views[entry.service, entry.version]
            others = load.others_in_flight(now, view.mean_others)
            in_flight = len(load.in_flight) + others
            pace = load.pace(now)
            fetch = None
            if generation is None:
                work_ms = view.calls.expected_ms(entry.name, now)
                wait = _call_wait(entry, in_flight)
                harm_ms = occupancy = 0.0
                expected = work_ms * wait
                estimate = Estimate(None, 0.0, wait, in_flight < entry.slots, pace)
            else:
                cached, fetch = self._prompt_caches.cached(
                    entry, load, generation, entry in homes, view.model
                )
                key = (cached, entry.version)
                if key not in prompts:
                    prompt = Prompt(max(0, generation.prompt_tokens - cached), cached)
                    prompts[key] = prompt, view.model.prefill_ms(prompt)
                prompt, work_ms = prompts[key]
                running = min(in_flight, entry.slots)
                queued_ms = load.queue.remaining_ms(now)
                excess = expected_excess(in_flight, others, entry.slots)
                used = load.used_tokens(now, others * view.mean_tokens)
                # Those that wait for a slot hold no memory yet.
                lacking = view.lacking_memory(used * running / max(in_flight, 1.0))
                ending = entry.slots if excess >= lacking else max(1.0, running)
                ahead_ms = view.ahead_ms(queued_ms, max(excess, lacking), ending)
                if fetch is not None:  # while other prompts are prefilled
                    ahead_ms = max(ahead_ms, fetch.expected_ms)
                expected = view.model.predict(entry.name, work_ms, ahead_ms, running)
                has_slot = in_flight < entry.slots and lacking <= 0.0
                full = 1.0 if lacking > 0.0 else full_probability(in_flight, others, entry.slots)
                harm_ms = view.harm_ms(running, full)
                mean_in_flight = self._others[entry.service].mean_with_own(now)
                occupancy = view.occupancy(mean_in_flight, entry.slots)
                estimate = Estimate(prompt, ahead_ms, running, has_slot, pace)
            expected *= pace
            cost_ms = harm_ms
            if zone_costs is not None:
                distance_ms, leaving_ms = zone_costs[entry.zone]
                cost_ms += leaving_ms
                expected += distance_ms
            elif entry.zone != self._zone:
                expected += OTHER_ZONE_COST_MS
            if fetch is not None:  # it evicts other parts, whose prefill costs as much as it saves
                cost_ms += fetch.saved_ms
            candidates.append(
                Candidate(
                    expected + cost_ms,
                    entry,
                    work_ms,
                    estimate,
                    in_flight,
                    cost_ms,
                    occupancy,
                    fetch,
                )
            )
        candidates.sort(key=lambda found: (found.expected_ms, found.entry.name))
        return candidates

    def _costs_of(self, service):
        """Returns the costs of leaving the data centre, None if they are constant."""
        costs = self._zone_costs
        return costs if costs is not None and costs.is_on(service) else None

    def _zone_costs_ms(self, costs, servers, generation):
        """Returns, by data centre, the time to its servers and the further cost of leaving.

        It is None if the cost is constant.
        """
        if costs is None:
            return None
        service, size = servers[0].service, _size(generation)
        found = {}
        for zone in {entry.zone for entry in servers}:
            distance_ms = 0.0 if zone == self._zone else costs.distance_ms(zone)
            found[zone] = (distance_ms, costs.cost_ms(service, zone, size) - distance_ms)
        return found

    def mark_answer_begun(self, request: InFlightRequest) -> None:
        """Records that a request's answer has begun, so that its prompt is no longer queued."""
        now = request.begun_at = self._clock.monotonic()
        self._learned.record_begun(request, self._loads.get(request.server), now)
        self.on_change(request)

    def mark_ended(self, request: InFlightRequest, took: datetime.timedelta | None = None) -> None:
        """Records that a request is no longer in flight.

        Args:
          request: The request.
          took: How long a complete answer of a plain service took, None for anything else.
        """
        load = self._loads.get(request.server)
        self._learned.record_ended(request, load, self._clock.monotonic(), took)
        if load is not None and request in load.in_flight:
            load.in_flight.discard(request)
            self._others[request.service].own -= 1
            load.own_tokens -= request.tokens
        self.on_change(request)

    def update_load(self, server: str, load_header: LoadHeader) -> None:
        """Stores a server's report of its load."""
        load = self._loads.get(server)
        if load is not None:
            load.report(load_header, self._clock.monotonic() / _MILLISECOND)
            if load_header.pace is not None:
                self._paced_services.add(self._services[server])
            self.on_change(None)

    def update_memory(self, server: str, used_tokens: int) -> None:
        """Stores how many tokens in a server's memory cannot be evicted, as it reports."""
        load = self._loads.get(server)
        if load is not None:
            load.report_memory(used_tokens, self._clock.monotonic() / _MILLISECOND)
            self.on_change(None)

    def reports_pace(self, service: str) -> bool:
        """Returns whether servers of a service state how long work takes at the moment."""
        return service in self._paced_services

    def is_in_flight(self, request: InFlightRequest) -> bool:
        """Returns whether a request has not ended."""
        load = self._loads.get(request.server)
        return load is not None and request in load.in_flight

    def engine_work(self) -> dict[str, EngineWork]:
        """Returns what this process has sent to each engine."""
        return {
            name: EngineWork(round(load.total_prefill_ms), len(load.in_flight))
            for name, load in self._loads.items()
            if load.total_prefill_ms
        }

    def apply_others_work(
        self,
        zone: str,
        reporter: str,
        work: typing.Mapping[str, EngineWork],
        includes_own: bool,
    ) -> None:
        """Applies a report of what the processes of a data centre have sent to each engine.

        Args:
          zone: The data centre.
          reporter: Who counted; the running totals of different reporters are not compared.
          work: The work by engine.
          includes_own: Whether this process's own work is part of it.
        """
        now = self._clock.monotonic() / _MILLISECOND
        reported = {name for name in work if name in self._loads}
        for name in reported | self._reported_by_zone.get(zone, set()):
            load = self._loads.get(name)
            if load is None:
                continue
            others = self._others[self._services[name]]
            others.in_flight -= load.others_count()
            load.apply_others(zone, reporter, work.get(name), includes_own, now)
            others.in_flight += load.others_count()
            others.heard_at = now
        self._reported_by_zone[zone] = reported
        self.on_change(None)
        if not includes_own or any(self._loads[name].others_count() for name in reported):
            self._heard_at = now

    def remove(self, server: str) -> None:
        """Drops the load of a server that is gone."""
        self._prompt_caches.remove(server)
        load = self._loads.pop(server, None)
        if load is not None:
            others = self._others[self._services.pop(server)]
            others.servers -= 1
            others.own -= len(load.in_flight)
            others.in_flight -= load.others_count()
        self._learned.remove(server)

    def mark_restarted(self, server: str) -> None:
        """Forgets the prompt parts that a server's earlier start cached."""
        load = self._loads.get(server)
        if load is not None:
            load.prefix_cache = PrefixCacheModel()
            self.on_change(None)

    def in_flight(self, server: str) -> int:
        """Returns how many requests this process and those heard lately have at a server."""
        load = self._loads.get(server)
        if load is None:
            return 0
        now = self._clock.monotonic() / _MILLISECOND
        return len(load.in_flight) + load.recent_others(now)

    def running(self, server: str) -> int:
        """Returns how many requests of this process are in flight at a server."""
        load = self._loads.get(server)
        return len(load.in_flight) if load is not None else 0

    def estimated_in_flight(self, entry: ServerEntry) -> float:
        """Returns how many requests of all processes a server is estimated to have."""
        now = self._clock.monotonic() / _MILLISECOND
        load = self._load(entry)
        others = load.others_in_flight(now, self._others[entry.service].mean(now))
        return len(load.in_flight) + others

    def _load(self, entry):
        load = self._loads.get(entry.name)
        if load is None:
            load = ServerLoad(PrefixCacheModel())
            self._loads[entry.name] = load
            self._services[entry.name] = entry.service
            self._others.setdefault(entry.service, ServiceOthers()).servers += 1
        return load

    def _view(self, service, version, generation, priority, now):
        mean_others = self._others[service].mean(now)
        preempts = service in self._paced_services
        return self._learned.view(service, version, generation, priority, mean_others, preempts)

    def _homes(self, servers, generation):
        """Returns the servers where a prompt's last shared part is, or else belongs.

        Where leaving the data centre has costs there is one in each, so that requests need not
        leave theirs for it, else one in all.
        """
        by_zone = bool(servers) and self._costs_of(servers[0].service) is not None
        return self._prompt_caches.homes(servers, generation, by_zone)


def _call_wait(entry, in_flight):
    """Returns how long a plain service's call takes, as a multiple of its time with a free slot."""
    excess = max(0.0, in_flight - entry.slots + 1)
    return 1.0 + (FREE_SLOT_COST * min(in_flight, entry.slots) + excess) / entry.slots


def _size(generation):
    """Returns about how many bytes a request and its response have."""
    if generation is None:
        return 0
    return (generation.prompt_tokens + generation.output_tokens) * BYTES_PER_TOKEN
