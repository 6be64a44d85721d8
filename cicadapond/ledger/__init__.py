"""At most once: keyed work is recorded in the table service before its first byte leaves.

The package can be embedded by itself: it needs a table service, a clock and a way to send.
"""

from cicadapond.ledger._api import KeyedCalls, KeyedWork, SendOnce, keyed_call_policies
from cicadapond.ledger._ledger import Ledger, StrictLedger
from cicadapond.ledger._settings import LedgerSettings
from cicadapond.ledger._sweep import ledger_sweep
from cicadapond.ledger._trusting import TrustingCalls

__all__ = [
    "KeyedCalls",
    "KeyedWork",
    "Ledger",
    "LedgerSettings",
    "SendOnce",
    "StrictLedger",
    "TrustingCalls",
    "keyed_call_policies",
    "ledger_sweep",
]
