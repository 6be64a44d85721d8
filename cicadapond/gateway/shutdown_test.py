"""The end of the grace period of a graceful shutdown, on sockets."""

import asyncio
import datetime

import h11
import pytest

from cicadapond.gateway._passing_on import PassingOn
from cicadapond.gateway._sending import Sending
from cicadapond.gateway.harness import deployment
from cicadapond.lease import LeaseTask
from cicadapond.platform.standin import EngineFault, FleetSettings
from cicadapond.quotas import QuotaShares

GRACE_S = 2.0
LONG_GRACE_S = 8.0
LONG_TIMEOUT_MS = 20_000


def run(check, tmp_path, processes=1, grace_s=GRACE_S):
    async def main():
        cfg = FleetSettings(grace_s=grace_s, quota_per_s=1000.0)
        async with deployment(tmp_path, cfg, processes) as system, asyncio.timeout(20):
            version = system.fleet.configure(routes=system.fleet.routes(LONG_TIMEOUT_MS))
            active = [node.parts.active_configuration for node in system.nodes]
            await system.until(lambda: all(each.version == version for each in active))
            await check(system)

    asyncio.run(main())


async def stop_during(system, request_id, path, **arguments):
    """Stops the first process while it handles a request; returns the answer."""
    caller = system.caller()
    await caller.send(request_id, path, x_cicadapond_deadline_ms=None, **arguments)
    await asyncio.sleep(0.2)
    answer, _ = await asyncio.gather(caller.read_response(), system.node.stop())
    caller.abort()
    return answer


def pretend_to_stop(node, elapsed_s):
    clock = node.parts.clock
    node.parts.stopping_since = clock.monotonic() - datetime.timedelta(seconds=elapsed_s)


async def wait_for_a_server(sending):
    await asyncio.sleep(10 * GRACE_S)


@pytest.mark.parametrize("processes", [1, 2])
def test_no_request_at_a_server_is_cut_without_an_answer_at_the_end_of_the_grace(
    tmp_path, monkeypatch, processes
):
    async def check(system):
        if processes > 1:
            await system.until_joined()
            is_due = lambda passing_on: not passing_on._state.was_passed_on  # noqa: E731
            monkeypatch.setattr(PassingOn, "is_due", is_due)
        system.fail_next(EngineFault.SILENT)
        answer = await stop_during(system, "p-1", "/post/a")
        assert (answer.status, answer.is_complete) == (504, True)
        assert system.ran() == ["p-1"]

    run(check, tmp_path, processes)


def test_no_request_is_cut_because_the_release_of_the_duties_takes_the_whole_grace(
    tmp_path, monkeypatch
):
    async def check(system):
        monkeypatch.setattr(LeaseTask, "release", lambda _: asyncio.sleep(GRACE_S))
        system.fail_next(EngineFault.SILENT)
        answer = await stop_during(system, "p-1", "/post/a")
        assert (answer.status, answer.is_complete) == (504, True)

    run(check, tmp_path)


@pytest.mark.parametrize("held_for", ["server", "quota"])
def test_no_held_request_is_cut_without_a_refusal_at_the_end_of_the_grace(
    tmp_path, monkeypatch, held_for
):
    async def check(system):
        monkeypatch.setattr(Sending, "run", wait_for_a_server)
        if held_for == "quota":
            soon, long = datetime.timedelta(milliseconds=1), datetime.timedelta(seconds=10)
            monkeypatch.setattr("cicadapond.gateway._front.MAX_QUOTA_HOLD", long)
            grant = QuotaShares.grant
            monkeypatch.setattr(QuotaShares, "grant", lambda *args: grant(*args) or soon)
            monkeypatch.setattr(QuotaShares, "take_to_continue", lambda *_: False)
        headers = {"last_event_id": "3", "x_cicadapond_token_count": "100,20"}
        answer = await stop_during(system, "s-1", "/stream/x", **headers)
        assert (answer.status, answer.is_complete) == (429 if held_for == "quota" else 503, True)
        assert answer.headers["connection"] == "close" and "retry-after" in answer.headers

    run(check, tmp_path)


@pytest.mark.parametrize(
    ("elapsed_s", "deadline_ms", "status"),
    [
        (2.4, None, 200),
        (2.6, None, 503),
        (2.6, "20000", 503),
        (2.6, "1000", 200),
        (6.5, "1000", 503),
    ],
)
def test_no_late_request_is_accepted_that_may_outlast_the_grace(
    tmp_path, elapsed_s, deadline_ms, status
):
    async def check(system):
        caller = system.caller()
        kept = await caller.exchange("p-1", "/post/a")
        pretend_to_stop(system.node, elapsed_s)
        answer = await caller.exchange("p-2", "/post/a", x_cicadapond_deadline_ms=deadline_ms)
        assert (kept.status, answer.status) == (200, status)
        assert ("p-2" in system.ran()) == (status == 200)
        caller.abort()

    run(check, tmp_path, grace_s=LONG_GRACE_S)


def test_a_request_whose_body_ends_late_in_the_grace_is_refused(tmp_path):
    async def check(system):
        caller = system.caller()
        await caller.send_raw(
            b"POST /post/a HTTP/1.1\r\nhost: callers.example\r\ncontent-length: 2\r\n"
            b"authorization: Token demo-key\r\nx-cicadapond-attempt-id: p-1\r\n\r\n1"
        )
        await asyncio.sleep(0.1)
        pretend_to_stop(system.node, 2.6)
        await caller.send_raw(b"2")
        caller._http.send(h11.Request(method="POST", target="/", headers=[("host", "x")]))
        answer = await caller.read_response()
        assert (answer.status, answer.is_complete, system.ran()) == (503, True, [])
        caller.abort()

    run(check, tmp_path, grace_s=LONG_GRACE_S)


def test_a_stream_that_is_broken_off_at_the_end_of_the_grace_goes_on_at_another_process(tmp_path):
    async def check(system):
        await system.until_joined()
        for name in ("e-0", "e-1"):
            system.engine(name).events = 40
            system.engine(name).event_interval_s = 0.1
        headers = {"x_cicadapond_token_count": "100,40"}
        broken = await stop_during(system, "s-1", "/stream/x", **headers)
        assert broken.event_ids() and not broken.is_complete
        headers |= {"last_event_id": str(broken.event_ids()[-1]), "resumes": "s-1"}
        caller = system.caller(1)
        rest = await caller.exchange("s-2", "/stream/x", **headers)
        assert rest.is_complete
        assert broken.event_ids() + rest.event_ids() == list(range(1, 41))
        caller.abort()

    run(check, tmp_path, processes=2)
