"""What the membership state machine keeps of others, and how two lines of its list compare."""

import datetime
import typing

import attrs

from cicadapond.data import Endpoint
from cicadapond.peer._api import Digest, Member, MemberState
from cicadapond.peer._documents import Document, read_digest
from cicadapond.peer._wire import Identity

# An incarnation is the start time in milliseconds, shifted, plus the count of refutations.
REFUTATION_BITS = 16
LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
# Versions of a member of which nothing is known: incarnation, state, wide and local version.
NOTHING_KNOWN = (0, MemberState.ALIVE.value, 0, 0)
_STATE_ORDER = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
_ZERO = datetime.timedelta()

# What the state machine asks its task to do


@attrs.frozen(slots=True)
class Send:
    """Send a message on the own connection to each of these members."""

    names: tuple[str, ...]
    message: typing.Any


@attrs.frozen(slots=True)
class Redial:
    """Close the own connection to a member, which has gone silent, and dial anew."""

    name: str


@attrs.define
class Record:
    """What is known of one other process."""

    name: str
    zone: str
    role: str
    endpoint: Endpoint
    incarnation: int
    state: MemberState
    state_since: datetime.timedelta
    heard: datetime.timedelta
    vouched: datetime.timedelta = _ZERO
    probed: datetime.timedelta = _ZERO
    local: Document = attrs.field(factory=Document)
    wide: Document = attrs.field(factory=Document)
    digest: Digest | None = None

    def identity(self) -> Identity:
        """Returns the line of the membership list."""
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
            self.heard,
            version,
            self.digest,
        )


@attrs.define
class LinkState:
    """The own connection to one member: heartbeats sent, and when the last acknowledged left."""

    up_since: datetime.timedelta
    zone: str
    number: int = 0
    sent: dict = attrs.field(factory=dict)
    acked: datetime.timedelta | None = None


@attrs.define
class Pending:
    """News that waits to be sent to the members of one channel."""

    members: dict = attrs.field(factory=dict)
    documents: dict = attrs.field(factory=dict)
    urgent: bool = False


# How lines and versions compare


def order(state: str) -> int:
    """Returns how much a state overrides others of the same incarnation."""
    return _STATE_ORDER.index(MemberState(state))


def line_order(versions) -> tuple[int, int]:
    """Returns what decides which of two versions' lines is newer."""
    return versions[0], order(versions[1])


def is_live(versions) -> bool:
    """Returns whether versions are of a member that is not dead and has not left."""
    return versions[1] in (MemberState.ALIVE.value, MemberState.SUSPECT.value)


def same_start(incarnation: int, other: int) -> bool:
    """Returns whether two incarnations are of the same start of a process."""
    return incarnation >> REFUTATION_BITS == other >> REFUTATION_BITS


def start_of(incarnation: int) -> int:
    """Returns what tells a start of a process from its others, in Unix milliseconds."""
    return incarnation >> REFUTATION_BITS


def newer(incarnation: int, state: MemberState, known: Record) -> bool:
    """Returns whether a line is newer than what is known."""
    if incarnation != known.incarnation:
        return incarnation > known.incarnation
    return _STATE_ORDER.index(state) > _STATE_ORDER.index(known.state)


def lacks(mine, theirs) -> bool:
    """Returns whether somebody else's versions of a member show that something is missing."""
    if mine is None:
        return is_live(theirs)
    if line_order(theirs) != line_order(mine):
        return line_order(theirs) > line_order(mine)
    return theirs[2] > mine[2] or theirs[3] > mine[3]
