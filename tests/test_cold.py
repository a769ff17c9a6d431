"""A destination that recovers cold is not overloaded, however many independent dispatchers call it."""

from __future__ import annotations

import pytest
from dispatcher_harness import DispatcherHarness, Entry

from crowpier import learned
from crowpier.interface import ColdStateRestored, LearnedStateRestored, Outcome
from lab.cold import SCENARIOS, Return

SCENARIO = {scenario.name: scenario for scenario in SCENARIOS}
SEEDS = range(1, 4)


def overloads(name, budget, size):
    """The runs in which dispatchers that had seen the outage overloaded the destination."""
    results = {seed: Return(budget, size, seed, SCENARIO[name]).play() for seed in SEEDS}
    return {seed: result for seed, result in results.items() if result.broken}


RESTARTS = ((2.0, 20), (2.0, 30), (5.0, 20), (5.0, 30), (5.0, 200), (20.0, 200))


@pytest.mark.parametrize("budget, size", RESTARTS)
def test_a_fleet_that_restarts_as_a_destination_recovers_does_not_overload_it(budget, size):
    assert not overloads("restarts at the return", budget, size)


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
def test_connects_pending_through_an_outage_do_not_overload_the_recovering_destination(name, budget, size):
    assert not overloads(name, budget, size)


ENDPOINTS = ((2.0, 30), (2.0, 200), (5.0, 30), (5.0, 200), (20.0, 200))


@pytest.mark.parametrize("budget, size", ENDPOINTS)
def test_a_dispatcher_that_sends_little_detects_an_outage_of_two_endpoints(budget, size):
    assert not overloads("two endpoints", budget, size)


def test_only_the_strict_count_includes_calls_that_hung_since_before_the_recovery():
    informed = strict = 0
    for seed in SEEDS:
        result = Return(20.0, 20, seed, SCENARIO["hangs, long"]).play()
        informed, strict = informed + result.told.fell, strict + result.strict.fell
    assert informed == 0 < strict


GAPS = ((1, 3.0), (2, 3.0), (3, 3.0), (1, 0.01), (2, 0.01), (3, 0.01))


@pytest.mark.parametrize("count, rate", GAPS)
def test_trials_at_several_endpoints_are_together_no_more_than_at_one(count, rate):
    # Of all dispatchers together: three quarters of the rate permitted on recovery, or of one per 500 ms.
    entries = [Entry(f"e{number}", 1) for number in range(count)]
    harness = DispatcherHarness(*entries, dispatchers=30)
    harness.feed(*(ColdStateRestored(entry.endpoint, rate) for entry in entries))
    per_s = sum(
        1000.0 / harness.dispatcher.cold_gap_ms(harness.dispatcher.endpoints[e.endpoint]) for e in entries
    )
    assert per_s == pytest.approx(0.75 * max(0.9 * 2.0 * 0.2 * rate, 2.0 / 30.0))


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
    assert min(opens) > 1_000.0, "each at a random time within its gap of forty seconds"


def connect_failed(harness, message, took_ms=1_500.0):
    """A connect that timed out, or was refused if it took less than `UNANSWERED_CONNECT_MS`."""
    harness.arrive(message)
    harness.pass_ms(took_ms, timeouts=False)
    harness.end(message, Outcome.CONNECT_FAILED)


@pytest.mark.parametrize("took_ms, least, most", ((30.0, 3, 3), (1_500.0, 0, 1)))
def test_after_a_connect_that_timed_out_calls_are_sent_one_at_a_time(took_ms, least, most):
    # The failed message and two new ones: all at once, or one as a trial within the trial gap.
    harness = DispatcherHarness(Entry("e1", 1))
    connect_failed(harness, 1, took_ms)
    harness.arrive(2)
    harness.arrive(3)
    harness.pass_ms(300.0, timeouts=False)
    assert least <= len(harness.out) <= most
    harness.pass_ms(400.0, timeouts=False)
    assert len(harness.out) == max(most, 1)


