"""Targets for the document under concurrent editors, and baselines that miss them."""

from cicadapond.experiments.document import UncheckedDocumentTask, run_editors

EDITS = 200


def test_every_accepted_edit_is_kept_and_in_force_within_five_seconds():
    report = run_editors(seed=1)
    assert len(report.accepted) + report.unsettled == EDITS
    assert len(report.accepted) > EDITS // 2
    assert report.restarts > 0
    assert report.meets_targets, report


def test_unconditional_edits_lose_accepted_ones():
    assert run_editors(seed=1, conditional_edits=False, edits_each=10).lost > 0


def test_processes_that_do_not_compare_revisions_revert():
    report = run_editors(seed=1, task_class=UncheckedDocumentTask, edits_each=5)
    assert report.reverts > 0
    assert not report.meets_targets
