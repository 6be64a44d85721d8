"""The journal's tables.

    owners    owner id -> the last batch that the owner wrote, its interval, whether it is fenced
    requests  request id -> the request, its owner and epoch, its state, its answer
    open      owner id / request id -> nothing; the unfinished requests of an owner
    segments  owner id / number -> tokens of all the owner's streams between two writes

Every write of an owner is conditional on its row in `owners`, so that one write there fences
the owner: nothing that it sends afterwards takes effect.
"""

import datetime
import enum

import attrs

from cicadapond.data import Completion, Priority, body_hash
from cicadapond.provider import Row

OWNERS = "journal-owners"
REQUESTS = "journal-requests"
OPEN = "journal-open"
SEGMENTS = "journal-segments"
SEGMENT_DIGITS = 10


class RequestState(enum.Enum):
    """What is known of a durable request."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class OwnerRow:
    """An owner: one life of one process.

    Attributes:
      batch: Name of its last write.
      interval: How often it promises to write while it has open requests.
      fenced: Whether it has lost, or given up, its requests.
    """

    batch: str
    interval: datetime.timedelta
    fenced: bool = False


@attrs.frozen
class RequestRow:
    """A durable request.

    Attributes:
      request: What to generate.
      body: Hash of the request, to tell another one under the same key.
      owner: The owner id.
      epoch: Grows by one with each new owner.
      state: What is known.
      accepted: When it was accepted.
      expires: When it may be removed; set once it is finished.
      tokens: The whole answer if done, else the tokens that this epoch began with.
      version: The model version that gave the tokens; an answer never mixes two.
      tokens_object: Where the tokens are in the object store, if they are not in the row.
      finish: Finish reason, cached tokens and computed tokens of a done request.
      reason: Why it failed.
      status: The HTTP status to tell of a failed request.
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
        """Adds a segment's tokens of a request to those before it.

        Tokens of another version replace all before them if they are the answer's start.
        """
        found = segment.value.get(request_id)
        if found is None:
            return
        start, more, version = found
        if version != self.version:
            if start == 0:
                self.tokens, self.version = list(more), version
        elif start <= len(self.tokens):
            self.tokens.extend(more[len(self.tokens) - start :])


def request_hash(req: Completion) -> str:
    """Returns a hash of what a request asks for."""
    fields = attrs.asdict(attrs.evolve(req, request_id="", deadline=None))
    return body_hash(*(f"{name}={value!r}" for name, value in sorted(fields.items())))


def owner_id(process: str, life: str) -> str:
    """Returns the owner id of one life of a process."""
    return f"{process}.{life}"


def owner_process(owner: str) -> str:
    """Returns the process of an owner id."""
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
    if row.version == 0:
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
    if row.version == 0:
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
