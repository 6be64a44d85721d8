"""Callers' requests, and what is sent to and received from backend servers.

Durations are `datetime.timedelta`.
"""

import datetime

import attrs

from cicadapond.serving._servers import LoadHeader, ServerEntry


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share: its hash as name, and its number of tokens."""

    name: str
    tokens: int


@attrs.frozen
class Generation:
    """The size of a request for token generation."""

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def tokens(self) -> int:
        """The maximum number of tokens that the request holds in an engine's memory."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class CallerRequest:
    """A complete request from a caller, with the values parsed from its headers.

    `headers` are forwarded; they exclude hop-by-hop headers and those that the gateway sets
    itself.  `timeout` is the caller's timeout, None if it gives none.  A request that continues a
    stream has the `last_event_id` that its caller received, and in `resumes` the id of the request
    that brought the first event.
    """

    id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    key: str | None = None
    timeout: datetime.timedelta | None = None
    last_event_id: str | None = None
    resumes: str | None = None
    generation: Generation | None = None


@attrs.frozen
class MemoryHandle:
    """A copy of a stopped request's memory, with which an engine goes on with the same run.

    Attributes:
      source: The engine that ran the request until then.
      handle: The name of the copy there.
    """

    source: ServerEntry
    handle: str


@attrs.frozen
class Dispatch:
    """The values sent with a request to a server; `time_left` is the time until its deadline.

    `max_attempts` is how many servers another process may send it to, if it is passed on to one.
    `memory` is the copy from which the server goes on with a stopped run, None to begin a new one.
    `fetch_from` is the server from which it fetches what that keeps of the prompt, None for none.
    `may_be_over` is whether the stream that is continued may have no further events.
    """

    server: ServerEntry
    time_left: datetime.timedelta
    account: str | None = None
    last_event_id: str | None = None
    priority: int | None = None
    max_attempts: int = 1
    memory: MemoryHandle | None = None
    fetch_from: ServerEntry | None = None
    may_be_over: bool = False


@attrs.frozen
class ResponseHead:
    """The head of a backend server's response, with the values parsed from it.

    Attributes:
      headers: The headers to forward to the caller.
      request_id: The id of the request that it answers, None if it has none.
      is_signed: Whether the server signed the response.
      not_executed: Whether the server states that it did not execute the request.
      closes_connection: Whether the server closes the connection after the response.
      keep_alive_timeout: How long the server keeps an idle connection open, None if unknown.
      is_encoded: Whether the body has a content encoding.
      rate_limit: The requests per second that the server accepts from all processes together, None
        if it states no limit.
      is_leaving: Whether the server says that it leaves and accepts no new requests.
      brittle: How many requests the server may turn away in a second, for want of room, before it
        crashes; None if it does not say so.
      retry_after: How long the server wants no more requests of this process, which it refused
        with this response; None if it does not say.
      unreadable: The names of headers with invalid values, which count as absent.
      relay_sends: To how many servers another process sent the request that was passed on to it;
        None if it does not say, or the response is a server's.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None = None
    is_signed: bool = False
    not_executed: bool = False
    closes_connection: bool = False
    load: LoadHeader | None = None
    keep_alive_timeout: datetime.timedelta | None = None
    is_encoded: bool = False
    rate_limit: float | None = None
    is_leaving: bool = False
    brittle: int | None = None
    retry_after: datetime.timedelta | None = None
    unreadable: tuple[str, ...] = ()
    relay_sends: int | None = None
