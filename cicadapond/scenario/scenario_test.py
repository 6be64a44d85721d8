"""Every scenario passes; the same scenario and seed give the same run."""

import importlib.resources

import pytest

from cicadapond.scenario._runner import run_script
from cicadapond.scenario.main import load_scenario

SCRIPTS_FOLDER = importlib.resources.files("cicadapond.scenario") / "scripts"
NAMES = sorted(path.name.removesuffix(".scenario") for path in SCRIPTS_FOLDER.iterdir())


def load_script(name):
    return load_scenario(str(SCRIPTS_FOLDER / f"{name}.scenario"))


@pytest.mark.parametrize("name", NAMES)
def test_scenario_passes(name, scenario_seeds):
    script = load_script(name)
    for seed in scenario_seeds or [script.seed]:
        result = run_script(script, seed)
        assert [str(finding) for finding in result.findings] == [], f"seed {seed}"


def test_the_same_seed_gives_the_same_run():
    script = load_script("poison")
    first, second = (run_script(script, 11).record.timeline() for _ in range(2))
    assert first == second
