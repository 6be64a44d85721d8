"""The admin port's web application."""

import json
import typing

import tornado.web

from cicadapond.admin._dump import to_jsonable
from cicadapond.kernel import Metrics


def admin_application(
    metrics: Metrics,
    state: typing.Callable[[], dict],
    ready: typing.Callable[[], bool],
) -> tornado.web.Application:
    """Returns the web application of a process's admin port.

    Args:
      metrics: The process's metrics.
      state: Returns the state to dump; its values may be anything that `to_jsonable` accepts.
      ready: Returns whether the load balancer should send requests to this process.
    """
    return tornado.web.Application(
        [
            ("/healthz", _HealthHandler),
            ("/readyz", _ReadyHandler, {"ready": ready}),
            ("/metrics", _MetricsHandler, {"metrics": metrics}),
            ("/debug/state", _StateHandler, {"state": state}),
        ],
        log_function=lambda handler: None,
    )


class _HealthHandler(tornado.web.RequestHandler):
    def get(self):
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.write("ok\n")


class _ReadyHandler(tornado.web.RequestHandler):
    def initialize(self, ready):
        self._ready = ready

    def get(self):
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        if self._ready():
            self.write("ready\n")
            return
        self.set_status(503)
        self.write("not ready\n")


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, metrics):
        self._metrics = metrics

    def get(self):
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.write(self._metrics.exposition())


class _StateHandler(tornado.web.RequestHandler):
    def initialize(self, state):
        self._state = state

    def get(self):
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(to_jsonable(self._state()), indent=2) + "\n")
