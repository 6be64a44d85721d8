"""One attempt inside a stand-in engine: what is left to compute and what waits to be read."""

import asyncio
import collections

from cicadapond.data import (
    Broken,
    Finished,
    GenerateCall,
    Token,
    prefix_blocks,
    split_tokens,
)
from cicadapond.standin._tokens import advance_chain, next_token, stopped, token_chain

MAX_UNREAD_EVENTS = 64


def context_text(call: GenerateCall, tokens) -> str:
    """Returns the whole text that a stream's KV cache covers."""
    return f"{call.prompt} {''.join(tokens)}" if tokens else call.prompt


class EngineRun:
    """One attempt; the engine's step loop advances it, one reader takes its events."""

    def __init__(self, call: GenerateCall):
        self.call = call
        self.tokens = list(call.resume)
        self.prompt_tokens = len(split_tokens(call.prompt))
        self.blocks = prefix_blocks(context_text(call, call.resume))
        self.cached = 0
        self.computed = 0
        self.to_prefill = 0
        self.silent_after: int | None = None
        self.truncate_after: int | None = None
        self.ended = False
        self.refused: Broken | None = None
        self._chain = token_chain(call)
        for text in call.resume:
            self._chain = advance_chain(self._chain, text)
        self._events = collections.deque()
        self._arrived = asyncio.Event()

    @property
    def key(self):
        """What names the attempt in its engine."""
        return (self.call.stream_id, self.call.epoch)

    @property
    def context_tokens(self) -> int:
        """How many tokens its KV cache covers."""
        return self.prompt_tokens + len(self.tokens)

    @property
    def readable(self) -> bool:
        """Whether its reader has room for more."""
        return len(self._events) < MAX_UNREAD_EVENTS

    def prefill(self, limit: int) -> int:
        """Computes up to `limit` tokens of its context, and returns how many."""
        done = min(limit, self.to_prefill)
        self.to_prefill -= done
        self.computed += done
        return done

    def decode(self) -> None:
        """Generates the next token, and the end after the last one."""
        text, self._chain = next_token(self._chain)
        call = self.call
        self.push(Token(call.epoch, len(self.tokens), text, call.stream_id))
        self.tokens.append(text)
        if self.truncate_after is not None and len(self.tokens) >= self.truncate_after:
            self.end(None)
        elif stopped(self.tokens, call.stop):
            self.end(self._finished("stop"))
        elif len(self.tokens) >= call.max_tokens:
            self.end(self._finished("length"))

    def _finished(self, reason):
        call = self.call
        return Finished(
            call.epoch, len(self.tokens), reason, self.cached, self.computed, call.stream_id
        )

    def end(self, event: Finished | Broken | None) -> None:
        """Ends the attempt; None is an end without word."""
        if self.ended:
            return
        self.ended = True
        self.push(event)

    def push(self, event) -> None:
        """Makes an event readable, unless the stream has fallen silent."""
        if self.silent_after is not None and len(self.tokens) >= self.silent_after:
            return
        self._events.append(event)
        self._arrived.set()

    async def read(self) -> list:
        """Waits for events and takes them all; None among them is an end without word."""
        while not self._events:
            self._arrived.clear()
            await self._arrived.wait()
        events = list(self._events)
        self._events.clear()
        return events
