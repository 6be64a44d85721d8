"""The platform's side of a rollout: the order, the new servers, and what ends each state."""

import asyncio
import base64
import json
import random

import attrs

# How often the status row is read.
POLL_S = 0.01
# How long after `rolled_back` the servers of the new version start to drain.
DRAIN_DELAY_S = 1.0
IN_PROGRESS, COMPLETED, ROLLED_BACK = "in_progress", "completed", "rolled_back"


@attrs.define
class VersionDefect:
    """What is wrong with a version, and the bad responses that it gave.

    Attributes:
      share: The share of its responses that are bad.
      delay_s: How late they come, 0 if they fail.
      starts_after_s: How long after the first of its requests it turns bad.
      min_running: It is bad only while a server runs at least this many requests.
      route: The prefix of the only paths on which it is bad, "" for all.
      seed: The seed of the choice of responses.
      bad_times: When the bad responses were chosen, by the event loop's clock in seconds.
    """

    share: float = 0.5
    delay_s: float = 0.0
    starts_after_s: float = 0.0
    min_running: int = 0
    route: str = ""
    seed: int = 0
    bad_times: list[float] = attrs.field(factory=list)
    _began_at: float | None = None
    _rng: random.Random | None = None

    def strikes(self, path: str, running: int) -> bool:
        """Returns whether the response to a request is bad."""
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at, self._rng = now, random.Random(self.seed)
        if now - self._began_at < self.starts_after_s or running < self.min_running:
            return False
        if not path.startswith(self.route) or self._rng.random() >= self.share:
            return False
        self.bad_times.append(now)
        return True


class RolloutModel:
    """One rollout, as the operator and the platform carry it out.

    Args:
      fleet: The stand-ins.
      service: The service.
      to: The version.
      duration_s: The time limit, in seconds.
      engines: The names of the servers of the new version.
      defect: What is wrong with the version, None if it is good.
      start_server: Starts and lists a server: (name, service, version, defect); None for the
        fleet's own way.
      changes: Further properties of the new servers.

    Attributes:
      states: The states read from the status row, each with the time, by the event loop's clock.
      ordered_at: When the order was written.
      defect: The given one, or one that never strikes.
    """

    def __init__(
        self,
        fleet,
        service: str,
        to: str,
        duration_s: float,
        engines: tuple[str, ...],
        defect: VersionDefect | None = None,
        start_server=None,
        **changes,
    ):
        self._fleet = fleet
        self._service = service
        self._to = to
        self._duration_s = duration_s
        self._engines = engines
        self.defect = defect or VersionDefect(share=0.0)
        self._changes = changes
        self._start_server = start_server or self._add_server
        self.states: list[tuple[str, float]] = []
        self.ordered_at = 0.0

    @property
    def state(self) -> str | None:
        """The last state, None before the first."""
        return self.states[-1][0] if self.states else None

    async def order(self) -> None:
        """Writes the order and starts the servers of the new version."""
        self.ordered_at = asyncio.get_running_loop().time()
        order = {"service": self._service, "to": self._to, "duration_s": self._duration_s}
        self._fleet.store.put("op", f"rollout/{self._service}", order)
        for name in self._engines:
            await self._start_server(name, self._service, self._to, self.defect)

    async def run(self) -> str:
        """Carries the rollout out to its end; returns the last state."""
        await self.order()
        await self.outcome()
        await self.end()
        return self.state

    async def outcome(self) -> str:
        """Waits for the last state and returns it."""
        while self.state not in (COMPLETED, ROLLED_BACK):
            self.read_status()
            await asyncio.sleep(POLL_S)
        return self.state

    def old_servers(self) -> list[str]:
        """Returns the names of the service's listed servers of other versions."""
        return [name for name, version in self._listed() if version != self._to]

    def new_servers(self) -> list[str]:
        """Returns the names of the service's listed servers of the new version."""
        return [name for name, version in self._listed() if version == self._to]

    def read_status(self) -> None:
        """Reads the status row and records a new state."""
        key = f"rollout/{self._service}"
        rows = [row for row in self._fleet.store.rows("status", key, None) if row.key == key]
        status = json.loads(base64.b64decode(rows[0].value)) if rows else {}
        if status.get("to") == self._to and status["state"] != self.state:
            self.states.append((status["state"], asyncio.get_running_loop().time()))

    async def end(self) -> None:
        """Does what the platform does at the last state."""
        if self.state == COMPLETED:  # without draining
            await self._stop(self.old_servers())
            return
        await asyncio.sleep(DRAIN_DELAY_S)
        for name in self.new_servers():
            self._fleet.list_server(name, self._service, "draining")

    def requests(self) -> int:
        """Returns how many requests the servers of the new version received."""
        return sum(len(self._fleet.servers[name].model.ids()) for name in self._engines)

    def last_request_at(self) -> float:
        """Returns when a server of the new version received its last request."""
        times = [t for name in self._engines for t in self._times(name)]
        return max(times, default=0.0)

    def _times(self, name):
        return self._fleet.servers[name].model.execution_times

    async def _add_server(self, name, service, version, defect):
        await self._fleet.add_server(name, service, version=version, defect=defect, **self._changes)

    def _listed(self):
        for row in self._fleet.store.rows("servers", "", None):
            entry = json.loads(base64.b64decode(row.value))
            if entry["service"] == self._service:
                yield row.key, entry["version"]

    async def _stop(self, names):
        for name in names:
            server = self._fleet.servers[name]
            self._fleet.unlist_server(name)
            await server.stop()
