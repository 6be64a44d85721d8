"""Counts the callers' requests that are being served, so that a planned stop can wait for them."""

import asyncio
import contextlib


class InFlight:
    """The number of requests in flight, and a way to wait until there is none."""

    def __init__(self):
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def one(self):
        """Counts one request for the length of a `with` block."""
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
