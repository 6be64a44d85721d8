"""Logic: what costly inputs take of an event loop, in virtual time."""

import asyncio

import pytest

from cicadapond.kernel import (
    STEPS_PER_TURN,
    FreeWork,
    ProcessorShare,
    WorkMeter,
    _processor_share,
    run_virtual,
)
from cicadapond.kernel._processor_share import COSTLY_SHARE, FREE_COST_S

TURN_S = 0.001


class Work:
    """The time that the work of a test takes, by the clock and of the processor.

    Args:
      slowdown: How much longer it takes by the clock, as other processes run beside it.
    """

    def __init__(self, slowdown=1.0):
        self.cost_s = 0.0
        self._slowdown = slowdown

    def thread_time(self):
        return self.cost_s

    def perf_counter(self):
        return self._slowdown * self.cost_s


async def take_turns(meter, work, turns):
    for _ in range(turns):
        meter.begin_work()
        work.cost_s += TURN_S
        await meter.step(STEPS_PER_TURN)


@pytest.mark.parametrize("slowdown", [1.0, 20.0])
@pytest.mark.parametrize("inputs", [1, 10])
def test_costly_inputs_together_take_a_bounded_share(monkeypatch, inputs, slowdown):
    """Guards against CONFIG: answers without end took most of the processor from other requests."""
    work = Work(slowdown)
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        processor = ProcessorShare()
        meters = [WorkMeter(processor) for _ in range(inputs)]
        await asyncio.gather(*(take_turns(meter, work, 200) for meter in meters))
        assert all(meter.is_costly for meter in meters)
        return asyncio.get_running_loop().time()

    # The first turn of each is not measured; the others are free up to a bound.
    free_s = inputs * (FREE_COST_S + 3 * TURN_S)
    waited_s = run_virtual(main())
    assert waited_s >= (work.cost_s - free_s) * slowdown * (1 / COSTLY_SHARE - 1)


def test_an_input_with_results_does_not_wait(monkeypatch):
    """Guards against late events of sound streams."""
    work = Work()
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        meter = WorkMeter()
        for _ in range(10 * STEPS_PER_TURN):
            await asyncio.sleep(0.02)
            meter.begin_work()
            work.cost_s += 0.0005
            meter.end_result()
            await meter.step()
        assert not meter.is_costly
        return asyncio.get_running_loop().time()

    assert run_virtual(main()) == pytest.approx(10 * STEPS_PER_TURN * 0.02)


def test_results_without_end_take_a_bounded_share(monkeypatch):
    """Guards against CONFIG: the same with small events in place of pieces of one."""
    work = Work()
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        meter = WorkMeter()
        for _ in range(10_000):
            meter.begin_work()
            work.cost_s += 0.0005
            meter.end_result()
            await meter.step()
        return asyncio.get_running_loop().time()

    assert run_virtual(main()) >= 0.9 * work.cost_s / _processor_share.RESULT_SHARE


@pytest.mark.parametrize(("size", "waits"), [(1024, False), (16, True)])
def test_only_small_pieces_are_costly(monkeypatch, size, waits):
    """Guards against slow uploads of callers that send chunks of a kilobyte."""
    work = Work()
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        meter = WorkMeter()
        for _ in range(4096):
            meter.begin_work()
            work.cost_s += 0.0002
            await meter.end_pieces(1, size)
        return asyncio.get_running_loop().time()

    assert (run_virtual(main()) > 0.0) == waits


def test_many_inputs_share_what_is_free_before_they_are_costly(monkeypatch):
    """Guards against many uploads that each take the processor for less than is costly."""
    work = Work()
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        free, processor, waited = FreeWork(burst_s=0.001), ProcessorShare(), 0
        for _ in range(50):
            meter = WorkMeter(processor, free)
            before = asyncio.get_running_loop().time()
            for _ in range(STEPS_PER_TURN):
                meter.begin_work()
                work.cost_s += TURN_S / STEPS_PER_TURN
                await meter.end_pieces(1, 1)
            waited += asyncio.get_running_loop().time() > before
        return waited

    assert run_virtual(main()) >= 40


def test_large_pieces_do_not_wait_behind_a_crowd_of_small_ones(monkeypatch):
    """Guards against ordinary uploads that hung for as long as a crowd of costly ones lived."""
    work = Work()
    monkeypatch.setattr(_processor_share, "time", work)

    async def main():
        free = FreeWork(burst_s=0.0)
        meter = WorkMeter(ProcessorShare(), free)
        for _ in range(STEPS_PER_TURN):
            for _ in range(2):  # the second time, to parse the piece
                meter.begin_work()
                work.cost_s += TURN_S
                meter.end_work()
            await meter.end_pieces(1, 4096)
        return asyncio.get_running_loop().time()

    assert run_virtual(main()) == 0.0
