"""Parses and builds the platform's HTTP headers."""

import datetime
import math
import typing

from cicadapond.forwarding import HeaderCodec, Malformed
from cicadapond.provider import MAX_ERA
from cicadapond.serving import CallerRequest, Generation, LoadHeader, PromptPart, ResponseHead

REQUEST_ID = b"x-cicadapond-attempt-id"
DEADLINE = b"x-cicadapond-deadline-ms"
TARGET = b"x-cicadapond-target-instance"
ACCOUNT = b"x-cicadapond-tenant"
PRIORITY = b"x-cicadapond-request-priority"
MODEL = b"x-cicadapond-model"
# Named a count, but holds two: the prompt's tokens and the maximum of output tokens.
TOKENS = b"x-cicadapond-token-count"
# Named a hash, but lists the hash and the tokens of each part of the prompt.
PARTS = b"x-cicadapond-prefix-hash"
LENGTH_HINT = b"x-cicadapond-length-hint"
SIGNATURE = b"x-cicadapond-response-signature"
NOT_EXECUTED = b"x-cicadapond-not-executed"
LOAD = b"x-cicadapond-server-load"
INSTANCE = b"x-cicadapond-instance-id"
LAST_EVENT_ID = b"last-event-id"
# The id of the request that brought the first event of a stream that its caller continues.
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"
# The copy of a stopped run's memory: the address of its source, a slash and the handle.
MEMORY_FROM = b"kv-from"
# The address of an engine from which the prompt's parts that it keeps are fetched.
FETCH_FROM = b"kv-fetch"
# The requests per second that an engine accepts from all processes together.
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
# The requests that an engine may turn away in a second for want of room before it crashes.
BRITTLE = b"server-brittle"
# How often the store has been restored from an older copy.
STORE_ERA = b"store-era"
KEY_SCHEME = "token"
# The requests running, those waiting, and the slots, with which a report of a load begins.
LOAD_COUNTS = 3
# Counts of back ends are far smaller; longer ones could not be converted or represented.
MAX_COUNT_DIGITS = 9

OWN_PREFIX = b"x-cicadapond-"
MISDIRECTED = 421
UNAVAILABLE = 503
# A server that wants nothing for longer than this is not believed.
MAX_RETRY_AFTER = datetime.timedelta(seconds=60)

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers with the platform's prefix that callers may set; all others are set by the product only.
_CALLER_HEADERS = frozenset((REQUEST_ID, MODEL, TOKENS, PARTS, LENGTH_HINT))
# Headers without the prefix that are not forwarded from callers either.
_RESERVED_HEADERS = frozenset(
    (MEMORY_FROM, FETCH_FROM, b"wait-ms", b"authorization", LAST_EVENT_ID)
)
# Headers that may occur only once in a request.
_SINGLE_HEADERS = frozenset(
    (REQUEST_ID, DEADLINE, MODEL, TOKENS, PARTS, b"authorization", LAST_EVENT_ID, RESUMES)
)
# Headers of backend servers that are not forwarded to callers.
_SERVER_ONLY_HEADERS = frozenset((LOAD, INSTANCE, NOT_EXECUTED))


