"""Ways in which requests wait for engines in the simulated deployment of `_load_world`."""

import datetime
import random

from cicadapond.kernel import seconds
from cicadapond.placing import should_hold
from cicadapond.queueing import Decision, ServiceQueue, Waiting

POLL_MS = 40.0


class NoHold:
    """Sends each request at once."""

    def __init__(self, world):
        self._world = world

    def arrive(self, call):
        self._world.send(call)

    def begun(self, call):
        pass

    def changed(self, process):
        pass

    def abandon(self, call):
        pass


class PolledHold(NoHold):
    """Each held request looks every 40 ms whether it may be sent, as `should_hold` says."""

    def arrive(self, call):
        self._poll(call)

    def _poll(self, call):
        world, kind = self._world, call.kind
        if world.now - call.at >= kind.limit_ms:
            return
        servers = world.usable()
        expected_ms, entry = call.process.placer.best(servers, call.generation, kind.priority)
        if should_hold(
            datetime.timedelta(milliseconds=expected_ms),
            seconds(kind.objective_ms / 1000),
            seconds((world.now - call.at) / 1000),
            seconds(kind.limit_ms / 1000),
        ):
            world.schedule(world.now + POLL_MS, lambda now: self._poll(call))
        else:
            world.send(call, [entry])


class QueueHold(NoHold):
    """Each process has a `ServiceQueue`."""

    def __init__(self, world):
        super().__init__(world)
        self._queues = {}
        self._waiting = {}
        self._sent = {}

    def _queue(self, process):
        if process not in self._queues:
            rng = random.Random(len(self._queues))
            self._queues[process] = ServiceQueue(self._world.clock, process.placer, rng)
        return self._queues[process]

    def arrive(self, call):
        world, kind = self._world, call.kind
        now = world.clock.monotonic()
        waiting = Waiting(
            call.generation,
            kind.priority,
            call.account,
            now,
            seconds(kind.objective_ms / 1000),
            now + seconds(kind.limit_ms / 1000),
            world.usable,
            lambda admission: self._decided(call, admission),
        )
        queue = self._queue(call.process)
        admission = queue.submit(waiting)
        if admission.decision is Decision.WAIT:
            self._waiting[call] = waiting
            due = queue.next_due() / seconds(0.001)
            world.schedule(max(world.now, due), lambda now: queue.wake())
        else:
            self._decided(call, admission)

    def _decided(self, call, admission):
        self._waiting.pop(call, None)
        if admission.decision is Decision.SEND:
            self._world.send(call, [admission.server])
            expected = seconds(call.expected_ms / 1000)
            self._sent[call] = self._queue(call.process).send(call.kind.priority, expected)
        else:
            call.refused_ms = self._world.now - call.at

    def begun(self, call):
        self._queue(call.process).begin(call.kind.priority, self._sent[call])

    def changed(self, process):
        self._queue(process).wake()

    def abandon(self, call):
        waiting = self._waiting.pop(call, None)
        if waiting is not None:
            self._queue(call.process).withdraw(waiting)
        if call in self._sent:
            self._queue(call.process).end(call.kind.priority, self._sent[call])
