"""The queues in front of the engines of this process, woken by what happens at the engines."""

import asyncio
import random

from cicadapond.gateway._request import RequestState, milliseconds
from cicadapond.kernel import Clock, Metrics
from cicadapond.placing import InFlightRequest, Placer
from cicadapond.queueing import Admission, Decision, Sent, ServiceQueue, Waiting


class ServiceQueues:
    """One queue for each service whose engines state their pace.

    Args:
      clock: Gives the time.
      placer: Places the requests; calls `changed`.
      metrics: Receives the lengths, waits and rejections.
    """

    def __init__(self, clock: Clock, placer: Placer, metrics: Metrics):
        self._clock = clock
        self._placer = placer
        self._metrics = metrics
        self._rng = random.Random()
        self._queues: dict[str, ServiceQueue] = {}
        self._sent: dict[InFlightRequest, tuple[ServiceQueue, Sent]] = {}
        self._wakes = False

    def is_on(self, service: str) -> bool:
        """Returns whether requests of a service pass its queue."""
        return self._placer.reports_pace(service)

    async def admit(self, state: RequestState) -> Admission:
        """Waits until a request is to be sent or is rejected."""
        queue = self._queue(state.service)
        decided = asyncio.get_running_loop().create_future()
        begun = self._clock.monotonic()
        waiting = Waiting(
            state.req.generation,
            state.priority() or 0,
            state.account.name if state.account is not None else "",
            state.received_at,
            state.route.objective,
            state.deadline,
            state.servers.candidates,
            lambda admission: decided.done() or decided.set_result(admission),
        )
        admission = queue.submit(waiting)
        if admission.decision is Decision.WAIT:
            first = admission
            self._metrics.gauge("queue_length", len(queue), service=state.service)
            try:
                admission = await self._wait(queue, waiting, decided)
            finally:
                queue.withdraw(waiting)
                self._metrics.gauge("queue_length", len(queue), service=state.service)
            held = self._clock.monotonic() - begun
            self._metrics.record("held", held)
            state.log(
                "held",
                held_ms=milliseconds(held),
                reason=first.reason,
                position=first.position,
                expected_ms=milliseconds(first.forecast),
            )
        if admission.decision is Decision.REJECT:
            self._metrics.count("queue_rejections", service=state.service, reason=admission.reason)
            forecast = admission.forecast
            state.log(
                "queue_rejected",
                reason=admission.reason,
                expected_ms=milliseconds(forecast) if forecast is not None else None,
                retry_after_ms=milliseconds(admission.retry_after),
            )
        return admission

    def record_sent(self, request: InFlightRequest, expected) -> None:
        """Records that a request was placed, to learn from how long its answer takes."""
        if request.service in self._queues:
            queue = self._queues[request.service]
            self._sent[request] = queue, queue.send(request.priority, expected)
            self._schedule_wake()

    def changed(self, request: InFlightRequest | None) -> None:
        """Is called if a response has begun or ended (its request), or a report has come (None)."""
        queue, sent = self._sent.get(request, (None, None))
        if queue is not None:
            if request.begun_at is not None:
                queue.begin(request.priority, sent)
            if not self._placer.is_in_flight(request):
                queue.end(request.priority, sent)
                del self._sent[request]
        self._schedule_wake()

    def _schedule_wake(self):
        if not self._wakes and any(self._queues.values()):
            self._wakes = True
            asyncio.get_running_loop().call_soon(self._wake)

    def _wake(self):
        self._wakes = False
        for queue in self._queues.values():
            queue.wake(1)

    async def _wait(self, queue, waiting, decided):
        """Waits for a decision; at the latest instant the queue is woken to make one."""
        while not decided.done():
            left = queue.latest(waiting) - self._clock.monotonic()
            try:
                async with asyncio.timeout(max(MIN_WAIT_S, left.total_seconds())) as timeout:
                    await decided
            except TimeoutError:
                if not timeout.expired():
                    raise
                return queue.decide_now(waiting)
        return decided.result()

    def _queue(self, service):
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(self._clock, self._placer, self._rng)
        return queue


# A wait of no time would not let other tasks run.
MIN_WAIT_S = 0.001
