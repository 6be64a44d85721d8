"""Rolls versions out during a soak, good and bad ones, and checks what came of them."""

import asyncio
import random
import typing

import attrs

from cicadapond.platform.standin import Fleet, RolloutModel, VersionDefect
from cicadapond.soak._records import LOOKUP, PLAIN, STREAM, History, RolloutRecord

DURATION_S = 9.0
ENGINES = 3
GOOD_SHARE = 0.5
# Callers send few streams, too few to judge most versions by.
MODEL_SHARE = 0.25
MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 2.5
# How long after its limit a rollout may lack its outcome, while faults go on.
OUTCOME_TIMEOUT_S = 30.0
MODEL_SERVICE, PLAIN_SERVICE = "pool", "plain"
_KINDS = {MODEL_SERVICE: (STREAM,), PLAIN_SERVICE: (PLAIN, LOOKUP)}
# Limits of the deployment under test (platform.standin).
EXPOSURE_SHARE, EXPOSURE_TOLERANCE = 0.1, 50
BAD_RESPONSES, ROLLBACK_S = 50, 5.0
EXCUSE_LOOKBACK_S = 3.0


class RolloutLoop:
    """Orders one rollout after the other.

    Args:
      fleet: The stand-ins.
      rng: Source of all choices.
      history: Receives a record of each rollout.
      start_server: Starts, registers and lists a server: (name, service, version, defect).
      stop_server: Ends a server: (name, whether it drains first).
    """

    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        history: History,
        start_server: typing.Callable,
        stop_server: typing.Callable,
    ):
        self._fleet = fleet
        self._rng = rng
        self._history = history
        self._start_server = start_server
        self._stop_server = stop_server

    async def run(self, until: float) -> None:
        """Rolls out until a time of the event loop; the last rollout is carried to its end."""
        loop, number = asyncio.get_running_loop(), 0
        while True:
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if loop.time() + DURATION_S > until:
                return
            number += 1
            await self._roll_out(f"r{number}")

    async def _roll_out(self, version):
        is_model = self._rng.random() < MODEL_SHARE
        service = MODEL_SERVICE if is_model else PLAIN_SERVICE
        defect = None if self._rng.random() < GOOD_SHARE else self._draw_defect()
        engines = tuple(f"{version}-{number}" for number in range(ENGINES))
        model = RolloutModel(
            self._fleet, service, version, DURATION_S, engines, defect, self._start_server
        )
        record = RolloutRecord(service, version, defect is None, DURATION_S, engines)
        self._history.rollouts.append(record)
        await model.order()
        record.ordered_at = model.ordered_at
        try:
            async with asyncio.timeout(DURATION_S + OUTCOME_TIMEOUT_S):
                record.outcome = await model.outcome()
        except TimeoutError:
            pass  # the check reports the missing outcome
        record.ended_at = asyncio.get_running_loop().time()
        record.bad_times = list(model.defect.bad_times)
        is_completed = record.outcome == "completed"
        leaving = model.old_servers() if is_completed else model.new_servers()
        # Nothing waits for requests that still run at servers that are stopped at once.
        self._history.fault_spans.append((record.ended_at, record.ended_at + EXCUSE_LOOKBACK_S))
        await asyncio.gather(*(self._stop_server(name, not is_completed) for name in leaving))

    def _draw_defect(self):
        return VersionDefect(
            share=self._rng.uniform(0.4, 0.9),
            delay_s=self._rng.choice((0.0, 0.0, 0.4)),
            starts_after_s=self._rng.choice((0.0, 0.0, 2.0)),
            seed=self._rng.randrange(1000),
        )


@attrs.frozen
class Finding:
    """A guarantee of a rollout that was not met."""

    record: RolloutRecord
    detail: str


def check_rollouts(history: History) -> typing.Iterator[Finding]:
    """Returns what is wrong with the rollouts of a soak."""
    for record in history.rollouts:
        limit = record.ordered_at + record.duration
        if record.outcome is None:
            yield Finding(record, "no outcome")
        if record.outcome == "completed" and not record.is_good:
            yield Finding(record, "a bad version was completed")
        is_excused = any(
            first <= limit and record.ordered_at <= last for first, last in history.fault_spans
        )
        if not is_excused and record.ended_at > limit:
            yield Finding(record, f"its outcome came {record.ended_at - limit:.1f} s late")
        if not is_excused and record.is_good and record.outcome != "completed":
            yield Finding(record, "a good version was not completed")
        if not record.is_good:
            yield from _check_exposure(history, record, limit)


def _check_exposure(history, record, limit):
    # A server that is replaced keeps its name before a dot.
    runs = [run.at for run in history.runs if run.server.partition(".")[0] in record.servers]
    asked = sum(
        record.ordered_at <= call.sent_at <= limit and call.kind in _KINDS[record.service]
        for call in history.calls
    )
    allowed = EXPOSURE_SHARE * asked + EXPOSURE_TOLERANCE
    if len(runs) > allowed:
        yield Finding(record, f"{len(runs)} requests of {asked}, {allowed:.0f} allowed")
    if len(record.bad_times) >= BAD_RESPONSES:
        last = sorted(record.bad_times)[BAD_RESPONSES - 1] + ROLLBACK_S
        if max(runs) > last and not _has_fault(history, last - ROLLBACK_S, max(runs)):
            yield Finding(record, f"a request {max(runs) - last:.1f} s after the limit")
    end = record.ended_at + ROLLBACK_S
    late = [at for at in runs if at > end]
    if late and not _has_fault(history, end - EXCUSE_LOOKBACK_S, late[-1]):
        yield Finding(record, f"{len(late)} requests after it was rolled back")


def _has_fault(history, begin, end):
    return any(first <= end and begin <= last for first, last in history.fault_spans)
