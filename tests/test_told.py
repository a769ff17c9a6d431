"""Reconnects of a fleet to discovery, on virtual time: each dispatcher has the list within 6 s after
discovery becomes reachable, and calls are spread."""

import math
import random

import pytest
from directories import SimulatedDiscovery, WatchFleet

from rushhitch import discovery
from rushhitch.discovery import (
    CROWDED_PERIOD_S,
    MAX_CROWDED_CALLS,
    MAX_OVERLOAD_BACKOFF_S,
    OVERLOAD_BACKOFF_S,
    OVERLOAD_BACKOFF_STEP_S,
    PERIOD_S,
    QUEUED_S,
    QUICK_RETRY_S,
    SILENCE_RECONNECT_S,
    SILENCE_S,
    ReconnectSchedule,
)

UPDATE_DEADLINE_S = 6.0  # after discovery becomes reachable
ANSWER_RESERVE_S = 1.0  # for the answer itself
FLEET_SIZES = (1, 30, 200, 1200)
DOWN_AT_S, BACK_AT_S, END_S = 5.0, 13.0, 19.5


def sufficient_rate(dispatchers):
    """Calls per second that discovery must serve: all in one period, plus two standard deviations."""
    return (dispatchers + 2.0 * math.sqrt(dispatchers)) / PERIOD_S


def check_calls_spread(service, dispatchers, spread_s=PERIOD_S, end=END_S):
    """Calls may come no faster than each dispatcher once per `spread_s`, or ten per second in all; five
    standard deviations are allowed."""
    for window_s in (0.1, 1.0):
        mean = window_s * max(1.0 / discovery.SPREAD_PER_DISPATCHER_S, dispatchers / spread_s)
        busiest = service.busiest(0.0, end, window_s)
        assert busiest <= mean + 5.0 * math.sqrt(mean), f"{busiest} calls in {window_s} s"


def test_the_longest_delays_leave_a_second_for_the_answer():
    assert PERIOD_S + PERIOD_S + ANSWER_RESERVE_S <= UPDATE_DEADLINE_S, (
        "a period before the first call, which is refused, and another one"
    )
    assert CROWDED_PERIOD_S + QUICK_RETRY_S + ANSWER_RESERVE_S <= UPDATE_DEADLINE_S, (
        "a late refusal, then a quick one"
    )
    assert SILENCE_S + SILENCE_RECONNECT_S + QUICK_RETRY_S + ANSWER_RESERVE_S <= UPDATE_DEADLINE_S, (
        "a watch that fell silent, a refusal"
    )
    assert discovery.ANSWER_S >= UPDATE_DEADLINE_S - PERIOD_S, (
        "no call is cancelled whose answer would be in time"
    )


@pytest.mark.parametrize(
    ("dispatchers", "outage"),
    [(dispatchers, outage) for dispatchers in FLEET_SIZES[:3] for outage in ("503", "refused", "cut", "lost")]
    + [(1200, "503")],
)
def test_after_an_outage_all_have_the_list_within_6_s_with_one_refusal_each(monkeypatch, dispatchers, outage):
    serves = {"per_s": sufficient_rate(dispatchers), "late_s": 0.8, "refuse_from": BACK_AT_S}
    service = SimulatedDiscovery(1, down_at=DOWN_AT_S, back_at=BACK_AT_S, outage=outage, **serves)
    watches = WatchFleet(service, dispatchers, 1).run(monkeypatch, END_S)
    assert watches.latest(BACK_AT_S) <= UPDATE_DEADLINE_S
    check_calls_spread(service, dispatchers, SILENCE_RECONNECT_S if outage == "cut" else PERIOD_S)


@pytest.mark.parametrize("dispatchers", FLEET_SIZES)
def test_after_a_restart_of_all_they_have_the_list_within_6_s_with_one_refusal_each(monkeypatch, dispatchers):
    service = SimulatedDiscovery(2, sufficient_rate(dispatchers), late_s=0.8, refuse_from=0.0)
    watches = WatchFleet(service, dispatchers, 2).run(monkeypatch, 7.0)
    assert watches.latest(0.0) <= UPDATE_DEADLINE_S
    check_calls_spread(service, dispatchers)


