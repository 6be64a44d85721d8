"""Tests of the times that a request has waited."""

import pytest

from cicadapond.gateway._waits import WaitTimes
from cicadapond.kernel import ManualClock, seconds


def test_the_waits_of_a_step_are_added_up():
    clock = ManualClock()
    waits = WaitTimes(clock)
    for duration in (0.25, 0.1):
        with waits.measure("lookup"):
            clock.advance(seconds(duration))
    with waits.measure("hold"):
        pass
    assert waits.in_milliseconds() == {"lookup": 350.0}


def test_a_step_that_fails_has_waited_as_well():
    clock = ManualClock()
    waits = WaitTimes(clock)
    with pytest.raises(TimeoutError), waits.measure("queue"):
        clock.advance(seconds(2))
        raise TimeoutError
    assert waits.in_milliseconds() == {"queue": 2000.0}
