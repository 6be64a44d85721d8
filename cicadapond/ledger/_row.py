"""The ledger's row: what is known of one piece of keyed work, and how the table holds it."""

import datetime
import enum
import urllib.parse

import attrs

from cicadapond.data import Answer
from cicadapond.provider import Row

TABLE = "ledger"


class RowState(enum.Enum):
    """What a row says of its work."""

    SENDING = "sending"  # its token's holder may send it, or has
    DONE = "done"  # it ran, and this is its answer
    UNKNOWN = "unknown"  # it may have run; it is never sent again
    CANCELLED = "cancelled"  # it was not run; a new attempt may take the row


@attrs.frozen
class LedgerRow:
    """One row, decoded.

    Attributes:
      version: The row's version in the table service.
      body: Hash of the work, to tell another body under the same key.
      token: Names the attempt that holds the permission to send.
      state: What is known of the work.
      until: The wall-clock instant after which the attempt no longer sends.
      expires: The wall-clock instant after which the row may be removed.
      answer: The answer, if it is kept in the row.
      answer_object: The answer's name in the object store, if it is kept there.
    """

    version: int
    body: str
    token: str
    state: RowState
    until: datetime.datetime
    expires: datetime.datetime
    answer: Answer | None = None
    answer_object: str | None = None


def row_key(account: str, key: str) -> str:
    """Returns the table key of an account's piece of work."""
    return f"{urllib.parse.quote(account, safe='')}/{key}"


def encode_row(row: LedgerRow) -> dict:
    """Returns the value that the table service holds."""
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
    """Returns the decoded row, None if it is absent."""
    if row.version == 0:
        return None
    value = row.value
    return LedgerRow(
        version=row.version,
        body=value["body"],
        token=value["token"],
        state=RowState(value["state"]),
        until=_instant(value["until"]),
        expires=_instant(value["expires"]),
        answer=None if value["answer"] is None else decode_answer(value["answer"]),
        answer_object=value["object"],
    )


def encode_answer(answer: Answer) -> list:
    """Returns an answer as plain values."""
    return [answer.status, [list(header) for header in answer.headers], answer.body]


def decode_answer(fields: list) -> Answer:
    """Returns the answer of plain values."""
    status, headers, body = fields
    return Answer(status, tuple((name, value) for name, value in headers), body)


def _instant(timestamp):
    return datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
