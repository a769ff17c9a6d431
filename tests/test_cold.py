"""A cold return is borne however many dispatchers call there, each of which knows only its own part."""

from __future__ import annotations

import pytest

from lab.cold import SCENARIOS, Return

SCENARIO = {scenario.name: scenario for scenario in SCENARIOS}
SEEDS = range(1, 5)


def broken(name, budget, size):
    """The runs in which dispatchers that had been told of the outage pushed the destination over."""
    results = {seed: Return(budget, size, seed, SCENARIO[name]).play() for seed in SEEDS}
    return {seed: result for seed, result in results.items() if result.broken}


RESTARTS = ((2.0, 20), (2.0, 30), (5.0, 20), (5.0, 30), (5.0, 200), (20.0, 200))


@pytest.mark.parametrize("budget, size", RESTARTS)
def test_a_fleet_that_restarts_as_a_destination_comes_back_does_not_push_it_over(budget, size):
    assert not broken("restarts at the return", budget, size)
