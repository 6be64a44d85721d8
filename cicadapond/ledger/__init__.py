"""At-most-once execution of calls that carry an idempotency key.

Each call is recorded in the table service before its first byte is sent.  The package can be
used on its own: it needs a table service, a clock and a function that sends the call.
"""

from cicadapond.ledger._api import KeyedCall, KeyedCallPolicy, SendOnce, keyed_call_policies
from cicadapond.ledger._ledger import Ledger, StrictLedger
from cicadapond.ledger._settings import LedgerSettings
from cicadapond.ledger._sweep import ledger_sweep
from cicadapond.ledger._trusting import TrustingCalls

__all__ = [
    "KeyedCallPolicy",
    "KeyedCall",
    "Ledger",
    "LedgerSettings",
    "SendOnce",
    "StrictLedger",
    "TrustingCalls",
    "keyed_call_policies",
    "ledger_sweep",
]
