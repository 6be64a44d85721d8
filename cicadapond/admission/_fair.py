"""Admission policy "fair": weighted fair shares, bounded queues, early refusal.

Accounts get slots in the order of the slot time that they have used per unit of their share
(start-time fair queueing): an account that uses less than its share goes first, and the others
divide the rest by their shares.  Within an account urgent work goes first, except for one admission
in ten, which goes to its lowest priority.  A ticket that cannot start in time is refused as soon as
that is known, with a time after which to retry.
"""

import datetime
import heapq
import random

import attrs

from cicadapond.admission._account_queue import AccountQueue
from cicadapond.admission._api import (
    AdmissionPolicy,
    Admitted,
    Refused,
    Ticket,
    admission_policies,
)
from cicadapond.admission._bucket import TokenBucket
from cicadapond.admission._budget import full_jitter
from cicadapond.data import Priority
from cicadapond.document import AccountIntent
from cicadapond.kernel import NotRun

INITIAL_HOLD_SECONDS = 0.5  # assumed time that a request holds a slot, before any was released
HOLD_TIME_GAIN = 0.05  # weight of the newest request in the mean time that a slot is held
NON_BATCH_RESERVE = 0.1  # share of a pool's slots that batch work leaves free
MAX_CATCH_UP_SECONDS = 2.0  # how much of its unused fair share an account may claim later
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
TOO_MANY_REQUESTS = 429
_ZERO = datetime.timedelta()
_NO_LIMITS = AccountIntent()


@attrs.frozen
class _Hold:
    """A slot that is held: since when, and the slot time charged for it in advance."""

    since: datetime.timedelta
    charged_seconds: float


@attrs.define
class _Pool:
    """One pool's slots, running tickets and waiting accounts."""

    slots: int = 0
    running: dict[str, _Hold] = attrs.field(factory=dict)
    accounts: dict[str, AccountQueue] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    hold_seconds: float = INITIAL_HOLD_SECONDS

    def account(self, name) -> AccountQueue:
        """Returns an account's queue; a new one starts at the pool's virtual time."""
        queue = self.accounts.get(name)
        if queue is None:
            queue = self.accounts[name] = AccountQueue(self.hold_seconds)
            queue.virtual_time = self.virtual_time
        return queue

    def lowest_priority(self) -> Priority:
        """Returns the least urgent priority that may take a slot now."""
        reserve = int(self.slots * NON_BATCH_RESERVE)
        free = self.slots - len(self.running)
        return Priority.BATCH if free > reserve else Priority.STANDARD

    def release_seconds(self) -> float:
        """Returns the mean time until one of the slots is released."""
        return self.hold_seconds / max(1, self.slots)


