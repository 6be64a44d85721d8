"""A model engine's behaviour without its network: batching, prefix cache, deterministic tokens."""

import asyncio
import hashlib

import attrs

from cicadapond.data import Finished, GenerateCall, Token, split_tokens
from cicadapond.kernel import Clock

_SYLLABLES = ("ba", "co", "di", "fu", "ga", "lo", "mi", "ne", "po", "ru", "sa", "te", "vi", "zo")


def token_chain(call: GenerateCall) -> bytes:
    """Returns the state from which an answer's first token follows."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (call.model, call.version, call.adapter or "", str(call.seed), call.prompt):
        digest.update(part.encode() + b"\0")
    return digest.digest()


def next_token(chain: bytes) -> tuple[str, bytes]:
    """Returns the token that follows a state, and the state after it."""
    number = int.from_bytes(chain, "big")
    length = 1 + number % 3
    word = "".join(_SYLLABLES[(number >> (8 * i)) % len(_SYLLABLES)] for i in range(length))
    text = word + " "
    return text, advance_chain(chain, text)


def advance_chain(chain: bytes, text: str) -> bytes:
    """Returns the state after a token, so that a wrong earlier token changes all later ones."""
    return hashlib.blake2b(chain + text.encode(), digest_size=8).digest()


def whole_answer(call: GenerateCall) -> list[str]:
    """Returns every token of an undisturbed answer, for checkers."""
    chain = token_chain(call)
    tokens = []
    for _ in range(call.max_tokens):
        text, chain = next_token(chain)
        tokens.append(text)
    return tokens


@attrs.frozen
class EngineTiming:
    """How long an engine's work takes, in seconds per token."""

    prefill_token_seconds: float = 0.0002
    decode_step_seconds: float = 0.02


class EngineModel:
    """One stand-in engine.

    Args:
      timing: How long its work takes.
      clock: Gives the time.
    """

    def __init__(self, timing: EngineTiming, clock: Clock):
        self._timing = timing
        self._clock = clock

    async def generate(self, call: GenerateCall):
        """Yields the attempt's tokens, then `Finished`."""
        chain = token_chain(call)
        for text in call.resume:
            chain = advance_chain(chain, text)
        prefill = len(split_tokens(call.prompt)) + len(call.resume)
        await asyncio.sleep(prefill * self._timing.prefill_token_seconds)
        for sequence in range(len(call.resume), call.max_tokens):
            await asyncio.sleep(self._timing.decode_step_seconds)
            text, chain = next_token(chain)
            yield Token(call.epoch, sequence, text)
        yield Finished(call.epoch, call.max_tokens, "length", 0, prefill)
