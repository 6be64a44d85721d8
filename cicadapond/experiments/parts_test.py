"""What engines tell of the prompt parts that they keep helps callers, on virtual time."""

import pytest

from cicadapond.experiments._holds import QueueHold
from cicadapond.experiments._load_world import Load, WorldSettings
from cicadapond.experiments._parts_world import PartsSettings, PartsWorld


def run(parts, load, duration_ms=9000.0):
    return PartsWorld(parts, load, WorldSettings(duration_ms=duration_ms), 1, QueueHold).run()


@pytest.mark.parametrize(
    "load", [Load("calm"), Load("1.4x", rate=lambda now, kind: 1.4)], ids=lambda load: load.name
)
def test_less_is_prefilled_again_and_no_caller_loses(load):
    """Processes that guessed what engines keep had 0.9 to 5 M shared tokens prefilled again."""
    guessed, told = run(None, load, 15_000.0), run(PartsSettings(), load, 15_000.0)
    assert told.shared_tokens(2000)[1] < 0.75 * guessed.shared_tokens(2000)[1]
    assert told.value(2000) > guessed.value(2000) - 0.01
    assert told.share_in_time(2000, kind="long") >= guessed.share_in_time(2000, kind="long")


def test_engines_whose_sources_are_withdrawn_prefill():
    """A request whose source has gone must not wait for it or be lost."""
    world = run(PartsSettings(), Load("gone", gone=lambda now: 7 if now >= 4000 else 0))
    assert world.fetched_tokens() > 0
    assert world.share_in_time(6000, kind="short") > 0.9
