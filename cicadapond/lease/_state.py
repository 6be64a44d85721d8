"""One process's view of a lease, derived from the rows that it has read and written; no I/O.

The lease is one row.  Its holder renews it by a conditional write; a challenger takes it once it
has seen the row unchanged for a full term by its own clock.  Clocks of different processes are
never compared: the holder's term starts before its write is sent, the challenger's wait starts
after its read has returned.

The table service may be restored from an older copy, which raises its era.  The row then shows an
earlier state, and what came after it may be lost, so a row that was written in an earlier era gives
nobody the lease.  Only a process with a valid grant knows that no later holder was there, as
everybody else waits a full term after first seeing the row in the new era; it writes its own row
again.

Builds without `lapse_ms` in their rows, called earlier builds here, do not all follow restores.
They forget what the lost part held, so the others keep the lease from them: they take it as soon as
they see it held by one, wait longer before it passes to one, and give out numbers far apart, so
that one which such a build counts on from a lost row is lower than the last one in use.
"""

import datetime

import attrs

from cicadapond.kernel import setting
from cicadapond.provider import Row, Write, era_of

TABLE = "leases"
# Writes whose time of sending is kept, for those that are seen in the row only later.
MAX_REMEMBERED_TOKENS = 16
# The fencing numbers that are given out in an era start at this multiple of it, above all that may
# have been given out and lost before.
FENCING_PER_ERA = 2**24
# Fencing numbers are multiples of this; earlier builds add one to the number of the row they read.
FENCING_STEP = 2**10
# An earlier build takes the lease this many terms after its last renewal, later than all others.
EARLIER_BUILD_TERMS = 4
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class LeaseSettings:
    """Durations and intervals of a lease.

    Attributes:
      term: How long the lease is valid after a write.
      margin: How long before the end of the term its holder stops acting.
      order_limit: The longest time that an order, a command of the holder, can be in transit; less
        than `margin`.
      renewal: The interval at which the holder renews, and at which candidates read the row.
      idle_poll: The interval at which processes that are not candidates read the row.
    """

    term: datetime.timedelta = 4 * _SECOND
    margin: datetime.timedelta = _SECOND
    order_limit: datetime.timedelta = setting(default=0.8 * _SECOND)
    renewal: datetime.timedelta = _SECOND
    idle_poll: datetime.timedelta = 10 * _SECOND

    def __attrs_post_init__(self):
        if not self.order_limit < self.margin < self.term:
            raise ValueError(
                f"order_limit {self.order_limit} must be less than margin {self.margin},"
                f" and margin less than term {self.term}"
            )


@attrs.frozen
class Grant:
    """The right to act until `end`, which lies before the end of the term by the margin.

    Attributes:
      fencing: The fencing number, sent with each order; it increases with each new holder.
      end: The monotonic instant from which no order may be started.
      unfenced_from: The first monotonic instant for orders to servers that do not check fencing
        numbers.  If the lease was taken after a full term, it is `order_limit` after the write, so
        that the previous holder's last order is no longer in transit; for a released or new lease,
        it is the time of the write.
    """

    fencing: int
    end: datetime.timedelta
    unfenced_from: datetime.timedelta

    def may_order(self, now: datetime.timedelta, checks_fencing: bool) -> bool:
        """Returns whether an order may be started now; to be checked right before each order."""
        return now < self.end and (checks_fencing or now >= self.unfenced_from)


