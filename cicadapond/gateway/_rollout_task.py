"""Steps the rollouts: each process its own part, and the lease holder the phases of all."""

import datetime

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
    ):
        self._rollouts = rollouts
        self._lease = lease
        self._tables = tables
        self._codec = codec
        self._bounds = bounds
        self._clock = clock
        self._log = log

    async def watch(self) -> None:
        """Steps this process's own part until cancelled; calls to the store do not delay it."""
        while True:
            self._rollouts.step()
            await self._clock.sleep(STEP_INTERVAL)

    async def run(self):
        while True:
            for service in self._rollouts.services():
                if self._rollouts.is_decidable(service):
                    await self._decide(service)
            await self._clock.sleep(SHIFT_STEP_INTERVAL if self._shifts() else STEP_INTERVAL)

    def _shifts(self):
        states = (self._rollouts.row(service).state for service in self._rollouts.services())
        return any(state is not None and state.phase is Phase.SHIFT for state in states)

    async def _decide(self, service):
        """Writes the next state of a rollout if this process holds the lease and it changes."""
        if self._lease.grant() is None:
            return
        state = self._rollouts.row(service).state
        following = next_state(
            self._rollouts.order(service),
            state,
            self._rollouts.view(service),
            self._bounds,
            self._clock.now(),
        )
        if following is not None and following != state:
            await self._write(service, following)

    async def _write(self, service, state: RolloutState):
        known = self._rollouts.row(service)
        # Conditional on the row of the lease: a holder that was paused must not act on it.
        held = self._lease.held_check()
        if held is None:
            return
        own = Write(STATE_TABLE, service, state.as_row(), expected=known.version)
        status = self._codec.status_write(service, state.order.to, state.phase)
        outcome = await self._tables.transact((held, own, status))
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
