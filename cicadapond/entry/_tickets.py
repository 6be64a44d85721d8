"""Admission tickets of requests, and the number of slots that admission may grant."""

import datetime

from cicadapond.admission import Ticket, pool_slots
from cicadapond.data import Completion, Priority, ServerKind, ServiceCall
from cicadapond.document import ApplicationIntent, ModelIntent
from cicadapond.entry._parts import Parts
from cicadapond.peer import MemberState

# Share of the time to a deadline or first-token target that a request may wait for a slot.  A
# completion that needs less than the rest to generate its tokens may wait longer for its deadline.
WAIT_SHARE = 0.5
ACCEPT_POOL = "durable requests"
ACCEPT_SLOTS = 256  # concurrent writes of new durable requests to the table service
ACCEPT_WAIT = datetime.timedelta(seconds=2)
# Servers that are first seen within this time of the first count have no slow start.
WARM_UP = datetime.timedelta(seconds=5)
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)


def completion_ticket(req: Completion, model: ModelIntent, now: datetime.timedelta) -> Ticket:
    """Returns the ticket of a completion.

    It must be admitted while there is time to generate all its tokens before its deadline or, if
    they take more than half of its time, within the first half. An interactive one must also be
    admitted within half of the model's target time for the first token.

    Args:
      req: The request.
      model: The model's part of the document.
      now: The monotonic instant.
    """
    latest = None
    if req.deadline is not None:
        generation = model.token_interval_target * req.max_tokens
        latest = req.deadline - min(generation, WAIT_SHARE * (req.deadline - now))
    if req.priority is Priority.INTERACTIVE and not req.durable:
        first = now + WAIT_SHARE * model.first_token_target
        latest = first if latest is None else min(latest, first)
    return Ticket(req.request_id, model.pool, req.account, req.priority, latest)


def accept_ticket(req: Completion, now: datetime.timedelta) -> Ticket:
    """Returns the ticket for storing a new durable request.

    Args:
      req: The request.
      now: The monotonic instant.
    """
    latest = now + ACCEPT_WAIT
    return Ticket(req.request_id, ACCEPT_POOL, req.account, Priority.STANDARD, latest)


def service_ticket(
    call: ServiceCall, application: ApplicationIntent, now: datetime.timedelta
) -> Ticket:
    """Returns the ticket of a call to a plain service.

    Args:
      call: The call.
      application: The service's part of the document.
      now: The monotonic instant.
    """
    deadline = now + application.timeout if call.deadline is None else call.deadline
    latest = now + WAIT_SHARE * (deadline - now)
    return Ticket(call.request_id, call.service, call.account, call.priority, latest)


class SlotCount:
    """Counts the slots of a pool that this entry may use now.

    Args:
      parts: The entry's shared components.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._warm_at: datetime.timedelta | None = None

    def count(self, pool: str) -> int:
        """Returns the slots of a pool or service."""
        parts = self._parts
        if pool == ACCEPT_POOL:
            return ACCEPT_SLOTS
        now = parts.clock.monotonic()
        if self._warm_at is None:
            self._warm_at = now + WARM_UP
        views = parts.fleet.views(pool)
        slots = [self._slots_of(view) for view in views]
        return pool_slots(
            views, slots, now, self._warm_at, self._live_entry_count(), parts.cfg.capacity
        )

    def _slots_of(self, view):
        """Returns a server's slots: from the document for services, from reports for engines."""
        if view.server.kind is ServerKind.SERVICE:
            application = self._parts.intent().applications.get(view.server.pool)
            if application is not None:
                return application.slots_per_server
        if view.report is not None:
            return view.report.slots
        return self._parts.cfg.capacity.default_slots

    def _live_entry_count(self):
        members = self._parts.peers.members()
        return 1 + sum(member.state in _LIVE and member.role == "entry" for member in members)
