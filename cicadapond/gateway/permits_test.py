"""Plays processes that hand on permits of a server's limit, in virtual time."""

import asyncio
import collections
import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.advisories import ServerAdvisories
from cicadapond.credits import PermitSchedule, frame_of, permit_owners
from cicadapond.data import Endpoint
from cicadapond.gateway._permits import MAX_RANKED, TOPIC, PermitCalls, PermitExchange
from cicadapond.gateway.run_test import Log
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.kernel._clock import VIRTUAL_EPOCH
from cicadapond.peer._wire import Query, QueryReply, encode
from cicadapond.serving import ResponseHead, ServerEntry

ENTRY = ServerEntry("engine-yqr-17", "s", Endpoint("::1", 1), "z", 8, born=1_780_000_000_000)
MAX_SKEW_S = 0.3
# The time of day of a host that starts while it is wrong is off by this.
WRONG_TIME_S = 2.0
FRAME_HEADER_BYTES = 4
# A request that finds no permit waits at most so long (half of the shortest objective).
MAX_WAIT_S = 0.2
SETTLE_S = 0.7
# The calls may take this part of the 19 KB/s for all that a process exchanges with the others.
MAX_BYTES_PER_S = 13_000


class HostClock(VirtualClock):
    """A clock whose time of day was `skew_s` off at its start and does not jump, as `TrueClock`."""

    def __init__(self, skew_s, boot_s):
        super().__init__()
        self.skew_s = skew_s
        self._boot_s = boot_s

    def monotonic(self):
        return super().monotonic() + seconds(self._boot_s)

    def now(self):
        return VIRTUAL_EPOCH + super().monotonic() + seconds(self.skew_s)


class Calls(PermitCalls):
    """Carries the calls of one process, over a network that the world cuts and slows."""

    def __init__(self, world, host):
        self._world = world
        self._host = host

    async def call(self, process, payload, timeout):
        world = self._world
        await self._host.running.wait()
        body = encode(Query(TOPIC, payload))
        world.sent[self._host.name] += len(body) + FRAME_HEADER_BYTES
        reply = asyncio.ensure_future(self._reply(process, body))
        in_time, _ = await asyncio.wait({reply}, timeout=timeout.total_seconds())
        await self._host.running.wait()
        # After a suspension the reply and the timer are both due, and either may come first.
        if in_time or (reply.done() and world.rng.random() < 0.5):
            return reply.result()
        reply.cancel()
        return None

    async def _reply(self, process, body):
        world = self._world
        await asyncio.sleep(world.delay_s())
        other = world.hosts.get(process)
        if other is None or other.is_old or not world.passes(self._host.name, process):
            await asyncio.sleep(1)
            return None
        await other.running.wait()
        world.received[process] += len(body) + FRAME_HEADER_BYTES
        reply = msgpack.packb(other.exchange.answer(msgpack.unpackb(body)[-1]))
        size = len(encode(QueryReply(True, reply))) + FRAME_HEADER_BYTES
        world.sent[process] += size
        await asyncio.sleep(world.delay_s())
        await other.running.wait()
        if not world.passes(process, self._host.name):
            await asyncio.sleep(1)
            return None
        world.received[self._host.name] += size
        return msgpack.unpackb(reply)


class Host:
    """One run of a process."""

    def __init__(self, world, name, skew_s=0.0, is_old=False):
        self.world, self.name, self.is_old = world, name, is_old
        self.clock = HostClock(skew_s, world.rng.uniform(0, 1e6))
        self.started_s = world.time()
        self.running = asyncio.Event()
        self.running.set()
        self.rate = 0.0
        # What the even shares allow in each frame, by this process's clock and view.
        self.allowed = collections.Counter()
        self.advisories = ServerAdvisories(self.clock, name, self._processes)
        self.advisories.record(ENTRY, ResponseHead(200, (), rate_limit=world.limit))
        self.exchange = PermitExchange(
            name,
            self.advisories,
            Calls(world, self),
            lambda: world.live(self),
            self.clock,
            Log(),
            world.metrics,
        )
        self.tasks = [asyncio.ensure_future(self._ask_for_callers())]
        if not is_old:
            self.tasks.append(asyncio.ensure_future(self.exchange.run()))

    def _processes(self):
        if self.world.time() - self.started_s < SETTLE_S and self.started_s:
            return None
        view = self.world.sharers(self)
        frame = frame_of(self.clock.now())
        share = PermitSchedule(ENTRY.name, self.name, view).permits(self.world.limit, frame)
        self.allowed[frame] = max(self.allowed[frame], share)
        return view

    async def _ask_for_callers(self):
        serving = set()
        while True:
            if not self.rate:
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(self.world.rng.expovariate(self.rate))
            call = asyncio.ensure_future(self._serve())
            serving.add(call)
            call.add_done_callback(serving.discard)

    async def _serve(self):
        begun, wanted = self.world.time(), False
        while not self.take():
            if not wanted:
                wanted = True
                self.advisories.want([ENTRY])
            wait = self.advisories.time_until_permit(ENTRY)
            waited = self.world.time() - begun
            if wait is None or waited + wait.total_seconds() > MAX_WAIT_S:
                return
            await asyncio.sleep(0.04)

    def take(self):
        """Sends a request if it is permitted."""
        if not self.running.is_set() or self.world.hosts.get(self.name) is not self:
            return False
        if self.advisories.take(ENTRY):
            self.world.requests.append((self.world.time(), self.name))
            return True
        return False

    def stop(self):
        for task in self.tasks:
            task.cancel()


