"""Plays prompts with a part that crashes engines among sound ones, in virtual time."""

import pytest

from cicadapond.experiments.crashes import MAX_SENT_AFTER_FIFTH, Conditions, Play, draw


@pytest.mark.parametrize("position", [0, 1, 2])
def test_few_prompts_are_sent_after_the_fifth_crash_and_sound_ones_go_on(position):
    for seed in range(4):
        play = Play(seed, Conditions(position=position)).run()
        assert len(play.bad_sent) >= 3
        assert play.sent_late() <= MAX_SENT_AFTER_FIFTH, f"seed {seed}"
        assert play.sound_refused < 0.02 * play.sound_sent, f"seed {seed}"


def test_crashes_for_other_reasons_neither_hide_the_part_nor_put_blame_on_sound_prompts():
    for seed in range(4):
        play = Play(seed, Conditions(random_crashes=0.5)).run()
        assert play.sent_late() <= MAX_SENT_AFTER_FIFTH, f"seed {seed}"
        assert play.sound_refused < 0.02 * play.sound_sent, f"seed {seed}"


@pytest.mark.parametrize("case", [226, 285, 293, 349, 362, 372, 380, *range(10)])
def test_sound_prompts_go_on_after_quiet_times_and_replacements_of_all_processes(case):
    play = Play(case, draw(case)).run()
    assert not play.is_lost()
    assert play.sent_late() <= MAX_SENT_AFTER_FIFTH
