"""What is told of engines' prompt parts is true while it is used, bounded, and drops in time."""

import random

import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._digest_pace import held_parts_rate, shared_parts_rate, update_rate
from cicadapond.kernel import ManualClock, seconds
from cicadapond.residency import (
    EngineHoldings,
    Following,
    HeldParts,
    PacedValues,
    PartChange,
    PartDirectory,
    PartEvents,
    PartList,
    Publication,
    Residency,
    SharedParts,
    WatchPlan,
    merge_groups,
    part_hash,
)
from cicadapond.residency._publication import BYTES_PER_SECOND, ITEM_BYTES, MAX_PARTS
from cicadapond.serving import PromptPart, ServerEntry

LONG, SHORT = PromptPart("long", 5382), PromptPart("short", 568)


def entry(number, zone="a", born=1):
    return ServerEntry(f"e-{number}", "pool", Endpoint("::1", number + 1), zone, 16, born)


def held(*parts, born=1):
    clock = ManualClock()
    return Publication(clock, born).update({part_hash(p.name): p.tokens for p in parts}, 1)


class System:
    """One process in data centre a, and engines of which it hears."""

    def __init__(self, engines, token_ms=0.001):
        self.clock = ManualClock()
        self.engines = engines
        self.directory = PartDirectory(self.clock)
        self.gone = set()
        by_name = {each.name: each for each in engines}
        self.residency = Residency(
            self.clock,
            "a",
            self.directory,
            SharedParts(self.clock),
            lambda service: Following(token_ms),
            lambda name: by_name[name] if name not in self.gone else None,
        )

    def tell(self, zone="a", **parts):
        told = {name.replace("_", "-"): held(*kept) for name, kept in parts.items()}
        self.directory.apply(zone, told)


# What an engine tells


def events(*changes, epoch="1", after=9, is_lost=False):
    return PartEvents(epoch, after, is_lost, tuple(PartChange(*change) for change in changes))


def test_missing_events_call_for_one_list_in_a_while():
    """A list delays the engine; events that are lost again and again must not repeat it."""
    clock = ManualClock()
    holdings = EngineHoldings(clock)
    holdings.apply_events(events(("long", 5382)))
    assert not holdings.take_list()
    holdings.apply_events(events(is_lost=True))
    assert holdings.take_list()
    holdings.apply_list(PartList("1", 12, {"short": 568}))
    assert holdings.parts == {part_hash("short"): 568} and holdings.since == 12
    holdings.apply_events(events(is_lost=True))
    assert not holdings.take_list()
    clock.advance(seconds(10))
    assert holdings.take_list()


def test_a_new_epoch_drops_what_the_engine_kept_before():
    holdings = EngineHoldings(ManualClock())
    holdings.apply_events(events(("long", 5382)))
    holdings.apply_events(events(("short", 568), epoch="2", after=2))
    assert holdings.parts == {part_hash("short"): 568}
    assert holdings.since == 2 and holdings.take_list()


def test_only_parts_that_requests_share_are_told():
    clock = ManualClock()
    shared, holdings = SharedParts(clock), EngineHoldings(clock)
    shared.record([LONG])
    holdings.apply_events(events(("long", 5382), ("own-1", 6610)))
    assert holdings.shared(shared) == {part_hash("long"): 5382}
    holdings.apply_events(events(("long", 0)))
    assert holdings.shared(shared) == {}


def test_processes_learn_from_each_other_which_parts_are_shared():
    clock = ManualClock()
    first, second = SharedParts(clock), SharedParts(clock)
    first.record([LONG])
    second.record([SHORT])
    watcher = SharedParts(clock)
    watcher.apply("a", merge_groups([first.reported(), second.reported()]))
    assert part_hash("long") in watcher and part_hash("short") in watcher
    assert part_hash("own-1") not in watcher
    clock.advance(seconds(61))
    assert first.reported() == {}


# What processes tell each other


