"""Tests the HTTP adapter's outcome of each failure, with the simulated service on real sockets."""

import asyncio
import random

import pytest
import tornado.httpserver
import tornado.tcpserver
import tornado.testing

from cicadapond.backend import NotSent
from cicadapond.data import BackendServer, Endpoint, ServerKind, ServiceCall
from cicadapond.kernel import LoopClock, Metrics, Ok, Unknown, seconds
from cicadapond.plugins.service_http import HttpService
from cicadapond.standin import ServiceModel
from cicadapond.standin._service_http import service_application

CHARGE = ServiceCall("r1", "a", "ledger", "POST", "/charges", (("Idempotency-Key", "k1"),), b"{}")


SILENT_CALL_TIMEOUT = seconds(2)  # covers a slow connect on a busy machine


def adapter(port):
    endpoint = Endpoint("127.0.0.1", port)
    server = BackendServer("ledger-1", ServerKind.SERVICE, "ledger", "yqr", endpoint)
    return HttpService(server, LoopClock(), Metrics())


def with_service(check):
    async def main():
        model = ServiceModel("ledger-1", LoopClock(), random.Random(1))
        server = tornado.httpserver.HTTPServer(service_application(model))
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        try:
            await check(model, adapter(port))
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


def test_a_charge_and_a_load_report():
    async def check(model, service):
        outcome = await service.call(CHARGE, seconds(5), new_connection=True)
        assert isinstance(outcome, Ok) and outcome.value.status == 201
        assert model.counts.by_key == {"k1": 1}
        report = await service.load_report()
        assert report.value.slots == model.timing.slots

    with_service(check)


@pytest.mark.parametrize(
    ("fault", "kind", "runs"),
    [
        ("crash_before", Unknown, 0),
        ("crash_after", Unknown, 1),
        ("truncate", Unknown, 1),
        ("refuse", NotSent, 0),
    ],
)
def test_each_failure_has_its_outcome(fault, kind, runs):
    async def check(model, service):
        setattr(model.faults, fault, 1.0)
        assert isinstance(await service.call(CHARGE, seconds(5), new_connection=True), kind)
        assert model.counts.by_key["k1"] == runs

    with_service(check)


def test_a_call_without_an_answer_is_unknown():
    async def check(model, service):
        model.faults.silent = 1.0
        assert isinstance(
            await service.call(CHARGE, SILENT_CALL_TIMEOUT, new_connection=True), Unknown
        )

    with_service(check)


def test_a_refused_connection_is_not_sent():
    async def main():
        sock, port = tornado.testing.bind_unused_port()
        sock.close()
        assert isinstance(await adapter(port).call(CHARGE, seconds(5), True), NotSent)

    asyncio.run(main())


def test_a_call_abandoned_while_connecting_is_not_sent():
    async def check(model, service):
        call = asyncio.ensure_future(service.call(CHARGE, seconds(5), new_connection=True))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.sleep(0.2)
        assert not model.counts.by_key

    with_service(check)


class RawServer(tornado.tcpserver.TCPServer):
    """Answers each connection with fixed bytes and closes it."""

    def __init__(self, content):
        super().__init__()
        self._content = content

    async def handle_stream(self, stream, address):
        await stream.read_until(b"\r\n\r\n")
        await stream.write(self._content)
        stream.close()


@pytest.mark.parametrize(
    "content",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
    ],
)
def test_an_incomplete_answer_is_unknown(content):
    async def main():
        server = RawServer(content)
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        assert isinstance(await adapter(port).call(CHARGE, seconds(5), True), Unknown)
        server.stop()

    asyncio.run(main())
