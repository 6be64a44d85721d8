"""A stand-in of the platform's calls for duties, which checks fencing numbers."""

import json

import attrs
import tornado.web


@attrs.define
class CloudModel:
    """What was reported and ordered.

    Attributes:
      reports: The counts of each window, every accepted report.
      orders: Every accepted order: (service, zone, reclaimable, count).
      is_dry: Reclaimable servers are not to be had.
      is_down: Every call is answered 503.
      holders: Who called with each fencing number of each subject.
    """

    reports: dict[int, list[dict]] = attrs.field(factory=dict)
    orders: list[tuple[str, str, bool, int]] = attrs.field(factory=list)
    is_dry: bool = False
    is_down: bool = False
    fences: dict[tuple, int] = attrs.field(factory=dict)
    holders: dict[tuple, set[str]] = attrs.field(factory=dict)

    def is_fenced(self, subject: tuple, fencing: int) -> bool:
        """Returns whether a call comes with an older right than one before it."""
        if fencing < self.fences.get(subject, 0):
            return True
        self.fences[subject] = fencing
        return False


class _Handler(tornado.web.RequestHandler):
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


class _Usage(_Handler):
    def subject(self, body):
        return ("usage",)

    def accept(self, body):
        self._model.reports.setdefault(body["window_id"], []).append(body["counts"])
        return True


class _Scale(_Handler):
    def subject(self, body):
        return ("scale", body["service"], body["zone"])

    def accept(self, body):
        reclaimable = body.get("preemptible", False)
        if reclaimable and self._model.is_dry:
            return False
        order = (body["service"], body["zone"], reclaimable, body["desired_count"])
        self._model.orders.append(order)
        return True


def cloud_application(model: CloudModel) -> tornado.web.Application:
    """Returns the HTTP face of the duties' calls."""
    arguments = {"model": model}
    return tornado.web.Application(
        [("/usage", _Usage, arguments), ("/scale", _Scale, arguments)],
        log_function=lambda handler: None,
    )
