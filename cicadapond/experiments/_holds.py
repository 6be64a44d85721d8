"""Ways in which requests wait for engines in the simulated deployment of `_load_world`."""

import datetime

from cicadapond.kernel import seconds
from cicadapond.placing import should_hold

POLL_MS = 40.0


class NoHold:
    """Sends each request at once."""

    def __init__(self, world):
        self._world = world

    def arrive(self, call):
        self._world.send(call)

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
