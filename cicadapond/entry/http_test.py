"""The callers' HTTP API over sockets, with a fake core."""

import asyncio
import datetime
import hashlib
import json

import attrs
import pytest
import tornado.curl_httpclient
import tornado.httpserver
import tornado.testing

from cicadapond.data import Completion, Finished, ServiceResponse, Token
from cicadapond.document import AccountIntent, ApplicationIntent, Intent, ModelIntent
from cicadapond.entry._caller_server import CallerServer
from cicadapond.entry._durable import DurableRequest
from cicadapond.entry._http_base import CallerParts
from cicadapond.entry._in_flight import InFlight
from cicadapond.entry._settings import HttpLimits
from cicadapond.journal import RequestRow, RequestState
from cicadapond.kernel import Failed, LoopClock, Metrics, NotRun, Ok, Unknown, seconds

KEY = "counter-key"
AUTHORIZED = {"Authorization": f"Bearer {KEY}"}
LIMITS = HttpLimits(max_body_bytes=1000)
SHORT_LIMITS = HttpLimits(
    max_body_bytes=1000,
    header_timeout=seconds(0.05),
    body_timeout=seconds(0.05),
    write_timeout=seconds(0.2),
)
INTENT = Intent(
    models={"m": ModelIntent("p", "1", max_tokens=50), "other": ModelIntent("p", "1")},
    applications={"app": ApplicationIntent(), "ledger": ApplicationIntent()},
    accounts={
        "counter": AccountIntent(
            key_hashes=(hashlib.sha256(KEY.encode()).hexdigest(),),
            models=("m",),
            services=("app",),
        )
    },
)


class FakeCore:
    """Returns the test's outcome, or sends tokens for as long as the caller reads them."""

    intent = INTENT

    def __init__(self, outcome=None, text="word ", endless=False):
        self.outcome = outcome
        self.text = text
        self.endless = endless
        self.sent = 0
        self.asked = []
        self.started = asyncio.Event()
        self.ended = asyncio.Event()

    async def complete(self, req, sink):
        self.asked.append(req)
        self.started.set()
        try:
            return await self._generate(req, sink)
        finally:
            self.ended.set()

    async def _generate(self, req, sink):
        if isinstance(self.outcome, NotRun):
            return self.outcome
        while self.sent < req.max_tokens or self.endless:
            await sink.tokens((Token(1, self.sent, self.text),))
            self.sent += 1
            await asyncio.sleep(0)
        return self.outcome or Ok(Finished(1, self.sent, "length"))

    async def call_service(self, call):
        self.asked.append(call)
        self.started.set()
        await asyncio.sleep(0.05)
        self.sent += 1
        return self.outcome or Ok(
            ServiceResponse(201, (("X-A", "b"), ("Connection", "close")), b"body")
        )

    async def accept(self, req):
        self.asked.append(req)
        return self.outcome or Ok("r-1")


class Served:
    """A server of the caller API on a free port."""

    def __init__(self, core, limits=LIMITS):
        self.core = core
        self.parts = CallerParts(core, LoopClock(), Metrics(), limits, InFlight())

    async def __aenter__(self):
        self._server = CallerServer(self.parts)
        socket, self.port = tornado.testing.bind_unused_port()
        self._server.add_socket(socket)
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        return self

    async def __aexit__(self, *exc_info):
        self._client.close()
        self._server.stop()
        await self._server.close_all_connections()

    async def fetch(self, path, method="POST", body=None, headers=AUTHORIZED):
        if isinstance(body, dict):
            body = json.dumps(body)
        return await self._client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
        )

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)


def ask(path, core=None, **kwargs):
    async def run():
        async with Served(core or FakeCore()) as served:
            return await served.fetch(path, **kwargs)

    return asyncio.run(run())


def raw_request(body, length=None):
    head = f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    return f"{head}Content-Length: {length or len(body)}\r\n\r\n{body}".encode()


BODY = {"model": "m", "prompt": "a b", "max_tokens": 2}
ENDLESS = json.dumps(BODY | {"stream": True})

# Outcomes


@pytest.mark.parametrize(
    ("path", "kwargs", "status", "told"),
    [
        ("/v1/completions", {"body": BODY, "headers": {}}, 401, "bearer token"),
        ("/v1/completions", {"body": BODY | {"model": "other"}}, 404, "there are m"),
        ("/v1/completions", {"body": BODY | {"max_tokens": 99}}, 400, "over the model's 50"),
        ("/v1/completions", {"body": "x" * 2000}, 413, "longer than 1000 bytes"),
        ("/v1/completions", {"body": "{"}, 400, "1 finding"),
        ("/services/ledger/x", {"body": "a"}, 404, "there are app"),
        ("/v1/nothing", {"body": "a"}, 404, "/v1/chat/completions"),
        ("/v1/completions", {"method": "GET"}, 405, "Method Not Allowed"),
    ],
)
def test_refused_requests_are_not_run(path, kwargs, status, told):
    core = FakeCore()
    response = ask(path, core, **kwargs)
    problem = json.loads(response.body)
    assert response.code == status == problem["status"]
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.headers["Cicadapond-Outcome"] == "not_run" == problem["outcome"]
    assert response.headers["Cicadapond-Request-Id"] == problem["request_id"]
    assert told in problem["detail"]
    assert core.asked == []


