"""Mixes of calls to send, modelled on the users' own workload."""

import abc
import json
import random

import attrs

from cicadapond.kernel import Registry

mixes: "Registry[Mix]" = Registry("mix of calls")

STORES = 40
SHADES = 400
SHELF_WORDS = 320
QUESTION_TOKENS = 24
PLANOGRAM_TOKENS = 200


@attrs.frozen
class CallSpec:
    """One call to send; the report groups its measurements by `kind`."""

    kind: str
    method: str
    path: str
    body: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    streams: bool = False


class Mix(abc.ABC):
    """Generates a sequence of calls."""

    @abc.abstractmethod
    def call(self, number: int, rng: random.Random) -> CallSpec:
        """Returns the call numbered `number`."""


@mixes.register("question")
class QuestionMix(Mix):
    """Short product questions from counter staff, streamed."""

    def call(self, number, rng):
        prompt = f"Which shade goes with shade {rng.randrange(SHADES)} at the counter today?"
        return _completion("question", prompt, QUESTION_TOKENS, "interactive")


@mixes.register("planogram")
class PlanogramMix(Mix):
    """Long seasonal planograms; the stores' prompts share a prefix and differ in the last word."""

    def call(self, number, rng):
        season = " ".join(f"shelf-{place} shade-{place % SHADES}" for place in range(SHELF_WORDS))
        prompt = f"{season} store {rng.randrange(STORES)}"
        return _completion("planogram", prompt, PLANOGRAM_TOKENS, "batch")


@mixes.register("stock")
class StockMix(Mix):
    """Stock checks: idempotent calls to a plain HTTP service."""

    def call(self, number, rng):
        path = f"/services/counter-app/stock/{rng.randrange(SHADES)}"
        return CallSpec("stock", "GET", path)


@mixes.register("reorder")
class ReorderMix(Mix):
    """Reorders: calls that must run at most once, each with its own idempotency key."""

    def call(self, number, rng):
        key = f"order-{rng.getrandbits(64):016x}"
        body = json.dumps({"shade": rng.randrange(SHADES), "count": 1})
        headers = (("Idempotency-Key", key), ("Content-Type", "application/json"))
        return CallSpec("reorder", "POST", "/services/counter-app/orders", body, headers)


@mixes.register("day")
class DayMix(Mix):
    """The Co-op's working day: mostly questions and stock checks, some planograms and reorders."""

    SHARES = (("question", 0.4), ("stock", 0.4), ("planogram", 0.1), ("reorder", 0.1))

    def __init__(self):
        self._mixes = [mixes.create(name) for name, _ in self.SHARES]
        self._weights = [share for _, share in self.SHARES]

    def call(self, number, rng):
        return rng.choices(self._mixes, self._weights)[0].call(number, rng)


def _completion(kind, prompt, max_tokens, priority):
    fields = {"model": "shade-model", "prompt": prompt, "max_tokens": max_tokens}
    fields |= {"stream": True, "priority": priority}
    headers = (("Content-Type", "application/json"),)
    return CallSpec(kind, "POST", "/v1/completions", json.dumps(fields), headers, True)
