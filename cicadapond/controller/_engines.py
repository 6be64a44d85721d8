"""Chooses the orders for the engines of a zone: loads, rolling updates, drains and stops."""

import math

import attrs

from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import ObservedServer, ObservedState
from cicadapond.controller._orders import BeginDrain, EndDrain, EngineOrder
from cicadapond.data import Order, OrderKind
from cicadapond.document import ModelIntent
from cicadapond.kernel import seconds

ROLE = "serve"
TARGET_LOAD_DURATION = seconds(120)
DEFAULT_CONCURRENT_LOADS = 1
SURGE_WAIT = seconds(180)


@attrs.frozen
class EngineAssignment:
    """An engine and the model that it should run."""

    observed: ObservedServer
    name: str
    model: ModelIntent

    @property
    def current(self) -> bool:
        """Whether the engine is ready with the assigned model and version."""
        state = self.observed.state
        if state is None or state.loading is not None:
            return False
        return (state.model, state.version) == (self.name, self.model.version)

    @property
    def serves(self) -> bool:
        """Whether the engine accepts work, with any version."""
        observed = self.observed
        if (
            observed.state is None
            or observed.being_reclaimed
            or observed.draining
            or observed.drain_ordered
        ):
            return False
        return bool(observed.state.version) and observed.state.loading is None

    @property
    def outdated(self) -> bool:
        """Whether the engine has another model or version than assigned; False if it has none."""
        state = self.observed.state
        return state is not None and bool(state.version) and not self.current


def load_limit(observed: ObservedState, model: str, version: str) -> int:
    """Returns how many loads of a model version may run concurrently in a zone.

    All loads share the weight store's rate, so more of them would only slow each other down.
    As many run as can finish within TARGET_LOAD_DURATION.
    """
    size = observed.weight_sizes.get((model, version))
    if not size or not observed.weight_rate:
        return DEFAULT_CONCURRENT_LOADS
    return max(1, math.floor(observed.weight_rate * TARGET_LOAD_DURATION.total_seconds() / size))


def ready_orders(assignment: EngineAssignment) -> list:
    """Returns the orders for an engine that is ready with the assigned model and version."""
    observed = assignment.observed
    orders = []
    if set(observed.state.adapters) != set(assignment.model.adapters):
        orders.append(
            _engine_order(observed, OrderKind.ADAPTERS, adapters=assignment.model.adapters)
        )
    if observed.state.role != ROLE:
        orders.append(_engine_order(observed, OrderKind.ROLE, role=ROLE))
    if observed.state.draining:
        orders.append(_engine_order(observed, OrderKind.RESUME))
    if observed.draining and not orders:
        orders.append(EndDrain(observed.server.name))
    return orders


def run_order(assignment: EngineAssignment) -> EngineOrder:
    """Returns the order to run the assigned model and version, and no other."""
    return _engine_order(
        assignment.observed, OrderKind.RUN, model=assignment.name, version=assignment.model.version
    )


def drain_orders(observed: ObservedServer) -> list:
    """Returns the orders still needed for a server to drain."""
    orders = [] if observed.draining else [BeginDrain(observed.server.name)]
    if observed.state is not None and not observed.state.draining:
        orders.append(_engine_order(observed, OrderKind.DRAIN))
    return orders


def stop_order(observed: ObservedServer) -> EngineOrder:
    """Returns the order to stop an engine once nothing is in flight."""
    return _engine_order(observed, OrderKind.STOP)


def is_idle(observed: ObservedServer) -> bool:
    """Returns whether nothing runs on a server, by the counts of all processes and its own."""
    return (
        observed.drained
        and observed.in_flight == 0
        and (observed.state is None or not observed.state.running)
    )


def may_load(assignment: EngineAssignment) -> bool:
    """Returns whether an engine may load now without interrupting a request."""
    state = assignment.observed.state
    if state.loading is not None:
        return False
    return is_idle(assignment.observed) or not (state.version or state.running)


def drains_to_begin(
    pool: str,
    engines: list[EngineAssignment],
    planned: int | None,
    observed: ObservedState,
    memory: ControlMemory,
) -> list[EngineAssignment]:
    """Returns the engines of one pool and zone whose version change may begin.

    An engine is drained only if the planned number keeps serving without it and the new version
    is ready on another engine.  If no additional host was available for SURGE_WAIT, one engine at
    a time is drained, provided that another one serves its model.
    """
    outdated = [engine for engine in engines if engine.outdated and engine.serves]
    if not outdated:
        memory.surge_wanted_since.pop(pool, None)
        return []
    serving = sum(engine.serves for engine in engines)
    spare = 0 if planned is None else serving - planned
    ready = [engine for engine in outdated if _new_version_is_ready(engine, engines, observed)]
    if spare > 0 and ready:
        memory.surge_wanted_since.pop(pool, None)
        return _least_busy(ready)[:spare]
    since = memory.surge_wanted_since.setdefault(pool, observed.now)
    return _drain_one_without_surge(outdated, engines, observed, since)


def _drain_one_without_surge(outdated, engines, observed, since):
    changing = any(engine.outdated and not engine.serves for engine in engines)
    if observed.now - since < SURGE_WAIT or changing:
        return []
    return [
        engine for engine in _least_busy(outdated) if _others_serve_model(engine, engines, observed)
    ][:1]


def _new_version_is_ready(assignment, engines, observed):
    key = (assignment.name, assignment.model.version)
    here = any(
        engine.current and engine.serves and engine.name == assignment.name for engine in engines
    )
    return here or observed.ready_elsewhere.get(key, 0) > 0


def _others_serve_model(assignment, engines, observed):
    model = assignment.observed.state.model
    here = sum(engine.serves and engine.observed.state.model == model for engine in engines) - 1
    elsewhere = sum(count for (name, _), count in observed.ready_elsewhere.items() if name == model)
    return here + elsewhere > 0


def _least_busy(engines):
    return sorted(
        engines, key=lambda engine: (engine.observed.in_flight, engine.observed.server.name)
    )


def _engine_order(observed, kind, **fields) -> EngineOrder:
    return EngineOrder(observed.server, Order(kind=kind, fencing=0, **fields))