@pytest.mark.parametrize(
    ("outcome", "status", "name", "retry_after"),
    [
        (NotRun("full", seconds(1.2)), 503, "not_run", "2"),
        (NotRun("over the limit", seconds(0.1), 429), 429, "not_run", "1"),
        (NotRun("other body", status=422), 422, "not_run", None),
        (Failed("poison", 500), 500, "failed", None),
        (Unknown("the answer was lost"), 504, "unknown", None),
    ],
)
def test_outcomes_of_services(outcome, status, name, retry_after):
    response = ask("/services/app/orders", FakeCore(outcome), body="a")
    assert response.code == status
    assert response.headers["Cicadapond-Outcome"] == name
    assert response.headers.get("Retry-After") == retry_after


def test_every_finding_of_a_body_is_returned():
    response = ask("/v1/completions", body={"prompt": 1})
    places = [found["at"] for found in json.loads(response.body)["findings"]]
    assert places == ["/model:0:0", "/prompt:0:0"]


# Answers


def test_a_complete_chat_answer():
    messages = [{"role": "user", "content": "a"}]
    response = ask("/v1/chat/completions", body={"model": "m", "messages": messages})
    body = json.loads(response.body)
    assert response.headers["Cicadapond-Outcome"] == "ok"
    assert body["choices"][0]["message"] == {"role": "assistant", "content": "word " * 16}
    assert body["usage"]["completion_tokens"] == 16


