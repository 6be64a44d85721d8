"""Counts the callers' requests in flight, so that a planned stop can wait for them."""

import asyncio
import contextlib


class InFlight:
    """The number of requests in flight."""

    def __init__(self):
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def track(self):
        """Counts one request for the duration of a `with` block."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Returns once no request is in flight."""
        await self._idle.wait()
