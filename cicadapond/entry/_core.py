"""Request handling without HTTP: admission, then the runner for the kind of request.

The core opens no sockets: components that need one are passed in with the `Parts`.
"""

from cicadapond.admission import AdmissionGate, RetryBudget
from cicadapond.data import Completion, Finished, ServiceCall, ServiceResponse
from cicadapond.document import Intent
from cicadapond.entry._completion import CompletionRunner
from cicadapond.entry._durable import DurableRequest, DurableRequests
from cicadapond.entry._parts import Parts
from cicadapond.entry._service import ServiceRunner
from cicadapond.entry._sink import CompletionSink
from cicadapond.entry._tickets import SlotCount, accept_ticket, completion_ticket, service_ticket
from cicadapond.kernel import Failed, NotRun, Ok, Unknown


class EntryCore:
    """Admits and runs the requests of one entry process.

    Args:
      parts: The shared components; a missing retry budget is created and set.
    """

    def __init__(self, parts: Parts):
        self.parts = parts
        if parts.retry_budget is None:
            parts.retry_budget = RetryBudget(lambda: parts.intent().policies.retry_share)
        self._slots = SlotCount(parts)
        self._gate = AdmissionGate(
            parts.intent,
            self._slots.count,
            parts.cfg.capacity.refresh,
            parts.clock,
            parts.metrics,
            parts.rng,
        )
        self._completions = CompletionRunner(parts)
        self._services = ServiceRunner(parts, parts.cfg.ledger)
        self._durable = DurableRequests(
            parts, self._run_durable, parts.cfg.journal, process=parts.cfg.name
        )

    @property
    def intent(self) -> Intent:
        """The document in force."""
        return self.parts.intent()

    def state(self) -> dict:
        """Returns the state of all components, for a dump."""
        return {
            "revision": self.intent.revision,
            "backends": self.parts.fleet.state(),
            "admission": self._gate.state(),
            "retry_budget": self.parts.retry_budget.state(),
            "completions": self._completions.state(),
            "services": self._services.state(),
            "durable": self._durable.state(),
        }

    def start(self) -> None:
        """Starts the background tasks of durable requests and of the ledger."""
        self._durable.start()
        self._services.start()

    async def stop(self) -> None:
        """Stops gracefully: releases durable requests with their tokens to other entries."""
        await self._durable.stop()
        self._completions.stop()
        await self._services.stop()

    async def close(self) -> None:
        """Stops everything at once, as if the process had died."""
        await self._durable.close()
        self._completions.stop()
        await self._services.close()

    async def complete(
        self, req: Completion, sink: CompletionSink
    ) -> Ok[Finished] | NotRun | Failed:
        """Generates a completion.

        Args:
          req: The request.
          sink: Takes the tokens in order, each once.

        Returns:
          Ok once all tokens have been delivered, NotRun or Failed.
        """
        model = self.intent.models.get(req.model)
        if model is None:
            return NotRun(f"no model {req.model!r}", status=404)
        ticket = completion_ticket(req, model, self.parts.clock.monotonic())
        return await self._with_slot(ticket, lambda: self._completions.run(req, sink))

    async def _with_slot(self, ticket, work):
        """Runs `work` while holding a slot; returns its outcome, or the refusal of admission."""
        admitted = await self._gate.acquire(ticket)
        if isinstance(admitted, NotRun):
            return admitted
        try:
            return await work()
        finally:
            self._gate.release(admitted.value)

    async def call_service(
        self, call: ServiceCall
    ) -> Ok[ServiceResponse] | NotRun | Failed | Unknown:
        """Calls a plain service.

        Args:
          call: The call.

        Returns:
          Ok with the answer, or another outcome; see `ServiceRunner.run`.
        """
        application = self.intent.applications.get(call.service)
        if application is None:
            return NotRun(f"no service {call.service!r}", status=404)
        ticket = service_ticket(call, application, self.parts.clock.monotonic())
        return await self._with_slot(ticket, lambda: self._services.run(call))

    # Durable requests

    async def accept(self, req: Completion) -> Ok[str] | NotRun | Unknown:
        """Accepts a durable completion, whose caller does not wait for the answer.

        Args:
          req: The request.

        Returns:
          Ok with the request's id once the request is stored; NotRun; or Unknown.
        """
        ticket = accept_ticket(req, self.parts.clock.monotonic())
        return await self._with_slot(ticket, lambda: self._durable.accept(req))

    async def lookup(self, request_id: str, account: str) -> Ok[DurableRequest] | NotRun:
        """Returns the state and tokens of an account's durable request."""
        return await self._durable.lookup(request_id, account)

    async def follow(
        self, request_id: str, account: str, sink: CompletionSink, after: int, version: str = ""
    ) -> Ok[Finished] | NotRun | Failed:
        """Streams a durable request's tokens, without the first `after` tokens of a version."""
        return await self._durable.follow(request_id, account, sink, after, version)

    async def _run_durable(self, req, sink, resume, version):
        model = self.intent.models.get(req.model)
        if model is None:
            return NotRun(f"no model {req.model!r} now")
        ticket = completion_ticket(req, model, self.parts.clock.monotonic())
        run = self._completions.run
        return await self._with_slot(ticket, lambda: run(req, sink, resume, version or None))
