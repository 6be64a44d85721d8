"""Tests of a request with arbitrary outcomes of its attempts: what is sent and what is returned."""

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cicadapond.advisories import ServerAdvisories
from cicadapond.containment import CrashTracker
from cicadapond.continuation import StreamOrigins
from cicadapond.data import Endpoint
from cicadapond.forwarding import Broken, Event, NotSent, Refused, RetryLimiter, StreamWhole, Whole
from cicadapond.gateway._links import ServerLinks
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._run import RequestRun
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway._starts import ServerStarts
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.placing import Placer, ServerHealth
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.quotas import QuotaShares
from cicadapond.routes import ActiveConfiguration
from cicadapond.scaling import DemandMeter
from cicadapond.serving import (
    CallerRequest,
    Configuration,
    RequestLimits,
    ResponseHead,
    Route,
    RouteKind,
    ServerEntry,
    WeightedService,
)
from cicadapond.usage import UsageWindows

# Statuses that tell a caller that the request was not executed.
PROMISES = (408, 421, 429, 503)
OK_HEAD = ResponseHead(200, (), "r-1", is_signed=True)
ERROR_HEAD = ResponseHead(500, (), "r-1", is_signed=True)
STEPS = ("no connection", "refused", "misdirected", "whole", "error", "reset", "silent", "events")


class Log:
    def write(self, event, **fields):
        return None


@attrs.define
class Reply:
    """Records the response to the caller."""

    status: int | None = None
    body: bytes = b""
    ends: int = 0
    has_begun: bool = False
    is_broken: bool = False

    async def send_complete(self, status, headers, body):
        assert not self.has_begun
        self.status, self.body, self.has_begun = status, body, True
        self.ends += 1

    def begin(self, status, headers):
        assert not self.has_begun
        self.status, self.has_begun = status, True

    async def send(self, data):
        self.body += data

    def finish(self):
        self.ends += 1

    def hold(self, answer_bytes):
        pass

    def abort(self):
        self.ends += 1
        self.is_broken = True


class ScriptedAttempt:
    """Returns one scripted outcome per attempt, and repeats the last one."""

    def __init__(self, script, clock, total_events):
        self.script = list(script)
        self.clock = clock
        self.total_events = total_events
        self.sends = []

    async def run(self, req, dispatch, sink, silence, repeatable, check_send):
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        await self.clock.sleep(seconds(0.02))
        if step == "no connection":
            return NotSent("no connection")
        reason = check_send()
        if reason is not None:
            return NotSent(reason)
        ran = step not in ("refused", "misdirected")
        self.sends.append((dispatch.server.name, ran))
        return await self._outcome(step, dispatch, sink)

    async def _outcome(self, step, dispatch, sink):
        if step in ("refused", "misdirected"):
            return Refused(step, is_misdirected=step == "misdirected")
        if step == "whole":
            return await self._stream(dispatch, sink, None)
        if step == "error":
            return Whole(ERROR_HEAD, b"failed")
        if step in ("events", "events without ids"):
            return await self._stream(dispatch, sink, 2, has_ids=step == "events")
        return Broken(step, was_closed=step == "reset", was_silent=step == "silent")

    async def _stream(self, dispatch, sink, count, has_ids=True):
        if self.total_events == 0:
            return Whole(OK_HEAD, b"body") if count is None else Broken("cut", OK_HEAD)
        first = int(dispatch.last_event_id or "0") + 1
        last = self.total_events if count is None else min(first + count - 1, self.total_events)
        for number in range(first, last + 1):
            if number == first:
                await sink.begin(OK_HEAD)
            await sink.event(Event(b"%d," % number, str(number) if has_ids else None))
        if count is None:
            return StreamWhole(self.total_events)
        return Broken("cut", OK_HEAD, str(last), last - first + 1, was_closed=True)


