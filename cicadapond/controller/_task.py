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

KEPT_ACTIONS = 50


class ControllerTask(Task):
    """Reads, decides and acts in turn, only under the lease.

    The lease is looked at again right before each order.  An order whose answer was lost is
    settled by the next reading; a purchase is repeated under its token first.

    Args:
      parts: The controller's parts.
    """

    name = "controller"

    def __init__(self, parts: ControlParts):
        self._parts = parts
        self._memory = ControlMemory.fresh(parts.rng)
        self._observer = Observer(parts)
        self._unsettled: dict[str, BuyRequest] = {}
        self._number = 0
        self._fencing: int | None = None
        self._recent: list[str] = []
        self._seen = None

    async def run(self):
        while True:
            await self.step()
            await self._parts.clock.sleep(self._parts.cfg.interval)

    async def close(self):
        await self._observer.close()

    async def step(self) -> None:
        """Reads, decides and acts once; does nothing without the lease."""
        grant = self._parts.lease.grant()
        if grant is None:
            self._stand_down()
            return
        if grant.fencing != self._fencing:
            self._fencing = grant.fencing
            logging.info("this controller has the lease, fencing number %d", grant.fencing)
        await self._settle_purchases()
        seen = await self._observer.observe()
        self._seen = seen
        started = self._parts.clock.monotonic()
        actions = reconcile(self._parts.intent(), seen, self._memory)
        self._parts.metrics.record("controller_decision", self._parts.clock.monotonic() - started)
        self._parts.metrics.gauge("controller_pending_actions", len(actions))
        await self._act(actions)

    def _stand_down(self):
        if self._fencing is not None:
            logging.info("this controller no longer has the lease")
        self._fencing = None
        self._unsettled.clear()
        for server in list(self._parts.drains.draining()):
            self._parts.drains.end(server)

    def state(self) -> dict:
        """Returns the state for a dump."""
        now = self._parts.clock.monotonic()
        seen = self._seen
        return {
            "active": self._fencing is not None,
            "fencing": self._fencing,
            "draining": sorted(self._parts.drains.draining()),
            "unsettled_purchases": sorted(self._unsettled),
            "backoffs_seconds": self._memory.refusals.state(now),
            "recent_actions": list(self._recent),
            "cloud_read": seen is not None and seen.hosts is not None,
            "servers": [
                {
                    "name": found.server.name,
                    "runs": found.state and f"{found.state.model} {found.state.version}",
                    "loading": found.state and found.state.loading,
                    "in_flight": found.in_flight,
                    "draining": found.draining,
                    "drained": found.drained,
                    "noticed": found.noticed,
                }
                for found in (seen.servers if seen else ())
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
        """Returns whether the lease that the decision was made under still holds."""
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
                outcome = await self._limited(self._parts.cloud.release(host_id))
                self._forget_drain(host_id)
            case EngineOrder(server, order):
                order = attrs.evolve(order, fencing=self._fencing)
                outcome = await self._limited(self._observer.adapter(server).order(order))
        self._note(action, outcome)

    def _forget_drain(self, host_id):
        for host in self._seen.hosts or ():
            if host.host_id == host_id and host.server is not None:
                self._parts.drains.end(host.server.name)

    async def _limited(self, coro):
        try:
            async with asyncio.timeout(self._parts.cfg.order_limit.total_seconds()):
                return await coro
        except TimeoutError:
            return AnswerLost("no answer within the order's limit")

    def _note(self, action, outcome):
        kind = type(action).__name__
        good = outcome is None or isinstance(outcome, (Ok, Accepted))
        result = "ok" if good else type(outcome).__name__
        self._parts.metrics.count("controller_actions", kind=kind, result=result)
        when = self._parts.clock.now().isoformat(timespec="seconds")
        self._recent.append(f"{when} {_describe(action)}: {result}")
        del self._recent[:-KEPT_ACTIONS]

    # Purchases

    async def _buy(self, action):
        self._number += 1
        target = action.target
        token = f"{self._parts.zone}-{self._fencing}-{self._number}"
        request = BuyRequest(token, target.pool, target.zone, target.machine_class, target.market)
        await self._order_host(request)

    async def _order_host(self, request):
        if not self._may_act():
            return
        outcome = await self._limited(self._parts.cloud.buy(request))
        now = self._parts.clock.monotonic()
        key = (request.zone, request.machine_class, request.market)
        match outcome:
            case Ok():
                self._memory.refusals.started(key)
            case Refused(_, retry_after):
                self._memory.refusals.refused(key, now, retry_after)
            case AnswerLost():
                self._unsettled[request.token] = request
        if not isinstance(outcome, (AnswerLost, Unavailable)):
            self._unsettled.pop(request.token, None)
        self._note(request, outcome)

    async def _settle_purchases(self):
        for request in list(self._unsettled.values()):
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
            what = " ".join(filter(None, (order.kind.value, order.model, order.version)))
            return f"{server.name}: {what}"