@pytest.mark.parametrize("dispatchers", FLEET_SIZES)
def test_after_a_silence_of_all_watches_they_have_the_list_within_6_s_with_one_refusal_each(
    monkeypatch, dispatchers
):
    service = SimulatedDiscovery(3, late_s=0.8, silent_at=DOWN_AT_S, refuse_from=DOWN_AT_S)
    watches = WatchFleet(service, dispatchers, 3).run(monkeypatch, DOWN_AT_S + 7.0)
    assert watches.latest(DOWN_AT_S) <= UPDATE_DEADLINE_S
    check_calls_spread(service, dispatchers, SILENCE_RECONNECT_S / 2.0)  # two calls of each


@pytest.mark.parametrize("dispatchers", FLEET_SIZES[:3])
def test_an_answer_that_arrives_after_the_next_call_is_due_is_used(monkeypatch, dispatchers):
    # A call must not be cancelled and repeated while its answer is on the way.
    service = SimulatedDiscovery(4, late_s=0.0, down_at=DOWN_AT_S, back_at=BACK_AT_S)
    service.always_s = 3.3
    watches = WatchFleet(service, dispatchers, 4).run(monkeypatch, END_S)
    assert watches.latest(BACK_AT_S) <= UPDATE_DEADLINE_S


@pytest.mark.parametrize("part, refused", [(1.0, True), (1.0, False), (0.5, False)])
@pytest.mark.parametrize("down_s, patience_s", [(8.0, 2.0), (8.0, 3.0), (25.0, 2.0), (48.0, 1.1)])
@pytest.mark.parametrize("dispatchers", FLEET_SIZES[:3])
def test_a_discovery_that_refuses_late_while_down_is_called_in_time_after_its_return(
    monkeypatch, dispatchers, down_s, patience_s, part, refused
):
    back_at = DOWN_AT_S + down_s
    serves = {
        "per_s": part * sufficient_rate(dispatchers),
        "late_s": 0.8,
        "refuse_from": back_at if refused else math.inf,
    }
    service = SimulatedDiscovery(
        5, patience_s=patience_s, down_at=DOWN_AT_S, back_at=back_at, outage="slow", **serves
    )
    watches = WatchFleet(service, dispatchers, 5).run(monkeypatch, back_at + 6.5)
    assert watches.latest(back_at) <= UPDATE_DEADLINE_S
    # Calls refused after a longer delay are retried quickly, which makes half as many again per second.
    check_calls_spread(service, dispatchers, PERIOD_S / 1.5 if refused else PERIOD_S, back_at + 6.5)


def test_1200_have_the_list_from_a_discovery_that_refused_late_while_down(monkeypatch):
    service = SimulatedDiscovery(
        5,
        sufficient_rate(1200),
        late_s=0.8,
        down_at=DOWN_AT_S,
        back_at=BACK_AT_S,
        outage="slow",
        refuse_from=BACK_AT_S,
    )
    watches = WatchFleet(service, 1200, 5).run(monkeypatch, END_S)
    assert watches.latest(BACK_AT_S) <= UPDATE_DEADLINE_S
    check_calls_spread(service, 1200, PERIOD_S / 1.5)


@pytest.mark.parametrize("refuse_from", [DOWN_AT_S, float("inf")])
def test_after_a_simultaneous_change_of_address_all_have_the_list_within_6_s(monkeypatch, refuse_from):
    # All call at once: if each is also refused once, discovery must be able to serve them at once.
    per_s = sufficient_rate(200) if refuse_from > DOWN_AT_S else 10.0 * sufficient_rate(200)
    service = SimulatedDiscovery(
        8, per_s, late_s=0.8, down_at=DOWN_AT_S, back_at=DOWN_AT_S, refuse_from=refuse_from
    )
    watches = WatchFleet(service, 200, 8)
    watches.address_changed_at = DOWN_AT_S
    assert watches.run(monkeypatch, END_S).latest(DOWN_AT_S) <= UPDATE_DEADLINE_S
    service.call_times = [
        at for at in service.call_times if at > DOWN_AT_S
    ]  # what follows the move is not in step
    check_calls_spread(service, 200)


@pytest.mark.parametrize("dispatchers", FLEET_SIZES)
def test_after_a_simultaneous_change_of_address_a_sufficient_rate_allows_one_refusal_each(
    monkeypatch, dispatchers
):
    serves = {"per_s": sufficient_rate(dispatchers), "late_s": 0.8, "refuse_from": DOWN_AT_S}
    service = SimulatedDiscovery(8, down_at=DOWN_AT_S, back_at=DOWN_AT_S, **serves)
    watches = WatchFleet(service, dispatchers, 8)
    watches.address_changed_at = DOWN_AT_S
    assert watches.run(monkeypatch, END_S).latest(DOWN_AT_S) <= UPDATE_DEADLINE_S
    service.call_times = [
        at for at in service.call_times if at > DOWN_AT_S
    ]  # what follows the move is not in step
    check_calls_spread(service, dispatchers)


