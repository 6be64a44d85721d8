"""One attempt at a piece of keyed work, as a state machine without I/O.

The row is the permission to send, once.  It is written before the first byte leaves, and its
token tells whose it is.  Whatever is lost, delayed or paused, only the holder of the row's token
sends, and only an attempt that has not sent and never will writes CANCELLED.  A row goes

    absent or CANCELLED -> SENDING -> DONE | UNKNOWN | CANCELLED
    UNKNOWN -> DONE | CANCELLED   (by the token's holder, which learnt the truth late)

A holder that died leaves SENDING behind; after its end another attempt turns it to UNKNOWN.
"""

import datetime
import enum

import attrs

from cicadapond.data import Answer
from cicadapond.kernel import Clock, NotRun, Ok, Unknown
from cicadapond.ledger._messages import (
    Command,
    Event,
    Finish,
    Put,
    Read,
    RowRead,
    RowWritten,
    Send,
    SendAnswered,
    SendNotRun,
    SendUnknown,
    StoreOut,
    Tell,
    Wait,
    Waited,
    WriteLost,
    WriteRefused,
)
from cicadapond.ledger._row import LedgerRow, RowState
from cicadapond.ledger._settings import LedgerSettings

IN_PROGRESS = 409
OTHER_BODY = 422
UNAVAILABLE = 503


class Phase(enum.Enum):
    """What the attempt waits for."""

    CLAIM = "claim"  # its own row to be written
    CHECK = "check"  # the row, after a lost answer or while another attempt runs
    CONDEMN = "condemn"  # a dead holder's row to become UNKNOWN
    SEND = "send"  # the backend server's answer
    SETTLE = "settle"  # what became of the send to be written
    OVER = "over"  # nothing