class LeaseState:
    """The state of one lease as one process knows it.

    Args:
      cfg: Durations and intervals.
      name: The lease's name, usually the data centre.
      holder: This process's name.
      instance: Distinguishes this run of the process from others.
    """

    def __init__(self, cfg: LeaseSettings, name: str, holder: str, instance: str):
        self.cfg = cfg
        self.name = name
        self._holder = holder
        self._instance = instance
        self._row: Row | None = None
        self._version_seen_at = datetime.timedelta()
        self._is_unchanged = False
        self._write_count = 0
        self._sent_at: dict[str, datetime.timedelta] = {}
        self._era = 0
        self._era_seen_at = datetime.timedelta()
        self._highest_fencing = 0
        self._held_until: datetime.timedelta | None = None
        self._held: dict | None = None
        self._held_since = datetime.timedelta()
        self._unfenced_from = datetime.timedelta()
        self._acts_from = datetime.timedelta()

    @property
    def key(self) -> tuple[str, str]:
        """The row's table and key."""
        return (TABLE, self.name)

    def holder(self) -> str | None:
        """Returns the holder of the lease at the last read of the row."""
        value = self._value()
        return value.get("holder") if value else None

    def instance(self) -> str | None:
        """Returns the run of the process that held the lease at the last read of the row."""
        value = self._value()
        return value.get("instance") if value else None

    def is_held_by_earlier_build(self) -> bool:
        """Returns whether the row that was read last is of a build that may not follow restores."""
        value = self._value()
        return value is not None and "lapse_ms" not in value

    def era_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long at least this process or a holder has known the present era."""
        return now - self._era_seen_at

    def grant(self, now: datetime.timedelta) -> Grant | None:
        """Returns the current grant, None if there is none, or it has ended or not begun.

        It begins a term after the write if the lease was taken from an earlier build, whose grant
        has ended by then.
        """
        if not self.is_held(now) or now < self._acts_from:
            return None
        return Grant(self._held["fencing"], self._held_until, self._unfenced_from)

    def is_held(self, now: datetime.timedelta) -> bool:
        """Returns whether this process holds the lease, though its grant may not have begun."""
        return self._held_until is not None and now < self._held_until

    def observe(self, row: Row, now: datetime.timedelta, service_era: int = 0) -> None:
        """Updates the state from a read of the row.

        Args:
          row: The row.
          now: The monotonic time after the answer was received.
          service_era: The table service's era, which the version of an absent row does not tell.
        """
        era = era_of(row.version) if row.value is not None else service_era
        known = self._row.version if self._row is not None else None
        self._is_unchanged = (self._era, known) == (era, row.version)
        if not self._is_unchanged:
            self._version_seen_at = now
        self._row = row
        self._observe_era(era, now)
        if row.value is not None:
            self._highest_fencing = max(self._highest_fencing, row.value["fencing"])
        if self._is_mine():
            sent_at = self._sent_at.get(row.value["token"])
            if sent_at is not None:
                self._extend(sent_at, row.value)
        elif not self.must_write_again(now):
            self._held_until = None

    def must_write_again(self, now: datetime.timedelta) -> bool:
        """Returns whether this process holds the lease, but a restore has undone its last write."""
        if not self.is_held(now) or not self._is_restored():
            return False
        value = self._value()
        # Another holder's number that is as high comes from a build that knows no eras.
        return (
            value is None
            or value["instance"] == self._instance
            or value["fencing"] < self._held["fencing"]
        )

    def lapses_at(self) -> datetime.timedelta | None:
        """Returns the monotonic time at which the lease can be taken if it is not renewed.

        None if the last two reads of the row differed, or one of them is still to come.
        """
        if not self._is_unchanged or (self._value() is None and not self._is_restored()):
            return None
        return self._version_seen_at + self._term()

    def next_write(self, now: datetime.timedelta) -> Write | None:
        """Returns the conditional write that takes or renews the lease, None if neither is allowed.

        The caller must send it at once: the term starts at `now`.
        """
        if self._row is None:
            return None
        value = self._value()
        if self._is_mine():
            return self._renewal(value, now)
        if self.must_write_again(now):
            return self._renewal(self._held, now)
        if not self._is_restored():
            if value is None:
                return self._write(self._next_fencing(), now, 0, [])
            # A released lease can be taken at once, except by a recent holder, which waits until
            # its own earlier orders are a full term old: otherwise its old and new orders would
            # enclose those of the holders in between.
            if _is_released(value) and not self._held_recently(value):
                # An earlier build's grant may last until the end of the last holder's quiet term.
                recent, quiet_ms = self._recent_before(value), value.get("quiet_ms", 0)
                return self._write(self._next_fencing(), now, 0, recent, quiet_ms)
        recent = None if self._is_restored() else self._recent_before(value)
        if now - self._version_seen_at > self._term():
            unfenced_wait_ms = self.cfg.order_limit // _MILLISECOND
            return self._write(self._next_fencing(), now, unfenced_wait_ms, recent)
        if self._may_take_from_earlier_build(now):
            # Its grant ends within a term, and what it has sent by then arrives within that term.
            wait_ms = self._term() // _MILLISECOND
            return self._write(self._next_fencing(), now, wait_ms, recent, wait_ms)
        return None

    def write_applied(self, write: Write, version: int, now: datetime.timedelta) -> None:
        """Updates the state after a write from `next_write` has taken effect."""
        self.observe(Row(write.table, write.key, version, write.value), now)

    def stop_acting(self) -> None:
        """Ends the current grant; the lease itself stays held until it is released."""
        self._held_until = None

    def held_check(self) -> Write | None:
        """Returns a check by which a transaction fails if the lease has passed on, None if it has.

        It also fails if the lease is renewed meanwhile; the transaction is then tried again.
        """
        if not self._is_mine():
            return None
        return Write(*self.key, expected=self._row.version, check_only=True)

    def release(self) -> Write | None:
        """Returns the write that releases the lease, None if it is not held."""
        self.stop_acting()
        if not self._is_mine():
            return None
        # Earlier builds, which look for "released", wait until the lease has lapsed.
        value = {**self._value(), "ended": True}
        return Write(*self.key, value, expected=self._row.version)

    def _value(self):
        return self._row.value if self._row is not None else None

    def _is_restored(self):
        """Returns whether the row is from before a restore of the table service."""
        value = self._value()
        return self._era > (value.get("era", 0) if value else 0)

    def _is_mine(self):
        value = self._value()
        mine = value is not None and value["instance"] == self._instance
        return mine and not _is_released(value) and not self._is_restored()

    def _may_take_from_earlier_build(self, now):
        """Returns whether the lease can be taken although its holder renews it.

        After a restore a later holder that follows restores may still have a grant, and writes its
        row again by the end of it.
        """
        if not self.is_held_by_earlier_build() or _is_released(self._value()):
            return False
        return not self._is_restored() or now - self._era_seen_at > self._term()

    def _observe_era(self, era, now):
        if era != self._era:
            self._era = era
            self._era_seen_at = now
        value = self._value()
        if value is not None and not self._is_restored():
            age = value.get("era_age_ms", 0) * _MILLISECOND
            self._era_seen_at = min(self._era_seen_at, now - age)

    def _term(self):
        """Returns how long the row must stay unchanged before the lease is taken."""
        value = self._value()
        if value is None:
            return self.cfg.term
        term = value.get("lapse_ms", value["term_ms"]) * _MILLISECOND
        return max(term, self.cfg.term) if self._is_restored() else term

    def _next_fencing(self):
        above = (self._highest_fencing // FENCING_STEP + 1) * FENCING_STEP
        return max(above, self._era * FENCING_PER_ERA)

    def _renewal(self, value, now):
        recent = [] if now - self._held_since > self.cfg.term else value.get("recent")
        quiet_ms = value.get("quiet_ms", 0) if now < self._acts_from else 0
        return self._write(value["fencing"], now, value["waited_ms"], recent, quiet_ms)

    def _write(self, fencing, now, unfenced_wait_ms, recent, quiet_ms=0):
        self._write_count += 1
        token = f"{self._instance}/{self._write_count}"
        self._sent_at[token] = now
        if len(self._sent_at) > MAX_REMEMBERED_TOKENS:
            del self._sent_at[next(iter(self._sent_at))]
        value = {
            "holder": self._holder,
            "instance": self._instance,
            "token": token,
            "fencing": fencing,
            "term_ms": EARLIER_BUILD_TERMS * self.cfg.term // _MILLISECOND,
            "lapse_ms": self.cfg.term // _MILLISECOND,
            "waited_ms": unfenced_wait_ms,
        }
        if quiet_ms:
            value["quiet_ms"] = quiet_ms
        if recent is not None:
            value["recent"] = recent
        if self._era:
            value |= {"era": self._era, "era_age_ms": self.era_age(now) // _MILLISECOND}
        return Write(*self.key, value, expected=self._row.version)

    def _held_recently(self, value):
        """Returns whether this process held the lease shortly before its last holder.

        The holders before the last one are unknown in a row that lacks them.
        """
        recent = value.get("recent")
        return recent is None or self._holder in recent

    def _recent_before(self, value):
        """Returns the earlier holders whose last orders may be less than a term old."""
        recent = [*value.get("recent", ()), value["holder"]]
        return [holder for holder in dict.fromkeys(recent) if holder != self._holder]

    def _extend(self, sent_at, value):
        if self._held is None or self._held["fencing"] != value["fencing"]:
            self._unfenced_from = sent_at + value["waited_ms"] * _MILLISECOND
            self._acts_from = sent_at + value.get("quiet_ms", 0) * _MILLISECOND
            self._held_since = self._acts_from
        self._held = value
        end = sent_at + self.cfg.term - self.cfg.margin
        self._held_until = max(self._held_until or end, end)


def _is_released(value):
    return bool(value.get("ended") or value.get("released"))
