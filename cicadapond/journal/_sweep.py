"""Removal of expired rows from the journal's tables."""

from cicadapond.journal._rows import REQUESTS, decode_request
from cicadapond.journal._settings import JournalSettings
from cicadapond.provider import SweepPlan


def journal_sweep_plan(cfg: JournalSettings) -> SweepPlan:
    """Returns the plan that removes finished requests once their retention time has passed."""
    return SweepPlan(
        table=REQUESTS,
        expires=lambda row: decode_request(row).expires,
        object_name=lambda row: decode_request(row).tokens_object,
        interval=cfg.sweep_interval,
        page=cfg.sweep_page,
    )
