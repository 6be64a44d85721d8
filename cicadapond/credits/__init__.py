"""Hands on permits of servers' rate limits between processes, from even shares to the callers.

Load condition: the callers of a server with a rate limit come to few of the processes, each of
which owns only an even share of the limit.  No I/O.
"""

from cicadapond.credits._keeper import PermitKeeper
from cicadapond.credits._ledger import PermitLedger
from cicadapond.credits._messages import (
    Ask,
    AskReply,
    LendReply,
    LoanRequest,
    Permits,
    read_ask,
    read_ask_reply,
    read_lend,
    read_lend_reply,
)
from cicadapond.credits._schedule import (
    FRAME,
    PermitSchedule,
    frame_of,
    keeper_parts,
    permit_owners,
    time_until_frame,
)

__all__ = [
    "FRAME",
    "Ask",
    "AskReply",
    "LendReply",
    "LoanRequest",
    "PermitKeeper",
    "PermitLedger",
    "PermitSchedule",
    "Permits",
    "frame_of",
    "keeper_parts",
    "permit_owners",
    "read_ask",
    "read_ask_reply",
    "read_lend",
    "read_lend_reply",
    "time_until_frame",
]
