"""HTTP servers of the simulated storage services: msgpack for tables, raw bodies for objects.

`POST /v1/faults` takes a JSON object of `StorageFaults` fields, durations in seconds.
"""

import datetime
import json
import math

import attrs
import msgpack
import tornado.web

from cicadapond.kernel import AnswerLost, Conflict, Unavailable
from cicadapond.provider import Write
from cicadapond.standin._objects import ObjectModel
from cicadapond.standin._tables import TableModel

CONFLICT = 409
UNAVAILABLE = 503


def table_application(model: TableModel) -> tornado.web.Application:
    """Returns the web application of a simulated table service."""
    args = {"model": model}
    return tornado.web.Application(
        [
            ("/v1/transact", _TransactHandler, args),
            ("/v1/read", _ReadHandler, args),
            ("/v1/scan", _ScanHandler, args),
            ("/v1/faults", _FaultsHandler, args),
        ]
    )


def object_application(model: ObjectModel) -> tornado.web.Application:
    """Returns the web application of a simulated object store."""
    args = {"model": model}
    return tornado.web.Application(
        [("/v1/objects/(.+)", _ObjectHandler, args), ("/v1/faults", _FaultsHandler, args)]
    )


class _StorageHandler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model

    def _send_failure(self, outcome) -> bool:
        """Sends the response for a failure of the service; returns whether there was one."""
        if isinstance(outcome, AnswerLost):
            self.request.connection.stream.close()
            return True
        if not isinstance(outcome, Unavailable):
            return False
        self.set_status(UNAVAILABLE, "Unavailable")
        if outcome.retry_after is not None:
            self.set_header("Retry-After", str(math.ceil(outcome.retry_after.total_seconds())))
        self.finish(outcome.reason)
        return True

    def _send(self, value):
        self.set_header("Content-Type", "application/msgpack")
        self.finish(msgpack.packb(value))


class _TransactHandler(_StorageHandler):
    async def post(self):
        fields = msgpack.unpackb(self.request.body, strict_map_key=False)
        outcome = await self._model.transact(tuple(Write(*write) for write in fields))
        if self._send_failure(outcome):
            return
        if isinstance(outcome, Conflict):
            self.set_status(CONFLICT)
            self._send([attrs.astuple(row) for row in outcome.current.values()])
        else:
            self._send([[*key, version] for key, version in outcome.value.items()])


class _ReadHandler(_StorageHandler):
    async def post(self):
        keys = tuple((table, key) for table, key in msgpack.unpackb(self.request.body))
        outcome = await self._model.read(keys)
        if not self._send_failure(outcome):
            self._send([attrs.astuple(row) for row in outcome.value.values()])


class _ScanHandler(_StorageHandler):
    async def post(self):
        outcome = await self._model.scan(*msgpack.unpackb(self.request.body))
        if not self._send_failure(outcome):
            self._send([attrs.astuple(row) for row in outcome.value])


class _ObjectHandler(_StorageHandler):
    async def get(self, name):
        outcome = await self._model.get(name)
        if self._send_failure(outcome):
            return
        if outcome.value is None:
            raise tornado.web.HTTPError(404)
        self.finish(outcome.value)

    async def put(self, name):
        self._send_failure(await self._model.put(name, self.request.body))

    async def delete(self, name):
        self._send_failure(await self._model.delete(name))


class _FaultsHandler(_StorageHandler):
    def post(self):
        set_faults(self._model.faults, json.loads(self.request.body))


def set_faults(faults, fields: dict) -> None:
    """Sets fields of `faults` from JSON values; durations are in seconds."""
    for name, value in fields.items():
        if isinstance(getattr(faults, name), datetime.timedelta):
            value = datetime.timedelta(seconds=value)
        setattr(faults, name, value)
