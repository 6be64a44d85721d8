"""What a process may conclude about a lease from what it has read and written; no I/O.

The lease is one row.  Its holder renews it by a conditional write; a challenger takes it once it
has seen the row unchanged for a whole term by its own clock.  No clock is compared with another:
the holder counts its term from before its write left, the challenger from after its read came.
"""

import datetime

import attrs

from cicadapond.kernel import setting
from cicadapond.provider import Row, Write

TABLE = "leases"
REMEMBERED_TOKENS = 16
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class LeaseSettings:
    """The terms of a lease.

    Attributes:
      term: How long a write keeps the lease.
      margin: How long before the end of the term its holder stops acting.
      order_limit: The longest that an order can be on its way; less than `margin`.
      renewal: The interval at which the holder renews, and at which candidates read the row.
      idle_poll: The interval at which processes that are no candidates read the row.
    """

    term: datetime.timedelta = 4 * _SECOND
    margin: datetime.timedelta = _SECOND
    order_limit: datetime.timedelta = setting(default=0.8 * _SECOND)
    renewal: datetime.timedelta = _SECOND
    idle_poll: datetime.timedelta = 10 * _SECOND

    def __attrs_post_init__(self):
        if not self.order_limit < self.margin < self.term:
            raise ValueError(
                f"order_limit {self.order_limit} < margin {self.margin} < term {self.term}"
                " does not hold"
            )


@attrs.frozen
class Grant:
    """The right to act until `end`, a monotonic instant that already leaves the margin.

    Attributes:
      fencing: Grows with each new holder; goes with each order.
      end: No order may be begun from then on.
      unfenced_from: The first instant for orders to servers that do not check fencing numbers:
        by then the last order of the holder before has come to its end.
    """

    fencing: int
    end: datetime.timedelta
    unfenced_from: datetime.timedelta

    def may_order(self, now: datetime.timedelta, checks_fencing: bool) -> bool:
        """Returns whether an order may be begun now; asked right before each order."""
        return now < self.end and (checks_fencing or now >= self.unfenced_from)


class LeaseKeeper:
    """One process's knowledge of one lease.

    Args:
      cfg: The terms.
      name: The lease's name, usually the data centre.
      holder: This process's name.
      instance: Distinguishes this start of the process from others.
    """

    def __init__(self, cfg: LeaseSettings, name: str, holder: str, instance: str):
        self.cfg = cfg
        self.name = name
        self._holder = holder
        self._instance = instance
        self._row: Row | None = None
        self._seen_at = datetime.timedelta()
        self._count = 0
        self._sent: dict[str, datetime.timedelta] = {}
        self._held_until: datetime.timedelta | None = None
        self._fencing_held: int | None = None
        self._unfenced_from = datetime.timedelta()

    @property
    def key(self) -> tuple[str, str]:
        """The row's table and key."""
        return (TABLE, self.name)

    def holder(self) -> str | None:
        """Returns who held the lease when the row was last read."""
        value = self._value()
        return value.get("holder") if value else None

    def grant(self, now: datetime.timedelta) -> Grant | None:
        """Returns the right to act, None without one or past its end."""
        if self._held_until is None or now >= self._held_until or not self._is_mine():
            return None
        return Grant(self._value()["fencing"], self._held_until, self._unfenced_from)

    def observe(self, row: Row, now: datetime.timedelta) -> None:
        """Takes the row as read.

        Args:
          row: The row.
          now: The time after the answer came.
        """
        if self._row is None or row.version != self._row.version:
            self._seen_at = now
        self._row = row
        if not self._is_mine():
            self._held_until = None
            return
        sent = self._sent.get(row.value["token"])
        if sent is not None:
            self._hold(sent, row.value)

    def proposal(self, now: datetime.timedelta) -> Write | None:
        """Returns the conditional write that takes or renews the lease, None if it is another's.

        The caller sends it at once: the term counts from `now`.
        """
        if self._row is None:
            return None
        value = self._value()
        if self._is_mine():
            return self._write(value["fencing"], now, value["waited_ms"])
        if value is None:
            return self._write(1, now, 0)
        # One that held it before the last holder waits even so: orders on their way would mix.
        if value.get("released") and self._holder != value.get("predecessor"):
            return self._write(value["fencing"] + 1, now, 0)
        term = value["term_ms"] * _MILLISECOND
        if now - self._seen_at <= term:
            return None
        return self._write(value["fencing"] + 1, now, self.cfg.order_limit // _MILLISECOND)

    def written(self, write: Write, version: int, now: datetime.timedelta) -> None:
        """Takes note that a proposal has taken effect."""
        self.observe(Row(write.table, write.key, version, write.value), now)

    def release(self) -> Write | None:
        """Returns the write that gives the lease back, None if it is not held."""
        self._held_until = None
        if not self._is_mine():
            return None
        value = {**self._value(), "released": True}
        return Write(*self.key, value, expected=self._row.version)

    def _value(self):
        return self._row.value if self._row is not None else None

    def _is_mine(self):
        value = self._value()
        mine = value is not None and value["instance"] == self._instance
        return mine and not value.get("released")

    def _write(self, fencing, now, waited_ms):
        self._count += 1
        token = f"{self._instance}/{self._count}"
        self._sent[token] = now
        if len(self._sent) > REMEMBERED_TOKENS:
            del self._sent[next(iter(self._sent))]
        value = {
            "holder": self._holder,
            "instance": self._instance,
            "token": token,
            "fencing": fencing,
            "term_ms": self.cfg.term // _MILLISECOND,
            "waited_ms": waited_ms,
            "predecessor": self._predecessor(fencing),
        }
        return Write(*self.key, value, expected=self._row.version)

    def _predecessor(self, fencing):
        """Returns who held the lease before the holder that has this fencing number."""
        value = self._value()
        if value is None:
            return None
        return value.get("predecessor") if value["fencing"] == fencing else value["holder"]

    def _hold(self, sent, value):
        if self._fencing_held != value["fencing"]:
            self._unfenced_from = sent + value["waited_ms"] * _MILLISECOND
            self._fencing_held = value["fencing"]
        end = sent + self.cfg.term - self.cfg.margin
        self._held_until = max(self._held_until or end, end)
