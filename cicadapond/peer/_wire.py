"""Messages between processes, and their encoding as versioned msgpack arrays.

Whatever does not decode to a message of this version is garbage: `decode` returns None for it and
the caller counts it.
"""

import attrs
import msgpack

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024
MAX_NEWS_ITEMS = 400


@attrs.frozen(slots=True)
class Identity:
    """Who a process is and what is believed of it: a line of the membership list."""

    name: str
    zone: str
    role: str
    host: str
    port: int
    incarnation: int
    state: str


@attrs.frozen(slots=True)
class Hello:
    """The first message on a connection, from both ends."""

    identity: Identity


@attrs.frozen(slots=True)
class Beat:
    """A heartbeat; the other end acknowledges it on the same connection."""

    number: int


@attrs.frozen(slots=True)
class Ack:
    """Acknowledges a heartbeat.

    `zone_ages` has, for each data centre that the sender hears directly, the milliseconds since
    it sent the heartbeat that was last acknowledged from there, and since it last acknowledged
    one from there; -1 for never.
    """

    number: int
    zone_ages: dict


@attrs.frozen(slots=True)
class Change:
    """Items of one member's document: (section, key, version, value); None deletes.

    They are all that changed above version `base` up to `top`.  Whoever has a version below
    `floor` drops what it has first: deletions up to there are no longer listed.
    """

    name: str
    incarnation: int
    wide: bool
    floor: int
    base: int
    top: int
    items: list


@attrs.frozen(slots=True)
class News:
    """Members and changes of their documents."""

    members: list
    changes: list


@attrs.frozen(slots=True)
class Sync:
    """Asks for everything newer than the listed versions.

    `versions` maps a member's name to [incarnation, state, version of its wide document, version
    of its local document].  The question is about all members of `zone`, of all data centres if
    it is None, or about just the listed ones if `listed_only`.
    """

    zone: str | None
    versions: dict
    listed_only: bool = False


@attrs.frozen(slots=True)
class Summary:
    """A checksum of the membership list of each data centre; differences are asked for."""

    checksums: dict


@attrs.frozen(slots=True)
class ProbeRequest:
    """Asks whether the receiver hears a member that the sender does not."""

    target: str


@attrs.frozen(slots=True)
class ProbeReply:
    """Answers `ProbeRequest`: milliseconds since the member last answered, None if unknown."""

    target: str
    age: int | None


@attrs.frozen(slots=True)
class Ask:
    """A question about a topic, on a connection of its own."""

    topic: str
    payload: object


@attrs.frozen(slots=True)
class Answer:
    """A part of the answer to `Ask`: packed bytes, and whether it is the last part."""

    last: bool
    part: bytes


_KINDS = (Hello, Beat, Ack, News, Sync, ProbeRequest, ProbeReply, Ask, Answer, Summary)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_STATES = frozenset(("alive", "suspect", "left", "dead"))


def encode(message) -> bytes:
    """Returns a message as bytes."""
    match message:
        case Hello(identity):
            fields = (_identity_fields(identity),)
        case Beat(number):
            fields = (number,)
        case Ack(number, zone_ages):
            fields = (number, zone_ages)
        case News(members, changes):
            fields = (
                [_identity_fields(member) for member in members],
                [attrs.astuple(change, recurse=False) for change in changes],
            )
        case Sync(zone, versions, listed_only):
            fields = (zone, versions, listed_only)
        case ProbeRequest(target):
            fields = (target,)
        case ProbeReply(target, age):
            fields = (target, age)
        case Ask(topic, payload):
            fields = (topic, payload)
        case Answer(last, part):
            fields = (last, part)
        case Summary(checksums):
            fields = (checksums,)
    return msgpack.packb((WIRE_VERSION, _NUMBERS[type(message)], *fields))


def decode(body: bytes):
    """Returns the message that some bytes encode, or None if they are garbage."""
    try:
        version, number, *fields = msgpack.unpackb(body, strict_map_key=False)
        if version != WIRE_VERSION:
            return None
        return _DECODERS[number](*fields)
    except Exception:  # bytes from the wire may break the decoder in any way
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


def _identity(fields):
    name, zone, role, host, port, incarnation, state = fields
    _expect(all(isinstance(text, str) for text in (name, zone, role, host)))
    _expect(isinstance(port, int) and isinstance(incarnation, int) and state in _STATES)
    return Identity(name, zone, role, host, port, incarnation, state)


def _change(fields):
    name, incarnation, wide, floor, base, top, items = fields
    _expect(isinstance(name, str))
    _expect(all(isinstance(number, int) for number in (incarnation, floor, base, top)))
    for section, key, version, _ in items:
        _expect(isinstance(section, int) and isinstance(key, str) and isinstance(version, int))
    return Change(name, incarnation, bool(wide), floor, base, top, items)


def _hello(identity):
    return Hello(_identity(identity))


def _beat(number):
    _expect(isinstance(number, int))
    return Beat(number)


def _ack(number, zone_ages):
    _expect(isinstance(number, int))
    for zone, (heard, answered) in zone_ages.items():
        _expect(isinstance(zone, str) and isinstance(heard, int) and isinstance(answered, int))
    return Ack(number, zone_ages)


def _news(members, changes):
    return News([_identity(fields) for fields in members], [_change(fields) for fields in changes])


def _sync(zone, versions, listed_only):
    _expect(zone is None or isinstance(zone, str))
    for incarnation, state, wide, local in versions.values():
        _expect(all(isinstance(number, int) for number in (incarnation, wide, local)))
        _expect(state in _STATES)
    return Sync(zone, versions, bool(listed_only))


def _probe_request(target):
    _expect(isinstance(target, str))
    return ProbeRequest(target)


def _probe_reply(target, age):
    _expect(isinstance(target, str) and (age is None or isinstance(age, int)))
    return ProbeReply(target, age)


def _ask(topic, payload):
    _expect(isinstance(topic, str))
    return Ask(topic, payload)


def _answer(last, part):
    _expect(isinstance(last, bool) and isinstance(part, bytes))
    return Answer(last, part)


def _summary(checksums):
    for zone, checksum in checksums.items():
        _expect(isinstance(zone, str) and isinstance(checksum, int))
    return Summary(checksums)


_DECODERS = (
    _hello,
    _beat,
    _ack,
    _news,
    _sync,
    _probe_request,
    _probe_reply,
    _ask,
    _answer,
    _summary,
)


def _expect(holds):
    if not holds:
        raise ValueError("a field has the wrong type")
