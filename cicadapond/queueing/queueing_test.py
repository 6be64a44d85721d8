"""The queue: order, rejections with a true forecast, and a bounded length."""

import random

import pytest

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import Placer
from cicadapond.queueing import QUEUE_LIMIT, Decision, ServiceQueue, Waiting
from cicadapond.queueing._forecast import ForecastRatio
from cicadapond.serving import Generation, LoadHeader, ServerEntry

ENGINE = ServerEntry("e-0", "pool", Endpoint("::1", 1), "a", 16)
SIZE = Generation(1800, 30)


class Bench:
    def __init__(self):
        self.clock, self.sent, self.refused = ManualClock(), [], []
        self.placer = Placer(self.clock, "a")
        self.queue = ServiceQueue(self.clock, self.placer, random.Random(1))
        self.placer.mark_ended(self.placer.place([ENGINE], SIZE).request)
        self.clock.advance(seconds(5))

    def fill_engine(self, waiting=40):
        self.placer.update_load("e-0", LoadHeader(16, waiting, 16, pace=1.0))

    def submit(self, name, priority=0, limit=20.0, account="a"):
        def decided(admission):
            (self.sent if admission.decision is Decision.SEND else self.refused).append(name)

        now = self.clock.monotonic()
        waiting = Waiting(
            SIZE,
            priority,
            account,
            now,
            seconds(0.5),
            now + seconds(limit),
            lambda: [ENGINE],
            decided,
        )
        return self.queue.submit(waiting)


def test_a_request_that_can_be_in_time_is_sent_at_once():
    assert Bench().submit("a").decision is Decision.SEND


def test_a_request_that_will_miss_its_time_limit_is_rejected_at_once_with_jitter():
    bench = Bench()
    bench.fill_engine(waiting=80)
    rejected = [bench.submit(str(number), limit=2.0) for number in range(5)]
    assert {admission.decision for admission in rejected} == {Decision.REJECT}
    assert all(admission.retry_after >= admission.forecast for admission in rejected)
    assert len({admission.retry_after for admission in rejected}) == 5


def test_urgent_requests_go_first_and_then_accounts_that_were_given_less():
    bench = Bench()
    for _ in range(5):
        bench.submit("before", account="hot")
    bench.fill_engine()
    for name, priority, account in (("l", 1, "b"), ("h", 0, "hot"), ("s", 0, "b")):
        assert bench.submit(name, priority, account=account).decision is Decision.WAIT
    bench.clock.advance(seconds(0.1))
    bench.placer.update_load("e-0", LoadHeader(0, 0, 16, pace=1.0))
    bench.queue.wake()
    assert bench.sent == ["s", "h", "l"]


def test_the_queue_is_bounded_and_drops_the_least_urgent():
    bench = Bench()
    bench.fill_engine()
    for number in range(QUEUE_LIMIT):
        bench.submit(f"l-{number}", priority=1)
    assert bench.submit("late", priority=1).decision is Decision.REJECT
    assert bench.submit("urgent", priority=0).decision is Decision.WAIT
    assert len(bench.queue) == QUEUE_LIMIT
    assert len(bench.refused) == 1


def test_a_request_that_would_be_preempted_waits_while_the_engines_are_full():
    """Long requests were sent to full engines within their objective, and preempted there."""
    bench = Bench()
    for priority in (0, 1) * 20:
        request = bench.placer.place([ENGINE], SIZE, priority).request
        bench.clock.advance(seconds(0.1))
        bench.placer.mark_answer_begun(request)
        bench.clock.advance(seconds(0.1))
        bench.placer.mark_ended(request)
    bench.placer.update_load("e-0", LoadHeader(0, 0, 16, pace=1.0))
    running = [bench.placer.place([ENGINE], SIZE, 1).request for _ in range(17)]
    for request in running:
        bench.placer.mark_answer_begun(request)
    bench.clock.advance(seconds(5))
    assert bench.submit("urgent", 0).decision is Decision.SEND
    assert bench.submit("long", 1).decision is Decision.WAIT
    bench.placer.mark_ended(running[0])
    bench.queue.wake()
    assert bench.sent == ["long"]


@pytest.mark.parametrize(("limit", "waiting", "longest"), [(10.0, 40, 1.2), (3.0, 12, 0.9)])
def test_a_request_that_finds_no_engine_is_rejected_early(limit, waiting, longest):
    """Callers were kept waiting for half of their time limit, and then rejected."""
    bench = Bench()
    bench.fill_engine(waiting)
    bench.submit("a", limit=limit)
    assert bench.queue.next_due() == bench.clock.monotonic() + seconds(longest)
    bench.clock.advance(seconds(longest))
    bench.fill_engine(waiting)
    bench.queue.wake()
    assert bench.refused == ["a"]


def test_answers_that_are_overdue_count_before_they_begin():
    """Late answers are known late, so that the first seconds of overload went by unnoticed."""
    ratio = ForecastRatio()
    sent = [ratio.send(seconds(0.1), seconds(0)) for _ in range(6)]
    assert ratio.ratio(seconds(0.05)) == 1.0
    assert ratio.ratio(seconds(0.5)) > 3.0
    for each in sent:
        ratio.begin(each, seconds(0.5))
    assert ratio.ratio(seconds(2)) == 1.0
