"""The version of a new request, for lists of engines written as `model@version:in-flight`."""

import pytest

from cicadapond.data import BackendServer, Endpoint, LoadReport, ServerKind
from cicadapond.routing import ServerView, choose_version, may_run_version


def view_of(text):
    text, _, in_flight = text.partition(":")
    server = BackendServer(text, ServerKind.ENGINE, "p", "z", Endpoint("127.0.0.1", 1))
    if text == "silent":
        return ServerView(server)
    model, _, version = text.partition("@")
    report = LoadReport("e", 0, 0, 8, model=model, version=version)
    return ServerView(server, own_in_flight=int(in_flight or 0), report=report)


@pytest.mark.parametrize(
    ("engines", "version"),
    [
        ("m@1 m@1 m@2", "2"),
        ("m@1 m@1", "1"),
        ("m@1:4 m@0:2 m@0:6", "0"),
        ("m@1 other@2", "1"),
        ("m@1 m@", "1"),  # one engine is loading
        ("m@1 silent", "2"),  # an engine that has not reported may serve any version
        ("", "2"),
        # The first engine of the new version gets only its share of the requests.
        ("m@1:3 m@1:5 m@2:2", "2"),
        ("m@1:3 m@1:5 m@2:4", "1"),
    ],
)
def test_the_version_of_new_requests(engines, version):
    assert choose_version("m", "2", map(view_of, engines.split())) == version


def test_an_engine_of_another_version_does_not_serve():
    assert may_run_version(view_of("m@2"), "m", "2")
    assert not may_run_version(view_of("m@1"), "m", "2")
    assert not may_run_version(view_of("m@"), "m", "2")