class PlatformHeaderCodec(HeaderCodec):
    """Parses and builds the platform's headers."""

    def request_id(self, headers):
        raw = dict(headers).get(REQUEST_ID)
        return raw.decode("latin-1") if raw is not None else None

    def parse_request(self, method, target, headers, body):
        fields = {}
        for name, value in headers:
            if name in fields and (name in _SINGLE_HEADERS or name == b"host"):
                return Malformed(f"header {name.decode()} is repeated")
            fields[name] = value
        try:
            return _parse_request(method, target, headers, fields, body)
        except ValueError as exc:
            return Malformed(str(exc))

    def server_headers(self, req, dispatch):
        headers = list(req.headers)
        headers.append((DEADLINE, b"%d" % max(1, _milliseconds(dispatch.time_left))))
        headers.append((TARGET, dispatch.server.name.encode()))
        if dispatch.account is not None:
            headers.append((ACCOUNT, dispatch.account.encode()))
        if dispatch.last_event_id is not None:
            headers.append((LAST_EVENT_ID, dispatch.last_event_id.encode()))
        if dispatch.priority is not None:
            headers.append((PRIORITY, b"%d" % dispatch.priority))
        if dispatch.memory is not None:
            memory = dispatch.memory
            headers.append((MEMORY_FROM, f"{memory.source.endpoint}/{memory.handle}".encode()))
        if dispatch.fetch_from is not None:
            headers.append((FETCH_FROM, str(dispatch.fetch_from.endpoint).encode()))
        return headers

    def caller_headers(self, req, dispatch):
        headers = list(req.headers)
        headers.append((DEADLINE, b"%d" % max(1, _milliseconds(dispatch.time_left))))
        if req.key is not None:
            headers.append((b"authorization", f"Token {req.key}".encode()))
        if dispatch.last_event_id is not None:
            headers.append((LAST_EVENT_ID, dispatch.last_event_id.encode()))
            if req.resumes is None:
                headers.append((RESUMES, req.id.encode()))
        return headers

    def parse_response_head(self, status, headers):
        fields = dict(headers)
        connection_options = _connection_options(fields)
        kept = tuple(
            (name, value)
            for name, value in headers
            if name not in _HOP_BY_HOP
            and name not in connection_options
            and name not in _SERVER_ONLY_HEADERS
        )
        request_id = fields.get(REQUEST_ID)
        rate_limit = _parse_rate_limit(fields.get(RATE_LIMIT))
        # Elsewhere it is part of an answer to the caller.
        wait = fields.get(RETRY_AFTER) if status == UNAVAILABLE else None
        retry_after = _parse_retry_after(wait)
        brittle = _parse_brittle(fields.get(BRITTLE))
        load = _parse_load(fields.get(LOAD))
        unreadable = (
            (BRITTLE, BRITTLE in fields and brittle is None),
            (LOAD, LOAD in fields and load is None),
            (RATE_LIMIT, RATE_LIMIT in fields and rate_limit is None),
            (RETRY_AFTER, wait is not None and retry_after is None),
        )
        return ResponseHead(
            status=status,
            headers=kept,
            request_id=request_id.decode("latin-1") if request_id is not None else None,
            is_signed=SIGNATURE in fields,
            not_executed=NOT_EXECUTED in fields or status == MISDIRECTED,
            closes_connection=b"close" in connection_options,
            load=load,
            keep_alive_timeout=_parse_keep_alive(fields.get(b"keep-alive")),
            is_encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
            rate_limit=rate_limit,
            is_leaving=fields.get(LEAVING) == b"1",
            brittle=brittle,
            retry_after=retry_after,
            unreadable=tuple(name.decode() for name, is_unreadable in unreadable if is_unreadable),
        )

    def local_response_headers(self, request_id, retry_after):
        headers = []
        if request_id is not None:
            headers.append((REQUEST_ID, request_id.encode()))
        if retry_after is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after.total_seconds()))
        return headers


def _parse_request(method, target, headers, fields, body):
    if not target.startswith(b"/"):
        raise ValueError("the request target does not begin with a slash")
    request_id = _printable_text(fields.get(REQUEST_ID, b""))
    if not request_id:
        raise ValueError("the request ID is missing")
    host = _printable_text(fields.get(b"host", b"")).lower()
    connection_options = _connection_options(fields)
    return CallerRequest(
        id=request_id,
        method=method.decode("ascii"),
        target=target,
        host=host.partition(":")[0],
        path=target.partition(b"?")[0].decode("latin-1"),
        headers=tuple(
            (name, value) for name, value in headers if _is_forwarded(name, connection_options)
        ),
        body=body,
        key=_parse_key(fields.get(b"authorization")),
        timeout=_parse_timeout(fields.get(DEADLINE)),
        last_event_id=_optional_printable_text(fields.get(LAST_EVENT_ID)),
        resumes=_optional_printable_text(fields.get(RESUMES)),
        generation=_parse_generation(fields.get(TOKENS), fields.get(PARTS)),
    )


