"""Forwarding of requests to backend servers: connections, single attempts and their outcomes."""

from cicadapond.forwarding._attempt import AnswerCosts, Attempt, ResponseSink, SilenceTimeouts
from cicadapond.forwarding._channel import (
    MAX_UNREAD_BYTES,
    READ_CHUNK_BYTES,
    Channel,
    ChannelClosedError,
    open_channel,
)
from cicadapond.forwarding._client import Expired, HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.forwarding._connection import BrokenResponseError, ServerConnection
from cicadapond.forwarding._events import Event, EventSplitter
from cicadapond.forwarding._header_codec import HeaderCodec, Headers, Malformed
from cicadapond.forwarding._outcome import Broken, NotSent, Outcome, Refused, StreamWhole, Whole
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.forwarding._retry_limiter import RetryLimiter

__all__ = [
    "MAX_UNREAD_BYTES",
    "READ_CHUNK_BYTES",
    "ResponseSink",
    "AnswerCosts",
    "Attempt",
    "Broken",
    "BrokenResponseError",
    "Channel",
    "ChannelClosedError",
    "ConnectionPool",
    "Event",
    "HeaderCodec",
    "Headers",
    "Malformed",
    "EventSplitter",
    "Expired",
    "HttpClient",
    "NoConnection",
    "NotSent",
    "Outcome",
    "Refused",
    "RetryLimiter",
    "Reply",
    "ReplyLost",
    "ServerConnection",
    "SilenceTimeouts",
    "StreamWhole",
    "Whole",
    "open_channel",
]