@pytest.mark.parametrize("dispatchers", FLEET_SIZES)
def test_after_a_silence_of_all_watches_1_6_times_the_sufficient_rate_is_enough(monkeypatch, dispatchers):
    # Each dispatcher makes two calls within 3 s of a silence, so the rate after an outage is not sufficient.
    service = SimulatedDiscovery(
        3,
        1.6 * sufficient_rate(dispatchers),
        late_s=0.8,
        silent_at=DOWN_AT_S + 2.0,
        refuse_from=DOWN_AT_S + 2.0,
    )
    watches = WatchFleet(service, dispatchers, 3).run(monkeypatch, DOWN_AT_S + 9.0)
    assert watches.latest(DOWN_AT_S + 2.0) <= UPDATE_DEADLINE_S


@pytest.mark.parametrize("dispatchers", FLEET_SIZES[1:])
def test_after_a_silence_of_all_watches_each_calls_twice_at_the_sufficient_rate(monkeypatch, dispatchers):
    # A late refusal, from a queue that the fleet itself caused, must not lead to the delay of 4.5 s.
    silent_at = DOWN_AT_S + 2.0
    service = SimulatedDiscovery(
        3, sufficient_rate(dispatchers), late_s=0.8, silent_at=silent_at, refuse_from=silent_at
    )
    watches = WatchFleet(service, dispatchers, 3).run(monkeypatch, silent_at + 8.0)
    assert watches.latest(silent_at) <= UPDATE_DEADLINE_S + 1.3
    assert sum(at > silent_at for at in service.call_times) == 2 * dispatchers


@pytest.mark.parametrize("dispatchers", FLEET_SIZES[1:3])
def test_if_half_are_served_in_a_period_all_have_the_list_within_6_s(monkeypatch, dispatchers):
    service = SimulatedDiscovery(6, 0.5 * sufficient_rate(dispatchers), down_at=DOWN_AT_S, back_at=BACK_AT_S)
    watches = WatchFleet(service, dispatchers, 6).run(monkeypatch, END_S)
    assert watches.latest(BACK_AT_S) <= UPDATE_DEADLINE_S


@pytest.mark.parametrize(
    ("part", "patience_s", "within_s"), [(1 / 3, 2.0, 12.0), (1 / 4, 2.0, 25.0), (1 / 4, 3.0, 30.0)]
)
def test_if_fewer_are_served_calls_back_off_until_all_have_the_list(monkeypatch, part, patience_s, within_s):
    # Refused calls must not keep discovery from answering any dispatcher at all.
    service = SimulatedDiscovery(
        7, part * sufficient_rate(200), patience_s, down_at=DOWN_AT_S, back_at=BACK_AT_S
    )
    watches = WatchFleet(service, 200, 7).run(monkeypatch, BACK_AT_S + within_s)
    assert watches.latest(BACK_AT_S) <= within_s


def test_late_refusals_lead_to_back_off_only_after_many_if_discovery_may_be_down():
    schedule = ReconnectSchedule(random.Random(1), 200)
    delays = [schedule.delay_after_failure(2.0) for _ in range(60)]
    assert max(delays[:MAX_CROWDED_CALLS]) == CROWDED_PERIOD_S and delays[1:MAX_CROWDED_CALLS] == [
        CROWDED_PERIOD_S
    ] * (MAX_CROWDED_CALLS - 1)
    assert (
        OVERLOAD_BACKOFF_S
        <= delays[MAX_CROWDED_CALLS]
        <= OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_STEP_S
        < max(delays)
        <= MAX_OVERLOAD_BACKOFF_S
    )
    assert schedule.delay_after_failure(0.1) == QUICK_RETRY_S, (
        "discovery may be back and have refused this call only"
    )
    assert (
        schedule.delay_after_failure(0.1) == PERIOD_S
        and schedule.delay_after_failure(2.0) <= CROWDED_PERIOD_S
    ), "another kind of failure starts anew"
    small_fleet = ReconnectSchedule(random.Random(1), 5)
    assert max(small_fleet.delay_after_failure(2.0) for _ in range(50)) <= PERIOD_S, (
        "a small fleet cannot overload it"
    )
    moved = [ReconnectSchedule(random.Random(seed), 20) for seed in range(20)]
    for schedule in moved:
        schedule.initial_delay(), schedule.reset(), schedule.initial_delay()
    assert len({schedule.delay_after_failure(1.5) for schedule in moved}) == 20, "still synchronised"


