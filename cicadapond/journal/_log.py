"""One owner's part of the journal, as a state machine without I/O.

The owner writes in batches, one transaction at a time, each conditional on the version of the
owner's row that its last batch wrote.  A batch whose answer was lost is sent again unchanged; if
it had taken effect, the owner's row holds its name.  A conflict where the owner's row holds
another name means that the owner is fenced: none of its later writes takes effect.
"""

import dataclasses
import datetime
import enum
import typing

import attrs

from cicadapond.journal._rows import (
    OPEN,
    OWNERS,
    REQUESTS,
    SEGMENTS,
    OwnerRow,
    RequestRow,
    decode_owner,
    decode_request,
    encode_owner,
    encode_request,
    open_key,
    segment_key,
)
from cicadapond.kernel import AnswerLost, Conflict, Ok, Unavailable
from cicadapond.provider import Write

MAX_ADDED_PER_BATCH = 64  # requests added per transaction

# Results


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """The request is durable and belongs to this owner."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """The request does not belong to this owner; `row` is its current row, if known."""

    request_id: str
    row: RequestRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not accepted: the storage is unavailable, and nothing was written."""

    request_id: str
    retry_after: datetime.timedelta | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The first `length` tokens of the request are durable."""

    request_id: str
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The request's final row is durable."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The owner is fenced, and other processes may adopt its requests.

    `lost` are the ids of its durable requests; `unwritten` are new ones that never became durable.
    """

    lost: tuple[str, ...]
    unwritten: tuple[RequestRow, ...]


Result = Owned | OwnedElsewhere | Refused | Committed | Closed | Fenced


class Stage(enum.Enum):
    """How far an owner's request has been written."""

    NEW = "new"  # its first write is not yet confirmed
    OPEN = "open"  # written, unfinished
    ENDING = "ending"  # finished; its final row is not yet written


@attrs.define
class OpenRequest:
    """An owner's request.

    Attributes:
      row: The row to write.
      expected_version: The version that the row must have for the first write.
      previous: The owner from which it is adopted; None for a new request.
      stage: How far it has been written.
      tokens: All tokens so far.
      durable: The number of tokens that are durable.
      model_version: The model version that generated the tokens.
    """

    row: RequestRow
    expected_version: int
    previous: str | None
    stage: Stage = Stage.NEW
    tokens: list[str] = attrs.field(factory=list)
    durable: int = 0
    model_version: str = ""


@attrs.frozen
class Batch:
    """One transaction and what it changes.

    Attributes:
      name: A name that is never used again.
      writes: The writes of the transaction.
      added: Ids of the requests that it adds to this owner.
      lengths: By request id, the number of tokens that are durable after it, and their model
        version.
      closed: Ids of the requests whose final row it writes.
      removed_segments: Numbers of the segments that it removes.
      removes_owner: Whether it removes the owner's row, as no requests are left.
    """

    name: str
    writes: tuple[Write, ...]
    added: tuple[str, ...]
    lengths: typing.Mapping[str, tuple[int, str]]
    closed: tuple[str, ...]
    removed_segments: tuple[int, ...]
    removes_owner: bool = False


