"""HTTP servers of the simulated cloud API, host list and weight store, in JSON.

`POST /v1/faults` of the cloud takes `outage`, `lose_after`, `refuse` and `accept` (lists of zone,
machine class, market; null matches all), `reclaim` (host ids), `wave` (share, zone or null) and
`notice` (seconds, for `reclaim` and `wave`).
"""

import datetime
import json

import tornado.web

from cicadapond.data import Market
from cicadapond.kernel import AnswerLost, Unavailable
from cicadapond.provider import Refused
from cicadapond.standin._cloud import CloudModel
from cicadapond.standin._host_list import HostListModel
from cicadapond.standin._hosts_wire import (
    host_fields,
    listing_fields,
    notice_fields,
    parse_request,
    price_fields,
)
from cicadapond.standin._weights import WeightModel

UNAVAILABLE = 503
REFUSED = 409


def cloud_application(model: CloudModel) -> tornado.web.Application:
    """Returns the web application of a simulated cloud API."""
    args = {"model": model}
    return tornado.web.Application(
        [
            ("/v1/hosts", _HostsHandler, args),
            ("/v1/hosts/(.+)", _HostHandler, args),
            ("/v1/prices", _PricesHandler, args),
            ("/v1/notices", _NoticesHandler, args),
            ("/v1/faults", _FaultsHandler, args),
        ]
    )


def host_list_application(model: HostListModel) -> tornado.web.Application:
    """Returns the web application of a simulated host list."""
    return tornado.web.Application([("/v1/list", _ListHandler, {"model": model})])


def weight_application(model: WeightModel) -> tornado.web.Application:
    """Returns the web application of a simulated weight store."""
    return tornado.web.Application([("/v1/weights", _WeightsHandler, {"model": model})])


class _Handler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model

    def _send_failure(self, outcome) -> bool:
        """Sends the response for a failed outcome; returns whether it was one."""
        if isinstance(outcome, AnswerLost):
            self.request.connection.stream.close()
            return True
        if isinstance(outcome, (Unavailable, Refused)):
            self.set_status(REFUSED if isinstance(outcome, Refused) else UNAVAILABLE)
            self.finish(outcome.reason)
            return True
        return False

    def _send(self, fields):
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))


class _HostsHandler(_Handler):
    async def get(self):
        outcome = await self._model.hosts(self.get_query_argument("zone"))
        if not self._send_failure(outcome):
            self._send([host_fields(host) for host in outcome.value])

    async def post(self):
        outcome = await self._model.buy(parse_request(json.loads(self.request.body)))
        if not self._send_failure(outcome):
            self._send(host_fields(outcome.value))


class _HostHandler(_Handler):
    async def delete(self, host_id):
        outcome = await self._model.release(host_id)
        if not self._send_failure(outcome):
            self.set_status(204)


class _PricesHandler(_Handler):
    async def get(self):
        outcome = await self._model.prices()
        if not self._send_failure(outcome):
            self._send([price_fields(price) for price in outcome.value])


class _NoticesHandler(_Handler):
    async def get(self):
        outcome = await self._model.notices(self.get_query_argument("zone"))
        if not self._send_failure(outcome):
            self._send([notice_fields(notice) for notice in outcome.value])


class _FaultsHandler(_Handler):
    def post(self):
        fields = json.loads(self.request.body)
        faults = self._model.faults
        faults.outage = fields.get("outage", faults.outage)
        faults.lose_after = fields.get("lose_after", faults.lose_after)
        faults.refused |= {_rule(*rule) for rule in fields.get("refuse", ())}
        faults.refused -= {_rule(*rule) for rule in fields.get("accept", ())}
        notice = fields.get("notice")
        notice = None if notice is None else datetime.timedelta(seconds=notice)
        for host_id in fields.get("reclaim", ()):
            self._model.reclaim(host_id, notice)
        if "wave" in fields:
            self._model.reclaim_share(*fields["wave"], notice)


def _rule(zone, machine_class, market):
    return (zone, machine_class, None if market is None else Market(market))


class _ListHandler(_Handler):
    def get(self):
        if self._model.outage:
            self._send_failure(Unavailable("the host list is out"))
        else:
            self._send(listing_fields(self._model.listing()))


class _WeightsHandler(_Handler):
    def get(self):
        if self._model.outage:
            self._send_failure(Unavailable("the weight store is out"))
            return
        model = self.get_query_argument("model", "")
        size = self._model.size(model, self.get_query_argument("version", ""))
        self._send({"rate": self._model.cfg.rate, "size": size})
