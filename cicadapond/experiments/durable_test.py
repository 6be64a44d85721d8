"""The durable experiment: nothing is lost, and going on recomputes less than starting again."""

from cicadapond.experiments.durable import Case, run_durable


def test_going_on_recomputes_less_than_starting_again():
    worlds = [run_durable(Case(1.0, resumes=resumes), 1)[0] for resumes in (False, True)]
    assert [world.wrong for world in worlds] == [0, 0]
    assert all(world.died for world in worlds)
    restarted, resumed = (world.generated for world in worlds)
    assert resumed < restarted
