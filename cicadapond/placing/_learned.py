"""What a process learns of the servers of its services from their answers; no I/O.

Answers that waited for a slot under overload teach nothing of an engine's speed, and the pace of a
host that was stated when a request was sent is taken out of its time.
"""

import copy
import datetime
import typing

from cicadapond.placing._call_times import CallTimes
from cicadapond.placing._candidate import InFlightRequest, ServiceView
from cicadapond.placing._first_event import FirstEventModel, Prompt
from cicadapond.placing._server_load import ServerLoad
from cicadapond.placing._slot_wait import SlotTimes
from cicadapond.serving import Generation

# The mean prefill of a service's prompts, before any was sent, and the weight of each.
INITIAL_PREFILL_MS = 20.0
PREFILL_GAIN = 0.05
_MILLISECOND = datetime.timedelta(milliseconds=1)


class LearnedTimes:
    """What is learned of all services.

    Args:
      by_version: Whether the software versions of a service are learned apart.
      memory: Returns how many tokens an engine of a service holds in memory, None if unknown.
    """

    def __init__(self, by_version: bool, memory: typing.Callable[[str], int | None]):
        self._by_version = by_version
        self._memory = memory
        self._models: dict[tuple[str, str, int], FirstEventModel] = {}
        self._slot_times: dict[str, SlotTimes] = {}
        self._mean_prefills: dict[str, float] = {}
        self._call_times: dict[str, CallTimes] = {}

    def model(self, service: str, priority: int = 0, version: str = "") -> FirstEventModel:
        """Returns the model of a service's engines for requests of one priority.

        Engines admit more urgent requests first, so that the same queue delays them less.  A new
        version starts from what was learned of the one before.
        """
        key = (service, version if self._by_version else "", priority)
        model = self._models.get(key)
        if model is None:
            known = [
                other for of, other in self._models.items() if (of[0], of[2]) == (service, priority)
            ]
            model = copy.deepcopy(known[-1]) if known else FirstEventModel()
            self._models[key] = model
        return model

    def view(
        self,
        service: str,
        version: str,
        generation: Generation | None,
        priority: int,
        mean_others: float,
        preempts: bool,
    ) -> ServiceView:
        """Returns what counts for a request at all servers of a service and version.

        Args:
          service: The service.
          version: The software version.
          generation: The request's size, None for a plain service.
          priority: Its priority at the engines.
          mean_others: The mean number of others' requests at a server.
          preempts: Whether engines preempt less urgent requests for more urgent ones.
        """
        if generation is None:
            return ServiceView(mean_others, calls=self._calls(service))
        slot_times = self._slots(service)
        return ServiceView(
            mean_others,
            None,
            self.model(service, priority, version),
            slot_times.mean_ms,
            slot_times.waiting_ahead(priority),
            self._mean_prefills.get(service, INITIAL_PREFILL_MS),
            self._memory(service),
            slot_times.mean_tokens or generation.tokens,
            generation.tokens,
            *(slot_times.preemption(priority) if preempts else (0.0, 0.0)),
            slot_times.urgent_share(priority) if preempts else 0.0,
        )

    def record_prefill(self, service: str, prefill_ms: float) -> None:
        """Records the prefill of a prompt that is sent."""
        mean = self._mean_prefills.get(service, INITIAL_PREFILL_MS)
        self._mean_prefills[service] = mean + PREFILL_GAIN * (prefill_ms - mean)

    def record_begun(
        self, request: InFlightRequest, load: ServerLoad | None, now: datetime.timedelta
    ) -> None:
        """Learns from an answer that has begun; `load` is its server's, None if that is gone."""
        estimate = request.estimate
        if estimate is None or estimate.prompt is None:
            return
        # An urgent request that needed no slot of others overtook those that wait for one.
        overtakes = not estimate.has_slot and (
            self._slots(request.service).waiting_ahead(request.priority) is not None
        )
        if load is not None and not overtakes:
            load.queue.discard_up_to(request.since / _MILLISECOND, now / _MILLISECOND)
        if not estimate.has_slot or load is None or load.has_waiting():
            return  # it waited for a slot, which says nothing of the engine's speed
        self.model(request.service, request.priority, request.version).observe(
            request.server,
            estimate.prompt,
            estimate.ahead_ms,
            estimate.running,
            (now - request.since) / _MILLISECOND / estimate.pace,
        )

    def record_ended(
        self,
        request: InFlightRequest,
        load: ServerLoad | None,
        now: datetime.timedelta,
        took: datetime.timedelta | None,
    ) -> None:
        """Learns from a request that is no longer in flight.

        Args:
          request: The request.
          load: The load of its server, None if that is gone.
          now: The time.
          took: How long a complete answer of a plain service took, None for anything else.
        """
        if request.begun_at is not None:
            held_ms = (now - request.begun_at) / _MILLISECOND + request.work_ms
            prompt = Prompt(request.tokens, 0)
            model = self.model(request.service, request.priority, request.version)
            self._slots(request.service).record(
                request.priority, held_ms, request.tokens, model.prefill_ms(prompt)
            )
        estimate = request.estimate
        if load is None or took is None or estimate is None or estimate.prompt is not None:
            return
        call_ms = took / _MILLISECOND / estimate.pace / estimate.running
        self._calls(request.service).record(request.server, call_ms, now / _MILLISECOND)

    def remove(self, server: str) -> None:
        """Drops what was learned of a server that is gone."""
        for model in self._models.values():
            model.remove(server)
        for calls in self._call_times.values():
            calls.remove(server)

    def _calls(self, service):
        calls = self._call_times.get(service)
        if calls is None:
            calls = self._call_times[service] = CallTimes()
        return calls

    def _slots(self, service):
        slot_times = self._slot_times.get(service)
        if slot_times is None:
            slot_times = self._slot_times[service] = SlotTimes()
        return slot_times
