"""The model of a stand-in backend server: how it behaves, and what it recorded."""

import json

import attrs

from cicadapond.platform.standin._endless import EndlessAnswer
from cicadapond.platform.standin._engine_faults import Decline, EngineFault, ReportFault
from cicadapond.platform.standin._moves import EngineMemory
from cicadapond.platform.standin._parts import EngineParts
from cicadapond.platform.standin._rollouts import VersionDefect


@attrs.define
class EngineModel:
    """A backend server.

    Attributes:
      name: The name of this instance, new at each start.
      version: The version of its software.
      events: Number of events in each stream.
      event_interval_s: The time between events, in seconds.
      processing_time_s: How long a plain request takes, in seconds.
      rate_limit: The requests per second that it says to accept from all processes together, None
        to state no limit.
      is_leaving: Whether it says that it leaves.
      retry_after_s: The Retry-After of its refusals in seconds, None for none.
      refusals: When it refused a request so, by the event loop's clock in seconds, and the id.
      slots: How many requests it runs at once.
      waiting_room: How many more may wait, None for any number; further ones are turned away.
      brittle: How many it says that it may turn away in a second; it crashes if there are more.
      turned_away: When it turned requests away, by the event loop's clock in seconds.
      defect: What is wrong with its version, None if nothing is.
      crashing_parts: The parts of a prompt by which a request crashes it once it begins to answer.
      decline: How it answers all requests that it runs, None to serve them.
      faults: Faults to inject, one per request in order.
      executed_requests: Every request that it began to execute: (id, method, target, headers,
        body).
      execution_times: When each of them began, by the event loop's clock in seconds, in the same
        order.
      cancelled_streams: The ids of streams that it stopped because the caller had disconnected.
      hashes_bodies: Whether it records the SHA-256 digest of a body in place of the body.
      broken_off: The ids of requests whose answers it broke off or spoiled itself.
      endless: Answers without end that it gives to all requests, by turns.
      endless_bytes: How many bytes of answers without end it has sent.
      memory: Its memory, from which runs are moved to other engines.
      parts: The prompt parts that it keeps.
      reports: How many reports of itself it was asked for.
      report_fault: What is wrong with its reports, None if nothing is.
    """

    name: str
    version: str = "v1"
    events: int = 4
    event_interval_s: float = 0.0
    processing_time_s: float = 0.0
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    refusals: list[tuple[float, str]] = attrs.field(factory=list)
    slots: int = 6
    waiting_room: int | None = None
    brittle: int | None = None
    running: int = 0
    turned_away: list[float] = attrs.field(factory=list)
    crashing_parts: frozenset[str] = frozenset()
    defect: VersionDefect | None = None
    decline: Decline | None = None
    faults: list[EngineFault] = attrs.field(factory=list)
    executed_requests: list[tuple] = attrs.field(factory=list)
    cancelled_streams: list[str] = attrs.field(factory=list)
    execution_times: list[float] = attrs.field(factory=list)

    hashes_bodies: bool = False
    broken_off: set[str] = attrs.field(factory=set)
    endless: tuple[EndlessAnswer, ...] = ()
    endless_bytes: int = 0
    memory: EngineMemory = attrs.field(
        default=attrs.Factory(lambda self: EngineMemory(self.name), takes_self=True)
    )
    parts: EngineParts = attrs.field(factory=EngineParts)
    reports: int = 0
    report_fault: ReportFault | None = None

    def report(self, born: int) -> bytes:
        """Returns what it tells of itself.

        Args:
          born: When it started, in Unix milliseconds.
        """
        fields = {"phase": "mixed", "models": [], "busy": False, "sequence": 1, "queued": 0}
        fields["active"] = self.running
        if self.report_fault is not ReportFault.UNSTATED:
            fields["born"] = born
        return json.dumps(fields).encode()

    def ids(self) -> list[str]:
        """Returns the ids of the requests in `executed_requests`, in order."""
        return [request[0] for request in self.executed_requests]