class World:
    """The processes, the network between them, and the requests that the server received."""

    def __init__(self, limit, seed=1):
        self.limit, self.rng = limit, random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.runs: list[Host] = []
        self.requests: list[tuple[float, str]] = []
        self.metrics = Metrics()
        self.sent, self.received = collections.Counter(), collections.Counter()
        self.passes = lambda one, other: True
        self.extra_delay_s = 0.0
        self.views: dict[str, tuple[str, ...]] = {}
        self.lives: dict[str, tuple[str, ...]] = {}
        self.names: tuple[str, ...] = ()

    def time(self):
        return asyncio.get_running_loop().time()

    def delay_s(self):
        return 0.001 + 0.001 * self.rng.random() + self.extra_delay_s * self.rng.random()

    def start(self, name, **settings):
        if name in self.hosts:
            self.hosts[name].stop()
        self.hosts[name] = Host(self, name, **settings)
        self.runs.append(self.hosts[name])
        self.names = tuple(sorted(self.hosts))

    def stop(self, name):
        self.hosts.pop(name).stop()
        self.names = tuple(sorted(self.hosts))

    def sharers(self, host):
        return self.views.get(host.name) or (
            self.names if host.name in self.names else tuple(sorted((*self.names, host.name)))
        )

    def live(self, host):
        return self.lives.get(host.name) or self.names

    def end(self):
        for host in self.hosts.values():
            host.stop()

    def used(self, begin_s, end_s):
        """Returns the share of the limit that was used between two times."""
        count = sum(begin_s <= at < end_s for at, _ in self.requests)
        return count / (self.limit * (end_s - begin_s))

    def check_limit(self):
        """Checks each second against what the even shares of all runs allow in it."""
        epoch = VIRTUAL_EPOCH.timestamp()
        times = sorted(at for at, _ in self.requests)
        for begin in times:
            sent = sum(begin <= at < begin + 1 for at in times)
            allowed = sum(
                share
                for run in self.runs
                for frame, share in run.allowed.items()
                if frame - epoch - run.clock.skew_s < begin + 1
                and frame + 1 - epoch - run.clock.skew_s > begin
            )
            assert sent <= allowed, (begin, sent, allowed)
        assert len(times) <= sum(sum(run.allowed.values()) for run in self.runs)

    def check_frames(self):
        """Checks each frame against the permits dealt in it, if all clocks and views are equal."""
        sent = collections.Counter(int(at) for at, _ in self.requests)
        first = frame_of(VIRTUAL_EPOCH)
        for second, requests in sent.items():
            owned = permit_owners(ENTRY.name, self.names, self.limit, first + second)
            assert requests <= sum(owned.values()), second


