"""Busy processes that share a core with the gateway processes of a soak."""

import asyncio
import os
import random
import sys

_BUSY = "while True: pass"
COUNTS = (0, 0, 2, 4)


def draw_neighbours(seed: int) -> int:
    """Returns how many busy processes run beside the gateway processes of a seed."""
    return random.Random(f"neighbours {seed}").choice(COUNTS)


class Neighbours:
    """Busy processes on one core, which the gateway processes then share; none if there are none.

    Args:
      count: How many there are.
      rng: Chooses the core.
    """

    def __init__(self, count: int, rng: random.Random):
        self._count = count
        self._core = rng.choice(sorted(os.sched_getaffinity(0)))
        self._running: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Starts them."""
        for _ in range(self._count):
            self._running.append(await self._start(_BUSY))

    def _start(self, code):
        return asyncio.create_subprocess_exec(
            sys.executable, "-S", "-c", code, preexec_fn=self.share_core
        )

    def share_core(self) -> None:
        """Moves the calling process to the core of the busy ones, if there are any.

        Called before it runs its program, as a start on a free core would be a faster one.
        """
        if self._count:
            os.sched_setaffinity(0, {self._core})

    async def run_interpreter(self) -> None:
        """Runs an interpreter that does nothing, on the core of the busy processes."""
        await (await self._start("")).wait()

    async def stop(self) -> None:
        """Ends them."""
        for process in self._running:
            process.kill()
        await asyncio.gather(*(process.wait() for process in self._running))
        self._running.clear()
