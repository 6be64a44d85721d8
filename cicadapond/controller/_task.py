"""The task that controls one data centre while this process holds its lease."""

import asyncio

import attrs
from absl import logging

from cicadapond.backend import Accepted
from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observer import Observer
from cicadapond.controller._orders import BeginDrain, Buy, EndDrain, EngineOrder, Release
from cicadapond.controller._parts import ControlParts
from cicadapond.controller._reconcile import reconcile
from cicadapond.kernel import AnswerLost, Ok, Task, Unavailable
from cicadapond.provider import BuyRequest, Refused

MAX_RECENT_ACTIONS = 50


class ControllerTask(Task):
    """Reads the state, decides and acts, only while holding the lease.

    The lease is checked again right before each order.  The outcome of an order whose answer was
    lost shows in the next reading; a purchase is first repeated with the same token.

    Args:
      parts: The controller's dependencies.
    """

    name = "controller"

    def __init__(self, parts: ControlParts):
        self._parts = parts
        self._memory = ControlMemory.empty(parts.rng)
        self._observer = Observer(parts)
        self._unsettled_purchases: dict[str, BuyRequest] = {}
        self._purchase_number = 0
        self._fencing: int | None = None
        self._recent_actions: list[str] = []
        self._observed = None

    async def run(self):
        while True:
            await self.step()
            await self._parts.clock.sleep(self._parts.cfg.interval)

    async def close(self):
        await self._observer.close()

    async def step(self) -> None:
        """Reads, decides and acts once; without the lease it only ends this process's drains."""
        grant = self._parts.lease.grant()
        if grant is None:
            self._deactivate()
            return
        if grant.fencing != self._fencing:
            self._fencing = grant.fencing
            logging.info("lease acquired, fencing number %d", grant.fencing)
        await self._settle_purchases()
        observed = await self._observer.observe()
        self._observed = observed
        started = self._parts.clock.monotonic()
        actions = reconcile(self._parts.intent(), observed, self._memory)
        self._parts.metrics.record("controller_decision", self._parts.clock.monotonic() - started)
        self._parts.metrics.gauge("controller_pending_actions", len(actions))
        await self._act(actions)

    def _deactivate(self):
        if self._fencing is not None:
            logging.info("lease lost")
        self._fencing = None
        self._unsettled_purchases.clear()
        for server in list(self._parts.drains.draining()):
            self._parts.drains.end(server)

    def state(self) -> dict:
        """Returns the state for a dump."""
        now = self._parts.clock.monotonic()
        observed = self._observed
        return {
            "active": self._fencing is not None,
            "fencing": self._fencing,
            "draining": sorted(self._parts.drains.draining()),
            "unsettled_purchases": sorted(self._unsettled_purchases),
            "backoffs_seconds": self._memory.refusals.state(now),
            "recent_actions": list(self._recent_actions),
            "cloud_read": observed is not None and observed.hosts is not None,
            "servers": [
                {
                    "name": server.server.name,
                    "runs": server.state and f"{server.state.model} {server.state.version}",
                    "loading": server.state and server.state.loading,
                    "in_flight": server.in_flight,
                    "draining": server.draining,
                    "drained": server.drained,
                    "noticed": server.being_reclaimed,
                }
                for server in (observed.servers if observed else ())
            ],
        }

    # Acting

    async def _act(self, actions):
        buys = [action for action in actions if isinstance(action, Buy)]
        for start in range(0, len(buys), self._parts.cfg.buys_at_once):
            chunk = buys[start : start + self._parts.cfg.buys_at_once]
            await asyncio.gather(*(self._buy(action) for action in chunk))
        for action in actions:
            if not isinstance(action, Buy) and self._may_act():
                await self._perform(action)

    def _may_act(self):
        """Returns whether the lease grant that the decision was made under is still valid."""
        grant = self._parts.lease.grant()
        if grant is not None and grant.fencing == self._fencing:
            return True
        self._parts.metrics.count("controller_orders_withheld")
        return False

    async def _perform(self, action):
        outcome = None
        match action:
            case BeginDrain(server):
                self._parts.drains.begin(server)
            case EndDrain(server):
                self._parts.drains.end(server)
            case Release(host_id):
                outcome = await self._with_timeout(self._parts.cloud.release(host_id))
                self._end_drain_of_host(host_id)
            case EngineOrder(server, order):
                order = attrs.evolve(order, fencing=self._fencing)
                outcome = await self._with_timeout(self._observer.adapter(server).order(order))
        self._record_action(action, outcome)

    def _end_drain_of_host(self, host_id):
        for host in self._observed.hosts or ():
            if host.host_id == host_id and host.server is not None:
                self._parts.drains.end(host.server.name)

    async def _with_timeout(self, coro):
        try:
            async with asyncio.timeout(self._parts.cfg.order_limit.total_seconds()):
                return await coro
        except TimeoutError:
            return AnswerLost("no answer within order_limit")

    def _record_action(self, action, outcome):
        kind = type(action).__name__
        succeeded = outcome is None or isinstance(outcome, (Ok, Accepted))
        result = "ok" if succeeded else type(outcome).__name__
        self._parts.metrics.count("controller_actions", kind=kind, result=result)
        time = self._parts.clock.now().isoformat(timespec="seconds")
        self._recent_actions.append(f"{time} {_describe(action)}: {result}")
        del self._recent_actions[:-MAX_RECENT_ACTIONS]

    # Purchases

    async def _buy(self, action):
        self._purchase_number += 1
        target = action.target
        token = f"{self._parts.zone}-{self._fencing}-{self._purchase_number}"
        request = BuyRequest(token, target.pool, target.zone, target.machine_class, target.market)
        await self._order_host(request)

    async def _order_host(self, request):
        if not self._may_act():
            return
        outcome = await self._with_timeout(self._parts.cloud.buy(request))
        now = self._parts.clock.monotonic()
        key = (request.zone, request.machine_class, request.market)
        match outcome:
            case Ok():
                self._memory.refusals.record_start(key)
            case Refused(_, retry_after):
                self._memory.refusals.record_refusal(key, now, retry_after)
            case AnswerLost():
                self._unsettled_purchases[request.token] = request
        if not isinstance(outcome, (AnswerLost, Unavailable)):
            self._unsettled_purchases.pop(request.token, None)
        self._record_action(request, outcome)

    async def _settle_purchases(self):
        for request in list(self._unsettled_purchases.values()):
            await self._order_host(request)


def _describe(action):
    match action:
        case BuyRequest():
            market = action.market.value
            return f"buy {market} {action.machine_class} in {action.zone} for {action.pool}"
        case Release(host_id):
            return f"release {host_id}"
        case BeginDrain(server):
            return f"drain {server}"
        case EndDrain(server):
            return f"end the drain of {server}"
        case EngineOrder(server, order):
            description = " ".join(filter(None, (order.kind.value, order.model, order.version)))
            return f"{server.name}: {description}"
