"""One attempt in a simulated engine: its remaining computation and its unread events."""

import asyncio
import collections

from cicadapond.data import (
    Broken,
    Finished,
    GenerateCall,
    Token,
    prefix_block_hashes,
    split_tokens,
)
from cicadapond.standin._tokens import advance_chain, next_token, stopped, token_chain

MAX_UNREAD_EVENTS = 64


def context_text(call: GenerateCall, tokens) -> str:
    """Returns the text that a stream's KV cache covers: the prompt and the tokens so far."""
    return f"{call.prompt} {''.join(tokens)}" if tokens else call.prompt


class EngineRun:
    """One attempt; the engine's step loop advances it, and one reader consumes its events."""

    def __init__(self, call: GenerateCall):
        self.call = call
        self.tokens = list(call.resume)
        self.prompt_tokens = len(split_tokens(call.prompt))
        self.blocks = prefix_block_hashes(context_text(call, call.resume))
        self.cached = 0
        self.computed = 0
        self.prefill_left = 0
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
        """Identifies the attempt within its engine: (stream id, epoch)."""
        return (self.call.stream_id, self.call.epoch)

    @property
    def context_tokens(self) -> int:
        """The number of tokens that its KV cache covers."""
        return self.prompt_tokens + len(self.tokens)

    @property
    def has_buffer_space(self) -> bool:
        """Whether fewer than MAX_UNREAD_EVENTS events wait for the reader."""
        return len(self._events) < MAX_UNREAD_EVENTS

    def prefill(self, limit: int) -> int:
        """Prefills up to `limit` tokens of its context; returns how many."""
        done = min(limit, self.prefill_left)
        self.prefill_left -= done
        self.computed += done
        return done

    def decode(self) -> None:
        """Generates the next token, and the final event after the last one."""
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
        """Ends the attempt; None closes the stream without a final event."""
        if self.ended:
            return
        self.ended = True
        self.push(event)

    def push(self, event) -> None:
        """Makes an event readable; drops it if the stream is silent by fault."""
        if self.silent_after is not None and len(self.tokens) >= self.silent_after:
            return
        self._events.append(event)
        self._arrived.set()

    async def read(self) -> list:
        """Waits for events and returns them all; None is a close without a final event."""
        while not self._events:
            self._arrived.clear()
            await self._arrived.wait()
        events = list(self._events)
        self._events.clear()
        return events
