"""A cold return is borne however many dispatchers call there, each of which knows only its own part."""

from __future__ import annotations

import pytest
from dispatcher_harness import DispatcherHarness, Entry

from crowpier import learned
from crowpier.interface import ColdStateRestored, LearnedStateRestored, Outcome
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


CONNECTS = (
    ("late connects", 2.0, 30),
    ("late connects", 5.0, 20),
    ("late connects", 20.0, 20),
    ("late connects", 20.0, 30),
    ("late connects, long", 5.0, 20),
    ("late connects, long", 5.0, 30),
    ("reset at the return", 5.0, 20),
    ("reset at the return", 5.0, 30),
    ("reset at the return", 20.0, 30),
    ("three endpoints, late connects", 2.0, 30),
    ("three endpoints, late connects", 5.0, 20),
    ("three endpoints, late connects", 20.0, 30),
)


@pytest.mark.parametrize("name, budget, size", CONNECTS)
def test_connects_that_wait_through_an_outage_do_not_push_over_what_comes_back(name, budget, size):
    assert not broken(name, budget, size)


ENDPOINTS = ((2.0, 30), (2.0, 200), (5.0, 30), (5.0, 200), (20.0, 200))


@pytest.mark.parametrize("budget, size", ENDPOINTS)
def test_who_sends_little_to_each_of_two_endpoints_sees_an_outage_of_both(budget, size):
    assert not broken("two endpoints", budget, size)


def test_a_call_that_hung_came_before_the_return_and_the_stricter_reading_counts_it():
    told = strict = 0
    for seed in SEEDS:
        result = Return(20.0, 20, seed, SCENARIO["hangs, long"]).play()
        told, strict = told + result.told.fell, strict + result.strict.fell
    assert told == 0 < strict


GAPS = ((1, 3.0), (2, 3.0), (3, 3.0), (1, 0.01), (2, 0.01), (3, 0.01))


@pytest.mark.parametrize("count, pace", GAPS)
def test_trials_at_several_endpoints_are_together_no_more_than_at_one(count, pace):
    # Three quarters of what may come as an outage ends, or of one each half second; of all dispatchers.
    entries = [Entry(f"e{number}", 1) for number in range(count)]
    harness = DispatcherHarness(*entries, dispatchers=30)
    harness.feed(*(ColdStateRestored(entry.endpoint, pace) for entry in entries))
    per_s = sum(
        1000.0 / harness.dispatcher.cold_gap_ms(harness.dispatcher.endpoints[e.endpoint]) for e in entries
    )
    assert per_s == pytest.approx(0.75 * max(0.9 * 2.0 * 0.2 * pace, 2.0 / 30.0))


def test_endpoints_that_trip_together_have_no_early_trials():
    harness = DispatcherHarness(Entry("e1", 1), Entry("e2", 1), dispatchers=30)
    number = 0
    while not all(harness.dispatcher.endpoints[name].tripped for name in ("e1", "e2")):
        number += 1
        harness.arrive(number)
        harness.pass_ms(5.0, timeouts=False)
        if harness.out:
            harness.end(next(iter(harness.out))[0], Outcome.CONNECT_FAILED)
    opens = [harness.dispatcher.endpoints[name].next_call_at - harness.now for name in ("e1", "e2")]
    assert min(opens) > 1_000.0, "each at a moment within its gap of forty seconds"


def given_up(harness, message, took_ms=1_500.0):
    """A connect that nobody answered, or, within `UNANSWERED_CONNECT_MS`, that was refused."""
    harness.arrive(message)
    harness.pass_ms(took_ms, timeouts=False)
    harness.end(message, Outcome.CONNECT_FAILED)


@pytest.mark.parametrize("took_ms, least, most", ((30.0, 3, 3), (1_500.0, 0, 1)))
def test_after_a_connect_that_was_given_up_and_not_refused_calls_go_one_at_a_time(took_ms, least, most):
    # The message that failed and two new ones: at once, or as a trial within the gap of trials.
    harness = DispatcherHarness(Entry("e1", 1))
    given_up(harness, 1, took_ms)
    harness.arrive(2)
    harness.arrive(3)
    harness.pass_ms(300.0, timeouts=False)
    assert least <= len(harness.out) <= most
    harness.pass_ms(400.0, timeouts=False)
    assert len(harness.out) == max(most, 1)


def test_what_answers_past_a_connect_that_nobody_answered_is_cold():
    # It may have been the one sign of an outage; the next calls go by the ramp, the first after its gap.
    harness = DispatcherHarness(Entry("e1", 1))
    given_up(harness, 1)
    harness.pass_ms(700.0, timeouts=False)
    owner, attempt = next(iter(harness.out))
    harness.end(owner, Outcome.OK, attempt)
    for number in range(3, 8):
        harness.arrive(number)
    harness.pass_ms(100.0, timeouts=False)
    assert not harness.out
    harness.pass_ms(1_000.0, timeouts=False)
    assert 1 <= len(harness.out) < 5


def test_a_connect_that_was_lost_while_others_were_answered_is_no_sign_of_an_outage():
    harness = DispatcherHarness(Entry("e1", 1))
    harness.arrive(1)
    harness.arrive(2)
    harness.pass_ms(100.0, timeouts=False)
    harness.end(2, Outcome.OK)
    harness.pass_ms(1_400.0, timeouts=False)
    harness.end(1, Outcome.CONNECT_FAILED)
    harness.arrive(3)
    harness.pass_ms(300.0, timeouts=False)
    assert {owner for owner, _ in harness.out} >= {3}
    harness.end(3, Outcome.OK)
    for number in range(4, 7):
        harness.arrive(number)
    harness.pass_ms(100.0, timeouts=False)
    assert len(harness.out) > 1


