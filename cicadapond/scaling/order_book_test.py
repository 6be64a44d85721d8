"""The order book: which orders are repeated, and which servers count as starting."""

from cicadapond.kernel import ManualClock, seconds
from cicadapond.scaling import Due, Listed, OrderBook, Outcome
from cicadapond.serving import ServerOrder

BOOT = seconds(4)
A, B = ServerOrder("pool", "a", True, 4), ServerOrder("pool", "b", True, 4)


def book_with(clock, outcome, listed=4):
    book = OrderBook(clock)
    for order in (A, B):
        book.record(order, outcome, Listed(listed))
    return book


def due(book, order, serving=4, leaving=0):
    return book.due(order, Listed(serving, leaving), BOOT)


def test_lost_servers_are_ordered_at_once_although_the_number_is_unchanged():
    clock = ManualClock()
    book = book_with(clock, Outcome.ACCEPTED)
    clock.advance(seconds(3.5))  # less than they had time to start
    assert due(book, A) is None
    assert due(book, A, serving=3) is Due.MISSING


def test_a_server_that_leaves_is_replaced_at_its_notice_also_right_after_an_order():
    """A planned shutdown 1.4 s after an order was answered 1.6 s after the notice."""
    clock = ManualClock()
    book = book_with(clock, Outcome.ACCEPTED, listed=3)
    clock.advance(seconds(1.4))
    assert due(book, A, serving=3) is None  # the fourth one is starting
    assert due(book, A, serving=2, leaving=1) is Due.MISSING
    book.record(A, Outcome.ACCEPTED, Listed(2, leaving=1))
    for _ in range(4):
        assert due(book, A, serving=2, leaving=1) is None
        clock.advance(seconds(0.5))
    # The platform may have counted the one that left; after that, those that start have time to.
    assert due(book, A, serving=2) is Due.MISSING
    book.record(A, Outcome.ACCEPTED, Listed(2))
    clock.advance(seconds(3.5))
    assert due(book, A, serving=2) is None


def test_a_lowered_order_is_not_repeated_for_the_servers_that_it_stopped():
    clock = ManualClock()
    book = book_with(clock, Outcome.ACCEPTED, listed=6)
    for serving in (5, 4):
        clock.advance(seconds(1))
        assert due(book, A, serving=serving, leaving=1) is None


def test_servers_that_left_after_an_order_are_ordered_again():
    """A platform that counts leaving servers accepts the order and starts none."""
    clock = ManualClock()
    book = OrderBook(clock)
    book.record(A, Outcome.ACCEPTED, Listed(0, leaving=4))
    assert book.arriving("pool", BOOT) == {}
    clock.advance(seconds(3.5))
    assert due(book, A, serving=0, leaving=4) is None
    assert due(book, A, serving=0) is Due.MISSING


def test_a_new_holder_sends_no_order_that_the_listed_servers_fulfil():
    """Each change of the holder cost a call for every data centre and kind."""
    book = OrderBook(ManualClock())
    assert due(book, A, serving=4) is None
    assert due(book, A, serving=4, leaving=1) is Due.FIRST
    assert due(book, A, serving=3) is Due.FIRST
    # One that the last holder ordered too many has started.
    assert due(book, A, serving=5) is Due.FIRST


def test_a_declined_order_that_is_no_longer_needed_holds_up_no_other():
    """It was retried, accepted as no server was missing, and the others were then all tried."""
    clock = ManualClock()
    book = book_with(clock, Outcome.DECLINED, listed=2)
    clock.advance(seconds(2))
    lower = ServerOrder("pool", "a", True, 2)
    assert due(book, lower, serving=2) is None
    assert book.declined("pool") == ("b",)
    assert due(book, B, serving=2) is Due.RETRY


def test_declined_orders_are_tried_for_one_data_centre_at_a_time():
    """Each data centre repeated its order every 3 s for 40 s."""
    clock = ManualClock()
    book, sent = book_with(clock, Outcome.DECLINED, listed=0), []
    for step in range(80):
        for order in (A, B):
            if due(book, order, serving=0):
                sent.append((order.zone, step * 0.5))
                book.record(order, Outcome.DECLINED, Listed())
        clock.advance(seconds(0.5))
    assert len(sent) <= 14  # in place of 26
    assert {zone for zone, _ in sent[:2]} == {"a", "b"}


def test_one_accepted_order_makes_the_others_due():
    clock = ManualClock()
    book = book_with(clock, Outcome.DECLINED, listed=0)
    assert book.declined("pool") == ("a", "b")
    clock.advance(seconds(2))
    assert due(book, A, serving=0) is Due.RETRY
    book.record(A, Outcome.ACCEPTED, Listed())
    assert due(book, B, serving=0) is Due.RETRY
    assert book.arriving("pool", BOOT) == {"a": 4}
    clock.advance(seconds(8))
    assert book.arriving("pool", BOOT) == {}  # they had time to start
