"""Bounds what one peer's input costs the others that share an event loop.

A peer that sends faster than this process reads always has bytes that can be handled.  Handling
them in short turns lets the others run, but they share the processor with it all the while.  So the
work is measured as time, which means the same on a fast machine and on a slow one.
"""

import asyncio
import math
import time

from cicadapond.kernel._turns import STEPS_PER_TURN

# What all costly inputs of a process take together.
COSTLY_SHARE = 0.1
# An input is costly if it has taken so much of the processor without a result.
FREE_COST_S = 0.002
# What all inputs that share `FreeWork` may take of the processor before each of them is costly at
# once, as a share of the time and at the same moment.
FREE_SHARE = 0.1
FREE_BURST_S = 0.1
# What a step of a turn counts that is not measured.
UNMEASURED_STEP_S = 0.00002
# From what processor time on an input is costly while nothing of that is left, and its turns then.
SCARCE_COST_S = 0.0002
SCARCE_STEPS = 8
# Pieces of at least this size on average cost little for what they bring.
MIN_PIECE_BYTES = 256
# Results may take so much of the processor at once, and this share of the time on average.
RESULT_BURST_S = 0.05
RESULT_SHARE = 0.1
# A turn that seems to have taken longer than this was interrupted, as by a suspension.
MAX_TURN_S = 0.1
# The longest time for which the work of one step is measured: beyond it, the step has waited.
MAX_STEP_S = 0.001


class ProcessorShare:
    """Gives the costly inputs of one process their turns, one after the other.

    After each turn, nothing is read from any of them for a multiple of the time that it took by the
    clock, with the time by which it began late.  Where other processes keep this one waiting, or
    other work does, that is longer than the turn's processor time, so that the costly inputs take a
    share of what is left to them.

    Args:
      share: The share of the time that they take together, between 0 and 1.
    """

    def __init__(self, share: float = COSTLY_SHARE):
        self._pause_factor = 1.0 / share - 1.0
        self._order = asyncio.Lock()
        self._next_turn_at = 0.0
        self._late_s = 0.0

    async def next_turn(self, took_s: float) -> None:
        """Ends the turn of a costly input and waits for its next one.

        Args:
          took_s: How long the turn took by the clock, in seconds.
        """
        loop = asyncio.get_running_loop()
        pause_s = self._pause_factor * min(took_s + self._late_s, MAX_TURN_S)
        self._late_s = 0.0
        self._next_turn_at = max(self._next_turn_at, loop.time()) + pause_s
        async with self._order:
            while (left_s := self._next_turn_at - loop.time()) > 0.0:
                await asyncio.sleep(left_s)
                self._late_s = max(0.0, loop.time() - self._next_turn_at)


class FreeWork:
    """What the inputs of many peers may together take of the processor before they are costly.

    Args:
      share: The share of the time, between 0 and 1.
      burst_s: How much of it may be used at once, in seconds.
    """

    def __init__(self, share: float = FREE_SHARE, burst_s: float = FREE_BURST_S):
        self._share = share
        self._burst_s = burst_s
        self._left_s = burst_s
        self._filled_at = -math.inf

    def use(self, cost_s: float) -> None:
        """Records processor time that an input took."""
        self._fill()
        self._left_s -= cost_s

    @property
    def is_left(self) -> bool:
        """Whether anything is left of it."""
        self._fill()
        return self._left_s > 0.0

    def _fill(self):
        now = asyncio.get_running_loop().time()
        earned_s = self._share * (now - self._filled_at)
        self._left_s = min(self._burst_s, max(self._left_s, -self._burst_s) + earned_s)
        self._filled_at = now


