"""Policy "trusting": the baseline, which keeps no record and sends again after each failure."""

from cicadapond.backend import NotSent
from cicadapond.kernel import NotRun, Ok, Unknown
from cicadapond.ledger._api import KeyedCallPolicy, keyed_call_policies

MAX_SENDS = 3


@keyed_call_policies.register("trusting")
class TrustingCalls(KeyedCallPolicy):
    """Assumes that a call without an answer did not run."""

    def __init__(self, tables, objects, cfg, clock, metrics, rng):
        self._cfg = cfg
        self._clock = clock

    async def call(self, keyed_call, send):
        deadline = keyed_call.deadline
        if deadline is None:
            deadline = self._clock.monotonic() + self._cfg.call_limit
        for _ in range(MAX_SENDS):
            outcome = await send(deadline)
            if isinstance(outcome, Ok):
                return outcome
        match outcome:
            case NotSent(reason, retry_after):
                return NotRun(reason, retry_after)
            case Unknown():
                return outcome
