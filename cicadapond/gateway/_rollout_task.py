"""Steps the rollouts: each process its own part, and the lease holder the phases of all."""

import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._rollout_codec import RolloutCodec
from cicadapond.gateway._rollout_tables import STATE_TABLE
from cicadapond.gateway._rollouts import ServiceRollouts
from cicadapond.kernel import Clock, Conflict, Ok, Task
from cicadapond.lease import LeaseTask
from cicadapond.provider import TableService, Write
from cicadapond.rollout import ExposureBounds, Phase, RolloutState, next_state

STEP_INTERVAL = datetime.timedelta(milliseconds=250)
# While a rollout shifts, requests may be held until it is completed.
SHIFT_STEP_INTERVAL = datetime.timedelta(milliseconds=50)
# A state that the store has lost is written again by the holder of the lease, or after this time by
# another process, one after the other, as the holder may not know it.
REPAIR_DELAY = datetime.timedelta(seconds=1)
REPAIR_INTERVAL = datetime.timedelta(milliseconds=250)
MAX_REPAIR_TURN = 20


class RolloutTask(Task):
    """Moves rollouts on.

    Args:
      rollouts: The rollouts of this process.
      lease: Its holder decides on the phases.
      tables: Stores the states, and the status for the operator.
      codec: Encodes the status.
      bounds: What a bad version may receive.
      clock: The clock.
      log: The event log.
      turn: Returns the position of this process among those that write a service's state again.
    """

    name = "rollouts"

    def __init__(
        self,
        rollouts: ServiceRollouts,
        lease: LeaseTask,
        tables: TableService,
        codec: RolloutCodec,
        bounds: ExposureBounds,
        clock: Clock,
        log: EventLog,
        turn: typing.Callable[[str], int] = lambda service: 0,
    ):
        self._rollouts = rollouts
        self._lease = lease
        self._tables = tables
        self._codec = codec
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._turn = turn
        self._lost_since: dict[str, datetime.timedelta] = {}

    async def watch(self) -> None:
        """Steps this process's own part until cancelled; calls to the store do not delay it."""
        while True:
            self._rollouts.step()
            await self._clock.sleep(STEP_INTERVAL)

    async def run(self):
        while True:
            for service in self._rollouts.services():
                await self.step(service)
            await self._clock.sleep(SHIFT_STEP_INTERVAL if self._shifts() else STEP_INTERVAL)

    def _shifts(self):
        states = (self._rollouts.row(service).state for service in self._rollouts.services())
        return any(state is not None and state.phase is Phase.SHIFT for state in states)

    async def step(self, service: str) -> None:
        """Decides on a rollout if this process holds the lease, else repairs its lost state."""
        if self._lease.grant() is not None:
            if self._rollouts.is_decidable(service):
                await self._decide(service)
        elif self._may_repair(service):
            await self._write(service, self._rollouts.row(service).state, ())

    def _may_repair(self, service):
        """Returns whether it is this process's turn to write a state again that was lost."""
        if self._rollouts.row(service).is_stored:
            self._lost_since.pop(service, None)
            return False
        now = self._clock.monotonic()
        waited = now - self._lost_since.setdefault(service, now)
        return waited >= REPAIR_DELAY + min(self._turn(service), MAX_REPAIR_TURN) * REPAIR_INTERVAL

    async def _decide(self, service):
        """Writes the next state of a rollout if it changes, and again if the store has lost it."""
        row = self._rollouts.row(service)
        state = row.state
        following = next_state(
            self._rollouts.order(service),
            state,
            self._rollouts.view(service),
            self._bounds,
            self._clock.now(),
        )
        # Conditional on the row of the lease: a holder that was paused must not act on it.
        held = self._lease.held_check()
        is_new = following != state or not row.is_stored
        if held is not None and following is not None and is_new:
            await self._write(service, following, (held,))

    async def _write(self, service, state: RolloutState, conditions: tuple[Write, ...]):
        known = self._rollouts.row(service)
        own = Write(STATE_TABLE, service, state.as_row(), expected=known.version)
        status = self._codec.status_write(service, state.order.to, state.phase)
        outcome = await self._tables.transact((*conditions, own, status))
        match outcome:
            case Ok(value=versions):
                self._rollouts.set_state(service, versions[STATE_TABLE, service], state)
            case Conflict(current=current) if (STATE_TABLE, service) in current:
                row = current[STATE_TABLE, service]
                found = RolloutState.read_row(row.value)
                self._rollouts.set_state(service, row.version, found)
            case Conflict():
                pass  # the lease was renewed meanwhile, or another process holds it
            case _:
                self._log.write(
                    "rollout_not_written",
                    service=service,
                    phase=state.phase.value,
                    outcome=type(outcome).__name__,
                    reason=outcome.reason,
                )
