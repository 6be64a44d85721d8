"""The asyncio side of admission, where callers wait for a slot."""

import asyncio
import datetime
import random
import typing

import attrs

from cicadapond.admission._api import AdmissionPolicy, Refused, Ticket, admission_policies
from cicadapond.document import Intent
from cicadapond.kernel import Clock, Metrics, NotRun, Ok

DEFAULT_POLICY = "fair"
_ZERO = datetime.timedelta()


@attrs.frozen
class Permit:
    """A slot that is held; to be given back with `AdmissionGate.release`."""

    ticket: Ticket
    since: datetime.timedelta


class AdmissionGate:
    """Grants permits according to the policy that the document names.

    Args:
      intent: Returns the document in force.
      slots: Returns the slots of a pool that this process may use now.
      refresh: The interval at which slots are counted again.
      clock: Gives the time.
      metrics: Receives counts and waiting times.
      rng: Randomness for the policies.
    """

    def __init__(
        self,
        intent: typing.Callable[[], Intent],
        slots: typing.Callable[[str], int],
        refresh: datetime.timedelta,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._intent = intent
        self._slots = slots
        self._refresh = refresh
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._policy: AdmissionPolicy | None = None
        self._policy_name = None
        self._accounts = None
        self._counted_at: dict[str, datetime.timedelta] = {}
        self._waiters: dict[str, asyncio.Future] = {}
        self._running: dict[str, Permit] = {}
        self._timer = None

    async def acquire(self, ticket: Ticket) -> Ok[Permit] | NotRun:
        """Waits for a slot.

        A caller that is cancelled while it waits leaves the queue.

        Args:
          ticket: The request that needs a slot.

        Returns:
          Ok with the permit, or NotRun as soon as the policy refuses the ticket.
        """
        now = self._clock.monotonic()
        self._update(ticket.pool, now)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.ticket_id] = waiter
        self._apply(self._policy.offer(ticket, now), now)
        if not waiter.done():
            self._set_timer(now)
        try:
            outcome = await waiter
        except asyncio.CancelledError:
            self._abandon(ticket, waiter)
            raise
        self._count_outcome(ticket, outcome, now)
        return outcome

    def release(self, permit: Permit) -> None:
        """Gives a slot back."""
        if self._running.pop(permit.ticket.ticket_id, None) is None:
            return
        now = self._clock.monotonic()
        self._update(permit.ticket.pool, now)
        self._apply(self._policy.release(permit.ticket, now), now)

    def state(self) -> dict:
        """Returns the policy's queues, for a dump."""
        pools = {} if self._policy is None else self._policy.state()
        return {"policy": self._policy_name, "waiting": len(self._waiters), "pools": pools}

    # Decisions

    def _apply(self, decisions, now):
        for decision in decisions:
            ticket = decision.ticket
            waiter = self._waiters.pop(ticket.ticket_id)
            outcome = (
                decision.outcome if isinstance(decision, Refused) else self._grant(ticket, now)
            )
            if not waiter.done():
                waiter.set_result(outcome)

    def _grant(self, ticket, now):
        permit = Permit(ticket, now)
        self._running[ticket.ticket_id] = permit
        return Ok(permit)

    def _abandon(self, ticket, waiter):
        """Removes a cancelled caller, and releases its slot if it has just been given one."""
        now = self._clock.monotonic()
        if self._waiters.pop(ticket.ticket_id, None) is not None:
            self._metrics.count("admission_withdrawn", pool=ticket.pool)
            self._apply(self._policy.withdraw(ticket, now), now)
        elif ticket.ticket_id in self._running:
            self.release(self._running[ticket.ticket_id])

    def _count_outcome(self, ticket, outcome, arrived):
        if isinstance(outcome, NotRun):
            self._metrics.count("admission_refused", pool=ticket.pool, status=outcome.status)
            return
        self._metrics.count("admission_admitted", pool=ticket.pool)
        wait = self._clock.monotonic() - arrived
        self._metrics.record("admission_wait", wait, priority=ticket.priority.name.lower())

    # Document, slots and time

    def _update(self, pool, now):
        intent = self._intent()
        name = self._known_policy(intent.policies.admission)
        if name != self._policy_name:
            self._change_policy(name, now)
        if intent.accounts is not self._accounts:
            self._accounts = intent.accounts
            self._policy.configure(intent.accounts)
        counted_at = self._counted_at.get(pool)
        if counted_at is None or now - counted_at >= self._refresh:
            self._counted_at[pool] = now
            self._apply(self._policy.set_slots(pool, self._slots(pool), now), now)

    def _known_policy(self, name):
        """Returns the policy to use; the document may name one that this release lacks.

        In that case the policy in use stays, or the default one if there is none yet.
        """
        if name in admission_policies.names():
            return name
        self._metrics.count("admission_policy_unknown")
        return self._policy_name or DEFAULT_POLICY

    def _change_policy(self, name, now):
        """Moves all tickets to another policy; those with a slot keep it."""
        waiting = [] if self._policy is None else self._policy.waiting()
        self._policy = admission_policies.create(name, self._rng)
        self._policy_name = name
        self._accounts = self._intent().accounts
        self._policy.configure(self._accounts)
        for permit in self._running.values():
            self._policy.take_over(permit.ticket, now)
        for pool in self._counted_at:
            self._apply(self._policy.set_slots(pool, self._slots(pool), now), now)
        for ticket in waiting:
            self._apply(self._policy.offer(ticket, now), now)

    def _set_timer(self, now):
        """Schedules the next expiry or count of slots, while any caller waits."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._waiters:
            return
        due = self._policy.next_expiry()
        wait = self._refresh if due is None else min(self._refresh, max(due - now, _ZERO))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait.total_seconds(), self._wake)

    def _wake(self):
        now = self._clock.monotonic()
        for pool in list(self._counted_at):
            self._update(pool, now)
        self._apply(self._policy.expire(now), now)
        self._set_timer(now)
