"""One attempt at a keyed call, as a state machine without I/O.

The row is a permission to send the call once.  It is written before the first byte is sent, and
its token identifies the attempt that holds it.  Whatever is lost, delayed or paused, only the
holder of the row's token sends, and only an attempt whose call did not run and will not be sent
again writes CANCELLED.  State transitions of a row:

    absent or CANCELLED -> SENDING -> DONE | UNKNOWN | CANCELLED
    absent -> CANCELLED   (by an attempt that gives up, so that its claim in transit fails)
    UNKNOWN -> DONE | CANCELLED   (by the token's holder, if it learns the outcome late)

A holder that died leaves the row in SENDING; once the row's `until` has passed, another attempt
sets it to UNKNOWN.
"""

import datetime
import enum

import attrs

from cicadapond.data import ServiceResponse
from cicadapond.kernel import Clock, NotRun, Ok, Unknown
from cicadapond.ledger._messages import (
    Command,
    Event,
    Finish,
    Put,
    Read,
    Respond,
    RowRead,
    RowWritten,
    Send,
    SendAnswered,
    SendNotRun,
    SendUnknown,
    StoreOut,
    Wait,
    Waited,
    WriteLost,
    WriteRefused,
)
from cicadapond.ledger._row import LedgerRow, RowState
from cicadapond.ledger._settings import LedgerSettings

STATUS_IN_PROGRESS = 409
STATUS_BODY_MISMATCH = 422
STATUS_UNAVAILABLE = 503


class Phase(enum.Enum):
    """What the attempt is waiting for."""

    CLAIM = "claim"  # the write of its own row
    CHECK = "check"  # the row, after a lost answer or while another attempt runs
    CONDEMN = "condemn"  # the write of UNKNOWN to the row of a dead holder
    SEND = "send"  # the backend server's answer
    SETTLE = "settle"  # the write of the outcome
    OVER = "over"  # nothing; the attempt is finished


