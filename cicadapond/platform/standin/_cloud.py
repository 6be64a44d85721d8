"""A stand-in of the platform's cloud API, which checks fencing numbers."""

import json

import attrs
import tornado.web


@attrs.define
class CloudModel:
    """The reports and orders received, and the faults in force.

    Attributes:
      reports: By window, the counts of every accepted report.
      orders: Every accepted order: (service, zone, reclaimable, count).
      is_out_of_reclaimable: Orders of reclaimable servers are declined.
      is_down: Every call is answered 503.
      fences: The highest fencing number received for each subject.
      holders: By subject and fencing number, the names of the processes that called.
    """

    reports: dict[int, list[dict]] = attrs.field(factory=dict)
    orders: list[tuple[str, str, bool, int]] = attrs.field(factory=list)
    is_out_of_reclaimable: bool = False
    is_down: bool = False
    fences: dict[tuple, int] = attrs.field(factory=dict)
    holders: dict[tuple, set[str]] = attrs.field(factory=dict)

    def is_fenced(self, subject: tuple, fencing: int) -> bool:
        """Returns whether a call has a lower fencing number than an earlier one."""
        if fencing < self.fences.get(subject, 0):
            return True
        self.fences[subject] = fencing
        return False


class _CallHandler(tornado.web.RequestHandler):
    def initialize(self, model):
        self._model = model

    def post(self):
        body = json.loads(self.request.body)
        fencing = int(self.request.headers["X-Cicadapond-Fencing-Token"])
        holder = self.request.headers["X-Cicadapond-Duty-Holder"]
        self._model.holders.setdefault((self.subject(body), fencing), set()).add(holder)
        if self._model.is_down:
            self.set_status(503)
        elif self._model.is_fenced(self.subject(body), fencing) or not self.accept(body):
            self.set_status(409)


class _UsageHandler(_CallHandler):
    def subject(self, body):
        return ("usage",)

    def accept(self, body):
        self._model.reports.setdefault(body["window_id"], []).append(body["counts"])
        return True


class _ScaleHandler(_CallHandler):
    def subject(self, body):
        return ("scale", body["service"], body["zone"])

    def accept(self, body):
        reclaimable = body.get("preemptible", False)
        if reclaimable and self._model.is_out_of_reclaimable:
            return False
        order = (body["service"], body["zone"], reclaimable, body["desired_count"])
        self._model.orders.append(order)
        return True


def cloud_application(model: CloudModel) -> tornado.web.Application:
    """Returns the HTTP application that serves the cloud API."""
    arguments = {"model": model}
    return tornado.web.Application(
        [("/usage", _UsageHandler, arguments), ("/scale", _ScaleHandler, arguments)],
        log_function=lambda handler: None,
    )
