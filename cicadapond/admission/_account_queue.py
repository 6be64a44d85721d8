"""One account's waiting tickets at one pool, by priority."""

import collections

from cicadapond.admission._api import Ticket
from cicadapond.data import Priority

TURN_OF_LOWEST = 10  # of so many admissions of an account one goes to its lowest priority


class AccountQueue:
    """The tickets of one account that wait at a pool, and its account of slot time there.

    `virtual_time` is the slot time that the account has used, in seconds per unit of its share;
    `hold_seconds` the mean time for which its requests hold a slot.
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
        """Returns how many tickets of a priority wait."""
        return len(self._queues[priority])

    def ahead_of(self, priority: Priority) -> int:
        """Returns how many waiting tickets go before a new one of a priority."""
        return sum(len(queue) for level, queue in self._queues.items() if level <= priority)

    def add(self, ticket: Ticket) -> None:
        """Adds a ticket behind those of its priority."""
        self._queues[ticket.priority][ticket.ticket_id] = ticket

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns whether it was waiting."""
        return self._queues[ticket.priority].pop(ticket.ticket_id, None) is not None

    def holds(self, ticket: Ticket) -> bool:
        """Returns whether a ticket waits here."""
        return ticket.ticket_id in self._queues[ticket.priority]

    def next_priority(self, lowest: Priority) -> Priority | None:
        """Returns the priority of the ticket that is next, None if none may go.

        Args:
          lowest: No ticket less urgent than this may go now.
        """
        levels = [level for level, queue in self._queues.items() if queue and level <= lowest]
        if not levels:
            return None
        lowest_turn = self._admissions % TURN_OF_LOWEST == TURN_OF_LOWEST - 1
        return levels[-1] if lowest_turn else levels[0]

    def pop(self, priority: Priority) -> Ticket:
        """Removes and returns the oldest ticket of a priority."""
        self._admissions += 1
        _, ticket = self._queues[priority].popitem(last=False)
        return ticket
