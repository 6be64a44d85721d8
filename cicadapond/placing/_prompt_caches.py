"""What engines have cached of a prompt: as is known of them, else as is guessed; no I/O."""

import typing

import attrs

from cicadapond.placing._first_event import FirstEventModel, Prompt
from cicadapond.placing._prefix_homes import PrefixHomes
from cicadapond.placing._prefixes import shared_parts
from cicadapond.placing._server_load import ServerLoad
from cicadapond.residency import FETCH_MARGIN, CachedParts, Fetch
from cicadapond.serving import Generation, ServerEntry


class PromptCaches:
    """The prompt parts that engines have cached.

    Args:
      cached_parts: What is known of them.
    """

    def __init__(self, cached_parts: CachedParts):
        self._cached_parts = cached_parts
        self._prefix_homes = PrefixHomes()

    def homes(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        by_zone: bool,
    ) -> tuple[ServerEntry, ...]:
        """Returns the servers where a prompt's last shared part is, or else belongs.

        Args:
          servers: The servers.
          generation: The size of the request.
          by_zone: Whether a part belongs to one server in each data centre, else to one in all.
        """
        shared = shared_parts(generation) if generation is not None else ()
        if not shared or not servers:
            return ()
        holders = self._cached_parts.holders(shared, servers)
        if not holders and len(servers) == 1 and self._is_known(servers[0], shared):
            return ()  # one that was chosen before is not the home for being the only one
        return holders or self._prefix_homes.find(shared[-1].name, servers, by_zone)

    def _is_known(self, entry, shared):
        return self._cached_parts.cached_tokens(entry, shared) is not None

    def cached(
        self,
        entry: ServerEntry,
        load: ServerLoad,
        generation: Generation,
        is_home: bool,
        model: FirstEventModel,
    ) -> tuple[int, Fetch | None]:
        """Returns how many tokens of a prompt an engine need not prefill, and how it gets them.

        Args:
          entry: The engine.
          load: Its load.
          generation: The size of the request.
          is_home: Whether it is one of the prompt's `homes`.
          model: Tells how long a prefill takes.
        """
        shared = shared_parts(generation)
        cached = self._cached_parts.cached_tokens(entry, shared)
        if cached is None:
            cached = load.prefix_cache.cached_tokens(generation.parts)
        fetch = self._cached_parts.fetch(entry, shared, cached)
        if fetch is None:
            # A part that is known to be elsewhere is not guessed at its home.
            return max(cached, sum(part.tokens for part in shared)) if is_home else cached, None
        saved_ms = model.prefill_ms(Prompt(fetch.missing, cached))
        if FETCH_MARGIN * fetch.expected_ms >= saved_ms:
            return cached, None
        return fetch.tokens, attrs.evolve(fetch, saved_ms=saved_ms)

    def record_placed(self, generation: Generation, load: ServerLoad, fetch: Fetch | None) -> None:
        """Records that a request was sent to an engine."""
        load.prefix_cache.add_prompt(generation.parts)
        self._cached_parts.record_placed(generation, fetch)

    def remove(self, server: str) -> None:
        """Drops what is kept of a server that is gone."""
        self._prefix_homes.remove(server)
