"""A small charges experiment: the ledger keeps its guarantees, the baseline does not."""

import pytest

from cicadapond.experiments.charges import run_charges

CHARGES = 500


@pytest.mark.parametrize("policy", ["ledger", "ledger-strict"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_charge_runs_twice_and_not_run_is_true(policy, seed):
    world, tally = run_charges(policy, seed, CHARGES)
    assert max(world.counts.by_key.values()) == 1
    assert sum(world.counts.by_request[name] for name in tally.not_run_ids) == 0
    assert tally.no_outcome == 0 and tally.done + tally.unknown == CHARGES
    assert tally.requests > CHARGES  # the faults caused resends
    assert policy == "ledger" or tally.not_run_after_run == 0


def test_the_baseline_runs_charges_twice():
    world, _ = run_charges("trusting", 1, CHARGES)
    assert max(world.counts.by_key.values()) > 1
