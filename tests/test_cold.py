"""A cold return is borne however many dispatchers call there, each of which knows only its own part."""

from __future__ import annotations

import pytest
from bed import Bed, Entry

from crowpier.interface import Outcome
from lab.cold import SCENARIOS, Return

SCENARIO = {scenario.name: scenario for scenario in SCENARIOS}
SEEDS = range(1, 4)


def broken(name, budget, size):
    """The runs in which dispatchers that had been told of the outage pushed the destination over."""
    results = {seed: Return(budget, size, seed, SCENARIO[name]).play() for seed in SEEDS}
    return {seed: result for seed, result in results.items() if result.broken}


RESTARTS = ((2.0, 20), (2.0, 30), (5.0, 20), (5.0, 30), (5.0, 200), (20.0, 200))


@pytest.mark.parametrize("budget, size", RESTARTS)
def test_a_fleet_that_restarts_as_a_destination_comes_back_does_not_push_it_over(budget, size):
    assert not broken("restarts at the return", budget, size)


CONNECTS = (("late connects", 20.0, 20), ("reset at the return", 5.0, 20), ("reset at the return", 20.0, 30))


@pytest.mark.parametrize("name, budget, size", CONNECTS)
def test_connects_that_wait_through_an_outage_do_not_push_over_what_comes_back(name, budget, size):
    assert not broken(name, budget, size)


def test_a_call_that_hung_came_before_the_return_and_the_stricter_reading_counts_it():
    told = strict = 0
    for seed in SEEDS:
        result = Return(20.0, 20, seed, SCENARIO["hangs, long"]).play()
        told, strict = told + result.told.fell, strict + result.strict.fell
    assert told == 0 < strict


@pytest.mark.parametrize("took_ms, out", ((30.0, 3), (1_500.0, 1)))
def test_after_a_connect_that_was_given_up_and_not_refused_calls_go_one_at_a_time(took_ms, out):
    # The message that failed and two new ones.
    bed = Bed(Entry("e1", 1))
    bed.arrive(1)
    bed.pass_ms(took_ms, timeouts=False)
    bed.end(1, Outcome.CONNECT_FAILED)
    bed.arrive(2)
    bed.arrive(3)
    bed.pass_ms(300.0, timeouts=False)
    assert len(bed.out) == out


def test_one_answer_is_enough_for_calls_to_go_together_again():
    bed = Bed(Entry("e1", 1))
    bed.arrive(1)
    bed.pass_ms(1_500.0, timeouts=False)
    bed.end(1, Outcome.CONNECT_FAILED)
    bed.arrive(2)
    bed.pass_ms(300.0, timeouts=False)
    owner, attempt = next(iter(bed.out))
    bed.end(owner, Outcome.OK, attempt)
    for number in range(3, 6):
        bed.arrive(number)
    bed.pass_ms(100.0, timeouts=False)
    assert len(bed.out) > 1
