"""Records of other processes in the membership list, and the order of their versions."""

import datetime
import typing

import attrs

from cicadapond.data import Endpoint
from cicadapond.peer._api import Digest, Member, MemberState
from cicadapond.peer._documents import Document, read_digest
from cicadapond.peer._wire import Identity

# An incarnation is the start time in Unix milliseconds, shifted left by this many bits, plus the
# count of refutations.
REFUTATION_BITS = 16
LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
# Versions of an unknown member: incarnation, state, version of its wide and its local document.
NOTHING_KNOWN = (0, MemberState.ALIVE.value, 0, 0)
_STATE_ORDER = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
_ZERO = datetime.timedelta()

# Outputs of the state machine, for its task to carry out


@attrs.frozen(slots=True)
class Send:
    """Send a message to each of these members, on the connection that this process dialled."""

    names: tuple[str, ...]
    message: typing.Any


@attrs.frozen(slots=True)
class Redial:
    """Close the silent connection that this process dialled to a member, and dial again."""

    name: str


@attrs.define
class Record:
    """What is known of one other process.

    `reported_alive_at` is the latest monotonic time at which another member, when probed, reported
    contact with it, initially the time at which this start of the process became known;
    `requested_at` is when missing changes of its documents were last requested.
    """

    name: str
    zone: str
    role: str
    endpoint: Endpoint
    incarnation: int
    state: MemberState
    state_since: datetime.timedelta
    last_heard: datetime.timedelta
    reported_alive_at: datetime.timedelta = _ZERO
    probed_at: datetime.timedelta = _ZERO
    requested_at: datetime.timedelta = _ZERO
    local: Document = attrs.field(factory=Document)
    wide: Document = attrs.field(factory=Document)
    digest: Digest | None = None

    def identity(self) -> Identity:
        """Returns the member's entry in the membership list."""
        host, port = self.endpoint.host, self.endpoint.port
        state = self.state.value
        return Identity(self.name, self.zone, self.role, host, port, self.incarnation, state)

    def member(self) -> Member:
        """Returns the record as other modules see it."""
        if self.digest is None:
            self.digest = read_digest(self.local, self.wide)
        version = self.local.version + self.wide.version
        return Member(
            self.name,
            self.zone,
            self.role,
            self.incarnation,
            self.state,
            self.last_heard,
            version,
            self.digest,
            self.endpoint,
        )


@attrs.define
class LinkState:
    """The connection that this process dialled to one member.

    `sent_at` has the monotonic send times of recent heartbeats by number, `acked_sent_at` the send
    time of the last acknowledged one.
    """

    up_since: datetime.timedelta
    zone: str
    last_number: int = 0
    sent_at: dict = attrs.field(factory=dict)
    acked_sent_at: datetime.timedelta | None = None


@attrs.define
class PendingUpdates:
    """Updates queued for one group of connections: its own data centre, or the others.

    Attributes:
      members: The names of members whose entries changed.
      documents: By (name, wide) of a changed document, the version above which it is sent.
      prompt: The documents that are sent even while others are held.
      urgent: Whether any of them must not wait for the next heartbeat.
    """

    members: dict = attrs.field(factory=dict)
    documents: dict = attrs.field(factory=dict)
    prompt: set = attrs.field(factory=set)
    urgent: bool = False

    def has_prompt(self) -> bool:
        """Returns whether something is to be sent even while updates are held."""
        return bool(self.members or self.prompt)

    def take(self, held: bool) -> tuple[list, dict]:
        """Removes and returns the members and documents to send now.

        Args:
          held: Whether to leave all but the prompt documents.
        """
        members = list(self.members)
        taken = {
            key: base for key, base in self.documents.items() if not held or key in self.prompt
        }
        for key in taken:
            del self.documents[key]
        self.members.clear()
        self.prompt.clear()
        self.urgent = self.urgent and bool(self.documents)
        return members, taken


# Order of membership entries and versions


def state_precedence(state: str) -> int:
    """Returns the rank of a state; of two with the same incarnation the higher one wins."""
    return _STATE_ORDER.index(MemberState(state))


def precedence(versions) -> tuple[int, int]:
    """Returns the sort key of membership entries, given as versions: the newer one is greater."""
    return versions[0], state_precedence(versions[1])


def is_live(versions) -> bool:
    """Returns whether versions belong to a member that is not dead and has not left."""
    return versions[1] in (MemberState.ALIVE.value, MemberState.SUSPECT.value)


def same_start(incarnation: int, other: int) -> bool:
    """Returns whether two incarnations belong to the same start of a process."""
    return incarnation >> REFUTATION_BITS == other >> REFUTATION_BITS


def start_time_ms(incarnation: int) -> int:
    """Returns the start time of a process from its incarnation, in Unix milliseconds."""
    return incarnation >> REFUTATION_BITS


def supersedes(incarnation: int, state: MemberState, known: Record) -> bool:
    """Returns whether a membership entry is newer than the known one."""
    if incarnation != known.incarnation:
        return incarnation > known.incarnation
    return _STATE_ORDER.index(state) > _STATE_ORDER.index(known.state)


def is_behind(mine, theirs) -> bool:
    """Returns whether another process's versions of a member are newer than those known here."""
    if mine is None:
        return is_live(theirs)
    if precedence(theirs) != precedence(mine):
        return precedence(theirs) > precedence(mine)
    return theirs[2] > mine[2] or theirs[3] > mine[3]
