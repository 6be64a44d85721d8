"""Durable requests under entry deaths: no answer is lost, and resuming recomputes less."""

from cicadapond.experiments.durable import Case, run_durable


def test_resuming_recomputes_less_than_restarting():
    worlds = [run_durable(Case(1.0, resumes=resumes), 1)[0] for resumes in (False, True)]
    assert [world.wrong_answers for world in worlds] == [0, 0]
    assert all(world.death_times for world in worlds)
    restarted, resumed = (world.generated_tokens for world in worlds)
    assert resumed < restarted