@admission_policies.register("fair")
class FairAdmission(AdmissionPolicy):
    """Weighted fair shares per account.

    Args:
      rng: Draws the jitter of the times after which refused callers retry.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limits = {}
        self._pools: dict[str, _Pool] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._expiries = []

    def configure(self, accounts):
        self._limits = accounts
        for name in [name for name in self._buckets if name not in accounts]:
            del self._buckets[name]

    def set_slots(self, pool, slots, now):
        found = self._pool(pool)
        found.slots = slots
        return self._admit(found, now)

    # Tickets

    def offer(self, ticket, now):
        outcome = self._rate_refusal(ticket, now) or self._queue_refusal(ticket, now)
        if outcome is not None:
            return [Refused(ticket, outcome)]
        pool = self._pool(ticket.pool)
        pool.account(ticket.account).add(ticket)
        if ticket.latest_start is not None:
            heapq.heappush(self._expiries, (ticket.latest_start, ticket.ticket_id, ticket))
        return self._admit(pool, now)

    def take_over(self, ticket, now):
        pool = self._pool(ticket.pool)
        self._start(pool, pool.account(ticket.account), ticket, now)

    def release(self, ticket, now):
        pool = self._pool(ticket.pool)
        hold = pool.running.pop(ticket.ticket_id, None)
        if hold is None:
            return []
        held = (now - hold.since).total_seconds()
        queue = pool.accounts[ticket.account]
        queue.running -= 1
        queue.virtual_time += (held - hold.charged_seconds) / self._share(ticket.account)
        queue.hold_seconds += HOLD_TIME_GAIN * (held - queue.hold_seconds)
        pool.hold_seconds += HOLD_TIME_GAIN * (held - pool.hold_seconds)
        return self._admit(pool, now)

    def withdraw(self, ticket, now):
        self._pool(ticket.pool).account(ticket.account).remove(ticket)
        return []

    def expire(self, now):
        refused = []
        while self._expiries and self._expiries[0][0] <= now:
            _, _, ticket = heapq.heappop(self._expiries)
            pool = self._pool(ticket.pool)
            if pool.account(ticket.account).remove(ticket):
                wait = self._expected_wait(pool, ticket)
                refused.append(Refused(ticket, self._late_refusal(pool, ticket, wait)))
        return refused

    def next_expiry(self):
        while self._expiries and not self._is_waiting(self._expiries[0][2]):
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def waiting(self):
        queues = [queue for pool in self._pools.values() for queue in pool.accounts.values()]
        return [ticket for queue in queues for ticket in queue]

    def state(self):
        return {name: _pool_state(pool) for name, pool in self._pools.items()}

    # Refusals

    def _rate_refusal(self, ticket, now):
        rate = self._limits_of(ticket.account).requests_per_second
        bucket = self._buckets.get(ticket.account)
        if bucket is None:
            bucket = self._buckets[ticket.account] = TokenBucket(rate, now)
        bucket.set_rate(rate, now)
        wait = bucket.take(now)
        if wait == _ZERO:
            return None
        reason = f"account {ticket.account!r} is over its {rate:g} requests a second"
        return NotRun(reason, wait + full_jitter(self._rng, MIN_RETRY_AFTER), TOO_MANY_REQUESTS)

    def _queue_refusal(self, ticket, now):
        pool = self._pool(ticket.pool)
        queue = pool.account(ticket.account)
        wait = self._expected_wait(pool, ticket)
        limit = self._limits_of(ticket.account).max_queued
        if wait > _ZERO and queue.length(ticket.priority) >= limit:
            reason = f"account {ticket.account!r} has {limit} requests waiting already"
            return NotRun(reason, self._retry_after(wait), TOO_MANY_REQUESTS)
        if ticket.latest_start is not None and now + wait > ticket.latest_start:
            return self._late_refusal(pool, ticket, wait)
        return None

    def _late_refusal(self, pool, ticket, wait):
        if pool.slots:
            taken = f"{len(pool.running)} of {pool.slots} slots are taken"
            reason = f"pool {ticket.pool!r} cannot start the request in time: {taken}"
        else:
            reason = f"no server of pool {ticket.pool!r} takes work from here now"
        return NotRun(reason, self._retry_after(wait))

    def _retry_after(self, wait):
        base = max(wait, MIN_RETRY_AFTER)
        return base + full_jitter(self._rng, base)

    def _expected_wait(self, pool, ticket):
        """Returns how long a new ticket like this would wait, zero if it would start at once."""
        queue = pool.account(ticket.account)
        limits = self._limits_of(ticket.account)
        ahead = queue.ahead_of(ticket.priority)
        free = len(pool.running) < pool.slots and ticket.priority <= pool.lowest_priority()
        if free and not ahead and queue.running < limits.max_in_flight:
            return _ZERO
        share = self._share(ticket.account)
        fraction = share / self._active_shares(pool, ticket.account)
        rate = min(fraction * max(1, pool.slots), limits.max_in_flight) / queue.hold_seconds
        lag = pool.virtual_time - self._start_tag(pool, queue, ticket.account)
        # Tickets that the account's unused share covers start one by one as the pool's slots are
        # released, the others at the account's own rate.
        owed_tickets = min(ahead, max(0.0, lag * share / queue.hold_seconds))
        wait = (owed_tickets + 1) * pool.release_seconds() + (ahead - owed_tickets) / rate
        return datetime.timedelta(seconds=wait)

    # Admissions

    def _admit(self, pool, now):
        decisions = []
        while len(pool.running) < pool.slots:
            chosen = self._next_account(pool)
            if chosen is None:
                break
            name, priority = chosen
            queue = pool.accounts[name]
            ticket = queue.pop(priority)
            if ticket.latest_start is not None and ticket.latest_start < now:
                decisions.append(Refused(ticket, self._late_refusal(pool, ticket, _ZERO)))
                continue
            self._start(pool, queue, ticket, now)
            decisions.append(Admitted(ticket))
        return decisions

    def _next_account(self, pool):
        lowest = pool.lowest_priority()
        best = None
        for name, queue in pool.accounts.items():
            if not queue or queue.running >= self._limits_of(name).max_in_flight:
                continue
            priority = queue.next_priority(lowest)
            if priority is None or (best and queue.virtual_time >= best[0]):
                continue
            best = (queue.virtual_time, name, priority)
        return best and best[1:]

    def _start(self, pool, queue, ticket, now):
        charge = queue.hold_seconds / self._share(ticket.account)
        pool.running[ticket.ticket_id] = _Hold(now, queue.hold_seconds)
        queue.virtual_time = self._start_tag(pool, queue, ticket.account)
        pool.virtual_time = max(pool.virtual_time, queue.virtual_time)
        queue.running += 1
        queue.virtual_time += charge

    # Look-ups

    def _pool(self, name) -> _Pool:
        if name not in self._pools:
            self._pools[name] = _Pool()
        return self._pools[name]

    def _limits_of(self, account):
        return self._limits.get(account, _NO_LIMITS)

    def _share(self, account):
        return self._limits_of(account).share

    def _start_tag(self, pool, queue, account):
        """Returns the virtual time at which an account's next ticket starts.

        An account that falls behind the pool by more than the catch-up limit loses the excess.
        """
        catch_up = MAX_CATCH_UP_SECONDS * pool.slots / self._active_shares(pool, account)
        return max(queue.virtual_time, pool.virtual_time - catch_up)

    def _active_shares(self, pool, account):
        active = {name for name, queue in pool.accounts.items() if queue or queue.running}
        return sum(self._share(name) for name in active | {account})

    def _is_waiting(self, ticket: Ticket):
        queue = self._pool(ticket.pool).accounts.get(ticket.account)
        return queue is not None and queue.contains(ticket)


def _pool_state(pool):
    return {
        "slots": pool.slots,
        "running": len(pool.running),
        "mean_hold_seconds": round(pool.hold_seconds, 3),
        "accounts": {
            name: {
                "running": queue.running,
                "waiting": {level.name.lower(): queue.length(level) for level in Priority},
                "virtual_time": round(queue.virtual_time, 3),
            }
            for name, queue in pool.accounts.items()
        },
    }