def test_late_refusals_lead_to_back_off_at_once_if_discovery_refused_fast_while_down():
    for failed in ((0.1, 0.1), (-math.inf, 0.1)):
        schedule = ReconnectSchedule(random.Random(1), 200)
        for waited_s in failed:
            schedule.delay_after_failure(waited_s)
        delays = [schedule.delay_after_failure(2.0) for _ in range(50)]
        assert (
            OVERLOAD_BACKOFF_S
            <= delays[0]
            <= OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_STEP_S
            < max(delays)
            <= MAX_OVERLOAD_BACKOFF_S
        )
        schedule.reset()
        assert schedule.delay_after_failure(2.0) <= CROWDED_PERIOD_S, "an update resets the back-off"
    for failed in ((0.1,), (0.1, 2.0, 0.1, 0.1)):  # a refusal of one; the return of one that was down
        schedule = ReconnectSchedule(random.Random(1), 200)
        for waited_s in failed:
            schedule.delay_after_failure(waited_s)
        assert schedule.delay_after_failure(2.0) <= CROWDED_PERIOD_S


def test_a_refusal_of_an_older_call_is_ignored_once_the_newest_was_refused(monkeypatch):
    # No delay for a queue that has gone: the newest call was refused after discovery was back.
    service = SimulatedDiscovery(9, patience_s=3.0, down_at=DOWN_AT_S, back_at=DOWN_AT_S + 1.2, outage="slow")
    service.refuse_from = service.back_at
    watches = WatchFleet(service, 200, 9).run(monkeypatch, END_S)
    assert watches.latest(service.back_at) <= UPDATE_DEADLINE_S


def test_a_watch_that_ends_at_once_is_requested_no_more_often_than_after_failures():
    schedule = ReconnectSchedule(random.Random(1), 200)
    assert all(0.5 + schedule.delay_after_end(0.5) >= PERIOD_S for _ in range(100))
    spread = [schedule.delay_after_end(60.0) for _ in range(1000)]
    assert min(spread) < 0.1 and 2.3 < max(spread) <= PERIOD_S


def test_dispatchers_that_call_simultaneously_do_not_stay_synchronised():
    # Dispatchers that change their address together must not stay synchronised from then on.
    schedules = [ReconnectSchedule(random.Random(seed), 200) for seed in range(200)]
    for waited_s, top_s in ((0.1, PERIOD_S), (2.0, CROWDED_PERIOD_S)):
        for schedule in schedules:
            schedule.initial_spread_s = 0.0
            schedule.reset()
        assert {schedule.initial_delay() for schedule in schedules} == {0.0}
        delays = sorted(schedule.delay_after_failure(waited_s) for schedule in schedules)
        assert delays[0] < waited_s + 0.1 and delays[-1] <= top_s
        assert max(b - a for a, b in zip(delays, delays[10:], strict=False)) < 0.4
        if waited_s >= QUEUED_S:
            assert {schedule.delay_after_failure(0.1) for schedule in schedules} == {QUICK_RETRY_S}, (
                "after a long delay"
            )
        assert {schedule.delay_after_failure(0.1) for schedule in schedules} == {PERIOD_S}
    for schedule in schedules:
        schedule.initial_delay()
    delays_to_parallel_calls = sorted(schedule.delay_to_parallel_call() for schedule in schedules)
    assert (
        delays_to_parallel_calls[0] < PERIOD_S + 0.1
        and CROWDED_PERIOD_S - 0.1 < delays_to_parallel_calls[-1] <= CROWDED_PERIOD_S
    ), "still synchronised without an answer"


def test_only_the_first_refusal_after_a_silence_is_retried_quickly():
    schedule = ReconnectSchedule(random.Random(1), 200)
    schedule.delay_after_silence()
    assert (
        schedule.delay_after_failure(0.1) == QUICK_RETRY_S and schedule.delay_after_failure(0.1) == PERIOD_S
    )
    schedule.delay_after_silence()
    assert schedule.delay_after_failure() == PERIOD_S, "there was no refusal"