class OwnerLog:
    """One owner's requests, and which of their changes are still to be written.

    Args:
      owner: The owner's id, which is never used again.
      new_name: Returns a new unique name at each call.
    """

    def __init__(self, owner: str, new_name: typing.Callable[[], str]):
        self.owner = owner
        self.requests: dict[str, OpenRequest] = {}
        self.in_doubt = False
        self.fenced = False
        self._new_name = new_name
        self._row_version = 0
        self._batch: Batch | None = None
        self._next_segment = 0
        self._segments: dict[int, set[str]] = {}
        self._releasing = False

    # Changes to requests

    def add(
        self,
        row: RequestRow,
        tokens: tuple[str, ...] = (),
        expected_version: int = 0,
        previous: str | None = None,
    ) -> None:
        """Adds a request; the next batch with room for it writes it.

        Args:
          row: The row to write.
          tokens: The tokens generated so far; the row holds them, or names the object that
            does.
          expected_version: The version that the row must have; 0 if it must be absent.
          previous: The owner from which it is adopted; None for a new request.
        """
        row = attrs.evolve(row, owner=self.owner)
        self.requests[row.request.request_id] = OpenRequest(
            row,
            expected_version,
            previous,
            tokens=list(tokens),
            durable=len(tokens),
            model_version=row.version,
        )

    def append(self, request_id: str, tokens: tuple[str, ...]) -> None:
        """Appends generated tokens."""
        self.requests[request_id].tokens.extend(tokens)

    def set_model_version(self, request_id: str, version: str) -> None:
        """Sets the model version that generates the tokens; drops the tokens of another version."""
        record = self.requests[request_id]
        if record.model_version != version:
            record.model_version = version
            record.tokens.clear()
            record.durable = 0

    def close(self, request_id: str, row: RequestRow) -> None:
        """Finishes a request; the next batch writes its final row."""
        record = self.requests[request_id]
        record.row = attrs.evolve(row, owner=self.owner)
        record.stage = Stage.ENDING

    def release(self) -> None:
        """Releases all requests with the next batch; other processes may adopt them at once."""
        self._releasing = True

    def is_durable(self, request_id: str) -> bool:
        """Whether a request of this owner is durable."""
        return self.requests[request_id].stage is not Stage.NEW

    @property
    def is_idle(self) -> bool:
        """Whether the owner has no requests and no row in the tables."""
        return not self.requests and self._row_version == 0 and self._batch is None

    # Batches

    def next_batch(self, interval: datetime.timedelta) -> Batch | None:
        """Returns the batch to send now; None if there is nothing to write.

        Args:
          interval: The maximum time between two writes of this owner.
        """
        if self._batch is not None:
            return self._batch
        if self.fenced or self.is_idle:
            return None
        self._batch = self._make_batch(interval) if self.requests else self._make_last_batch()
        return self._batch

    def handle_outcome(self, outcome: Ok | Conflict | Unavailable | AnswerLost) -> list[Result]:
        """Applies the outcome of the batch that was sent last."""
        batch = self._batch
        match outcome:
            case Ok(versions):
                return self._apply(batch, versions[OWNERS, self.owner])
            case Conflict(current):
                return self._on_conflict(batch, current)
            case AnswerLost():
                self.in_doubt = True
                return []
            case Unavailable(_, retry_after):
                return self._refuse(batch, retry_after)
        raise ValueError(f"unexpected outcome of a journal write: {outcome}")

    def _make_batch(self, interval):
        name = self._new_name()
        owner = OwnerRow(name, interval, fenced=self._releasing)
        writes = [Write(OWNERS, self.owner, encode_owner(owner), self._row_version)]
        added, closed, lengths, segment = [], [], {}, {}
        for request_id, record in self.requests.items():
            if record.stage is Stage.NEW:
                if len(added) < MAX_ADDED_PER_BATCH:
                    added.append(request_id)
                    writes.extend(self._adding_writes(request_id, record))
                continue
            if record.stage is Stage.ENDING:
                closed.append(request_id)
                writes.extend(self._closing_writes(request_id, record))
            elif len(record.tokens) > record.durable:
                new_tokens = record.tokens[record.durable :]
                segment[request_id] = [record.durable, new_tokens, record.model_version]
                lengths[request_id] = (len(record.tokens), record.model_version)
        if segment:
            writes.append(Write(SEGMENTS, segment_key(self.owner, self._next_segment), segment))
        removed_segments = [number for number, ids in self._segments.items() if not ids]
        writes.extend(Write(SEGMENTS, segment_key(self.owner, n), None) for n in removed_segments)
        return Batch(
            name, tuple(writes), tuple(added), lengths, tuple(closed), tuple(removed_segments)
        )

    def _make_last_batch(self):
        writes = [Write(OWNERS, self.owner, None, self._row_version)]
        removed_segments = tuple(self._segments)
        writes.extend(Write(SEGMENTS, segment_key(self.owner, n), None) for n in removed_segments)
        return Batch(
            self._new_name(), tuple(writes), (), {}, (), removed_segments, removes_owner=True
        )

    def _adding_writes(self, request_id, record):
        yield Write(REQUESTS, request_id, encode_request(record.row), record.expected_version)
        yield Write(OPEN, open_key(self.owner, request_id), 1)
        if record.previous is not None:
            yield Write(OPEN, open_key(record.previous, request_id), None)

    def _closing_writes(self, request_id, record):
        yield Write(REQUESTS, request_id, encode_request(record.row))
        yield Write(OPEN, open_key(self.owner, request_id), None)

    # Outcomes of a batch

    def _apply(self, batch, version):
        self._row_version = version
        self._batch = None
        self.in_doubt = False
        self.fenced = self.fenced or self._releasing
        for number in batch.removed_segments:
            del self._segments[number]
        return [*self._mark_added(batch), *self._mark_durable(batch), *self._remove_closed(batch)]

    def _mark_added(self, batch):
        for request_id in batch.added:
            record = self.requests[request_id]
            # A request that finished while its first write was in flight stays ENDING.
            record.stage = Stage.OPEN if record.stage is Stage.NEW else record.stage
            yield Owned(request_id)

    def _mark_durable(self, batch):
        if batch.lengths:
            self._segments[self._next_segment] = set(batch.lengths)
            self._next_segment += 1
        for request_id, (length, version) in batch.lengths.items():
            if self.requests[request_id].model_version == version:
                self.requests[request_id].durable = length
                yield Committed(request_id, length)

    def _remove_closed(self, batch):
        for request_id in batch.closed:
            del self.requests[request_id]
            for ids in self._segments.values():
                ids.discard(request_id)
            yield Closed(request_id)

    def _on_conflict(self, batch, current):
        own = current.get((OWNERS, self.owner))
        if own is not None:
            row = decode_owner(own)
            if row is None and batch.removes_owner:
                return self._apply(batch, 0)
            if row is not None and row.batch == batch.name:
                # The batch took effect, even if the owner has been fenced since.  If it was fenced,
                # the row's old version is kept, so that the next batch conflicts and detects the
                # fencing.
                return self._apply(batch, own.version if not row.fenced else self._row_version)
            return self._on_fenced()
        return list(self._drop_owned_elsewhere(batch, current))

    def _drop_owned_elsewhere(self, batch, current):
        """Removes the requests that other owners have; the next batch sends the rest again."""
        self._batch = None
        self.in_doubt = False
        for request_id in batch.added:
            row = current.get((REQUESTS, request_id))
            if row is not None:
                del self.requests[request_id]
                yield OwnedElsewhere(request_id, decode_request(row))

    def _refuse(self, batch, retry_after):
        if self.in_doubt:
            return []
        self._batch = None
        refused = []
        for request_id in batch.added:
            record = self.requests.pop(request_id)
            # A claimed request is already durable, whichever process adopts it.
            is_claim = record.previous is not None
            refused.append(
                OwnedElsewhere(request_id, record.row)
                if is_claim
                else Refused(request_id, retry_after)
            )
        return refused

    def _on_fenced(self):
        self.fenced = True
        self._batch = None
        new = {request_id: r for request_id, r in self.requests.items() if r.stage is Stage.NEW}
        unwritten = tuple(r.row for r in new.values() if r.previous is None)
        failed_claims = [
            OwnedElsewhere(request_id, r.row)
            for request_id, r in new.items()
            if r.previous is not None
        ]
        lost = tuple(
            request_id for request_id, r in self.requests.items() if r.stage is not Stage.NEW
        )
        self.requests.clear()
        return [*failed_claims, Fenced(lost, unwritten)]
