"""What a request would meet at a server, and the waits at full engines; no I/O."""

import datetime

import attrs

from cicadapond.placing._call_times import CallTimes
from cicadapond.placing._first_event import FirstEventModel, Prompt
from cicadapond.residency import Fetch
from cicadapond.serving import ServerEntry

# A preempted request is prefilled again, which delays others there as well, and it waits for a slot
# again.  With a weight of 2.0 urgent requests gave up cached prefixes for it, and fewer were in
# time.
PREEMPTION_WEIGHT = 0.3


@attrs.frozen
class Estimate:
    """What was known of a request when it was sent, to learn from its answer.

    `prompt` is None for a plain service's call, whose `running` is the factor of its wait.
    """

    prompt: Prompt | None
    ahead_ms: float
    running: float
    has_slot: bool
    pace: float


@attrs.define(eq=False)
class InFlightRequest:
    """A request that is in flight at a server.

    Attributes:
      server: The server's name.
      service: Its service.
      work_ms: The expected prefill time, or the expected duration of a plain service's call.
      since: The monotonic instant at which it was sent.
      priority: Its priority at the engine.
      begun_at: The monotonic instant at which its answer began, None before.
      tokens: The tokens that it holds in the engine's memory at most.
      estimate: What its expected time was derived from, None before it was placed.
      version: The server's software version.
    """

    server: str
    service: str
    work_ms: float
    since: datetime.timedelta
    priority: int = 0
    begun_at: datetime.timedelta | None = None
    tokens: int = 0
    estimate: Estimate | None = None
    version: str = ""


@attrs.frozen
class Candidate:
    """A server and what a request would meet there.

    `expected_ms` includes `cost_ms`, what its choice costs beside the delay: that of leaving the
    data centre and that of preempting another request.  `occupancy` is as
    `ServiceView.occupancy` returns it.
    """

    expected_ms: float
    entry: ServerEntry
    work_ms: float
    estimate: Estimate
    in_flight: float
    cost_ms: float = 0.0
    occupancy: float = 0.0
    fetch: Fetch | None = None


@attrs.frozen
class ServiceView:
    """What counts for a request at all servers of a service.

    `calls` is for plain services only, the rest for engines; `waiting_ahead` is as
    `SlotTimes.waiting_ahead` returns it for the request's priority, `less_urgent_share` and
    `preemption_ms` as `SlotTimes.preemption` does, `urgent_share` as `SlotTimes.urgent_share`.
    """

    mean_others: float
    calls: CallTimes | None = None
    model: FirstEventModel | None = None
    slot_ms: float = 0.0
    waiting_ahead: float | None = None
    mean_prefill_ms: float = 0.0
    memory: int | None = None
    mean_tokens: float = 0.0
    tokens: int = 0
    less_urgent_share: float = 0.0
    preemption_ms: float = 0.0
    urgent_share: float = 0.0

    def occupancy(self, in_flight: float, slots: int) -> float:
        """Returns how full the service's engines are, as a share of their slots or memory.

        It is 0 for requests that none would preempt.

        Args:
          in_flight: The mean number of requests at an engine.
          slots: The slots of an engine.
        """
        if not self.urgent_share:
            return 0.0
        room = slots
        if self.memory is not None:
            room = min(room, self.memory / max(1.0, self.mean_tokens))
        return in_flight / room

    def harm_ms(self, running: float, full: float) -> float:
        """Returns the expected cost of preempting a less urgent request at an engine.

        Args:
          running: How many requests run there.
          full: How likely it is that it has no room for one more.
        """
        if not self.less_urgent_share:
            return 0.0
        found = 1.0 - (1.0 - self.less_urgent_share) ** running
        return PREEMPTION_WEIGHT * full * found * self.preemption_ms

    def lacking_memory(self, used: float) -> float:
        """Returns how many requests must end at an engine until its memory holds one more.

        An engine that admits more than it holds must preempt a running request.

        Args:
          used: The tokens in its memory that cannot be evicted.
        """
        if self.memory is None:
            return 0.0
        return max(0.0, (used + self.tokens - self.memory) / max(1.0, self.mean_tokens))

    def ahead_ms(self, queued_ms: float, excess: float, ending: float) -> float:
        """Returns the wait until an engine begins with a prompt.

        With a free slot that is the prefill queued there.  Else it is the longer of the time until
        the prompt has a slot (they free up evenly) and the queued prefill of the prompts that have
        one or get it earlier.

        Args:
          queued_ms: The prefill queued there.
          excess: How many requests must end until one more has a slot.
          ending: How many requests run there and end evenly: its slots, or what its memory holds.
        """
        if excess <= 0.0:
            return queued_ms
        ahead = excess if self.waiting_ahead is None else min(excess, 1.0 + self.waiting_ahead)
        slot_wait_ms = ahead * self.slot_ms / ending
        if not queued_ms or ahead >= excess:
            return max(slot_wait_ms, queued_ms)
        prompts = max(excess, queued_ms / max(1.0, self.mean_prefill_ms))
        return max(slot_wait_ms, queued_ms * (prompts - excess + ahead) / prompts)


@attrs.frozen
class Placement:
    """The server chosen for a request, and the expected time until its answer begins.

    `departure` is why it is in its data centre: "own" if that is the process's own or leaving it
    has a constant cost, else what `ZoneCosts.record_placed` returns.
    `in_flight` is the number of requests that were there.
    `fetch_from` is the engine from which the server fetches kept parts of the prompt, if any.
    """

    server: ServerEntry
    expected: datetime.timedelta
    request: InFlightRequest
    departure: str = "own"
    in_flight: float = 0.0
    fetch_from: ServerEntry | None = None