class Attempt:
    """One attempt; `start` and `handle` return commands, the last one being what it waits for.

    Args:
      cfg: The ledger's settings.
      clock: Gives the time.
      body: Hash of the call's content.
      token: Identifies this attempt; never reused.
      deadline: Monotonic time after which nothing is sent.
      strict: Whether NotRun means that no request with this key and body has run, instead of this
        one only; it then requires that the row was read or claimed.
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
        self._may_hold_row = False
        self._backoff = cfg.first_wait
        self._final_row: LedgerRow | None = None
        self._final_outcome: Ok[ServiceResponse] | NotRun | Unknown | None = None
        self._settle_deadline: datetime.timedelta | None = None
        self.phase = Phase.CLAIM
        self.sent = False
        self.responded = False
        self.caller_gone = False

    def start(self) -> tuple[Command, ...]:
        """Returns the command that claims the row, on the assumption that it is absent."""
        return self._put_claim(0)

    def handle(self, event: Event) -> tuple[Command, ...]:
        """Takes the result of the last command and returns the next commands."""
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
        raise ValueError(f"a finished attempt received {event}")

    # Claiming the row

    def _put_claim(self, expected):
        self.phase = Phase.CLAIM
        return (Put(self._claim, expected),)

    def _on_claim(self, event):
        match event:
            case RowWritten(version):
                return self._send_or_cancel(version)
            case WriteRefused(row):
                return self._handle_row(row)
            case WriteLost():
                self._may_hold_row = True
                return self._read()
            case StoreOut(retry_after):
                if self._may_hold_row:
                    return self._retry_read("the storage went out during the claim")
                return self._respond_and_finish(
                    self._storage_unavailable(retry_after or self._cfg.longest_wait)
                )
        raise ValueError(f"unexpected result of a claim: {event}")

    def _storage_unavailable(self, retry_after):
        """Returns the outcome for an unreadable row if no write of this attempt took effect."""
        if self._strict:
            reason = "the storage is out of reach: whether the key ran before is not known"
            return Unknown(reason, STATUS_UNAVAILABLE, retry_after)
        return NotRun("the storage is out of reach: this request was not run", retry_after)

    def _read(self):
        self.phase = Phase.CHECK
        return (Read(),)

    def _retry_read(self, reason, other_holds_row=False):
        """Reads the row again after a wait; at the deadline, ends the attempt.

        If another attempt holds the row, this one has no claim to cancel.
        """
        if self._clock.monotonic() < self._deadline:
            self.phase = Phase.CHECK
            return (self._next_backoff(),)
        if other_holds_row:
            return self._respond_and_finish(
                Unknown(reason, STATUS_IN_PROGRESS, self._cfg.longest_wait)
            )
        response = self._respond(Unknown(reason))
        return (*response, *self._settle(RowState.CANCELLED, None, None))

    def _on_check(self, event):
        match event:
            case Waited():
                return self._read()
            case RowRead(row):
                return self._handle_row(row)
            case StoreOut():
                if self._may_hold_row:
                    return self._retry_read("the storage went out during the claim")
                return self._retry_read("the storage went out: whether it ran is not known", True)
        raise ValueError(f"unexpected result of a read: {event}")

    def _handle_row(self, row):
        if row is None:
            return self._put_claim(0)
        if row.token == self._claim.token:
            return self._handle_own_row(row)
        # An unacknowledged claim can still take effect on a cancelled row, but on no other.
        self._may_hold_row = self._may_hold_row and row.state is RowState.CANCELLED
        if row.body != self._claim.body:
            reason = "this key was used before with another body"
            return self._respond_and_finish(NotRun(reason, status=STATUS_BODY_MISMATCH))
        match row.state:
            case RowState.DONE:
                return self._respond_and_finish(self._stored_outcome(row))
            case RowState.UNKNOWN:
                return self._respond_and_finish(
                    Unknown("an earlier request with this key may have run")
                )
            case RowState.CANCELLED:
                return self._put_claim(row.version)
        return self._handle_row_in_progress(row)

    def _handle_own_row(self, row):
        if row.state is RowState.SENDING:
            return self._send_or_cancel(row.version)
        reason = "its time was over before it was sent"
        return self._settle(RowState.CANCELLED, NotRun(reason), row.version)

    def _send_or_cancel(self, version):
        self._may_hold_row = True
        if self.caller_gone:
            return self._settle(
                RowState.CANCELLED,
                NotRun("the caller went away"),
                version,
            )
        if self._clock.monotonic() >= self._deadline:
            reason = "its time was over before it was sent"
            return self._settle(RowState.CANCELLED, NotRun(reason), version)
        self._claim = attrs.evolve(self._claim, version=version)
        self.phase = Phase.SEND
        self.sent = True
        return (Send(),)

    def _stored_outcome(self, row):
        if row.answer is not None:
            return Ok(row.answer)
        reason = "it ran; its answer cannot be read now"
        return Unknown(reason, STATUS_UNAVAILABLE, self._cfg.longest_wait)

    # Another attempt's row

    def _handle_row_in_progress(self, row):
        if self._clock.now() > row.until + self._cfg.grace:
            self.phase = Phase.CONDEMN
            return (Put(attrs.evolve(row, state=RowState.UNKNOWN), row.version),)
        return self._retry_read("a request with this key is in progress", other_holds_row=True)

    def _on_condemn(self, event):
        match event:
            case WriteRefused(row):
                return self._handle_row(row)
            case WriteLost():
                return self._read()
        return self._respond_and_finish(Unknown("an earlier request with this key may have run"))

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
        raise ValueError(f"unexpected result of a send: {event}")

    def _settle(self, state, outcome, version, answer=None):
        self.phase = Phase.SETTLE
        now = self._clock.monotonic()
        expires = self._clock.now() + self._cfg.row_term
        self._final_row = attrs.evolve(self._claim, state=state, answer=answer, expires=expires)
        self._final_outcome = outcome
        self._settle_deadline = now + self._cfg.settle_limit
        self._backoff = self._cfg.first_wait
        if version is None:
            return (self._next_backoff(),)
        return (Put(self._final_row, version),)

    def _on_settle(self, event):
        match event:
            case RowWritten():
                return self._respond_and_finish(self._final_outcome)
            case RowRead(row) | WriteRefused(row):
                return self._reconcile(row)
            case Waited():
                return (Read(),)
        return (*self._respond_early(), *self._retry_settle(event))

    def _reconcile(self, row):
        """Compares the current row with the final row and writes the latter if needed."""
        if row is None and self._final_row.state is RowState.CANCELLED:
            return (Put(self._final_row, 0),)  # makes a claim that is still in transit fail
        if row is None or row.token != self._claim.token or row.state is self._final_row.state:
            return self._respond_and_finish(self._final_outcome)
        return (*self._respond_early(), Put(self._final_row, row.version))

    def _retry_settle(self, event):
        if self._clock.monotonic() >= self._settle_deadline:
            return self._finish()
        return (Read(),) if isinstance(event, WriteLost) else (self._next_backoff(),)

    def _respond_early(self):
        """Responds before the outcome is recorded, where that is safe.

        NotRun has to be recorded first; at the deadline the caller gets Unknown instead.
        """
        if isinstance(self._final_outcome, NotRun):
            if self._clock.monotonic() < self._deadline:
                return ()
            return self._respond(Unknown("the storage is out: whether it ran is not recorded"))
        return self._respond(self._final_outcome)

    # Waits and responses

    def _next_backoff(self):
        duration = self._backoff
        self._backoff = min(2 * duration, self._cfg.longest_wait)
        return Wait(duration)

    def _respond(self, outcome):
        if self.responded or outcome is None:
            return ()
        self.responded = True
        return (Respond(outcome),)

    def _respond_and_finish(self, outcome):
        return (*self._respond(outcome), *self._finish())

    def _finish(self):
        self.phase = Phase.OVER
        unrecorded = Unknown("the storage is out: whether it ran is not recorded")
        return (*self._respond(unrecorded), Finish())
