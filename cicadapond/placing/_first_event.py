"""Predicts how long an engine takes until an answer's first event; learned from answers; no I/O.

Engines of different deployments differ in speed, in the number of tokens per event and in how much
their batch slows them down.  So the time is a linear model of what is known of a request and of its
engine when it is sent, fitted by recursive least squares to the times that this process observes.
It starts from a guess and follows changes of the load.  Relative errors are minimised, as a short
prompt's time matters as much as a long one's.  Engines that are slower or faster than the others of
their service have a factor of their own.
"""

import attrs

# The features and their initial coefficients: a constant (ms), 1,000 new tokens to prefill (ms),
# a million pairs of new and earlier tokens (ms), the prefill queued before (ms per ms) and the
# requests running beside it (ms each).
INITIAL = (12.0, 11.4, 0.184, 1.0, 0.6)
# The standard deviations of the coefficients before any observation.
INITIAL_DEVIATIONS = (30.0, 8.0, 0.5, 0.4, 1.0)
BOUNDS = ((0.0, 400.0), (1.0, 200.0), (0.0, 10.0), (0.2, 3.0), (0.0, 20.0))
# The standard deviation of an observation, as a share of its expected time.
NOISE = 0.4
# Expected times below this count as this long when relative errors are taken.
MIN_EXPECTED_MS = 12.0
# An observation counts half after about 350 later ones.
FORGETTING = 0.998
# Observations further from the prediction than this many mean relative deviations are moved to that
# limit, so that a lost packet or a frozen engine changes little.
MAX_DEVIATIONS = 3.0
DEVIATION_GAIN = 0.05
# An answer that took longer than this multiple of its expected time met a queue that was not known,
# which is no property of the engine.
MAX_EXCESS = 1.0
INITIAL_DEVIATION = 1.0
# The weight of an observation in an engine's own factor, and its bounds.
FACTOR_GAIN = 0.15
MIN_FACTOR, MAX_FACTOR = 0.5, 8.0
# Below this, a prediction is mostly network and says nothing about the engine's speed.
MIN_FACTOR_SAMPLE_MS = 20.0


@attrs.frozen
class Prompt:
    """The prefill of a request at one engine: tokens that it has not cached, and that it has."""

    new_tokens: int
    cached_tokens: int

    def features(self) -> tuple[float, float]:
        """Returns thousands of new tokens, and millions of pairs of them with earlier ones."""
        pairs = self.new_tokens * (self.cached_tokens + self.new_tokens / 2)
        return self.new_tokens / 1e3, pairs / 1e6


class FirstEventModel:
    """The model of one service's engines."""

    def __init__(self):
        self._coefficients = list(INITIAL)
        self._covariance = [
            [deviation**2 / NOISE**2 if row == column else 0.0 for column in range(len(INITIAL))]
            for row, deviation in enumerate(INITIAL_DEVIATIONS)
        ]
        self._mean_deviation = INITIAL_DEVIATION
        self._factors: dict[str, float] = {}

    @property
    def coefficients(self) -> tuple[float, ...]:
        """The coefficients in the order of `INITIAL`."""
        return tuple(self._coefficients)

    def prefill_ms(self, prompt: Prompt) -> float:
        """Returns how long an engine takes to prefill a prompt."""
        thousands, pairs = prompt.features()
        return thousands * self._coefficients[1] + pairs * self._coefficients[2]

    def predict(self, engine: str, prefill_ms: float, queued_ms: float, running: float) -> float:
        """Returns the expected time to the first event in milliseconds.

        Args:
          engine: The engine's name.
          prefill_ms: The prompt's own prefill.
          queued_ms: The prefill queued before it.
          running: The requests that run beside it.
        """
        constant, _, _, per_queued_ms, per_running = self._coefficients
        expected = constant + prefill_ms + per_queued_ms * queued_ms + per_running * running
        return expected * self._factors.get(engine, 1.0)

    def observe(
        self, engine: str, prompt: Prompt, queued_ms: float, running: float, took_ms: float
    ) -> None:
        """Learns from one answer; the arguments are those of its prediction, and its time."""
        factor = self._factors.get(engine, 1.0)
        features = (1.0, *prompt.features(), queued_ms, running)
        expected = sum(c * x for c, x in zip(self._coefficients, features, strict=True))
        if expected >= MIN_FACTOR_SAMPLE_MS:
            sample = min(MAX_FACTOR, max(MIN_FACTOR, took_ms / expected))
            self._factors[engine] = factor + FACTOR_GAIN * (sample - factor)
        scale = max(MIN_EXPECTED_MS, expected)
        self._fit([value / scale for value in features], (took_ms / factor - expected) / scale)

    def remove(self, engine: str) -> None:
        """Drops what was learned of an engine that is gone."""
        self._factors.pop(engine, None)

    def _fit(self, features, error):
        """Moves the coefficients so that the relative error of one observation shrinks."""
        limit = MAX_DEVIATIONS * self._mean_deviation
        error = min(limit, MAX_EXCESS, max(-limit, error))
        self._mean_deviation += DEVIATION_GAIN * (abs(error) - self._mean_deviation)
        size = range(len(features))
        spread = [sum(self._covariance[i][j] * features[j] for j in size) for i in size]
        scale = FORGETTING + sum(features[i] * spread[i] for i in size)
        for i in size:
            low, high = BOUNDS[i]
            value = self._coefficients[i] + spread[i] / scale * error
            self._coefficients[i] = min(high, max(low, value))
        for i in size:
            for j in size:
                updated = self._covariance[i][j] - spread[i] * spread[j] / scale
                self._covariance[i][j] = min(updated / FORGETTING, _MAX_COVARIANCE)


# Keeps forgetting from inflating the variance of a coefficient whose feature does not occur.
_MAX_COVARIANCE = max(deviation**2 for deviation in INITIAL_DEVIATIONS) / NOISE**2
