"""Calls to plain services: idempotent ones retried, keyed ones by the ledger, others sent once."""

import datetime

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import Answer, ServiceCall, body_hash
from cicadapond.entry._parts import Parts
from cicadapond.entry._race import QuantileEstimate, Race, not_run
from cicadapond.kernel import Failed, NotRun, Ok, TaskGroup, Unknown
from cicadapond.ledger import (
    KeyedCalls,
    KeyedWork,
    LedgerSettings,
    keyed_call_policies,
    ledger_sweep,
)
from cicadapond.provider import TableSweep
from cicadapond.routing import ServerView

AVOID_TERM = datetime.timedelta(seconds=2)
SETTLE_LIMIT = datetime.timedelta(seconds=10)
SETTLE_POLL = datetime.timedelta(milliseconds=50)
MAX_HOSTS = 3
FIRST_HEDGE = datetime.timedelta(milliseconds=200)
NOT_SUPPORTED = 501
ZERO = datetime.timedelta()


class ServiceRunner:
    """Runs calls to plain services.

    Args:
      parts: What the decisions of the process share.
      ledger_cfg: The ledger's settings.
    """

    def __init__(self, parts: Parts, ledger_cfg: LedgerSettings | None = None):
        self._parts = parts
        self._clock = parts.clock
        self._ledger_cfg = ledger_cfg or LedgerSettings()
        self._tasks = TaskGroup()
        self._policies: dict[str, KeyedCalls] = {}
        self._latencies: dict[str, QuantileEstimate] = {}

    async def run(self, call: ServiceCall) -> Ok[Answer] | NotRun | Failed | Unknown:
        """Runs one call.

        Args:
          call: The call.

        Returns:
          Ok with the whole answer; NotRun if it was certainly not run; Failed for an idempotent
          call without an answer; Unknown for another call that may have run.
        """
        application = self._parts.intent().applications.get(call.service)
        if application is None:
            return NotRun(f"no service {call.service!r}", status=404)
        deadline = call.deadline
        if deadline is None:
            deadline = self._clock.monotonic() + application.timeout
        if call.idempotent:
            return await self._run_idempotent(call, deadline)
        if call.idempotency_key is not None:
            return await self._run_keyed(call, deadline)
        return await self._run_unkeyed(call, deadline)

    def start(self) -> None:
        """Begins to remove expired rows of the ledger."""
        parts = self._parts
        if parts.ledger_tables is not None:
            sweep = TableSweep(
                ledger_sweep(self._ledger_cfg),
                parts.statistics_tables or parts.ledger_tables,
                parts.objects,
                parts.clock,
                parts.metrics,
                parts.rng,
            )
            self._tasks.start(sweep)

    async def stop(self) -> None:
        """Ends as planned: what became of keyed calls is recorded first, within a limit."""
        end = self._clock.monotonic() + SETTLE_LIMIT
        while self._unsettled() and self._clock.monotonic() < end:
            await self._clock.sleep(SETTLE_POLL)
        await self.close()

    def state(self) -> dict:
        """Returns what a dump shows."""
        return {
            "keyed_calls": {name: policy.state() for name, policy in self._policies.items()},
            "hedge_after": {name: est.value for name, est in self._latencies.items()},
        }

    async def close(self) -> None:
        """Ends everything at once, as a process that dies does."""
        await self._tasks.stop()
        for policy in self._policies.values():
            await policy.close()

    def _unsettled(self):
        return sum(policy.running for policy in self._policies.values())

    # The three kinds

    async def _run_idempotent(self, call, deadline):
        estimate = self._latencies.setdefault(call.service, QuantileEstimate(FIRST_HEDGE))
        tried = []

        def start(number):
            view = self._choose(call.service, tried)
            if view is None:
                return None
            tried.append(view.server.name)
            return self._send(view, call, deadline, fresh=number > 0)

        begun = self._clock.monotonic()
        race = Race(
            start,
            lambda: self._may_retry(call.service),
            deadline,
            estimate.value,
            self._clock,
            self._parts.rng,
        )
        outcome = await race.run()
        if isinstance(outcome, Ok):
            estimate.add(self._clock.monotonic() - begun)
        return outcome

    async def _run_keyed(self, call, deadline):
        if self._parts.ledger_tables is None:
            return NotRun("there is no table service to record keyed calls", status=NOT_SUPPORTED)
        body = body_hash(call.service, call.method, call.path, call.body)
        work = KeyedWork(call.account, call.idempotency_key, body, deadline)
        return await self._policy().call(work, lambda end: self._send_once(call, end))

    async def _run_unkeyed(self, call, deadline):
        outcome = await self._send_once(call, deadline)
        return not_run(outcome) if isinstance(outcome, NotSent) else outcome

    def _policy(self):
        name = self._parts.intent().policies.keyed_calls
        if name not in self._policies:
            parts = self._parts
            self._policies[name] = keyed_call_policies.create(
                name,
                parts.ledger_tables,
                parts.objects,
                self._ledger_cfg,
                parts.clock,
                parts.metrics,
                parts.rng,
            )
        return self._policies[name]

    # Sending

    async def _send_once(self, call, deadline):
        """Sends a call that must not repeat; another host only on proof that it did not run."""
        outcome = NotSent("no server of the service takes work")
        tried = []
        while len(tried) < MAX_HOSTS:
            view = self._choose(call.service, tried)
            if view is None or (tried and not self._may_retry(call.service)):
                return outcome
            tried.append(view.server.name)
            outcome = await self._send(view, call, deadline, fresh=True)
            if not isinstance(outcome, NotSent):
                return outcome
        return outcome

    async def _send(self, view, call, deadline, fresh):
        name = view.server.name
        fleet = self._parts.fleet
        timeout = deadline - self._clock.monotonic()
        if timeout <= ZERO or fleet.is_leaving(name):
            return NotSent(f"{name}: no time left, or it is leaving")
        fleet.started(name)
        begun = self._clock.monotonic()
        try:
            outcome = await fleet.adapter(name).call(_with_names(call), timeout, fresh)
        finally:
            fleet.finished(name)
        self._note(view, call.service, outcome, begun)
        return outcome

    def _note(self, view, service, outcome, begun):
        now = self._clock.monotonic()
        tag = type(outcome).__name__.lower()
        self._parts.metrics.count("service_sends", service=service, outcome=tag)
        self._parts.metrics.record("service_send", now - begun, service=service)
        if isinstance(outcome, Ok):
            if self._parts.retry_budget is not None:
                self._parts.retry_budget.success(service)
        else:
            view.failing_until = now + AVOID_TERM

    def _choose(self, service, tried) -> ServerView | None:
        """Returns the least loaded server, those tried or failing last; None if there is none."""
        views = [v for v in self._parts.fleet.views(service) if v.server.name not in tried]
        now = self._clock.monotonic()
        return min(
            views,
            key=lambda view: (
                view.failing_until > now,
                view.own_in_flight + view.peer_in_flight,
                self._parts.rng.random(),
            ),
            default=None,
        )

    def _may_retry(self, service):
        budget = self._parts.retry_budget
        return budget is None or budget.allow(service)


def _with_names(call):
    """Returns the call with the headers that name it to the service."""
    names = [("Cicadapond-Request-Id", call.request_id)]
    if call.idempotency_key is not None:
        names.append(("Idempotency-Key", call.idempotency_key))
    return attrs.evolve(call, headers=(*call.headers, *names))
