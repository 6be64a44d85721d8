"""Admission policy "fifo": one unbounded queue per pool, the baseline."""

import collections

from cicadapond.admission._api import AdmissionPolicy, Admitted, admission_policies


@admission_policies.register("fifo")
class FifoAdmission(AdmissionPolicy):
    """Admits in order of arrival; never refuses, whatever the account, queue length or deadline."""

    def __init__(self, rng):
        self._slots = {}
        self._running = collections.Counter()
        self._queues = collections.defaultdict(collections.OrderedDict)

    def configure(self, accounts):
        return None

    def set_slots(self, pool, slots, now):
        self._slots[pool] = slots
        return self._admit(pool)

    def offer(self, ticket, now):
        self._queues[ticket.pool][ticket.ticket_id] = ticket
        return self._admit(ticket.pool)

    def take_over(self, ticket, now):
        self._running[ticket.pool] += 1

    def release(self, ticket, now):
        self._running[ticket.pool] -= 1
        return self._admit(ticket.pool)

    def withdraw(self, ticket, now):
        self._queues[ticket.pool].pop(ticket.ticket_id, None)
        return []

    def expire(self, now):
        return []

    def next_expiry(self):
        return None

    def waiting(self):
        return [ticket for queue in self._queues.values() for ticket in queue.values()]

    def state(self):
        return {
            pool: {"slots": slots, "running": self._running[pool], "waiting": self._length(pool)}
            for pool, slots in self._slots.items()
        }

    def _length(self, pool):
        return len(self._queues[pool])

    def _admit(self, pool):
        admitted = []
        queue = self._queues[pool]
        while queue and self._running[pool] < self._slots.get(pool, 0):
            _, ticket = queue.popitem(last=False)
            self._running[pool] += 1
            admitted.append(Admitted(ticket))
        return admitted
