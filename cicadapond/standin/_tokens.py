"""Deterministic token generation: without faults, a call always gets the same tokens."""

import hashlib

from cicadapond.data import GenerateCall

_SYLLABLES = ("ba", "co", "di", "fu", "ga", "lo", "mi", "ne", "po", "ru", "sa", "te", "vi", "zo")


def token_chain(call: GenerateCall) -> bytes:
    """Returns the state that determines an answer's first token."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (call.model, call.version, call.adapter or "", str(call.seed), call.prompt):
        digest.update(part.encode() + b"\0")
    return digest.digest()


def next_token(chain: bytes) -> tuple[str, bytes]:
    """Returns the token that a state determines, and the next state."""
    number = int.from_bytes(chain, "big")
    length = 1 + number % 3
    word = "".join(_SYLLABLES[(number >> (8 * i)) % len(_SYLLABLES)] for i in range(length))
    text = word + " "
    return text, advance_chain(chain, text)


def advance_chain(chain: bytes, text: str) -> bytes:
    """Returns the state after a token, so that a wrong token changes all later ones."""
    return hashlib.blake2b(chain + text.encode(), digest_size=8).digest()


def expected_tokens(call: GenerateCall) -> list[str]:
    """Returns all tokens of the answer that a call gets without faults, for checkers."""
    chain = token_chain(call)
    tokens = []
    for _ in range(call.max_tokens):
        text, chain = next_token(chain)
        tokens.append(text)
        if stopped(tokens, call.stop):
            break
    return tokens


def stopped(tokens: list[str], stop: tuple[str, ...]) -> bool:
    """Returns whether the end of the answer so far contains one of its stop texts."""
    if not stop:
        return False
    tail = "".join(tokens[-max(map(len, stop)) :])
    return any(text in tail for text in stop)
