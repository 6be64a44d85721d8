"""Tests the admin port over a socket."""

import asyncio
import datetime
import json

import tornado.httpclient
import tornado.httpserver
import tornado.testing

from cicadapond.admin import admin_application
from cicadapond.data import Endpoint, HostState
from cicadapond.kernel import Metrics

STATE = {
    "hosts": {"a": HostState.LEAVING},
    "age": datetime.timedelta(milliseconds=1500),
    "at": Endpoint("127.0.0.1", 1),
    "names": {"y", "x"},
}


async def fetch(path, ready=True):
    metrics = Metrics()
    metrics.count("requests", 3, outcome="ok")
    metrics.record("wait", datetime.timedelta(seconds=1))
    server = tornado.httpserver.HTTPServer(admin_application(metrics, lambda: STATE, lambda: ready))
    socket, port = tornado.testing.bind_unused_port()
    server.add_socket(socket)
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(f"http://127.0.0.1:{port}{path}", raise_error=False)
    finally:
        server.stop()
        await server.close_all_connections()


def test_state_is_readable_json():
    response = asyncio.run(fetch("/debug/state"))
    assert json.loads(response.body) == {
        "hosts": {"a": "leaving"},
        "age": 1.5,
        "at": {"host": "127.0.0.1", "port": 1},
        "names": ["x", "y"],
    }


def test_metrics_are_exposed_as_text():
    lines = asyncio.run(fetch("/metrics")).body.decode().splitlines()
    assert 'cicadapond_requests{outcome="ok"} 3' in lines
    assert "# TYPE cicadapond_wait_seconds summary" in lines


def test_readiness_is_not_health():
    assert asyncio.run(fetch("/readyz")).code == 200
    assert asyncio.run(fetch("/readyz", ready=False)).code == 503
    assert asyncio.run(fetch("/healthz", ready=False)).code == 200
