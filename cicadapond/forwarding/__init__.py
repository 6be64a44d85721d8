"""Forwarding: one attempt of a request at a backend server, and what it came to."""

from cicadapond.forwarding._attempt import AnswerSink, Attempt, Silence
from cicadapond.forwarding._channel import Channel, ChannelClosedError, open_channel
from cicadapond.forwarding._client import HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.forwarding._connection import BrokenAnswerError, ServerConnection
from cicadapond.forwarding._events import Event, EventSplitter
from cicadapond.forwarding._outcome import Broken, NotSent, Outcome, Refused, StreamWhole, Whole
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.forwarding._repeats import RepeatBudget

__all__ = [
    "AnswerSink",
    "Attempt",
    "Broken",
    "BrokenAnswerError",
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
