"""Bounded turns on the event loop, for loops that are fed from outside."""

import asyncio

STEPS_PER_TURN = 64


class Turns:
    """Lets the other tasks of the event loop run after a bounded number of steps.

    A read returns at once while received bytes are left, so that a loop of reads alone lets nothing
    else run, no time-out either.
    """

    def __init__(self):
        self._left = STEPS_PER_TURN

    async def step(self, steps: int = 1) -> None:
        """Counts steps, and lets other tasks run if the turn is over."""
        self._left -= steps
        if self._left <= 0:
            self._left = STEPS_PER_TURN
            await asyncio.sleep(0)
