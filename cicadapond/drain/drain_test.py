"""A server may stop only once no process has work there or can send any."""

from hypothesis import given
from hypothesis import strategies as st

from cicadapond.drain import LeavingServers, StopDecider
from cicadapond.kernel import ManualClock, seconds
from cicadapond.peer import Digest, Member, MemberState, Peers

ZERO = seconds(0)


class FakePeers(Peers):
    def __init__(self):
        self.list = []
        self.answered = {}

    def members(self):
        return tuple(self.list)

    def publish(self, digest):
        return None

    def subscribe(self, listener):
        return None

    def last_heard_from_zone(self, zone):
        return None

    def last_ack_to_zone(self, zone):
        return self.answered.get(zone)


def member(name, zone="yqr", state=MemberState.ALIVE, heard=ZERO, **digest):
    return Member(name, zone, "entry", 1, state, heard, 1, Digest(**digest))


def drained(*members, backend=0, wait=0.0, answered=None, own=0):
    """Starts a drain of "engine", advances the clock and returns the decision's reasons."""
    clock, peers = ManualClock(), FakePeers()
    leaving = LeavingServers(clock)
    view = StopDecider("yqr", leaving, peers, lambda: Digest(in_flight={"engine": own}), clock)
    number = view.begin("engine")
    peers.list = [made(number) for made in members]
    clock.advance(seconds(wait))
    peers.answered = {zone: seconds(at) for zone, at in (answered or {}).items()}
    decision = view.may_stop("engine", backend)
    assert decision.allowed == (not decision.waiting_for)
    return decision.waiting_for


def acknowledged(name, **fields):
    return lambda number: member(name, drains={"engine": number}, **fields)


def unacknowledged(name, **fields):
    return lambda number: member(name, **fields)


def test_a_server_may_stop_once_all_acknowledged_and_nothing_runs():
    assert drained(acknowledged("a"), acknowledged("b")) == ()


def test_a_process_that_has_not_acknowledged_is_a_reason():
    reasons = drained(acknowledged("a"), unacknowledged("b"), wait=60, answered={"yqr": 60})
    assert reasons == ("b has not acknowledged",)


def test_every_request_count_must_be_zero():
    assert drained(acknowledged("a", in_flight={"engine": 2})) == ("a has 2 in flight",)
    assert drained(backend=3) == ("the server itself runs 3",)
    assert drained(backend=None) == ("the server's own count is not known",)
    assert drained(own=1) == ("this process has 1 in flight",)


def test_an_unreachable_process_stops_sending_after_the_term():
    unreachable = unacknowledged("far", zone="yxe")
    assert drained(unreachable, wait=4, answered={"yxe": 0}) == ("far has not acknowledged",)
    assert drained(unreachable, wait=8, answered={"yxe": 0}) == ()
    assert drained(unreachable, wait=8, answered={"yxe": 5}) == ("far has not acknowledged",)
    assert drained(unacknowledged("near"), wait=60) == ("near has not acknowledged",)


def test_a_dead_process_may_still_be_alive_until_the_term_ends():
    dead = unacknowledged("a", state=MemberState.DEAD, heard=seconds(1))
    assert drained(dead, wait=3) == ("a may still be alive",)
    assert drained(dead, wait=8) == ()
    assert drained(unacknowledged("a", state=MemberState.LEFT)) == ()


def test_an_acknowledgement_of_an_older_drain_does_not_count():
    clock, peers = ManualClock(), FakePeers()
    view = StopDecider("yqr", LeavingServers(clock), peers, Digest, clock)
    old = view.begin("engine")
    assert view.undrain("engine")
    assert not view.may_stop("engine", 0).allowed
    view.begin("engine")
    peers.list = [member("a", drains={"engine": old})]
    assert view.may_stop("engine", 0).waiting_for == ("a has not acknowledged",)


def test_a_drain_after_a_notice_requests_acknowledgements():
    leaving = LeavingServers(ManualClock())
    assert leaving.mark("engine", "cloud")
    assert leaving.numbers_to_acknowledge() == {}
    assert leaving.mark("engine", "operator", acknowledge=True)
    assert leaving.numbers_to_acknowledge() == {"engine": leaving.number("engine")}
    assert not leaving.mark("engine", "cloud")


ACTIONS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(("mark", "drain", "undo", "gossip"))), max_size=30
)


@given(ACTIONS, st.randoms(use_true_random=False))
def test_processes_that_exchange_numbers_converge(actions, rng):
    clock = ManualClock()
    replicas = [LeavingServers(clock) for _ in range(3)]
    for place, action in actions:
        leaving = replicas[place]
        before = leaving.number("engine")
        if action == "mark":
            leaving.mark("engine", "cloud")
        elif action == "drain":
            leaving.mark("engine", "operator", acknowledge=True)
        elif action == "undo":
            leaving.unmark("engine")
        else:
            rng.choice(replicas).merge("engine", leaving.number("engine"))
        assert leaving.number("engine") >= before
    for leaving in replicas:
        for other in replicas:
            leaving.merge("engine", other.number("engine"))
    for leaving in replicas:
        for other in replicas:
            leaving.merge("engine", other.number("engine"))
    assert len({leaving.number("engine") for leaving in replicas}) == 1
