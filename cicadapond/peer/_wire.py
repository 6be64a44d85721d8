"""Messages between processes, and their encoding as versioned msgpack arrays.

Bytes that do not decode to a message of this version are garbage: `decode` returns None for them
and the caller counts them.  Message types are numbered by their index in `_MESSAGE_TYPES` and
fields are packed by position: the order of both is part of the protocol.
"""

import attrs
import msgpack

WIRE_VERSION = 2
MAX_MESSAGE_BYTES = 64 * 1024
MAX_UPDATE_ITEMS = 400


@attrs.frozen(slots=True)
class Identity:
    """An entry of the membership list: a process and its state as the sender knows it."""

    name: str
    zone: str
    role: str
    host: str
    port: int
    incarnation: int
    state: str


@attrs.frozen(slots=True)
class Hello:
    """The first message on a connection, from both ends, unless it carries a query."""

    identity: Identity


@attrs.frozen(slots=True)
class Heartbeat:
    """A heartbeat; the other end acknowledges it on the same connection."""

    number: int


@attrs.frozen(slots=True)
class Ack:
    """Acknowledges a heartbeat.

    `zone_ages_ms` has, for each data centre to which the sender is connected directly, the
    milliseconds since it sent the heartbeat that was last acknowledged from there, and since it
    last acknowledged one from there; -1 for never.
    """

    number: int
    zone_ages_ms: dict


@attrs.frozen(slots=True)
class Change:
    """Items of one member's document: (section, key, version, value); None deletes.

    They are all that changed above version `base` up to `top`.  A receiver with a version below
    `floor` first drops its copy: deletions up to there are no longer listed.
    """

    name: str
    incarnation: int
    wide: bool
    floor: int
    base: int
    top: int
    items: list


@attrs.frozen(slots=True)
class Update:
    """Entries of the membership list, and changes of members' documents."""

    members: list
    changes: list


@attrs.frozen(slots=True)
class Sync:
    """Asks for everything newer than the listed versions.

    `versions` maps a member's name to [incarnation, state, version of its wide document, version
    of its local document].  The request covers all members of `zone`, of all data centres if it is
    None, or just the listed members if `listed_only`.
    """

    zone: str | None
    versions: dict
    listed_only: bool = False


@attrs.frozen(slots=True)
class Summary:
    """A checksum of the live members per data centre; the receiver asks about differing ones."""

    checksums: dict


@attrs.frozen(slots=True)
class ProbeRequest:
    """Asks whether the receiver has contact with a member that does not answer the sender."""

    target: str


@attrs.frozen(slots=True)
class ProbeReply:
    """Answers `ProbeRequest`.

    `age_ms` is the milliseconds since the sender's last contact with the member, None if unknown.
    """

    target: str
    age_ms: int | None


@attrs.frozen(slots=True)
class Query:
    """A query about a topic, on a connection of its own."""

    topic: str
    payload: object


@attrs.frozen(slots=True)
class QueryReply:
    """A part of the answer to a `Query`: packed bytes, and whether it is the last part."""

    last: bool
    part: bytes


_MESSAGE_TYPES = (
    Hello,
    Heartbeat,
    Ack,
    Update,
    Sync,
    ProbeRequest,
    ProbeReply,
    Query,
    QueryReply,
    Summary,
)
_TYPE_NUMBERS = {kind: number for number, kind in enumerate(_MESSAGE_TYPES)}
_STATES = frozenset(("alive", "suspect", "left", "dead"))


def encode_bounded(message) -> list[bytes]:
    """Returns a message as bytes of at most `MAX_MESSAGE_BYTES`, an update as several if need be.

    A single item that is larger is returned as it is.
    """
    body = encode(message)
    halves = _halves(message) if len(body) > MAX_MESSAGE_BYTES else None
    if halves is None:
        return [body]
    return [each for half in halves for each in encode_bounded(half)]


def _halves(message):
    """Returns the two halves of an update, in order; None if it cannot be split."""
    match message:
        case Update(members=[], changes=[change]) if len(change.items) > 1:
            middle = len(change.items) // 2
            first, second = change.items[:middle], change.items[middle:]
            between = first[-1][2]  # the version of the last item
            return (
                Update([], [attrs.evolve(change, items=first, top=between)]),
                Update([], [attrs.evolve(change, items=second, base=between)]),
            )
        case Update(members=members, changes=changes) if len(changes) > 1:
            middle = len(changes) // 2
            return Update(members, changes[:middle]), Update([], changes[middle:])
        case Update(members=[_, *_] as members, changes=[_] as changes):
            return Update(members, []), Update([], changes)
    return None


