"""The ledger's row: the state of one keyed call, and its encoding in the table service."""

import datetime
import enum
import urllib.parse

import attrs

from cicadapond.data import ServiceResponse
from cicadapond.provider import Row

TABLE = "ledger"


class RowState(enum.Enum):
    """State of a keyed call."""

    SENDING = "sending"  # the attempt that holds the token may send the call, or has sent it
    DONE = "done"  # it ran; the answer is stored
    UNKNOWN = "unknown"  # it may have run; it is never sent again
    CANCELLED = "cancelled"  # it did not run; a new attempt may claim the row


@attrs.frozen
class LedgerRow:
    """One row, decoded.

    Attributes:
      version: The row's version in the table service.
      body: Hash of the call's content, to detect reuse of the key for another call.
      token: Identifies the attempt that may send the call.
      state: State of the call.
      until: Wall-clock time after which the attempt no longer sends.
      expires: Wall-clock time after which the row may be removed.
      answer: The answer, if it is stored in the row.
      answer_object: The answer's name in the object store, if it is stored there.
    """

    version: int
    body: str
    token: str
    state: RowState
    until: datetime.datetime
    expires: datetime.datetime
    answer: ServiceResponse | None = None
    answer_object: str | None = None


def row_key(account: str, key: str) -> str:
    """Returns the table key for an account's idempotency key."""
    return f"{urllib.parse.quote(account, safe='')}/{key}"


def encode_row(row: LedgerRow) -> dict:
    """Returns the row as a value for the table service."""
    return {
        "body": row.body,
        "token": row.token,
        "state": row.state.value,
        "until": row.until.timestamp(),
        "expires": row.expires.timestamp(),
        "answer": None if row.answer is None else encode_answer(row.answer),
        "object": row.answer_object,
    }


def decode_row(row: Row) -> LedgerRow | None:
    """Returns the decoded row, or None if it is absent."""
    if row.value is None:
        return None
    value = row.value
    return LedgerRow(
        version=row.version,
        body=value["body"],
        token=value["token"],
        state=RowState(value["state"]),
        until=_from_timestamp(value["until"]),
        expires=_from_timestamp(value["expires"]),
        answer=None if value["answer"] is None else decode_answer(value["answer"]),
        answer_object=value["object"],
    )


def encode_answer(answer: ServiceResponse) -> list:
    """Returns an answer as a list that msgpack can encode."""
    return [answer.status, [list(header) for header in answer.headers], answer.body]


def decode_answer(fields: list) -> ServiceResponse:
    """Inverse of `encode_answer`."""
    status, headers, body = fields
    return ServiceResponse(status, tuple((name, value) for name, value in headers), body)


def _from_timestamp(timestamp):
    return datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
