"""One account's waiting tickets at one pool, by priority."""

import collections

from cicadapond.admission._api import Ticket
from cicadapond.data import Priority

# One in this many admissions of an account goes to its lowest priority, so that it does not starve.
LOWEST_PRIORITY_INTERVAL = 10


class AccountQueue:
    """The tickets of one account that wait at a pool, and the slot time that it has used there.

    `virtual_time` is the slot time charged to the account, in seconds per unit of its share.  It
    begins at the pool's virtual time, and skips what the account loses by falling too far behind.
    `hold_seconds` is the mean time for which its requests hold a slot.
    """

    def __init__(self, hold_seconds: float):
        self.running = 0
        self.hold_seconds = hold_seconds
        self.virtual_time = 0.0
        self._queues = {priority: collections.OrderedDict() for priority in Priority}
        self._admissions = 0

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self):
        for queue in self._queues.values():
            yield from queue.values()

    def length(self, priority: Priority) -> int:
        """Returns how many tickets of a priority are waiting."""
        return len(self._queues[priority])

    def ahead_of(self, priority: Priority) -> int:
        """Returns how many waiting tickets are ahead of a new one of a priority."""
        return sum(len(queue) for level, queue in self._queues.items() if level <= priority)

    def add(self, ticket: Ticket) -> None:
        """Adds a ticket behind those of its priority."""
        self._queues[ticket.priority][ticket.ticket_id] = ticket

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns whether it was waiting."""
        return self._queues[ticket.priority].pop(ticket.ticket_id, None) is not None

    def contains(self, ticket: Ticket) -> bool:
        """Returns whether a ticket is waiting here."""
        return ticket.ticket_id in self._queues[ticket.priority]

    def next_priority(self, lowest: Priority) -> Priority | None:
        """Returns the priority of the next ticket, None if no ticket may be admitted.

        Args:
          lowest: The least urgent priority that may be admitted now.
        """
        levels = [level for level, queue in self._queues.items() if queue and level <= lowest]
        if not levels:
            return None
        is_turn_of_lowest = (
            self._admissions % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1
        )
        return levels[-1] if is_turn_of_lowest else levels[0]

    def pop(self, priority: Priority) -> Ticket:
        """Removes and returns the oldest ticket of a priority."""
        self._admissions += 1
        _, ticket = self._queues[priority].popitem(last=False)
        return ticket