@pytest.mark.parametrize("engines", [3, 45, 600])
def test_what_is_told_stays_within_its_bytes_while_everything_changes(engines):
    """The control overhead of a process is bounded, however many engines there are."""
    clock, rng = ManualClock(), random.Random(1)
    publications = [Publication(clock, 1) for _ in range(min(engines, 20))]
    told = [publication.update({}, engines) for publication in publications]
    total = 0.0
    for _ in range(120):
        clock.advance(seconds(0.5))
        for number, publication in enumerate(publications):
            kept = {rng.getrandbits(32): 5382 for _ in range(200)}
            now = publication.update(kept, engines)
            for before, after in zip(told[number].buckets, now.buckets, strict=True):
                total += (before != after) * (ITEM_BYTES + 4 * len(after) / 3)
            told[number] = now
    assert total / 60 <= 1.4 * BYTES_PER_SECOND * len(publications) / engines
    assert sum(len(each.parts()) for each in told) <= MAX_PARTS


def test_changing_parts_do_not_delay_other_news_on_a_slow_link():
    """Guards against hubs whose updates were seconds late, as prompt parts filled their links."""
    link_mbps, neighbours, zones, engines = 5.0, 21, 3, 60
    held_rate = held_parts_rate(link_mbps, neighbours)
    shared_rate = shared_parts_rate(link_mbps, neighbours, zones)
    clock, rng = ManualClock(), random.Random(1)
    publications = [Publication(clock, 1) for _ in range(engines)]
    groups = [PacedValues(clock) for _ in range(zones)]
    told, sent = {}, 0.0
    for _ in range(120):
        clock.advance(seconds(0.5))
        now = {}
        for number, publication in enumerate(publications):
            kept = {rng.getrandbits(32): 5382 for _ in range(200)}
            buckets = publication.update(kept, engines, held_rate).buckets
            now |= {("held", number, bucket): raw for bucket, raw in enumerate(buckets)}
        for zone in range(zones):
            changing = {group: rng.randbytes(256) for group in range(16)}
            values = groups[zone].update(changing, shared_rate)
            now |= {("shared", zone, group): raw for group, raw in values.items()}
        changed = [raw for key, raw in now.items() if key in told and raw != told[key]]
        sent += sum(ITEM_BYTES + 4 * len(raw) / 3 for raw in changed)
        told = now
    assert 0 < neighbours * sent / 60 <= update_rate(link_mbps) / 3


def test_a_change_is_told_within_seconds_at_the_usual_size():
    clock = ManualClock()
    publication = Publication(clock, 1)
    kept = {number * 7919: 5382 for number in range(100)}
    publication.update(kept, 45)
    clock.advance(seconds(2))
    kept[4242] = 5382
    assert 4242 in publication.update(kept, 45).parts()


# What follows from it


def test_what_engines_keep_replaces_the_guess_and_ages_out():
    system = System([entry(0), entry(1)])
    system.tell(e_0=[LONG], e_1=[])
    cached = system.residency.cached_tokens
    assert cached(entry(0), (LONG, SHORT)) == 5382
    assert cached(entry(1), (LONG,)) == 0
    assert cached(entry(2), (LONG,)) is None
    system.clock.advance(seconds(6))
    assert cached(entry(0), (LONG,)) is None
    assert system.residency.holders((LONG,), system.engines) == ()


def test_an_engine_that_was_started_again_keeps_nothing():
    """Its parts went with the start before, whose events may still be on their way."""
    system = System([entry(0)])
    system.tell(e_0=[LONG])
    assert system.residency.cached_tokens(entry(0, born=2), (LONG,)) == 0
    assert not system.directory.keeps(entry(0, born=2), LONG)
    system.directory.apply("a", {"e-0": held(born=2)})
    system.directory.apply("b", {"e-0": held(LONG, born=1)})
    assert system.residency.cached_tokens(entry(0, born=2), (LONG,)) == 0


def test_an_engine_that_nobody_watches_any_more_is_guessed_again():
    system = System([entry(0)])
    system.tell(e_0=[LONG])
    system.tell()
    assert system.residency.cached_tokens(entry(0), (LONG,)) is None
    assert system.directory.state()["parts"] == 0