class WorkMeter:
    """Measures the work on the input of one peer, and makes it wait if it is costly.

    Nothing is measured in the first turn, which is all that most inputs need, unless nothing is
    left of what many such inputs may take together.

    Args:
      processor: Gives turns to the costly inputs of the process; the default is for this one alone.
      free: What the inputs of all those peers may take before this one is costly.

    Attributes:
      free_cost_s: From what processor time without a result on the input is costly, in seconds.
      is_reported: Whether somebody was told that the input is costly.
      fruitless_s: The processor time since the last result, in seconds, as far as it was measured.
    """

    def __init__(self, processor: ProcessorShare | None = None, free: FreeWork | None = None):
        self._processor = processor or ProcessorShare()
        self._free = free
        self._steps_left = self._steps_per_turn()
        self._is_measuring = not self._has_free_work()
        self._is_working = False
        self._begun_at_s = 0.0  # by the clock
        self._begun_cost_s = 0.0  # the thread's processor time then
        self._turn_s = 0.0  # the length of the turn so far, by the clock
        self._burst_left_s = RESULT_BURST_S
        self._earned_at = 0.0
        self._at_last_piece = 0.0, RESULT_BURST_S
        self.free_cost_s = FREE_COST_S
        self.is_reported = False
        self.fruitless_s = 0.0

    @property
    def is_costly(self) -> bool:
        """Whether the work since the last result was made to wait."""
        return self.fruitless_s > (self.free_cost_s if self._has_free_work() else SCARCE_COST_S)

    def begin_work(self) -> None:
        """Begins a stretch of work in which nothing is awaited."""
        if self._is_measuring:
            self._is_working = True
            self._begun_at_s, self._begun_cost_s = time.perf_counter(), time.thread_time()

    def end_work(self) -> None:
        """Ends the stretch of work, if one was begun."""
        self._add(math.inf)

    def end_result(self) -> None:
        """Ends the work of passing on a result, which may have waited for its receiver."""
        self._add(MAX_STEP_S)
        self.fruitless_s = 0.0
        self._at_last_piece = self.fruitless_s, self._burst_left_s

    async def end_pieces(self, pieces: int, size: int) -> None:
        """Ends the work on received pieces, as `step` does for each of them.

        That on pieces that are large enough counts for nothing: limits of bytes bound it.

        Args:
          pieces: How many they are.
          size: How many bytes they have together.
        """
        self.end_work()
        if size >= MIN_PIECE_BYTES * pieces:
            # Also what was done since the last piece, as when more data was needed.
            self.fruitless_s, self._burst_left_s = self._at_last_piece
        await self.step(pieces)
        self._at_last_piece = self.fruitless_s, self._burst_left_s

    async def step(self, steps: int = 1) -> None:
        """Ends the work of a step, and lets other tasks run if the turn is over.

        Args:
          steps: How many steps it stands for.
        """
        self.end_work()
        self._steps_left -= steps
        if self._steps_left > 0:
            return
        self._steps_left = self._steps_per_turn()
        if not self._is_measuring and self._free is not None:
            self._free.use(STEPS_PER_TURN * UNMEASURED_STEP_S)
        turn_s, self._turn_s = self._turn_s, 0.0
        now = asyncio.get_running_loop().time()
        if self._is_measuring:
            earned_s = RESULT_SHARE * (now - self._earned_at)
            self._burst_left_s = min(RESULT_BURST_S, self._burst_left_s + earned_s)
        self._earned_at = now
        self._is_measuring = True
        if self.is_costly:
            await self._processor.next_turn(turn_s)
        elif self._burst_left_s < 0.0:
            await asyncio.sleep(-self._burst_left_s / RESULT_SHARE)
        else:
            await asyncio.sleep(0)

    def _add(self, limit_s):
        if not self._is_working:
            return
        self._is_working = False
        cost_s = min(limit_s, time.thread_time() - self._begun_cost_s)
        self._turn_s += min(limit_s, time.perf_counter() - self._begun_at_s)
        self.fruitless_s += cost_s
        self._burst_left_s -= cost_s
        if self._free is not None:
            self._free.use(cost_s)

    def _has_free_work(self):
        return self._free is None or self._free.is_left

    def _steps_per_turn(self):
        return STEPS_PER_TURN if self._has_free_work() else SCARCE_STEPS