def play(kind, resumable, max_attempts, script, servers=3):
    """Runs one request; returns the sends, the reply and the elapsed time."""

    async def main():
        clock, metrics = VirtualClock(), Metrics()
        route = Route(
            name="r",
            host="h",
            prefix="/",
            kind=kind,
            services=(WeightedService("s", 1.0),),
            timeout=seconds(3),
            objective=seconds(0.4),
            max_attempts=max_attempts,
            resumable=resumable,
        )
        limits = RequestLimits(1000, 1000, seconds(1), seconds(1))
        active_configuration = ActiveConfiguration(clock, seconds(5), seconds(2))
        active_configuration.apply(Configuration(1, (route,), {}, limits, None))
        active_configuration.confirm_current(clock.monotonic())
        registry = ServerRegistry(clock)
        for number in range(servers):
            entry = ServerEntry(f"s-{number}", "s", Endpoint("::1", 1), "z", 8)
            registry.put(entry, number + 1)
        attempt = ScriptedAttempt(script, clock, 5 if kind is RouteKind.STREAM else 0)
        health, pool, crashes = ServerHealth(clock, "z"), _Pool(), CrashTracker(clock)
        parts = Parts(
            cfg=None,
            clock=clock,
            log=Log(),
            metrics=metrics,
            header_codec=PlatformHeaderCodec(),
            active_configuration=active_configuration,
            registry=registry,
            placer=Placer(clock, "z"),
            health=health,
            advisories=ServerAdvisories(clock),
            origins=StreamOrigins(clock),
            pool=pool,
            attempt=attempt,
            retry_limiter=RetryLimiter(0.2, 50, seconds(10), clock),
            quotas=QuotaShares(clock, True),
            usage=UsageWindows(seconds(5)),
            crashes=crashes,
            starts=ServerStarts(clock, registry, crashes),
            demand=DemandMeter(clock),
            links=ServerLinks(registry, health, pool, clock, Log(), metrics),
        )
        req = CallerRequest("r-1", "POST", b"/x", "h", "/x", (), timeout=seconds(3))
        reply = Reply()
        await RequestRun(parts, req, route, None, reply, clock.monotonic()).run()
        return attempt.sends, reply, clock.monotonic()

    return run_virtual(main())


class _Pool:
    def drop_server(self, server):
        return None


SCRIPTS = st.lists(st.sampled_from(STEPS), min_size=1, max_size=6)
KINDS = st.sampled_from(
    [
        (RouteKind.IDEMPOTENT, False),
        (RouteKind.NON_IDEMPOTENT, False),
        (RouteKind.STREAM, False),
        (RouteKind.STREAM, True),
    ]
)


@settings(max_examples=400, deadline=None, derandomize=True)
@example(kind=(RouteKind.STREAM, True), max_attempts=2, script=["events", "error"])
@given(kind=KINDS, max_attempts=st.integers(1, 3), script=SCRIPTS)
def test_sends_and_response_are_valid_for_any_outcomes(kind, max_attempts, script):
    kind, resumable = kind
    sends, reply, _ = play(kind, resumable, max_attempts, script)
    ran = [server for server, has_run in sends if has_run]
    repeatable = kind is RouteKind.IDEMPOTENT or resumable
    assert len(sends) <= max_attempts
    assert repeatable or len(ran) <= 1
    assert len(set(ran)) == len(ran), "no server executes the request twice"
    assert reply.ends == 1, "exactly one final response"
    if reply.status in PROMISES:
        assert not ran
    if kind is RouteKind.STREAM and reply.status == 200:
        numbers = [int(number) for number in reply.body.decode().split(",") if number]
        assert numbers == list(range(1, len(numbers) + 1)), "no event is missing or repeated"
        assert reply.is_broken or len(numbers) == 5


def test_a_stream_whose_events_have_no_ids_is_not_begun_again():
    sends, reply, _ = play(RouteKind.STREAM, True, 3, ["events without ids", "whole"])
    assert len(sends) == 1 and reply.body == b"1,2," and reply.is_broken


def test_without_servers_the_request_is_refused_at_once():
    sends, reply, elapsed = play(RouteKind.NON_IDEMPOTENT, False, 2, ["whole"], servers=0)
    assert sends == [] and reply.status == 503
    assert elapsed < seconds(0.1)


def test_an_unreachable_server_uses_up_no_attempt():
    script = ["no connection", "no connection", "whole"]
    sends, reply, _ = play(RouteKind.NON_IDEMPOTENT, False, 1, script)
    assert len(sends) == 1 and reply.status == 200


def test_a_failed_idempotent_call_is_retried_and_its_error_returned_if_that_fails():
    sends, reply, _ = play(RouteKind.IDEMPOTENT, False, 2, ["error", "whole"])
    assert len(sends) == 2 and reply.status == 200
    sends, reply, _ = play(RouteKind.IDEMPOTENT, False, 2, ["error", "reset"])
    assert len(sends) == 2 and (reply.status, reply.body) == (500, b"failed")
