"""Decides by which traits requests crash servers; no I/O.

All requests that run on a server break when it crashes, so most traits seen in a crash have nothing
to do with it.  What crashes servers does so each time, so a success after a crash clears the
traits of its request.  Of those that remain, the one is blamed that explains most crashes for the
fewest sound requests that would be refused; the crashes that it explains then count no more.

Traits that explain the same crashes nearly as well are blamed together: a request that has all of
them is known to crash servers, one that has some of them tells which it is.
"""

import collections
import datetime
import itertools
import math
import typing

import attrs

from cicadapond.containment._evidence import NEVER, Crash, Successes
from cicadapond.containment._traits import is_whole_request

# A trait is blamed after this many crashes, and more if sound requests had it lately.
CRASH_LIMIT = 3
# A trait that was blamed before is blamed again after this many.
REPEAT_CRASH_LIMIT = 1
# A trait is blamed alone if it explains so many crashes more than any other one.
SOLE_CAUSE_MARGIN = 2
# An unconfirmed cause of so many crashes is not tried early.
EARLY_TRIAL_CRASH_LIMIT = 5
# Servers that go down within this time have one cause, such as the loss of a data centre.
SAME_INCIDENT_WINDOW = datetime.timedelta(milliseconds=50)
SEPARATOR = ","


@attrs.frozen
class Cause:
    """Traits of which one crashes servers; a single trait if the others were ruled out.

    Attributes:
      traits: The traits.
      leaders: Those of the traits with the most evidence.
      at: When the last of the crashes was noticed.
      is_confirmed: Whether successes tell this cause from the rest of what the servers ran, or so
        many crashes that no request is sent on trial early to find out.
    """

    traits: frozenset[str]
    leaders: frozenset[str]
    at: datetime.datetime
    is_confirmed: bool

    @property
    def name(self) -> str:
        """The traits, which contain no separator as they come from a list in a header."""
        return SEPARATOR.join(sorted(self.traits))

    @property
    def is_sole(self) -> bool:
        """Whether all other traits were ruled out."""
        return len(self.traits) == 1

    def convicts(self, traits: typing.Collection[str]) -> bool:
        """Returns whether a request with these traits is known to crash servers."""
        return self.traits.issubset(traits)

    def suspects(self, traits: typing.Collection[str]) -> bool:
        """Returns whether a request with these traits is as likely to crash servers as not."""
        return not self.leaders.isdisjoint(traits)


def crashes_of(name: str, at: datetime.datetime) -> list[Crash]:
    """Returns crashes that are evidence enough for a cause, the last of them at a time."""
    traits = frozenset(name.split(SEPARATOR))
    return [Crash(at - 2 * SAME_INCIDENT_WINDOW * number, traits) for number in range(CRASH_LIMIT)]


def find_culprits(
    crashes: typing.Iterable[Crash],
    successes: typing.Callable[[str], Successes],
    blamed_before: typing.Collection[str] = (),
) -> dict[str, Cause]:
    """Returns the causes of crashes by name.

    Args:
      crashes: The crashes that all processes saw.
      successes: Returns the successes of a trait that all processes saw.
      blamed_before: Traits that were blamed for earlier crashes.
    """
    causes = {}
    remaining = sorted(crashes, key=lambda crash: crash.at)
    while True:
        evidence = _evidence(remaining, successes, blamed_before)
        suspects = [trait for trait in evidence if evidence[trait] >= CRASH_LIMIT]
        if not suspects:
            return causes
        # Whole requests come before parts of prompts, which more requests share.
        first = min(
            suspects, key=lambda trait: (-evidence[trait], not is_whole_request(trait), trait)
        )
        cause = _cause(first, remaining, evidence, successes, blamed_before)
        causes[cause.name] = cause
        remaining = [crash for crash in remaining if cause.traits.isdisjoint(crash.traits)]


def _evidence(crashes, successes, blamed_before):
    """Returns the evidence against each trait that more than one crash, or an earlier one, has."""
    seen = collections.Counter(itertools.chain.from_iterable(crash.traits for crash in crashes))
    evidence = {}
    for trait, count in seen.items():
        if count > 1 or trait in blamed_before:
            evidence[trait] = _evidence_of(trait, crashes, successes(trait))
            if trait in blamed_before and evidence[trait] >= REPEAT_CRASH_LIMIT:
                evidence[trait] += CRASH_LIMIT - REPEAT_CRASH_LIMIT
    return evidence


def _evidence_of(trait, crashes, sound):
    return _incidents(trait, crashes, sound.last) - math.log1p(sound.count)


def _cause(first, crashes, evidence, successes, blamed_before):
    """Returns a suspect as a cause, together with what explains its crashes nearly as well."""
    leaders = _leaders(first, crashes, evidence)
    traits, is_contrasted = set(leaders), False
    by_crashes = {}
    for leader in leaders:
        since = successes(leader).last
        own = [crash for crash in crashes if leader in crash.traits and crash.at > since]
        # Leaders of the same crashes have the same rivals.
        by_crashes[tuple(id(crash) for crash in own)] = leader, own
    for leader, own in by_crashes.values():
        fewest = _incidents(leader, own) - SOLE_CAUSE_MARGIN
        for trait in _comparable(first, own, evidence) - leaders:
            if _incidents(trait, own) <= fewest:
                continue
            if _evidence_of(trait, own, successes(trait)) > evidence[leader] - SOLE_CAUSE_MARGIN:
                traits.add(trait)
            else:
                is_contrasted = True
    explained = [crash for crash in crashes if not traits.isdisjoint(crash.traits)]
    crash_count = _incidents(first, explained)
    if crash_count < CRASH_LIMIT and first in blamed_before:
        crash_count += CRASH_LIMIT - REPEAT_CRASH_LIMIT
    is_confirmed = (
        is_contrasted or is_whole_request(first) or crash_count >= EARLY_TRIAL_CRASH_LIMIT
    )
    return Cause(frozenset(traits), frozenset(leaders), explained[-1].at, is_confirmed)


def _leaders(first, crashes, evidence):
    """Returns a trait and those with as much evidence that were seen in crashes with it."""
    leaders: set[str] = set()
    found = {first}
    while found:
        leaders |= found
        own = [crash for crash in crashes if not leaders.isdisjoint(crash.traits)]
        tied = {t for t in _comparable(first, own, evidence) if evidence[t] >= evidence[first]}
        found = tied - leaders
    return leaders


def _comparable(first, crashes, evidence):
    """Returns the traits in crashes that may be blamed in place of a trait."""
    traits = {trait for crash in crashes for trait in crash.traits if trait in evidence}
    if is_whole_request(first):
        return {trait for trait in traits if is_whole_request(trait)}
    return traits


def _incidents(
    trait: str, crashes: typing.Sequence[Crash], since: datetime.datetime = NEVER
) -> int:
    """Returns how many times servers crashed with a trait after its last success."""
    count, last = 0, None
    for crash in crashes:
        if trait not in crash.traits or crash.at <= since:
            continue
        if last is None or crash.at - last > SAME_INCIDENT_WINDOW:
            count += 1
            last = crash.at
    return count
