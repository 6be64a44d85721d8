"""Models which parts of prompts an engine's prefix cache holds, from the requests sent to it."""

import collections
import typing

from cicadapond.serving import Generation, PromptPart

# The share of an engine's KV memory that caches prompt parts; the rest serves running requests.
CACHED_SHARE = 0.6
DEFAULT_CAPACITY_TOKENS = 400_000


class PrefixCacheModel:
    """The prompt parts that one engine caches, with LRU eviction.

    Args:
      capacity_tokens: How many tokens the engine's KV memory holds.
    """

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS):
        self._cache_capacity_tokens = capacity_tokens * CACHED_SHARE
        self._cached_parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._cached_tokens = 0

    def cached_tokens(self, parts: typing.Sequence[PromptPart]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        tokens = 0
        for part in parts:
            if part.name not in self._cached_parts:
                break
            tokens += part.tokens
        return tokens

    def parts(self) -> dict[str, int]:
        """Returns the tokens of the cached parts, the one used latest last."""
        return dict(self._cached_parts)

    def add_prompt(self, parts: typing.Sequence[PromptPart]) -> None:
        """Records that the engine has prefilled a prompt, and evicts what no longer fits."""
        for part in parts:
            if part.name in self._cached_parts:
                self._cached_parts.move_to_end(part.name)
            else:
                self._cached_parts[part.name] = part.tokens
                self._cached_tokens += part.tokens
        while self._cached_tokens > self._cache_capacity_tokens and len(self._cached_parts) > 1:
            _, tokens = self._cached_parts.popitem(last=False)
            self._cached_tokens -= tokens


def shared_parts(generation: Generation) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt that other requests may share: all but the last."""
    return generation.parts[:-1]
