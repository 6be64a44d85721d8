"""The rows of the journal's tables, and their encoding.

    owners    owner id -> the owner's last batch, its write interval, whether it is fenced
    requests  request id -> the request, its owner and epoch, its state, its answer
    open      owner id / request id -> a constant; the keys list the owner's unfinished requests
    segments  owner id / number -> tokens that all the owner's requests gained between two writes

Every write of an owner is conditional on its row in `owners`, so that one write to that row
fences the owner: none of its later writes takes effect.
"""

import datetime
import enum

import attrs

from cicadapond.data import Completion, Priority, content_hash
from cicadapond.provider import Row

OWNERS = "journal-owners"
REQUESTS = "journal-requests"
OPEN = "journal-open"
SEGMENTS = "journal-segments"
SEGMENT_DIGITS = 10


class RequestState(enum.Enum):
    """The state of a durable request."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class OwnerRow:
    """An owner: one process under one owner id; if it is fenced, it continues under a new id.

    Attributes:
      batch: The unique name of the last batch that it wrote.
      interval: The maximum time between its writes while it has open requests.
      fenced: Whether it has lost or released its requests.
    """

    batch: str
    interval: datetime.timedelta
    fenced: bool = False


@attrs.frozen
class RequestRow:
    """A durable request.

    Attributes:
      request: What to generate.
      body: Hash of the request, to detect a different request under the same key.
      owner: The owner id.
      epoch: Incremented with each new owner.
      state: Whether it is unfinished, done or failed.
      accepted: When it was accepted.
      expires: When it may be removed; set once it is finished.
      tokens: The complete answer if done, else the tokens that this epoch started with.
      version: The model version that gave the tokens; an answer never mixes two.
      tokens_object: Name of the object that holds the tokens, if they are not in the row.
      finish: Finish reason, number of cached tokens and of computed tokens, if done.
      reason: Why it failed.
      status: The HTTP status to report for a failed request.
    """

    request: Completion
    body: str
    owner: str
    epoch: int
    state: RequestState
    accepted: datetime.datetime
    expires: datetime.datetime | None = None
    tokens: tuple[str, ...] = ()
    version: str = ""
    tokens_object: str | None = None
    finish: tuple[str, int, int] = ("", 0, 0)
    reason: str = ""
    status: int = 0


@attrs.define
class DurableText:
    """A request's durable tokens, all of one model version."""

    tokens: list[str] = attrs.field(factory=list)
    version: str = ""

    def extend(self, segment: Row, request_id: str) -> None:
        """Appends a request's tokens from a segment.

        Tokens of another model version replace all earlier ones if they start at the answer's
        first token; otherwise they are ignored.
        """
        found = segment.value.get(request_id)
        if found is None:
            return
        start, added, version = found
        if version != self.version:
            if start == 0:
                self.tokens, self.version = list(added), version
        elif start <= len(self.tokens):
            self.tokens.extend(added[len(self.tokens) - start :])


def request_hash(req: Completion) -> str:
    """Returns a hash of what a request asks for."""
    fields = attrs.asdict(attrs.evolve(req, request_id="", deadline=None))
    return content_hash(*(f"{name}={value!r}" for name, value in sorted(fields.items())))


def owner_id(process: str, unique_name: str) -> str:
    """Returns a new owner id of a process."""
    return f"{process}.{unique_name}"


def owner_process(owner: str) -> str:
    """Returns the name of an owner's process."""
    return owner.rpartition(".")[0]


def open_key(owner: str, request_id: str) -> str:
    """Returns a request's key in the table of open requests."""
    return f"{owner}/{request_id}"


def segment_key(owner: str, number: int) -> str:
    """Returns a segment's key."""
    return f"{owner}/{number:0{SEGMENT_DIGITS}d}"


def encode_owner(row: OwnerRow) -> dict:
    """Returns the value that the table service holds."""
    return {"batch": row.batch, "interval": row.interval.total_seconds(), "fenced": row.fenced}


def decode_owner(row: Row) -> OwnerRow | None:
    """Returns the decoded row, None if it is absent."""
    if row.value is None:
        return None
    interval = datetime.timedelta(seconds=row.value["interval"])
    return OwnerRow(row.value["batch"], interval, row.value["fenced"])


def encode_request(row: RequestRow) -> dict:
    """Returns the value that the table service holds."""
    fields = attrs.asdict(row, recurse=False)
    request = attrs.asdict(attrs.evolve(row.request, deadline=None))
    fields["request"] = request | {"priority": int(row.request.priority)}
    fields["state"] = row.state.value
    fields["accepted"] = row.accepted.timestamp()
    fields["expires"] = None if row.expires is None else row.expires.timestamp()
    return fields


def decode_request(row: Row) -> RequestRow | None:
    """Returns the decoded row, None if it is absent."""
    if row.value is None:
        return None
    fields = dict(row.value)
    request = fields["request"]
    request |= {"priority": Priority(request["priority"]), "stop": tuple(request["stop"])}
    fields["request"] = Completion(**request)
    fields["state"] = RequestState(fields["state"])
    fields["accepted"] = _instant(fields["accepted"])
    fields["expires"] = None if fields["expires"] is None else _instant(fields["expires"])
    fields["tokens"] = tuple(fields["tokens"])
    fields["finish"] = tuple(fields["finish"])
    return RequestRow(**fields)


def _instant(timestamp):
    return datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
