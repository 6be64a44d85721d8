"""Removal of expired ledger rows."""

from cicadapond.ledger._row import TABLE, decode_row
from cicadapond.ledger._settings import LedgerSettings
from cicadapond.provider import SweepPlan


def ledger_sweep(cfg: LedgerSettings) -> SweepPlan:
    """Returns the plan that removes expired rows and their stored answers."""
    return SweepPlan(
        table=TABLE,
        expires=lambda row: decode_row(row).expires,
        object_name=lambda row: decode_row(row).answer_object,
        interval=cfg.sweep_interval,
        page=cfg.sweep_page,
    )