class Attempt:
    """One attempt; each method returns commands, the last one being what it now waits for.

    Args:
      cfg: The ledger's settings.
      clock: Gives the time.
      body: Hash of the work.
      token: This attempt's name, unique for ever.
      deadline: The monotonic instant after which nothing is sent.
      strict: Whether NotRun is said of the key, not of this request alone: then it takes the row.
    """

    def __init__(
        self,
        cfg: LedgerSettings,
        clock: Clock,
        body: str,
        token: str,
        deadline: datetime.timedelta,
        strict: bool = False,
    ):
        self._strict = strict
        self._cfg = cfg
        self._clock = clock
        self._deadline = deadline
        until = clock.now() + (deadline - clock.monotonic())
        expires = until + cfg.row_term
        self._claim = LedgerRow(0, body, token, RowState.SENDING, until, expires)
        self._may_hold = False
        self._wait = cfg.first_wait
        self._target: LedgerRow | None = None
        self._verdict: Ok[Answer] | NotRun | Unknown | None = None
        self._settle_end: datetime.timedelta | None = None
        self.phase = Phase.CLAIM
        self.sent = False
        self.told = False
        self.caller_gone = False

    def start(self) -> tuple[Command, ...]:
        """Begins by claiming a row that is hoped to be absent."""
        return self._put_claim(0)

    def on(self, event: Event) -> tuple[Command, ...]:
        """Takes the answer to the last command."""
        match self.phase:
            case Phase.CLAIM:
                return self._on_claim(event)
            case Phase.CHECK:
                return self._on_check(event)
            case Phase.CONDEMN:
                return self._on_condemn(event)
            case Phase.SEND:
                return self._on_send(event)
            case Phase.SETTLE:
                return self._on_settle(event)
        raise ValueError(f"an attempt that is over was told {event}")

    # Claiming the row

    def _put_claim(self, expected):
        self.phase = Phase.CLAIM
        return (Put(self._claim, expected),)

    def _on_claim(self, event):
        match event:
            case RowWritten(version):
                return self._permitted(version)
            case WriteRefused(row):
                return self._examine(row)
            case WriteLost():
                self._may_hold = True
                return self._read()
            case StoreOut(retry_after):
                if self._may_hold:
                    return self._read_later("the storage went out during the claim")
                return self._tell_last(self._unread(retry_after or self._cfg.longest_wait))
        raise ValueError(f"a claim cannot be answered by {event}")

    def _unread(self, retry_after):
        """The row cannot be read, and nothing of this attempt has taken effect."""
        if self._strict:
            reason = "the storage is out of reach: whether the key ran before is not known"
            return Unknown(reason, UNAVAILABLE, retry_after)
        return NotRun("the storage is out of reach: this request was not run", retry_after)

    def _read(self):
        self.phase = Phase.CHECK
        return (Read(),)

    def _read_later(self, why, in_progress=False):
        if self._clock.monotonic() < self._deadline:
            self.phase = Phase.CHECK
            return (self._next_wait(),)
        if in_progress:
            return self._tell_last(Unknown(why, IN_PROGRESS, self._cfg.longest_wait))
        told = self._tell(Unknown(why))
        return (*told, *self._settle(RowState.CANCELLED, None, None))

    def _on_check(self, event):
        match event:
            case Waited():
                return self._read()
            case RowRead(row):
                return self._examine(row)
            case StoreOut():
                if self._may_hold:
                    return self._read_later("the storage went out during the claim")
                return self._read_later("the storage went out: whether it ran is not known", True)
        raise ValueError(f"a read cannot be answered by {event}")

    def _examine(self, row):
        if row is None:
            return self._put_claim(0)
        if row.token == self._claim.token:
            return self._own(row)
        # A lost claim can still take effect on a cancelled row, on no other.
        self._may_hold = self._may_hold and row.state is RowState.CANCELLED
        if row.body != self._claim.body:
            reason = "this key was used before with another body"
            return self._tell_last(NotRun(reason, status=OTHER_BODY))
        match row.state:
            case RowState.DONE:
                return self._tell_last(self._stored(row))
            case RowState.UNKNOWN:
                return self._tell_last(Unknown("an earlier request with this key may have run"))
            case RowState.CANCELLED:
                return self._put_claim(row.version)
        return self._watch(row)

    def _own(self, row):
        if row.state is RowState.SENDING:
            return self._permitted(row.version)
        reason = "its time was over before it was sent"
        return self._settle(RowState.CANCELLED, NotRun(reason), row.version)

    def _permitted(self, version):
        self._may_hold = True
        if self.caller_gone:
            return self._settle(RowState.CANCELLED, NotRun("the caller went away"), version)
        if self._clock.monotonic() >= self._deadline:
            reason = "its time was over before it was sent"
            return self._settle(RowState.CANCELLED, NotRun(reason), version)
        self._claim = attrs.evolve(self._claim, version=version)
        self.phase = Phase.SEND
        self.sent = True
        return (Send(),)

    def _stored(self, row):
        if row.answer is not None:
            return Ok(row.answer)
        reason = "it ran; its answer cannot be read now"
        return Unknown(reason, UNAVAILABLE, self._cfg.longest_wait)

    # Another attempt's row

    def _watch(self, row):
        if self._clock.now() > row.until + self._cfg.grace:
            self.phase = Phase.CONDEMN
            return (Put(attrs.evolve(row, state=RowState.UNKNOWN), row.version),)
        return self._read_later("a request with this key is in progress", in_progress=True)

    def _on_condemn(self, event):
        match event:
            case WriteRefused(row):
                return self._examine(row)
            case WriteLost():
                return self._read()
        return self._tell_last(Unknown("an earlier request with this key may have run"))

    # The send and its record

    def _on_send(self, event):
        version = self._claim.version
        match event:
            case SendAnswered(answer):
                return self._settle(RowState.DONE, Ok(answer), version, answer)
            case SendNotRun(reason, retry_after):
                self.sent = False
                return self._settle(RowState.CANCELLED, NotRun(reason, retry_after), version)
            case SendUnknown(reason):
                return self._settle(RowState.UNKNOWN, Unknown(reason), version)
        raise ValueError(f"a send cannot come to {event}")

    def _settle(self, state, verdict, version, answer=None):
        self.phase = Phase.SETTLE
        now = self._clock.monotonic()
        expires = self._clock.now() + self._cfg.row_term
        self._target = attrs.evolve(self._claim, state=state, answer=answer, expires=expires)
        self._verdict = verdict
        self._settle_end = now + self._cfg.settle_limit
        self._wait = self._cfg.first_wait
        if version is None:
            return (self._next_wait(),)
        return (Put(self._target, version),)

    def _on_settle(self, event):
        match event:
            case RowWritten():
                return self._tell_last(self._verdict)
            case RowRead(row) | WriteRefused(row):
                return self._compare(row)
            case Waited():
                return (Read(),)
        return (*self._tell_early(), *self._retry_settling(event))

    def _compare(self, row):
        """Judges the row as it stands against what it should become."""
        if row is None and self._target.state is RowState.CANCELLED:
            return (Put(self._target, 0),)  # fences a claim that may still be on its way
        if row is None or row.token != self._claim.token or row.state is self._target.state:
            return self._tell_last(self._verdict)
        return (*self._tell_early(), Put(self._target, row.version))

    def _retry_settling(self, event):
        if self._clock.monotonic() >= self._settle_end:
            return self._finish()
        return (Read(),) if isinstance(event, WriteLost) else (self._next_wait(),)

    def _tell_early(self):
        """Tells what needs no record, and at the deadline that nothing is certain."""
        if isinstance(self._verdict, NotRun):
            if self._clock.monotonic() < self._deadline:
                return ()
            return self._tell(Unknown("the storage is out: whether it ran is not recorded"))
        return self._tell(self._verdict)

    # Ends

    def _next_wait(self):
        wait = self._wait
        self._wait = min(2 * wait, self._cfg.longest_wait)
        return Wait(wait)

    def _tell(self, outcome):
        if self.told or outcome is None:
            return ()
        self.told = True
        return (Tell(outcome),)

    def _tell_last(self, outcome):
        return (*self._tell(outcome), *self._finish())

    def _finish(self):
        self.phase = Phase.OVER
        unsettled = Unknown("the storage is out: whether it ran is not recorded")
        return (*self._tell(unsettled), Finish())
