"""One owner's part of the journal, as a state machine without I/O.

Everything that the owner writes goes in batches, one transaction at a time, each conditional on
the owner's row as its last batch left it.  A batch whose answer was lost is sent again as it was;
if it had taken effect, the owner's row bears its name.  A conflict over the owner's row that
bears another name means that the owner is fenced, and nothing more takes effect.
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

TAKEN_LIMIT = 64  # requests taken on by one transaction

# Results


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """The request is durable and this owner's."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The request is not this owner's; `row` is how it stands."""

    request_id: str
    row: RequestRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not taken: the storage is out, and nothing took effect."""

    request_id: str
    retry_after: datetime.timedelta | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """So many tokens of the request are durable."""

    request_id: str
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The request's end is durable."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """Another process has taken this owner's requests over.

    `lost` are the ids of its requests; `unwritten` are new ones that never became durable.
    """

    lost: tuple[str, ...]
    unwritten: tuple[RequestRow, ...]


Result = Owned | Taken | Refused | Committed | Closed | Fenced


class Stage(enum.Enum):
    """How far a request of the owner is."""

    NEW = "new"  # not yet written
    OPEN = "open"  # written
    ENDING = "ending"  # its end is not yet written


@attrs.define
class OpenRequest:
    """A request of the owner.

    Attributes:
      row: As it should stand.
      expected: The version that it must have for the first write.
      previous: The owner that it is taken over from.
      stage: How far it is.
      tokens: All tokens so far.
      durable: How many of them are written.
      version: The model version that gave them.
    """

    row: RequestRow
    expected: int
    previous: str | None
    stage: Stage = Stage.NEW
    tokens: list[str] = attrs.field(factory=list)
    durable: int = 0
    version: str = ""


@attrs.frozen
class Batch:
    """One transaction and what it means.

    Attributes:
      name: Unique for ever.
      writes: The transaction.
      taken: Ids of requests that it takes on.
      lengths: How many tokens of each request it makes durable, and of which version.
      closed: Ids of requests whose end it writes.
      dropped: Numbers of the segments that it removes.
      retires: Whether it removes the owner, which has nothing left.
    """

    name: str
    writes: tuple[Write, ...]
    taken: tuple[str, ...]
    lengths: typing.Mapping[str, tuple[int, str]]
    closed: tuple[str, ...]
    dropped: tuple[int, ...]
    retires: bool = False


class OwnerLog:
    """What one owner has, has written, and has still to write.

    Args:
      owner: The owner's id, unique for ever.
      names: Returns a new unique name at each call.
    """

    def __init__(self, owner: str, names: typing.Callable[[], str]):
        self.owner = owner
        self.requests: dict[str, OpenRequest] = {}
        self.in_doubt = False
        self.fenced = False
        self._names = names
        self._version = 0
        self._batch: Batch | None = None
        self._segment = 0
        self._segments: dict[int, set[str]] = {}
        self._releasing = False

    # What the process does with its requests

    def take(
        self,
        row: RequestRow,
        tokens: tuple[str, ...] = (),
        expected: int = 0,
        previous: str | None = None,
    ) -> None:
        """Takes a request on with the next batch.

        Args:
          row: As it should stand.
          tokens: What is generated already; the row holds it or names its object.
          expected: The version that the row must have.
          previous: The owner that it is taken over from.
        """
        row = attrs.evolve(row, owner=self.owner)
        self.requests[row.request.request_id] = OpenRequest(
            row,
            expected,
            previous,
            tokens=list(tokens),
            durable=len(tokens),
            version=row.version,
        )

    def append(self, request_id: str, tokens: tuple[str, ...]) -> None:
        """Adds generated tokens."""
        self.requests[request_id].tokens.extend(tokens)

    def begin(self, request_id: str, version: str) -> None:
        """Notes which model version gives the tokens; those of another one are dropped."""
        found = self.requests[request_id]
        if found.version != version:
            found.version = version
            found.tokens.clear()
            found.durable = 0

    def end(self, request_id: str, row: RequestRow) -> None:
        """Writes a request's end with the next batch."""
        found = self.requests[request_id]
        found.row = attrs.evolve(row, owner=self.owner)
        found.stage = Stage.ENDING

    def release(self) -> None:
        """Gives all requests up with the next batch; others may take them at once."""
        self._releasing = True

    def is_durable(self, request_id: str) -> bool:
        """Whether a request of this owner is written."""
        return self.requests[request_id].stage is not Stage.NEW

    @property
    def is_idle(self) -> bool:
        """Whether nothing of this owner is in the tables."""
        return not self.requests and self._version == 0 and self._batch is None

    # Batches

    def next_batch(self, interval: datetime.timedelta) -> Batch | None:
        """Returns the batch to send now; None if there is nothing to write.

        Args:
          interval: How often this owner writes.
        """
        if self._batch is not None:
            return self._batch
        if self.fenced or self.is_idle:
            return None
        self._batch = self._make_batch(interval) if self.requests else self._make_last_batch()
        return self._batch

    def on(self, outcome: Ok | Conflict | Unavailable | AnswerLost) -> list[Result]:
        """Takes what became of the batch that was sent last."""
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
        raise ValueError(f"a batch cannot come to {outcome}")

    def _make_batch(self, interval):
        name = self._names()
        owner = OwnerRow(name, interval, fenced=self._releasing)
        writes = [Write(OWNERS, self.owner, encode_owner(owner), self._version)]
        taken, closed, lengths, segment = [], [], {}, {}
        for request_id, found in self.requests.items():
            if found.stage is Stage.NEW:
                if len(taken) < TAKEN_LIMIT:
                    taken.append(request_id)
                    writes.extend(self._taking_writes(request_id, found))
                continue
            if found.stage is Stage.ENDING:
                closed.append(request_id)
                writes.extend(self._ending_writes(request_id, found))
            elif len(found.tokens) > found.durable:
                fresh = found.tokens[found.durable :]
                segment[request_id] = [found.durable, fresh, found.version]
                lengths[request_id] = (len(found.tokens), found.version)
        if segment:
            writes.append(Write(SEGMENTS, segment_key(self.owner, self._segment), segment))
        dropped = [number for number, ids in self._segments.items() if not ids]
        writes.extend(Write(SEGMENTS, segment_key(self.owner, n), None) for n in dropped)
        return Batch(name, tuple(writes), tuple(taken), lengths, tuple(closed), tuple(dropped))

    def _make_last_batch(self):
        writes = [Write(OWNERS, self.owner, None, self._version)]
        dropped = tuple(self._segments)
        writes.extend(Write(SEGMENTS, segment_key(self.owner, n), None) for n in dropped)
        return Batch(self._names(), tuple(writes), (), {}, (), dropped, retires=True)

    def _taking_writes(self, request_id, found):
        yield Write(REQUESTS, request_id, encode_request(found.row), found.expected)
        yield Write(OPEN, open_key(self.owner, request_id), 1)
        if found.previous is not None:
            yield Write(OPEN, open_key(found.previous, request_id), None)

    def _ending_writes(self, request_id, found):
        yield Write(REQUESTS, request_id, encode_request(found.row))
        yield Write(OPEN, open_key(self.owner, request_id), None)

    # What became of a batch

    def _apply(self, batch, version):
        self._version = version
        self._batch = None
        self.in_doubt = False
        self.fenced = self.fenced or self._releasing
        for number in batch.dropped:
            del self._segments[number]
        return [*self._note_taken(batch), *self._note_tokens(batch), *self._note_closed(batch)]

    def _note_taken(self, batch):
        for request_id in batch.taken:
            found = self.requests[request_id]
            # A request that ended while its first write was on its way stays ending.
            found.stage = Stage.OPEN if found.stage is Stage.NEW else found.stage
            yield Owned(request_id)

    def _note_tokens(self, batch):
        if batch.lengths:
            self._segments[self._segment] = set(batch.lengths)
            self._segment += 1
        for request_id, (length, version) in batch.lengths.items():
            if self.requests[request_id].version == version:
                self.requests[request_id].durable = length
                yield Committed(request_id, length)

    def _note_closed(self, batch):
        for request_id in batch.closed:
            del self.requests[request_id]
            for ids in self._segments.values():
                ids.discard(request_id)
            yield Closed(request_id)

    def _on_conflict(self, batch, current):
        own = current.get((OWNERS, self.owner))
        if own is not None:
            row = decode_owner(own)
            if row is None and batch.retires:
                return self._apply(batch, 0)
            if row is not None and row.batch == batch.name:
                # Even fenced since: what it wrote holds, and the next batch meets the fence.
                return self._apply(batch, own.version if not row.fenced else self._version)
            return self._lose_all()
        return list(self._drop_taken(batch, current))

    def _drop_taken(self, batch, current):
        """Leaves out the requests that others have; the rest goes again."""
        self._batch = None
        self.in_doubt = False
        for request_id in batch.taken:
            row = current.get((REQUESTS, request_id))
            if row is not None:
                del self.requests[request_id]
                yield Taken(request_id, decode_request(row))

    def _refuse(self, batch, retry_after):
        if self.in_doubt:
            return []
        self._batch = None
        refused = []
        for request_id in batch.taken:
            found = self.requests.pop(request_id)
            # A request of another owner is durable already, whoever takes it over.
            claim = found.previous is not None
            refused.append(
                Taken(request_id, found.row) if claim else Refused(request_id, retry_after)
            )
        return refused

    def _lose_all(self):
        self.fenced = True
        self._batch = None
        new = {name: r for name, r in self.requests.items() if r.stage is Stage.NEW}
        unwritten = tuple(r.row for r in new.values() if r.previous is None)
        claims = [Taken(name, r.row) for name, r in new.items() if r.previous is not None]
        lost = tuple(name for name, r in self.requests.items() if r.stage is not Stage.NEW)
        self.requests.clear()
        return [*claims, Fenced(lost, unwritten)]
