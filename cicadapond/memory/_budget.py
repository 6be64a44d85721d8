"""Counts the bytes of others that a process holds, by connection, and decides at the bound.

Each answer and each request is bounded, but not their number.  At the bound, connections that hold
more than a reserve are not read, so that their peers wait; and if incomplete answers, which do not
drain by themselves, hold most of it, the server whose answers hold the most is given up.
"""

import collections
import enum
import sys
import typing

# For machines whose settings do not state their memory.
DEFAULT_MEMORY_BYTES = 256_000_000
# What a process takes besides the bytes of others: its code, and copies of the platform's tables.
PROCESS_BYTES = 80_000_000
# Resident bytes per held byte: a body is copied when it is complete and again when it is written,
# buffers grow in steps, and what the operating system holds of a connection may count too.
RESIDENT_FACTOR = 2
# Room for a few answers of the largest size, on whatever machine.
MIN_BOUND_BYTES = 16 * 1024 * 1024
# Each connection may hold this much also at the bound, so that heads and small messages pass.
RESERVE_BYTES = 16 * 1024
# All connections together may hold this share of the bound in that way, so that the reserve of each
# is smaller if there are many; it is never too small for a usual head.
RESERVES_SHARE = 1 / 4
MIN_RESERVE_BYTES = 4 * 1024
# The accounts of a connection: what its owner keeps, what is unread and what is unsent.
ACCOUNTS_PER_CONNECTION = 3
# Reading goes on once so much of the bound is left, as each change concerns all connections.
RESUME_SHARE = 7 / 8
# From this share on, no more than the reserve waits unread in a connection: what waits for slow
# readers must not look like answers without end.
FILLING_SHARE = 1 / 2
# Bodies of requests take no more than this share, so that answers to them can still be read.
REQUESTS_SHARE = 1 / 2
# A server is given up only if incomplete answers hold more than this share.  What waits for callers
# drains as they read.
GIVE_UP_SHARE = 1 / 2