async def disturb(world, rng, names, old, until_s, keeps_frames):
    """Does one thing after the other to the processes: the faults of the properties below.

    With `keeps_frames` the processes, their clocks and their views of the members stay the same.
    """
    while world.time() < until_s:
        await asyncio.sleep(rng.uniform(0.02, 0.4))
        name = rng.choice(names)
        some = tuple(sorted({name, *rng.sample(names, rng.randint(1, len(names)))}))
        match rng.randrange(0 if not keeps_frames else 3, 9):
            case 0 if name in world.hosts and len(world.hosts) > 2:
                world.stop(name)
            case 1:
                skew_s = rng.uniform(-MAX_SKEW_S, MAX_SKEW_S) + rng.choice((0, 0, 0, WRONG_TIME_S))
                world.start(name, skew_s=skew_s, is_old=name in old)
                world.hosts[name].rate = rng.choice((0, 0, 5, 60))
            case 2:
                world.views[name] = some
            case 3:
                world.lives[name] = some  # processes rely on different keepers
            case 4:
                world.views.clear()
                world.lives.clear()
            case 5 if name in world.hosts:
                host = world.hosts[name]
                host.running.clear()
                asyncio.get_running_loop().call_later(rng.uniform(0.1, 3), host.running.set)
            case 6:
                group = set(rng.sample(names, len(names) // 2))
                world.passes = lambda one, other, group=group: (one in group) == (other in group)
            case 7:
                world.passes = lambda one, other: True
            case 8:
                world.extra_delay_s = rng.choice((0, 0, 0.05, 0.4))
        for host in world.hosts.values():
            if rng.random() < 0.1:
                host.rate = rng.choice((0, 0, 5, 60))


def play_with_faults(seed, limit, count, old_count, keeps_frames=False, disturbed_s=8.0):
    async def main():
        rng, world = random.Random(seed), World(limit, seed)
        names = [f"p-{number}" for number in range(count)]
        old = set(names[:old_count])
        for name in names:
            skew_s = 0.0 if keeps_frames else rng.uniform(-MAX_SKEW_S, MAX_SKEW_S)
            world.start(name, skew_s=skew_s, is_old=name in old)
            world.hosts[name].rate = rng.choice((0, 0, 60))
        await disturb(world, rng, names, old, disturbed_s, keeps_frames)
        world.end()
        return world

    return run_virtual(main())


worlds = given(
    seed=st.integers(0, 10**6),
    limit=st.sampled_from((0.4, 2.0, 7.0, 30.0)),
    count=st.integers(2, 10),
    old_count=st.integers(0, 3),
)


@settings(deadline=None, derandomize=True, max_examples=60)
@worlds
def test_no_second_gets_more_than_the_even_shares_allow(seed, limit, count, old_count):
    """Guards against permits that are used twice, by two keepers or across restarts."""
    play_with_faults(seed, limit, count, old_count).check_limit()


@settings(deadline=None, derandomize=True, max_examples=60)
@worlds
def test_no_permit_is_used_after_its_frame(seed, limit, count, old_count):
    """Guards against permits that messages or suspensions carry into the next frame.

    Where all clocks and views are the same, each frame has exactly as many permits as are dealt.
    """
    world = play_with_faults(seed, limit, count, old_count, keeps_frames=True)
    world.check_limit()
    world.check_frames()


def play_callers(count, limit, load=1.5, moved_s=6.0, played_s=12.0, old=(), skew_s=MAX_SKEW_S):
    """Plays callers at a twentieth of the processes; at `moved_s` they all go to other ones."""

    async def main():
        world = World(limit)
        names = [f"p-{number:03}" for number in range(count)]
        for name in names:
            skew = world.rng.uniform(-skew_s, skew_s) / 2
            world.start(name, skew_s=skew, is_old=name in old)
        busy = max(1, count // 20)
        new = [name for name in names if name not in old]
        for begin in (0, busy):
            for host in world.hosts.values():
                host.rate = 0.0
            for name in new[begin : begin + busy]:
                world.hosts[name].rate = load * limit / busy
            await asyncio.sleep((moved_s if begin == 0 else played_s) - world.time())
        world.end()
        return world

    return run_virtual(main())


@pytest.mark.parametrize(("count", "limit"), [(6, 10.0), (60, 10.0), (420, 10.0), (420, 400.0)])
def test_the_permits_follow_the_callers_within_two_seconds(count, limit):
    """Guards against a limit that stays unused as its permits are where no callers are."""
    world = play_callers(count, limit)
    world.check_limit()
    assert world.used(2.0, 6.0) >= 0.8
    assert world.used(8.0, 12.0) >= 0.8
    traffic = world.sent + world.received
    assert max(traffic.values()) / 12 <= MAX_BYTES_PER_S


def test_no_other_process_answers_and_even_shares_remain():
    """Guards against a process that gives up its share, or waits, where nobody can be asked."""

    async def main():
        world = World(12.0)
        for number in range(6):
            world.start(f"p-{number}")
        world.passes = lambda one, other: False
        for host in world.hosts.values():
            host.rate = 10.0
        await asyncio.sleep(10)
        world.end()
        return world

    world = run_virtual(main())
    world.check_limit()
    assert world.used(3.0, 10.0) >= 0.95


def test_the_deputy_takes_over_from_a_keeper_that_is_killed_or_suspended():
    async def main(is_killed):
        world = World(10.0)
        for number in range(60):
            world.start(f"p-{number:02}")
        world.hosts["p-00"].rate = 20.0
        await asyncio.sleep(4)
        (keeper,) = world.hosts["p-00"].exchange.state()["keepers"].values()
        if is_killed:  # the others still take it for alive
            world.hosts.pop(keeper).stop()
        else:
            world.hosts[keeper].running.clear()
        await asyncio.sleep(6)
        world.end()
        return world

    for is_killed in (True, False):
        world = run_virtual(main(is_killed))
        world.check_limit()
        assert world.used(2.0, 4.0) >= 0.8
        assert world.used(6.0, 10.0) >= 0.8


def test_what_processes_of_the_previous_build_own_stays_with_them():
    """Half of the processes do not lend; the callers get the share of the others."""
    old = {f"p-{number:03}" for number in range(0, 60, 2)}
    world = play_callers(60, 20.0, old=old, skew_s=0.0)
    world.check_limit()
    assert 0.8 * 0.5 <= world.used(8.0, 12.0) <= 0.51


@pytest.mark.parametrize("fall_s", [4.15, 4.3, 4.5, 4.7])
def test_no_permit_of_a_higher_limit_is_used_after_the_limit_has_fallen(fall_s):
    """Guards against permits that a keeper holds, or that are on their way, at the fall."""

    async def main():
        world = World(200.0)
        world.extra_delay_s = 0.1
        for number in range(40):
            world.start(f"p-{number:02}")
        for number in range(4):
            world.hosts[f"p-{number:02}"].rate = 60.0
        await asyncio.sleep(fall_s)
        lower = ResponseHead(200, (), rate_limit=4.0)
        for host in world.hosts.values():
            host.advisories.record(ENTRY, lower)
        await asyncio.sleep(1)
        world.end()
        return world

    world = run_virtual(main())
    assert world.used(2.0, 4.0) >= 0.5
    frame = frame_of(VIRTUAL_EPOCH) + 4
    owned = sum(permit_owners(ENTRY.name, world.names, 4.0, frame).values())
    assert sum(fall_s < at < 5.0 for at, _ in world.requests) <= owned


def lone_exchange(calls):
    """Returns the exchange of one of two processes, and the statements that it knows."""
    clock = HostClock(0.0, 0.0)
    advisories = ServerAdvisories(clock, "p-0", lambda: ("p-0", "p-1"))
    advisories.record(ENTRY, ResponseHead(200, (), rate_limit=1.0))
    live = ("p-1",)
    exchange = PermitExchange("p-0", advisories, calls, lambda: live, clock, Log(), Metrics())
    return exchange, advisories


def test_a_call_that_fails_is_not_repeated_at_once():
    """Guards against a call in each tick, and a line in the log for each, after an error."""

    class FailingCalls(PermitCalls):
        count = 0

        async def call(self, process, payload, timeout):
            self.count += 1
            raise OSError("no sockets are left")

    async def main():
        calls = FailingCalls()
        exchange, advisories = lone_exchange(calls)
        running = asyncio.ensure_future(exchange.run())
        for _ in range(100):
            advisories.want([ENTRY])
            await asyncio.sleep(0.01)
        running.cancel()
        await exchange.close()
        return calls.count

    assert 1 <= run_virtual(main()) <= 10


def test_the_keepers_of_servers_that_have_gone_are_not_remembered():
    """Guards against memory that grows with each server while the processes stay the same."""

    async def main():
        exchange, _ = lone_exchange(None)
        for number in range(3 * MAX_RANKED):
            exchange._keeper_of(f"gone-{number}", 0)
        return len(exchange._ranked[1]), len(exchange._keepers)

    assert max(run_virtual(main())) <= MAX_RANKED


@pytest.mark.parametrize(
    "payload", [None, 7, [], ["ask"], ["ask", 1, []], ["lend", [[1]]], ["x", []]]
)
def test_a_malformed_call_is_counted_and_gets_an_empty_answer(payload):
    async def main():
        world = World(10.0)
        world.start("p")
        answer = world.hosts["p"].exchange.answer(payload)
        world.end()
        return answer, world.metrics.counter("permit_calls_malformed")

    assert run_virtual(main()) == ([], 1)
