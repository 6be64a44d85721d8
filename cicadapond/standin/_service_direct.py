"""In-process client of a simulated service, for the virtual event loop."""

import asyncio
import datetime

from cicadapond.backend import NotSent, PlainService
from cicadapond.data import BackendServer, ServiceResponse
from cicadapond.kernel import Clock, Ok, Unavailable, Unknown
from cicadapond.standin._service import Crashed, ServiceModel, Silent, Truncated

ZERO = datetime.timedelta()
ONE_WAY = datetime.timedelta(milliseconds=1)


class DirectService(PlainService):
    """An in-process client of a `ServiceModel`.

    A call that its caller cancels or times out is still served, as over a network.

    Args:
      model: The simulated server.
      server: The backend server that it represents.
      clock: Gives the time.
    """

    def __init__(self, model: ServiceModel, server: BackendServer, clock: Clock):
        self.model = model
        self.server = server
        self.reachable = True
        self._clock = clock
        self._pooled = False

    async def call(self, call, timeout, new_connection):
        if not self.reachable or self.model.is_down:
            await self._clock.sleep(ONE_WAY)
            return NotSent(f"{self.server.name}: connection refused")
        if timeout <= ZERO:
            return NotSent(f"{self.server.name}: no time left")
        silent = self._pooled and not new_connection and self.model.faults.silent_pooled
        self._pooled = self._pooled or not new_connection
        served = asyncio.ensure_future(self._serve(call, silent))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                result = await asyncio.shield(served)
                if isinstance(result, Silent):
                    await self._clock.sleep(timeout)
        except TimeoutError:
            self._pooled = self._pooled and new_connection  # a connection that timed out is closed
            return Unknown(f"{self.server.name}: no answer within {timeout}")
        return self._outcome(result)

    async def load_report(self):
        if not self.reachable or self.model.is_down:
            return Unavailable(f"{self.server.name}: connection refused")
        return Ok(self.model.load_report())

    async def _serve(self, call, silent):
        await self._clock.sleep(ONE_WAY)
        if silent or not self.reachable:
            result = Silent()
        elif self.model.is_down:
            result = Crashed()
        else:
            result = await self.model.serve(call)
        await self._clock.sleep(ONE_WAY)
        return result if self.reachable else Silent()

    def _outcome(self, result):
        match result:
            case ServiceResponse():
                return Ok(result)
            case NotSent():
                return result
            case Truncated():
                return Unknown(f"{self.server.name}: the answer broke off")
        return Unknown(f"{self.server.name}: the connection broke")