@pytest.mark.parametrize("took_ms", (405.0, 900.0))
def test_a_connect_of_a_trial_that_comes_up_late_is_not_used_and_tells_of_the_outage(took_ms):
    # What waits for its connection as the outage ends must not come in then.
    harness = DispatcherHarness(Entry("e1", 1))
    harness.arrive(1)
    assert harness.sends()[0].start_by_ms == float("inf")
    harness.pass_ms(1_500.0, timeouts=False)
    harness.end(1, Outcome.CONNECT_FAILED)
    while not harness.out:
        harness.pass_ms(5.0, timeouts=False)
    trial = harness.sends()[0]
    assert trial.start_by_ms == pytest.approx(harness.sent[1][1][1] + 500.0)
    harness.pass_ms(took_ms, timeouts=False)  # within a look of its bound, or past it
    harness.end(1, Outcome.NOT_EXECUTED)
    assert not harness.out and harness.dispatcher.endpoints["e1"].tripped
    harness.pass_ms(300.0, timeouts=False)
    assert not harness.out, "the next trial waits for its gap"
    while not harness.out:
        harness.pass_ms(5.0, timeouts=False)
    assert harness.sends()[0].start_by_ms == float("inf"), (
        "or an endpoint that is slow to connect stays cut off"
    )


TOGETHER = ((0, Outcome.CONNECT_FAILED, True), (1, Outcome.CONNECT_FAILED, False), (0, Outcome.FULL, False))


@pytest.mark.parametrize("kind, outcome, together", TOGETHER)
def test_endpoints_that_fail_by_turns_trip_together_unless_they_are_routes_apart(kind, outcome, together):
    harness = DispatcherHarness(Entry("e1", 1, kind), Entry("e2", 1, kind))
    both = [harness.dispatcher.endpoints[name] for name in ("e1", "e2")]
    for number, name in enumerate(("e1", "e2", "e1", "e2"), 1):
        for endpoint in both:
            endpoint.score = 0.9 if endpoint.name == name else 0.7  # by what they did before
        assert not any(endpoint.tripped for endpoint in both)
        harness.arrive(number)
        while not harness.out:  # a pause after a refusal
            harness.pass_ms(100.0, timeouts=False)
        harness.end(number, outcome)
        harness.withdraw(number)
    assert [endpoint.tripped for endpoint in both] == [together, together]


def test_one_error_at_each_of_two_endpoints_is_no_outage_of_both():
    harness = DispatcherHarness(Entry("e1", 1), Entry("e2", 1))
    both = [harness.dispatcher.endpoints[name] for name in ("e1", "e2")]
    for number, name in enumerate(("e1", "e2"), 1):
        for endpoint in both:
            endpoint.score = 0.9 if endpoint.name == name else 0.7  # by what they did before
        harness.arrive(number)
        harness.end(number, Outcome.ERROR)
        harness.withdraw(number)
    assert [endpoint.strikes for endpoint in both] == [2.0, 2.0]
    assert not any(endpoint.tripped for endpoint in both)


@pytest.mark.parametrize("zone, beside", ((0, True), (1, False)))
def test_as_connects_to_two_come_to_nothing_the_third_of_their_zone_is_taken_for_gone(zone, beside):
    harness = DispatcherHarness(Entry("e1", 1), Entry("e2", 1), Entry("e3", 1, zone=zone))
    harness.dispatcher.endpoints["e3"].score = 0.4
    given_up(harness, 1)
    assert harness.dispatcher.endpoints[harness.where(1)[0]].tripped
    harness.pass_ms(300.0, timeouts=False)
    harness.pass_ms(1_500.0, timeouts=False)
    harness.end(1, Outcome.CONNECT_FAILED)
    assert sorted(harness.where(1)) == ["e1", "e2"]
    assert harness.dispatcher.endpoints["e3"].tripped is beside


def test_a_successor_keeps_what_was_known_of_connects_that_nobody_answered():
    old, new = DispatcherHarness(Entry("e1", 1)), DispatcherHarness(Entry("e1", 1))
    given_up(old, 1)
    old.pass_ms(700.0, timeouts=False)
    told = learned.export(old.dispatcher)
    new.feed(LearnedStateRestored(told, ahead_ms=5_000.0))
    lane = new.dispatcher.lanes[1]
    assert (
        lane.connect_unanswered_at
        == old.dispatcher.lanes[1].connect_unanswered_at + 5_000.0
        > lane.answered_at
    )
    assert lane.strikes == old.dispatcher.lanes[1].strikes == 2.0
    assert new.dispatcher.connects_unanswered(lane)


def test_what_an_earlier_version_tells_is_taken_up_without_what_it_did_not_know():
    old, new = DispatcherHarness(Entry("e1", 1)), DispatcherHarness(Entry("e1", 1))
    given_up(old, 1)
    told = learned.export(old.dispatcher)
    told["lanes"] = [(key, values[:7], *flows) for key, values, *flows in told["lanes"]]
    new.feed(LearnedStateRestored(told))
    assert new.dispatcher.endpoints["e1"].tripped and not new.dispatcher.connects_unanswered(
        new.dispatcher.lanes[1]
    )
