"""Calls to plain services.

Idempotent calls are retried and hedged, calls with an idempotency key go through the ledger, and
all others are executed at most once.
"""

import datetime

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import ServiceCall, ServiceResponse, content_hash
from cicadapond.entry._hedged_call import HedgedCall, QuantileEstimate, not_run
from cicadapond.entry._parts import Parts
from cicadapond.kernel import Failed, NotRun, Ok, TaskGroup, Unknown
from cicadapond.ledger import (
    KeyedCall,
    KeyedCallPolicy,
    LedgerSettings,
    keyed_call_policies,
    ledger_sweep,
)
from cicadapond.provider import TableSweep
from cicadapond.routing import ServerView

AVOID_DURATION = datetime.timedelta(seconds=2)
SETTLE_TIMEOUT = datetime.timedelta(seconds=10)
SETTLE_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
MAX_SERVERS_TRIED = 3
INITIAL_HEDGE_DELAY = datetime.timedelta(milliseconds=200)
STATUS_NOT_IMPLEMENTED = 501
ZERO = datetime.timedelta()


class ServiceRunner:
    """Runs calls to plain services.

    Args:
      parts: The entry's shared components.
      ledger_cfg: The ledger's settings.
    """

    def __init__(self, parts: Parts, ledger_cfg: LedgerSettings | None = None):
        self._parts = parts
        self._clock = parts.clock
        self._ledger_cfg = ledger_cfg or LedgerSettings()
        self._tasks = TaskGroup()
        self._policies: dict[str, KeyedCallPolicy] = {}
        self._latencies: dict[str, QuantileEstimate] = {}

    async def run(self, call: ServiceCall) -> Ok[ServiceResponse] | NotRun | Failed | Unknown:
        """Runs one call.

        Args:
          call: The call.

        Returns:
          Ok with the answer; NotRun if the call was certainly not run; Failed for an idempotent
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
        """Starts the task that removes expired rows of the ledger."""
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
        """Closes once the outcomes of keyed calls are recorded, or after `SETTLE_TIMEOUT`."""
        end = self._clock.monotonic() + SETTLE_TIMEOUT
        while self._unsettled() and self._clock.monotonic() < end:
            await self._clock.sleep(SETTLE_POLL_INTERVAL)
        await self.close()

    def state(self) -> dict:
        """Returns the state of keyed calls and the hedge delays, for a dump."""
        return {
            "keyed_calls": {name: policy.state() for name, policy in self._policies.items()},
            "hedge_after": {name: est.value for name, est in self._latencies.items()},
        }

    async def close(self) -> None:
        """Stops everything at once, as if the process had died."""
        await self._tasks.stop()
        for policy in self._policies.values():
            await policy.close()

    def _unsettled(self):
        return sum(policy.running for policy in self._policies.values())

    # The three kinds of call

    async def _run_idempotent(self, call, deadline):
        estimate = self._latencies.setdefault(call.service, QuantileEstimate(INITIAL_HEDGE_DELAY))
        tried = []

        def start(number):
            view = self._choose(call.service, tried)
            if view is None:
                return None
            tried.append(view.server.name)
            return self._send(view, call, deadline, new_connection=number > 0)

        started_at = self._clock.monotonic()
        hedged = HedgedCall(
            start,
            lambda: self._may_retry(call.service),
            deadline,
            estimate.value,
            self._clock,
            self._parts.rng,
        )
        outcome = await hedged.run()
        if isinstance(outcome, Ok):
            estimate.add(self._clock.monotonic() - started_at)
        return outcome

    async def _run_keyed(self, call, deadline):
        if self._parts.ledger_tables is None:
            return NotRun(
                "there is no table service to record keyed calls", status=STATUS_NOT_IMPLEMENTED
            )
        body = content_hash(call.service, call.method, call.path, call.body)
        keyed_call = KeyedCall(call.account, call.idempotency_key, body, deadline)
        return await self._keyed_call_policy().call(
            keyed_call, lambda end: self._send_once(call, end)
        )

    async def _run_unkeyed(self, call, deadline):
        outcome = await self._send_once(call, deadline)
        return not_run(outcome) if isinstance(outcome, NotSent) else outcome

    def _keyed_call_policy(self):
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
        """Sends a call that must not run twice; retries only on proof that it did not run."""
        outcome = NotSent("no server of the service takes work")
        tried = []
        while len(tried) < MAX_SERVERS_TRIED:
            view = self._choose(call.service, tried)
            if view is None or (tried and not self._may_retry(call.service)):
                return outcome
            tried.append(view.server.name)
            outcome = await self._send(view, call, deadline, new_connection=True)
            if not isinstance(outcome, NotSent):
                return outcome
        return outcome

    async def _send(self, view, call, deadline, new_connection):
        name = view.server.name
        fleet = self._parts.fleet
        timeout = deadline - self._clock.monotonic()
        if timeout <= ZERO or fleet.is_leaving(name):
            return NotSent(f"{name}: no time left, or it is leaving")
        fleet.request_started(name)
        started_at = self._clock.monotonic()
        try:
            outcome = await fleet.adapter(name).call(
                _with_identity_headers(call), timeout, new_connection
            )
        finally:
            fleet.request_finished(name)
        self._record_outcome(view, call.service, outcome, started_at)
        return outcome

    def _record_outcome(self, view, service, outcome, started_at):
        now = self._clock.monotonic()
        tag = type(outcome).__name__.lower()
        self._parts.metrics.count("service_sends", service=service, outcome=tag)
        self._parts.metrics.record("service_send", now - started_at, service=service)
        if isinstance(outcome, Ok):
            if self._parts.retry_budget is not None:
                self._parts.retry_budget.success(service)
        else:
            view.failing_until = now + AVOID_DURATION

    def _choose(self, service, tried) -> ServerView | None:
        """Returns the least loaded untried server, failing ones last; None if there is none."""
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


def _with_identity_headers(call):
    """Returns the call with its request id and idempotency key as headers."""
    names = [("Cicadapond-Request-Id", call.request_id)]
    if call.idempotency_key is not None:
        names.append(("Idempotency-Key", call.idempotency_key))
    return attrs.evolve(call, headers=(*call.headers, *names))
