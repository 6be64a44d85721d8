"""What processes tell each other of servers that crashed and of requests that did not crash them.

Evidence of several processes is merged in any order and any number of times.
"""

import datetime
import typing

import attrs

# Before all crashes.
NEVER = datetime.datetime.min.replace(tzinfo=datetime.UTC)


@attrs.frozen
class Crash:
    """A server's crash: when it was first noticed, and the traits of the requests that it ran."""

    at: datetime.datetime
    traits: frozenset[str]

    def merged_with(self, other: "Crash") -> "Crash":
        """Returns the same crash as two processes saw it."""
        return Crash(min(self.at, other.at), self.traits | other.traits)


@attrs.frozen
class Successes:
    """Requests with one trait that were answered lately: how many, and when the last began."""

    count: int = 0
    last: datetime.datetime = NEVER

    def merged_with(self, other: "Successes") -> "Successes":
        """Returns the successes that two processes saw."""
        return Successes(self.count + other.count, max(self.last, other.last))


@attrs.frozen
class CrashEvidence:
    """Crashes by start of a server, and successes by trait."""

    crashes: typing.Mapping[str, Crash] = attrs.field(factory=dict)
    successes: typing.Mapping[str, Successes] = attrs.field(factory=dict)


def merge_evidence(sources: typing.Iterable[CrashEvidence]) -> CrashEvidence:
    """Returns the evidence of several processes together."""
    crashes: dict[str, Crash] = {}
    successes: dict[str, Successes] = {}
    for source in sources:
        for server, crash in source.crashes.items():
            crashes[server] = crash.merged_with(crashes.get(server, crash))
        for trait, seen in source.successes.items():
            successes[trait] = seen.merged_with(successes.get(trait, Successes()))
    return CrashEvidence(crashes, successes)
