"""Forwarding of requests to backend servers: connections, single attempts and their outcomes."""

from cicadapond.forwarding._attempt import AnswerSink, Attempt, Silence
from cicadapond.forwarding._channel import Channel, ChannelClosedError, open_channel
from cicadapond.forwarding._client import HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.forwarding._connection import BrokenResponseError, ServerConnection
from cicadapond.forwarding._events import Event, EventSplitter
from cicadapond.forwarding._outcome import Broken, NotSent, Outcome, Refused, StreamWhole, Whole
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.forwarding._repeats import RepeatBudget

__all__ = [
    "AnswerSink",
    "Attempt",
    "Broken",
    "BrokenResponseError",
    "Channel",
    "ChannelClosedError",
    "ConnectionPool",
    "Event",
    "EventSplitter",
    "HttpClient",
    "NoConnection",
    "NotSent",
    "Outcome",
    "Refused",
    "RepeatBudget",
    "Reply",
    "ReplyLost",
    "ServerConnection",
    "Silence",
    "StreamWhole",
    "Whole",
    "open_channel",
]
