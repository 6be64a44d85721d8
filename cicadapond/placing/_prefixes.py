"""Which parts of prompts each engine still holds in memory, as far as this process knows."""

import collections
import typing

from cicadapond.gateway.data import Generation, PromptPart

# The part of an engine's memory that holds what requests share; the rest serves running ones.
CACHED_SHARE = 0.6
UNTOLD_CAPACITY_TOKENS = 400_000


class PrefixMemory:
    """What one engine holds of prompts, the least recently used parts first.

    Args:
      capacity: How many tokens the engine's memory holds.
    """

    def __init__(self, capacity: int = UNTOLD_CAPACITY_TOKENS):
        self._room = capacity * CACHED_SHARE
        self._parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def cached_tokens(self, parts: typing.Sequence[PromptPart]) -> int:
        """Returns how many leading tokens of a prompt need not be read again."""
        tokens = 0
        for part in parts:
            if part.name not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def read(self, parts: typing.Sequence[PromptPart]) -> None:
        """Notes that the engine has read a prompt."""
        for part in parts:
            if part.name in self._parts:
                self._parts.move_to_end(part.name)
            else:
                self._parts[part.name] = part.tokens
                self._tokens += part.tokens
        while self._tokens > self._room and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def shared_parts(generation: Generation) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt that other requests may share; the last is its own."""
    return generation.parts[:-1]