def test_processes_agree_on_the_holders_of_their_data_centre():
    """With holders drawn at random each copy was used seldom, and evicted."""
    engines = [entry(number, "a" if number % 2 else "b") for number in range(8)]
    found = set()
    for _ in range(3):
        system = System(engines)
        system.tell("a", **{f"e_{number}": [LONG] for number in range(8)})
        found.add(system.residency.holders((LONG,), engines))
        assert {each.zone for each in system.residency.holders((LONG,), engines)} == {"a"}
    assert len(found) == 1 and len(found.pop()) == 1


def test_a_fetch_comes_from_a_holder_of_the_same_data_centre():
    system = System([entry(0), entry(1), entry(2, "b")])
    system.tell(e_0=[LONG], e_1=[])
    system.tell("b", e_2=[LONG])
    fetch = system.residency.fetch(entry(1), (LONG,), 0)
    assert (fetch.source.name, fetch.tokens) == ("e-0", 5382)
    assert fetch.expected_ms == pytest.approx(5.382)
    assert system.residency.fetch(entry(0), (LONG,), 5382) is None
    system.gone.add("e-0")
    assert system.residency.fetch(entry(1), (LONG,), 0) is None


def test_the_queue_of_a_link_is_part_of_the_expected_time():
    system = System([entry(0), entry(1)])
    system.tell(e_0=[LONG], e_1=[])
    first = system.residency.fetch(entry(1), (LONG,), 0)
    generation = type("", (), {"parts": (LONG, SHORT)})
    system.residency.record_placed(generation, first)
    second = system.residency.fetch(entry(1), (LONG,), 0)
    assert second.expected_ms == pytest.approx(2 * first.expected_ms)


def test_without_the_speed_of_the_links_nothing_is_fetched():
    system = System([entry(0), entry(1)], token_ms=None)
    system.tell(e_0=[LONG], e_1=[])
    assert system.residency.fetch(entry(1), (LONG,), 0) is None


def test_a_malformed_bucket_is_no_part():
    assert HeldParts(1, (b"\x00\x01", b"")).parts() == {}


# Who watches


def watchers(plans, engines, live, known=frozenset()):
    return {
        each.name: [
            name
            for name, plan in plans.items()
            if each in plan.watched(engines, live, lambda entry: entry.name in known)
        ]
        for each in engines
    }


def test_each_engine_is_watched_by_one_process_of_its_data_centre():
    clock = ManualClock()
    live = {zone: tuple(f"{zone}{number}" for number in range(20)) for zone in "abc"}
    plans = {name: WatchPlan(clock, name) for names in live.values() for name in names}
    engines = [entry(number, "abc"[number % 3]) for number in range(45)]
    found = watchers(plans, engines, live)
    for each in engines:
        assert len(found[each.name]) == 1
        assert found[each.name][0][0] == each.zone
    counts = [sum(name in names for names in found.values()) for name in plans]
    assert max(counts) <= 5


def test_a_deputy_takes_over_an_engine_of_which_nothing_is_told_and_returns_it():
    """A process that is alive may not reach the engine, or be frozen."""
    clock = ManualClock()
    live = {"a": ("p0", "p1", "p2")}
    plans = {name: WatchPlan(clock, name) for name in live["a"]}
    (first,) = watchers(plans, [entry(0)], live, {"e-0"})["e-0"]
    assert watchers(plans, [entry(0)], live) == {"e-0": [first]}
    clock.advance(seconds(4))
    found = watchers(plans, [entry(0)], live)["e-0"]
    assert len(found) == 2 and first in found
    clock.advance(seconds(31))
    assert watchers(plans, [entry(0)], live, {"e-0"}) == {"e-0": [first]}


def test_an_engine_whose_watcher_ended_is_watched_by_the_next():
    clock = ManualClock()
    live = {"a": ("p0", "p1", "p2")}
    plans = {name: WatchPlan(clock, name) for name in live["a"]}
    (first,) = watchers(plans, [entry(0)], live)["e-0"]
    rest = {"a": tuple(name for name in live["a"] if name != first)}
    del plans[first]
    (second,) = watchers(plans, [entry(0)], rest)["e-0"]
    assert second != first
