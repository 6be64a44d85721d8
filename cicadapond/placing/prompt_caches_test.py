"""What is known of engines' caches replaces the guess, and a fetch the prefill."""

import random

import pytest

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock
from cicadapond.placing import EngineWork, Placer
from cicadapond.residency import CachedParts, Fetch
from cicadapond.serving import Generation, PromptPart, ServerEntry

SHARED = PromptPart("shared", 5382)
PROMPT = Generation(6382, 400, (SHARED, PromptPart("own", 1000)))
ENGINES = [ServerEntry(f"e-{number}", "pool", Endpoint("::1", 1), "a", 16) for number in range(12)]


class Told(CachedParts):
    """Knows which engines keep the shared part whole, and nothing of `unknown` ones."""

    def __init__(self, *names, transfer_ms=6.0, unknown=()):
        self.names = set(names)
        self.transfer_ms = transfer_ms
        self.unknown = set(unknown)
        self.placed = []

    def cached_tokens(self, entry, parts):
        if entry.name in self.unknown:
            return None
        return SHARED.tokens if entry.name in self.names else 0

    def holders(self, parts, servers):
        return tuple(entry for entry in servers if entry.name in self.names)

    def fetch(self, entry, parts, cached):
        if not self.names or cached >= SHARED.tokens:
            return None
        source = next(each for each in ENGINES if each.name in self.names)
        return Fetch(source, SHARED.tokens, SHARED.tokens - cached, self.transfer_ms)

    def record_placed(self, generation, fetch):
        self.placed.append((generation, fetch))


def placer(told):
    return Placer(ManualClock(), "a", random.Random(1), cached_parts=told)


@pytest.mark.parametrize("hears_others", [False, True])
def test_an_idle_engine_that_keeps_the_shared_part_is_chosen(hears_others):
    """The rendezvous home was chosen although another engine had the part in memory."""
    told = Told("e-7")
    chooses = placer(told)
    if hears_others:  # a few engines are compared then, the holders among them
        chooses.apply_others_work("b", "hub", {"e-0": EngineWork(0, 0)}, includes_own=False)
    placement = chooses.place(ENGINES, PROMPT)
    assert placement.server.name == "e-7" and placement.fetch_from is None
    assert told.placed == [(PROMPT, None)]


def test_a_request_that_goes_elsewhere_fetches_the_part():
    """At a holder that is busy, hot parts waited, and elsewhere they were prefilled again."""
    chooses = placer(Told("e-7"))
    placements = [chooses.place(ENGINES, PROMPT) for _ in range(40)]
    elsewhere = [each for each in placements if each.server.name != "e-7"]
    assert elsewhere and all(each.fetch_from.name == "e-7" for each in elsewhere)
    work = [each.request.work_ms for each in placements]
    assert max(work) < 1.2 * min(work)  # a fetched part is not prefilled


def test_a_slow_transfer_is_no_help():
    chooses = placer(Told("e-7", transfer_ms=50.0))
    elsewhere = [entry for entry in ENGINES if entry.name != "e-7"]
    placement = chooses.place(elsewhere, PROMPT)
    assert placement.fetch_from is None
    assert placement.request.estimate.prompt.new_tokens == PROMPT.prompt_tokens


def test_the_choice_counts_a_fetch_like_the_prefill_that_it_saves():
    """A copy evicts another part; with fetches taken as free, more was prefilled again."""
    chooses = placer(Told("e-7"))
    found = {entry.name: expected for expected, entry, _ in chooses.estimate(ENGINES, PROMPT)}
    order = [entry.name for _, entry, _ in chooses.estimate(ENGINES, PROMPT)]
    assert order[0] == "e-7"
    assert found["e-0"] < found["e-7"] + 10.0  # the delay itself is that of the transfer


def test_an_engine_that_was_chosen_before_is_no_home_for_being_the_only_one():
    """Each prompt that had passed the queue was estimated as cached at the engine chosen there."""
    request = placer(Told()).place(ENGINES[:1], PROMPT).request
    assert request.estimate.prompt.cached_tokens == 0


def test_engines_of_which_nothing_is_known_are_guessed():
    names = [entry.name for entry in ENGINES]
    told = Told(unknown=names)
    known, guessed = placer(told), Placer(ManualClock(), "a", random.Random(1))
    for _ in range(20):
        first, second = (each.place(ENGINES, PROMPT) for each in (known, guessed))
        assert (first.server, first.expected) == (second.server, second.expected)