def test_a_streamed_chat_answer():
    fields = {"model": "m", "messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
    response = ask("/v1/chat/completions", body=fields | {"stream": True})
    events = response.body.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    deltas = [json.loads(event[6:])["choices"][0]["delta"] for event in events[:-2]]
    assert deltas[0] == {"role": "assistant", "content": ""}
    assert deltas[1:] == [{"content": "word "}, {"content": "word "}, {}]


def test_a_broken_stream_ends_with_an_error_event():
    response = ask("/v1/completions", FakeCore(Failed("poison")), body=BODY | {"stream": True})
    last = response.body.decode().split("\n\n")[-2]
    kind, data = last.split("\n")
    assert kind == "event: error"
    assert json.loads(data[6:])["outcome"] == "failed"


def test_a_refused_stream_has_its_own_status():
    response = ask("/v1/completions", FakeCore(NotRun("full")), body=BODY | {"stream": True})
    assert (response.code, response.headers["Cicadapond-Outcome"]) == (503, "not_run")


def test_durable_work_is_accepted_with_its_location():
    core = FakeCore()
    headers = AUTHORIZED | {"Prefer": "respond-async", "Idempotency-Key": "k"}
    response = ask("/v1/completions", core, body=BODY, headers=headers)
    assert (response.code, response.headers["Location"]) == (202, "/v1/requests/r-1")
    assert response.headers["Cicadapond-Outcome"] == "pending"
    [req] = core.asked
    assert (req.durable, req.idempotency_key, req.deadline) == (True, "k", None)


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
def test_a_service_call_passes_through(method):
    core = FakeCore()
    headers = AUTHORIZED | {"X-Yard": "1", "Idempotency-Key": "k"}
    body = "in" if method in ("POST", "PUT", "PATCH") else None
    response = ask("/services/app/a%2Fb?c=d", core, method=method, body=body, headers=headers)
    [call] = core.asked
    assert (call.method, call.path, call.idempotency_key) == (method, "/a%2Fb?c=d", "k")
    assert ("X-Yard", "1") in call.headers
    assert not any(name.lower() == "authorization" for name, _ in call.headers)
    assert (response.code, response.body, response.headers["X-A"]) == (201, b"body", "b")


# Connections


async def closed_by_server(reader):
    await asyncio.wait_for(reader.read(), 5)
    return True


def test_slow_headers_and_bodies_close_the_connection():
    async def run():
        async with Served(FakeCore(), SHORT_LIMITS) as served:
            for sent in (b"POST /v1/completions HT", raw_request('{"mod', length=50)):
                reader, writer = await served.connect()
                writer.write(sent)
                assert await closed_by_server(reader)
                writer.close()
            return served.core.asked, served.parts.in_flight.count

    assert asyncio.run(run()) == ([], 0)


@pytest.mark.parametrize("half", [True, False])
def test_a_disconnected_caller_ends_its_stream(half):
    async def run():
        async with Served(FakeCore(endless=True)) as served:
            _, writer = await served.connect()
            writer.write(raw_request(ENDLESS))
            await served.core.started.wait()
            writer.write_eof() if half else writer.close()
            await asyncio.wait_for(served.core.ended.wait(), 5)
            await asyncio.wait_for(served.parts.in_flight.wait_idle(), 5)
            writer.close()
            return served.parts.metrics.total("callers_gone")

    assert asyncio.run(run()) == 1


def test_a_non_idempotent_call_continues_without_its_caller():
    async def run():
        async with Served(FakeCore()) as served:
            _, writer = await served.connect()
            head = "POST /services/app/reorders HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
            writer.write(f"{head}Authorization: Bearer {KEY}\r\n\r\n".encode())
            await served.core.started.wait()
            writer.close()
            await asyncio.wait_for(served.parts.in_flight.wait_idle(), 5)
            return served.core.sent

    assert asyncio.run(run()) == 1


def test_a_slow_reader_stops_its_own_stream_only():
    core = FakeCore(text="w" * 10_000, endless=True)

    async def run():
        limits = attrs.evolve(LIMITS, write_timeout=SHORT_LIMITS.write_timeout)
        async with Served(core, limits) as served:
            _, writer = await served.connect()
            writer.write(raw_request(ENDLESS))
            await core.started.wait()
            before = -1
            while core.sent != before:
                before = core.sent
                await asyncio.sleep(0.05)
            other = await served.fetch("/services/app/x", body="a")
            await asyncio.wait_for(core.ended.wait(), 5)
            writer.close()
            return other.code, served.parts.metrics.counter("callers_too_slow")

    assert asyncio.run(run()) == (201, 1)


# Durable requests


def durable(state, tokens=("a ", "b ")):
    request = Completion("r-1", "counter", "m", "p", 2, durable=True)
    at = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    row = RequestRow(request, "hash", "owner", 1, state, at, finish=("length", 0, 0))
    return DurableRequest(row, tokens)


class DurableCore(FakeCore):
    """Has one durable request."""

    def __init__(self, found):
        super().__init__()
        self.found = found

    async def lookup(self, request_id, account):
        self.asked.append((request_id, account))
        return self.found

    async def follow(self, request_id, account, sink, after, version):
        for number, text in list(enumerate(self.found.value.tokens))[after:]:
            await sink.tokens((Token(1, number, text),))
        return Ok(Finished(1, 2, "length"))


def test_a_durable_request_returns_its_answer():
    core = DurableCore(Ok(durable(RequestState.DONE)))
    response = ask("/v1/requests/r-1", core, method="GET")
    body = json.loads(response.body)
    assert core.asked == [("r-1", "counter")]
    assert (body["state"], body["answer"]["choices"][0]["text"]) == ("done", "a b ")
    assert response.headers["Cicadapond-Outcome"] == "ok"


@pytest.mark.parametrize(("after", "ids"), [(None, ["1", "2"]), ("1", ["2"]), ("2", [])])
def test_a_durable_stream_goes_on_after_the_last_event(after, ids):
    core = DurableCore(Ok(durable(RequestState.DONE)))
    headers = AUTHORIZED | {"Accept": "text/event-stream"}
    headers |= {"Last-Event-ID": after} if after else {}
    response = ask("/v1/requests/r-1", core, method="GET", headers=headers)
    lines = response.body.decode().splitlines()
    assert [line[4:] for line in lines if line.startswith("id: ")] == ids
    assert lines[-2] == "data: [DONE]"


def test_an_unknown_durable_request_is_not_found():
    core = DurableCore(NotRun("no request 'r-1'", status=404))
    assert ask("/v1/requests/r-1", core, method="GET").code == 404
    headers = AUTHORIZED | {"Last-Event-ID": "x"}
    assert ask("/v1/requests/r-1", core, method="GET", headers=headers).code == 400


def test_bodies_of_all_callers_together_are_bounded():
    """Guards against a bound for each body that is none for the process."""

    async def main():
        limits = attrs.evolve(LIMITS, max_body_bytes=1000, max_held_body_bytes=1500)
        async with Served(FakeCore(), limits) as served:
            head = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n"
            head += b"Authorization: %s\r\n\r\n" % AUTHORIZED["Authorization"].encode()
            first = await served.connect()
            first[1].write(head + b"x" * 999)
            while not served.parts.held_body_bytes:
                await asyncio.sleep(0.01)
            second = await served.connect()
            second[1].write(head + b"x" * 999)
            assert b" 503 " in await second[0].readline()
            first[1].close()
            while served.parts.held_body_bytes:
                await asyncio.sleep(0.01)
            second[1].close()

    asyncio.run(main())


def test_connections_beyond_the_limit_are_closed():
    async def main():
        async with Served(FakeCore(), attrs.evolve(LIMITS, max_connections=2)) as served:
            connections = [await served.connect() for _ in range(3)]
            assert await connections[2][0].read() == b""
            for _, writer in connections:
                writer.close()

    asyncio.run(main())