def bound_of(memory_bytes: int) -> int:
    """Returns how many bytes of others a process may hold on a machine with so much memory."""
    return max(MIN_BOUND_BYTES, (memory_bytes - PROCESS_BYTES) // RESIDENT_FACTOR)


class Kind(enum.Enum):
    """What bytes are held for; the values are names of metrics.

    Unread bytes are those that no task has taken or parsed yet; waiting ones are answers that are
    passed on to a caller as fast as it reads.  Those of open connections are their objects.
    """

    ANSWERS = "answers"
    RELAYED = "relayed"
    CALLS = "calls"
    REQUESTS = "requests"
    UNREAD = "unread"
    WAITING = "waiting"
    UNSENT = "unsent"
    OPEN = "open"


# Bytes of answers of backend servers, of other processes, and of the platform's services.
_ANSWER_KINDS = (Kind.ANSWERS, Kind.RELAYED, Kind.CALLS)


class Account:
    """The bytes that one connection holds; made by `MemoryBudget.open`.

    Attributes:
      budget: What it counts towards.
      kind: What the bytes are.
      held: How many there are.
      group: Whose answer it is: accounts of one group are given up together.
      on_change: Called when the process has reached its bound, and when it is below it again.
      on_give_up: Called with the reason if the answer has to be given up; None if there is none.
    """

    __slots__ = ("_is_closed", "budget", "group", "held", "kind", "on_change", "on_give_up")

    def __init__(self, budget: "MemoryBudget", kind: Kind):
        self.budget = budget
        self.kind = kind
        self.held = 0
        self.group: str | None = None
        self.on_change: typing.Callable[[], None] | None = None
        self.on_give_up: typing.Callable[[str], None] | None = None
        self._is_closed = False

    def set(self, held: int) -> None:
        """Sets how many bytes are held."""
        if held != self.held and not self._is_closed:
            change, self.held = held - self.held, held
            self.budget.record(self, change)

    def become(self, kind: Kind) -> None:
        """Changes what the bytes are."""
        if kind is not self.kind:
            self.budget.move(self.held, self.kind, kind)
            self.kind = kind

    def close(self) -> None:
        """Ends the account; it holds nothing from then on."""
        self.set(0)
        self._is_closed = True
        self.on_change = self.on_give_up = None
        self.budget.discard(self)


class MemoryBudget:
    """The accounts of one process and their bound.

    Args:
      bound_bytes: How many bytes all accounts may hold; the default is no bound.

    Attributes:
      held_bytes: How many they hold.
      groups_given_up: How many times the answers of a group were given up.
    """

    def __init__(self, bound_bytes: int = sys.maxsize):
        self.bound_bytes = bound_bytes
        self.held_bytes = 0
        self.groups_given_up = 0
        self._by_kind = dict.fromkeys(Kind, 0)
        self._accounts: set[Account] = set()
        self._is_full = False
        # Accounts that were given up and still hold bytes.
        self._ending: set[Account] = set()

    @property
    def is_full(self) -> bool:
        """Whether connections that hold more than the reserve must not be read."""
        return self._is_full

    @property
    def is_filling(self) -> bool:
        """Whether connections must not be read while more than the reserve is unread."""
        return self.held_bytes > self.bound_bytes * FILLING_SHARE

    @property
    def reserve_bytes(self) -> int:
        """How many bytes a connection may hold also at the bound."""
        return min(RESERVE_BYTES, self.read_bytes)

    @property
    def read_bytes(self) -> int:
        """How many bytes all connections may each read at once before any of them is counted."""
        connections = max(1, len(self._accounts) // ACCOUNTS_PER_CONNECTION)
        return max(MIN_RESERVE_BYTES, int(RESERVES_SHARE * self.bound_bytes / connections))

    def open(self, kind: Kind) -> Account:
        """Returns a new account."""
        account = Account(self, kind)
        self._accounts.add(account)
        return account

    def held_by_kind(self) -> dict[Kind, int]:
        """Returns how many bytes are held, by kind."""
        return dict(self._by_kind)

    def fits_request(self, more_bytes: int) -> bool:
        """Returns whether so many more bytes of requests may be held."""
        held = self._by_kind[Kind.REQUESTS] + more_bytes
        return held <= REQUESTS_SHARE * self.bound_bytes

    def record(self, account: Account, change: int) -> None:
        """Records that an account holds more bytes, or fewer; called by the account."""
        self.held_bytes += change
        self._by_kind[account.kind] += change
        if not account.held:
            self._ending.discard(account)
        if self._is_full:
            if self.held_bytes < RESUME_SHARE * self.bound_bytes:
                self._tell(False)
            else:
                self._give_up_worst()
        elif self.held_bytes > self.bound_bytes:
            self._tell(True)
            self._give_up_worst()

    def move(self, held: int, before: Kind, after: Kind) -> None:
        """Records that held bytes become another kind; called by their account."""
        self._by_kind[before] -= held
        self._by_kind[after] += held

    def discard(self, account: Account) -> None:
        """Forgets a closed account; called by the account."""
        self._accounts.discard(account)
        self._ending.discard(account)

    def _tell(self, is_full):
        self._is_full = is_full
        for account in tuple(self._accounts):
            if account.on_change is not None:
                account.on_change()

    def _give_up_worst(self):
        """Gives up the group whose answers hold the most, unless one is ending already."""
        held = sum(self._by_kind[kind] for kind in _ANSWER_KINDS)
        if self._ending or held <= GIVE_UP_SHARE * self.bound_bytes:
            return
        groups = collections.defaultdict(list)
        for account in self._accounts:
            if account.on_give_up and account.held and account.kind in _ANSWER_KINDS:
                groups[_group_of(account)].append(account)
        if not groups:
            return
        worst = max(groups.values(), key=_sum_of)
        self.groups_given_up += 1
        self._ending.update(worst)
        reason = f"given up: {len(worst)} answers held {_sum_of(worst)} bytes"
        for account in worst:
            account.on_give_up(reason)


def _group_of(account):
    # Another process relays the answers of many servers.
    return account if account.kind is Kind.RELAYED else (account.kind, account.group)


def _sum_of(accounts):
    return sum(account.held for account in accounts)
