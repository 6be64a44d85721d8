"""Every scenario holds; the same scenario and seed give the same run."""

import importlib.resources

import pytest

from cicadapond.scenario._runner import run_script
from cicadapond.scenario.main import load_scenario

SCRIPTS = importlib.resources.files("cicadapond.scenario") / "scripts"
NAMES = sorted(path.name.removesuffix(".scenario") for path in SCRIPTS.iterdir())


def script(name):
    return load_scenario(str(SCRIPTS / f"{name}.scenario"))


@pytest.mark.parametrize("name", NAMES)
def test_scenario_holds(name, scenario_seeds):
    loaded = script(name)
    for seed in scenario_seeds or [loaded.seed]:
        verdict = run_script(loaded, seed)
        assert [str(found) for found in verdict.findings] == [], f"seed {seed}"


def test_the_same_seed_gives_the_same_run():
    loaded = script("poison")
    first, second = (run_script(loaded, 11).record.timeline() for _ in range(2))
    assert first == second
