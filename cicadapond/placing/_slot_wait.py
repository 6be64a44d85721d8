"""How long a request waits for a slot of a full engine, by its priority; no I/O.

It answers overload with several kinds of requests: engines admit the more urgent first, so that an
urgent one waits for the next slot only, however many less urgent ones wait there.
"""

import math

import attrs

# The assumed time that a generation occupies a slot, in milliseconds, before any was measured, and
# the weight of each measured one in the moving average.
INITIAL_SLOT_MS = 1000.0
SLOT_TIME_GAIN = 0.05
# The slot time that each priority used counts half after about 140 later requests.
SLOT_SHARE_DECAY = 0.995
# Up to this share of the slot time the waiting requests are those of a queue in balance.
MAX_BALANCED_SHARE = 0.95
# The standard deviation of the number of others' requests, as a multiple of its square root.
OTHERS_DEVIATION = 0.5


@attrs.define
class SlotTimes:
    """The slot times of one service's requests."""

    mean_ms: float = INITIAL_SLOT_MS
    _token_ms: float = 0.0
    _harm_ms: dict[int, float] = attrs.field(factory=dict)
    _used_ms: dict[int, float] = attrs.field(factory=dict)

    @property
    def mean_tokens(self) -> float:
        """The mean tokens in memory of the requests that run at an instant, 0 if none ended."""
        total_ms = sum(self._used_ms.values())
        return self._token_ms / total_ms if total_ms else 0.0

    def record(self, priority: int, held_ms: float, tokens: int, prefill_ms: float) -> None:
        """Records a request that has ended.

        Args:
          priority: Its priority.
          held_ms: How long it occupied a slot.
          tokens: Its tokens in memory.
          prefill_ms: How long it would take to prefill all of them again.
        """
        harm_ms = self._harm_ms.get(priority, prefill_ms)
        self._harm_ms[priority] = harm_ms + SLOT_TIME_GAIN * (prefill_ms - harm_ms)
        self._token_ms = self._token_ms * SLOT_SHARE_DECAY + tokens * held_ms
        self.mean_ms += SLOT_TIME_GAIN * (held_ms - self.mean_ms)
        for known in self._used_ms:
            self._used_ms[known] *= SLOT_SHARE_DECAY
        self._used_ms[priority] = self._used_ms.get(priority, 0.0) + held_ms

    def waiting_ahead(self, priority: int) -> float | None:
        """Returns how many requests of the same or a higher urgency wait at a full engine.

        As long as they need less than all slots, it is a short queue in balance, whatever else
        waits behind them.

        Returns:
          The number, None if all that wait may be ahead.
        """
        total = sum(self._used_ms.values())
        ahead_ms = sum(used for known, used in self._used_ms.items() if known <= priority)
        if not total or ahead_ms > MAX_BALANCED_SHARE * total:
            return None
        share = ahead_ms / total
        return share / (1.0 - share)

    def preemption(self, priority: int) -> tuple[float, float]:
        """Returns what a request of a priority would preempt at a full engine.

        Returns:
          The share of the slot time that less urgent requests used lately, and the mean prefill
          that one of them would need again, in milliseconds.
        """
        total_ms = sum(self._used_ms.values())
        less_urgent = {known: used for known, used in self._used_ms.items() if known > priority}
        used_ms = sum(less_urgent.values())
        if not used_ms:
            return 0.0, 0.0
        harm_ms = sum(used * self._harm_ms[known] for known, used in less_urgent.items())
        return used_ms / total_ms, harm_ms / used_ms

    def urgent_share(self, priority: int) -> float:
        """Returns the share of the slot time that more urgent requests used lately."""
        urgent_ms = sum(used for known, used in self._used_ms.items() if known < priority)
        return urgent_ms / sum(self._used_ms.values()) if urgent_ms else 0.0


def full_probability(count: float, others: float, slots: int) -> float:
    """Returns how likely it is that an engine has no free slot; as `expected_excess` otherwise."""
    excess = count + 0.5 - slots
    deviation = OTHERS_DEVIATION * math.sqrt(others)
    if abs(excess) >= 4.0 * deviation:
        return float(excess > 0.0)
    return 1.0 / (1.0 + math.exp(-excess / deviation))


def expected_excess(count: float, others: float, slots: int) -> float:
    """Returns how many requests must end at an engine until one more has a slot.

    The number of others' requests is uncertain, by about half of its square root, so that an engine
    that is almost full may well be full.

    Args:
      count: The requests that it has, by all that is known.
      others: Those of them that other processes sent.
      slots: Its slots.
    """
    excess = count - slots + 1.0
    deviation = OTHERS_DEVIATION * math.sqrt(others)
    if deviation <= 0.0 or excess > 4.0 * deviation:
        return max(0.0, excess)
    if excess < -4.0 * deviation:
        return 0.0
    return deviation * math.log1p(math.exp(excess / deviation))