def encode(message) -> bytes:
    """Returns a message as bytes."""
    match message:
        case Hello(identity):
            fields = (_identity_fields(identity),)
        case Heartbeat(number):
            fields = (number,)
        case Ack(number, zone_ages_ms):
            fields = (number, zone_ages_ms)
        case Update(members, changes):
            fields = (
                [_identity_fields(member) for member in members],
                [attrs.astuple(change, recurse=False) for change in changes],
            )
        case Sync(zone, versions, listed_only):
            fields = (zone, versions, listed_only)
        case ProbeRequest(target):
            fields = (target,)
        case ProbeReply(target, age_ms):
            fields = (target, age_ms)
        case Query(topic, payload):
            fields = (topic, payload)
        case QueryReply(last, part):
            fields = (last, part)
        case Summary(checksums):
            fields = (checksums,)
    return msgpack.packb((WIRE_VERSION, _TYPE_NUMBERS[type(message)], *fields))


def decode(body: bytes):
    """Returns the message that some bytes encode, or None if they are garbage."""
    try:
        version, number, *fields = msgpack.unpackb(body, strict_map_key=False)
        if version != WIRE_VERSION:
            return None
        return _DECODERS[number](*fields)
    except Exception:  # malformed input can raise anything in the decoder
        return None


def _identity_fields(identity):
    return (
        identity.name,
        identity.zone,
        identity.role,
        identity.host,
        identity.port,
        identity.incarnation,
        identity.state,
    )


def _decode_identity(fields):
    name, zone, role, host, port, incarnation, state = fields
    _require(all(isinstance(text, str) for text in (name, zone, role, host)))
    _require(isinstance(port, int) and isinstance(incarnation, int) and state in _STATES)
    return Identity(name, zone, role, host, port, incarnation, state)


def _decode_change(fields):
    name, incarnation, wide, floor, base, top, items = fields
    _require(isinstance(name, str))
    _require(all(isinstance(number, int) for number in (incarnation, floor, base, top)))
    for section, key, version, _ in items:
        _require(isinstance(section, int) and isinstance(key, str) and isinstance(version, int))
    return Change(name, incarnation, bool(wide), floor, base, top, items)


def _decode_hello(identity):
    return Hello(_decode_identity(identity))


def _decode_heartbeat(number):
    _require(isinstance(number, int))
    return Heartbeat(number)


def _decode_ack(number, zone_ages_ms):
    _require(isinstance(number, int))
    for zone, (heard_ms, acked_ms) in zone_ages_ms.items():
        _require(isinstance(zone, str) and isinstance(heard_ms, int) and isinstance(acked_ms, int))
    return Ack(number, zone_ages_ms)


def _decode_update(members, changes):
    return Update(
        [_decode_identity(fields) for fields in members],
        [_decode_change(fields) for fields in changes],
    )


def _decode_sync(zone, versions, listed_only):
    _require(zone is None or isinstance(zone, str))
    for incarnation, state, wide, local in versions.values():
        _require(all(isinstance(number, int) for number in (incarnation, wide, local)))
        _require(state in _STATES)
    return Sync(zone, versions, bool(listed_only))


def _decode_probe_request(target):
    _require(isinstance(target, str))
    return ProbeRequest(target)


def _decode_probe_reply(target, age_ms):
    _require(isinstance(target, str) and (age_ms is None or isinstance(age_ms, int)))
    return ProbeReply(target, age_ms)


def _decode_query(topic, payload):
    _require(isinstance(topic, str))
    return Query(topic, payload)


def _decode_query_reply(last, part):
    _require(isinstance(last, bool) and isinstance(part, bytes))
    return QueryReply(last, part)


def _decode_summary(checksums):
    for zone, checksum in checksums.items():
        _require(isinstance(zone, str) and isinstance(checksum, int))
    return Summary(checksums)


_DECODERS = (
    _decode_hello,
    _decode_heartbeat,
    _decode_ack,
    _decode_update,
    _decode_sync,
    _decode_probe_request,
    _decode_probe_reply,
    _decode_query,
    _decode_query_reply,
    _decode_summary,
)


def _require(condition):
    if not condition:
        raise ValueError("a field has the wrong type")
