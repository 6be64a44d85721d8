"""The targets of the document under racing editors, and baselines that miss them."""

from cicadapond.experiments.document import AnySource, run_editors

EDITS = 200


def test_every_accepted_edit_holds_and_is_in_force_within_five_seconds():
    report = run_editors(seed=1)
    assert len(report.accepted) + report.unsettled == EDITS
    assert len(report.accepted) > EDITS // 2
    assert report.restarts > 0
    assert report.holds, report


def test_unconditional_edits_lose_accepted_ones():
    assert run_editors(seed=1, guarded_edits=False, edits_each=10).lost > 0


def test_processes_that_do_not_compare_revisions_go_back():
    report = run_editors(seed=1, learning=AnySource, edits_each=5)
    assert report.reverts > 0
    assert not report.holds