def test_an_endpoint_that_answers_after_an_unanswered_connect_is_cold():
    # The connect may be the only sign of an outage, so calls ramp up, the first after the cold gap.
    harness = DispatcherHarness(Entry("e1", 1))
    connect_failed(harness, 1)
    harness.pass_ms(700.0, timeouts=False)
    owner, attempt = next(iter(harness.out))
    harness.end(owner, Outcome.OK, attempt)
    for number in range(3, 8):
        harness.arrive(number)
    harness.pass_ms(100.0, timeouts=False)
    assert not harness.out
    harness.pass_ms(1_000.0, timeouts=False)
    assert 1 <= len(harness.out) < 5


def test_a_lost_connect_while_others_were_answered_is_no_outage():
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
def test_a_trial_that_connects_late_is_not_used_and_counts_as_a_failure(took_ms):
    # Calls waiting for a connection must not all arrive as the outage ends.
    harness = DispatcherHarness(Entry("e1", 1))
    harness.arrive(1)
    assert harness.sends()[0].start_by_ms == float("inf")
    harness.pass_ms(1_500.0, timeouts=False)
    harness.end(1, Outcome.CONNECT_FAILED)
    while not harness.out:
        harness.pass_ms(5.0, timeouts=False)
    trial = harness.sends()[0]
    assert trial.start_by_ms == pytest.approx(harness.sent[1][1][1] + 500.0)
    harness.pass_ms(took_ms, timeouts=False)  # within `START_CHECK_MS` of its limit, or past it
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
def test_endpoints_that_fail_alternately_trip_together_unless_they_are_separate_routes(
    kind, outcome, together
):
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


def test_one_error_at_each_of_two_endpoints_trips_neither():
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


@pytest.mark.parametrize("zone, tripped", ((0, True), (1, False)))
def test_unanswered_connects_to_two_endpoints_trip_the_third_of_their_zone(zone, tripped):
    harness = DispatcherHarness(Entry("e1", 1), Entry("e2", 1), Entry("e3", 1, zone=zone))
    harness.dispatcher.endpoints["e3"].score = 0.4
    connect_failed(harness, 1)
    assert harness.dispatcher.endpoints[harness.where(1)[0]].tripped
    harness.pass_ms(300.0, timeouts=False)
    harness.pass_ms(1_500.0, timeouts=False)
    harness.end(1, Outcome.CONNECT_FAILED)
    assert sorted(harness.where(1)) == ["e1", "e2"]
    assert harness.dispatcher.endpoints["e3"].tripped is tripped


def test_a_successor_inherits_unanswered_connects():
    old, new = DispatcherHarness(Entry("e1", 1)), DispatcherHarness(Entry("e1", 1))
    connect_failed(old, 1)
    old.pass_ms(700.0, timeouts=False)
    state = learned.export(old.dispatcher)
    new.feed(LearnedStateRestored(state, ahead_ms=5_000.0))
    lane = new.dispatcher.lanes[1]
    assert (
        lane.connect_unanswered_at
        == old.dispatcher.lanes[1].connect_unanswered_at + 5_000.0
        > lane.answered_at
    )
    assert lane.strikes == old.dispatcher.lanes[1].strikes == 2.0
    assert new.dispatcher.connects_unanswered(lane)


def test_learned_state_of_an_older_build_is_restored_without_newer_attributes():
    old, new = DispatcherHarness(Entry("e1", 1)), DispatcherHarness(Entry("e1", 1))
    connect_failed(old, 1)
    state = learned.export(old.dispatcher)
    state["lanes"] = [(key, values[:7], *flows) for key, values, *flows in state["lanes"]]
    new.feed(LearnedStateRestored(state))
    assert new.dispatcher.endpoints["e1"].tripped and not new.dispatcher.connects_unanswered(
        new.dispatcher.lanes[1]
    )
