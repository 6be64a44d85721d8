"""HTTP server of a simulated plain service."""

import json

import tornado.web

from cicadapond.backend import NotSent
from cicadapond.data import ServiceCall
from cicadapond.standin._service import REQUEST_HEADER, Crashed, ServiceModel, Silent, Truncated
from cicadapond.standin._storage_http import set_faults

LOAD_PATH = "/cicadapond/load"
FAULTS_PATH = "/cicadapond/faults"
UNAVAILABLE = 503


def service_application(model: ServiceModel) -> tornado.web.Application:
    """Returns the web application of one simulated service."""
    args = {"model": model}
    return tornado.web.Application(
        [
            (LOAD_PATH, _LoadHandler, args),
            (FAULTS_PATH, _FaultsHandler, args),
            ("/.*", _CallHandler, args),
        ]
    )


class _ModelHandler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model


class _LoadHandler(_ModelHandler):
    def get(self):
        report = self._model.load_report()
        self.write(
            {
                "running": report.running,
                "waiting": report.waiting,
                "slots": report.slots,
                "age": report.age.total_seconds(),
                "leaving": report.leaving,
            }
        )


class _FaultsHandler(_ModelHandler):
    def post(self):
        set_faults(self._model.faults, json.loads(self.request.body))


class _CallHandler(_ModelHandler):
    async def get(self):
        if self._model.is_down:
            self.request.connection.stream.close()
            return
        req = self.request
        call = ServiceCall(
            request_id=req.headers.get(REQUEST_HEADER, ""),
            account="",
            service=self._model.name,
            method=req.method,
            path=req.uri,
            headers=tuple(req.headers.get_all()),
            body=req.body,
        )
        await self._answer(await self._model.serve(call))

    head = post = put = patch = delete = options = get

    async def _answer(self, result):
        match result:
            case Silent():
                self._auto_finish = False
            case Crashed():
                self.request.connection.stream.close()
            case NotSent(reason):
                self.set_status(UNAVAILABLE)
                self.set_header("Cicadapond-Outcome", "not_run")
                self.finish(reason)
            case Truncated(complete):
                self._write_status_and_headers(complete)
                self.set_header("Content-Length", str(len(complete.body)))
                self.write(complete.body[:-1])
                await self.flush()
                self.request.connection.stream.close()
            case _:
                self._write_status_and_headers(result)
                self.finish(result.body)

    def _write_status_and_headers(self, answer):
        self.set_status(answer.status)
        for name, value in answer.headers:
            self.set_header(name, value)