def _is_forwarded(name, connection_options):
    if name in _HOP_BY_HOP or name in _RESERVED_HEADERS:
        return False
    if name.startswith(OWN_PREFIX):
        return name in _CALLER_HEADERS
    return name not in connection_options


def _connection_options(fields):
    listed = fields.get(b"connection", b"").lower().split(b",")
    return frozenset(option.strip() for option in listed)


def _printable_text(raw):
    text = raw.decode("latin-1")
    if not text.isascii() or not text.isprintable():
        raise ValueError("a header value contains characters other than printable ASCII")
    return text


def _optional_printable_text(raw):
    return _printable_text(raw) if raw is not None else None


def _parse_key(raw):
    if raw is None:
        return None
    scheme, _, key = _printable_text(raw).partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def _parse_timeout(raw):
    if raw is None:
        return None
    try:
        return datetime.timedelta(milliseconds=max(0.0, float(_printable_text(raw))))
    except (ValueError, OverflowError):
        raise ValueError("the deadline is not a number") from None


def _parse_generation(tokens, parts):
    if tokens is None:
        return None
    counts = _printable_text(tokens).split(",")
    if len(counts) != 2 or not all(count.strip().isdigit() for count in counts):
        raise ValueError("the token count is not of the form PROMPT,OUTPUT")
    return Generation(int(counts[0]), int(counts[1]), _parse_prompt_parts(parts))


def _parse_prompt_parts(raw):
    parts = []
    for entry in _printable_text(raw or b"").split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _parse_load(raw):
    """Returns the load that a header reports, None if it has no readable counts.

    Three counts may be followed by the pace of the server's host, in percent.  Later figures are
    not known here and are ignored.
    """
    figures = [_parse_count(figure) for figure in (raw or b"").split(b",")]
    if len(figures) < LOAD_COUNTS or None in figures[:LOAD_COUNTS]:
        return None
    percent = figures[LOAD_COUNTS] if len(figures) > LOAD_COUNTS else None
    return LoadHeader(*figures[:LOAD_COUNTS], pace=percent / 100 if percent else None)


def _parse_rate_limit(raw):
    try:
        rate = float(raw) if raw is not None else None
    except ValueError:
        return None
    return rate if rate is not None and math.isfinite(rate) and rate >= 0.0 else None


def parse_store_era(
    headers: typing.Sequence[tuple[bytes, bytes]],
) -> int | Malformed | None:
    """Returns the era of a response of the store, None if the response does not tell it."""
    values = [value for name, value in headers if name == STORE_ERA]
    if not values:
        return None
    era = _parse_count(values[0])
    if len(values) > 1 or era is None or era > MAX_ERA:
        return Malformed(f"the store's era {values!r} is no number up to {MAX_ERA}")
    return era


def _parse_brittle(raw):
    return _parse_count(raw) if raw is not None else None


def _parse_count(raw):
    """Returns a count, None if the bytes are no number of at most `MAX_COUNT_DIGITS`."""
    raw = raw.strip()
    return int(raw) if raw.isdigit() and len(raw) <= MAX_COUNT_DIGITS else None


def _parse_retry_after(raw):
    try:
        wait = datetime.timedelta(seconds=float(raw)) if raw is not None else None
    except (OverflowError, ValueError):
        return None
    return wait if wait is not None and datetime.timedelta() <= wait <= MAX_RETRY_AFTER else None


def _parse_keep_alive(raw):
    for option in (raw or b"").split(b","):
        name, _, value = option.strip().partition(b"=")
        seconds = _parse_count(value)
        if name.lower() == b"timeout" and seconds is not None:
            return datetime.timedelta(seconds=seconds)
    return None


def _milliseconds(duration):
    return duration // datetime.timedelta(milliseconds=1)
