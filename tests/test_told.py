"""When dispatchers have what discovery tells, on virtual time: by 6 s after it could be reached, and not all
of them in step."""

import math
import random

import pytest
from directories import Directory, Watches

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

TOLD_S = 6.0  # after it could be reached, what discovery has counts as told
UP_S = 1.0  # what is left for the answer itself
FLEETS = (1, 30, 200, 1200)
DOWN_AT, BACK_AT, END = 5.0, 13.0, 19.5


def enough(dispatchers):
    """Calls a second that discovery must serve: all of them in a period, and two deviations for chance."""
    return (dispatchers + 2.0 * math.sqrt(dispatchers)) / PERIOD_S


def never_in_step(directory, dispatchers, spread_s=PERIOD_S, end=END):
    """All ask once in `spread_s` at most, or ten in a second; and five deviations for chance."""
    for window_s in (0.1, 1.0):
        mean = window_s * max(1.0 / discovery.SPREAD_PER_DISPATCHER_S, dispatchers / spread_s)
        busiest = directory.busiest(0.0, end, window_s)
        assert busiest <= mean + 5.0 * math.sqrt(mean), f"{busiest} calls in {window_s} s"


def test_the_worst_cases_are_sums_of_constants_that_leave_a_second_for_the_answer():
    assert PERIOD_S + PERIOD_S + UP_S <= TOLD_S, "a period to the first call, which is refused, another one"
    assert CROWDED_PERIOD_S + QUICK_RETRY_S + UP_S <= TOLD_S, (
        "a call that was let wait, the next one, which is refused"
    )
    assert SILENCE_S + SILENCE_RECONNECT_S + QUICK_RETRY_S + UP_S <= TOLD_S, (
        "a watch that fell silent, a refusal"
    )
    assert discovery.ANSWER_S >= TOLD_S - PERIOD_S, "no answer is given up that would come in time"


@pytest.mark.parametrize(
    ("dispatchers", "way"),
    [(dispatchers, way) for dispatchers in FLEETS[:3] for way in ("503", "refused", "cut", "lost")]
    + [(1200, "503")],
)
def test_after_an_outage_all_are_told_within_6_s_though_each_is_refused_once(monkeypatch, dispatchers, way):
    serves = {"per_s": enough(dispatchers), "late_s": 0.8, "refuse_from": BACK_AT}
    directory = Directory(1, down_at=DOWN_AT, back_at=BACK_AT, way=way, **serves)
    watches = Watches(directory, dispatchers, 1).run(monkeypatch, END)
    assert watches.latest(BACK_AT) <= TOLD_S
    never_in_step(directory, dispatchers, SILENCE_RECONNECT_S if way == "cut" else PERIOD_S)


@pytest.mark.parametrize("dispatchers", FLEETS)
def test_after_a_restart_of_all_they_are_told_within_6_s_though_each_is_refused_once(
    monkeypatch, dispatchers
):
    directory = Directory(2, enough(dispatchers), late_s=0.8, refuse_from=0.0)
    watches = Watches(directory, dispatchers, 2).run(monkeypatch, 7.0)
    assert watches.latest(0.0) <= TOLD_S
    never_in_step(directory, dispatchers)


@pytest.mark.parametrize("dispatchers", FLEETS)
def test_when_all_watches_fall_silent_they_are_told_within_6_s_though_each_is_refused_once(
    monkeypatch, dispatchers
):
    directory = Directory(3, late_s=0.8, silent_at=DOWN_AT, refuse_from=DOWN_AT)
    watches = Watches(directory, dispatchers, 3).run(monkeypatch, DOWN_AT + 7.0)
    assert watches.latest(DOWN_AT) <= TOLD_S
    never_in_step(directory, dispatchers, SILENCE_RECONNECT_S / 2.0)  # two calls of each


@pytest.mark.parametrize("dispatchers", FLEETS[:3])
def test_an_answer_that_comes_after_the_next_call_was_due_is_heard(monkeypatch, dispatchers):
    # Guards against giving up what was about to come, and asking for it again, and again.
    directory = Directory(4, late_s=0.0, down_at=DOWN_AT, back_at=BACK_AT)
    directory.always_s = 3.3
    watches = Watches(directory, dispatchers, 4).run(monkeypatch, END)
    assert watches.latest(BACK_AT) <= TOLD_S


@pytest.mark.parametrize("part, refused", [(1.0, True), (1.0, False), (0.5, False)])
@pytest.mark.parametrize("down_s, patience_s", [(8.0, 2.0), (8.0, 3.0), (25.0, 2.0), (48.0, 1.1)])
@pytest.mark.parametrize("dispatchers", FLEETS[:3])
def test_a_discovery_that_is_down_and_says_so_late_is_asked_in_time_for_its_return(
    monkeypatch, dispatchers, down_s, patience_s, part, refused
):
    back_at = DOWN_AT + down_s
    serves = {
        "per_s": part * enough(dispatchers),
        "late_s": 0.8,
        "refuse_from": back_at if refused else math.inf,
    }
    directory = Directory(5, patience_s=patience_s, down_at=DOWN_AT, back_at=back_at, way="slow", **serves)
    watches = Watches(directory, dispatchers, 5).run(monkeypatch, back_at + 6.5)
    assert watches.latest(back_at) <= TOLD_S
    # Those who come after a longer rest and are refused come again at once: half as many again in a second.
    never_in_step(directory, dispatchers, PERIOD_S / 1.5 if refused else PERIOD_S, back_at + 6.5)


def test_1200_are_told_by_a_discovery_that_said_late_that_it_was_down(monkeypatch):
    directory = Directory(
        5, enough(1200), late_s=0.8, down_at=DOWN_AT, back_at=BACK_AT, way="slow", refuse_from=BACK_AT
    )
    watches = Watches(directory, 1200, 5).run(monkeypatch, END)
    assert watches.latest(BACK_AT) <= TOLD_S
    never_in_step(directory, 1200, PERIOD_S / 1.5)


@pytest.mark.parametrize("refuse_from", [DOWN_AT, float("inf")])
def test_after_a_move_of_all_at_once_they_are_told_within_6_s(monkeypatch, refuse_from):
    # With a refusal of each they are told where discovery serves them at once, as all have come at once.
    per_s = enough(200) if refuse_from > DOWN_AT else 10.0 * enough(200)
    directory = Directory(8, per_s, late_s=0.8, down_at=DOWN_AT, back_at=DOWN_AT, refuse_from=refuse_from)
    watches = Watches(directory, 200, 8)
    watches.moved_at = DOWN_AT
    assert watches.run(monkeypatch, END).latest(DOWN_AT) <= TOLD_S
    directory.asked = [at for at in directory.asked if at > DOWN_AT]  # what follows the move is not in step
    never_in_step(directory, 200)


@pytest.mark.parametrize("dispatchers", FLEETS)
def test_after_a_move_of_all_at_once_each_may_be_refused_though_discovery_serves_just_enough(
    monkeypatch, dispatchers
):
    serves = {"per_s": enough(dispatchers), "late_s": 0.8, "refuse_from": DOWN_AT}
    directory = Directory(8, down_at=DOWN_AT, back_at=DOWN_AT, **serves)
    watches = Watches(directory, dispatchers, 8)
    watches.moved_at = DOWN_AT
    assert watches.run(monkeypatch, END).latest(DOWN_AT) <= TOLD_S
    directory.asked = [at for at in directory.asked if at > DOWN_AT]  # what follows the move is not in step
    never_in_step(directory, dispatchers)


@pytest.mark.parametrize("dispatchers", FLEETS)
def test_when_all_watches_fall_silent_more_than_enough_calls_are_needed_but_not_any_number(
    monkeypatch, dispatchers
):
    # Two calls of each begin within 3 s, as watches fall silent: what suffices after an outage is too little.
    directory = Directory(
        3, 1.6 * enough(dispatchers), late_s=0.8, silent_at=DOWN_AT + 2.0, refuse_from=DOWN_AT + 2.0
    )
    watches = Watches(directory, dispatchers, 3).run(monkeypatch, DOWN_AT + 9.0)
    assert watches.latest(DOWN_AT + 2.0) <= TOLD_S


@pytest.mark.parametrize("dispatchers", FLEETS[1:])
def test_when_all_watches_fall_silent_and_just_enough_are_served_each_asks_but_twice(
    monkeypatch, dispatchers
):
    # Guards against a refusal that came late, from a queue of their own making, and 4.5 s of rest for it.
    silent_at = DOWN_AT + 2.0
    directory = Directory(3, enough(dispatchers), late_s=0.8, silent_at=silent_at, refuse_from=silent_at)
    watches = Watches(directory, dispatchers, 3).run(monkeypatch, silent_at + 8.0)
    assert watches.latest(silent_at) <= TOLD_S + 1.3
    assert sum(at > silent_at for at in directory.asked) == 2 * dispatchers


@pytest.mark.parametrize("dispatchers", FLEETS[1:3])
def test_where_half_of_them_are_served_in_a_period_all_are_told_within_6_s(monkeypatch, dispatchers):
    directory = Directory(6, 0.5 * enough(dispatchers), down_at=DOWN_AT, back_at=BACK_AT)
    watches = Watches(directory, dispatchers, 6).run(monkeypatch, END)
    assert watches.latest(BACK_AT) <= TOLD_S


@pytest.mark.parametrize(
    ("part", "patience_s", "within_s"), [(1 / 3, 2.0, 12.0), (1 / 4, 2.0, 25.0), (1 / 4, 3.0, 30.0)]
)
def test_where_fewer_are_served_calls_become_rarer_until_all_are_told(
    monkeypatch, part, patience_s, within_s
):
    # Guards against a directory that is kept from answering anybody by calls that it refuses.
    directory = Directory(7, part * enough(200), patience_s, down_at=DOWN_AT, back_at=BACK_AT)
    watches = Watches(directory, 200, 7).run(monkeypatch, BACK_AT + within_s)
    assert watches.latest(BACK_AT) <= within_s


def test_calls_that_are_refused_late_become_rarer_only_after_many_where_discovery_may_be_down():
    asks = ReconnectSchedule(random.Random(1), 200)
    rests = [asks.delay_after_failure(2.0) for _ in range(60)]
    assert max(rests[:MAX_CROWDED_CALLS]) == CROWDED_PERIOD_S and rests[1:MAX_CROWDED_CALLS] == [
        CROWDED_PERIOD_S
    ] * (MAX_CROWDED_CALLS - 1)
    assert (
        OVERLOAD_BACKOFF_S
        <= rests[MAX_CROWDED_CALLS]
        <= OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_STEP_S
        < max(rests)
        <= MAX_OVERLOAD_BACKOFF_S
    )
    assert asks.delay_after_failure(0.1) == QUICK_RETRY_S, "it may be back, and have refused this one"
    assert asks.delay_after_failure(0.1) == PERIOD_S and asks.delay_after_failure(2.0) <= CROWDED_PERIOD_S, (
        "another word is a new beginning"
    )
    few = ReconnectSchedule(random.Random(1), 5)
    assert max(few.delay_after_failure(2.0) for _ in range(50)) <= PERIOD_S, "so few do not crowd it"
    moved = [ReconnectSchedule(random.Random(seed), 20) for seed in range(20)]
    for one in moved:
        one.initial_delay(), one.reset(), one.initial_delay()
    assert len({one.delay_after_failure(1.5) for one in moved}) == 20, "nor go on in step"


def test_calls_that_are_refused_late_become_rarer_at_once_where_discovery_said_at_once_that_it_was_down():
    for failed in ((0.1, 0.1), (-math.inf, 0.1)):
        asks = ReconnectSchedule(random.Random(1), 200)
        for waited_s in failed:
            asks.delay_after_failure(waited_s)
        rests = [asks.delay_after_failure(2.0) for _ in range(50)]
        assert (
            OVERLOAD_BACKOFF_S
            <= rests[0]
            <= OVERLOAD_BACKOFF_S + OVERLOAD_BACKOFF_STEP_S
            < max(rests)
            <= MAX_OVERLOAD_BACKOFF_S
        )
        asks.reset()
        assert asks.delay_after_failure(2.0) <= CROWDED_PERIOD_S, (
            "what was before a word of the watch is over"
        )
    for failed in ((0.1,), (0.1, 2.0, 0.1, 0.1)):  # a refusal of one; the return of one that was down
        asks = ReconnectSchedule(random.Random(1), 200)
        for waited_s in failed:
            asks.delay_after_failure(waited_s)
        assert asks.delay_after_failure(2.0) <= CROWDED_PERIOD_S


def test_a_refusal_of_an_older_call_says_nothing_once_the_newest_was_refused(monkeypatch):
    # Guards against a rest for a queue that is no more: the newest was refused after discovery was back.
    directory = Directory(9, patience_s=3.0, down_at=DOWN_AT, back_at=DOWN_AT + 1.2, way="slow")
    directory.refuse_from = directory.back_at
    watches = Watches(directory, 200, 9).run(monkeypatch, END)
    assert watches.latest(directory.back_at) <= TOLD_S


def test_a_watch_that_ends_at_once_is_not_asked_for_more_often_than_calls_that_fail():
    asks = ReconnectSchedule(random.Random(1), 200)
    assert all(0.5 + asks.delay_after_end(0.5) >= PERIOD_S for _ in range(100))
    spread = [asks.delay_after_end(60.0) for _ in range(1000)]
    assert min(spread) < 0.1 and 2.3 < max(spread) <= PERIOD_S


def test_those_who_asked_at_once_do_not_go_on_in_step():
    # Guards against all moved by one configuration, which keep their places from then on.
    asks = [ReconnectSchedule(random.Random(seed), 200) for seed in range(200)]
    for waited_s, top_s in ((0.1, PERIOD_S), (2.0, CROWDED_PERIOD_S)):
        for one in asks:
            one.initial_spread_s = 0.0
            one.reset()
        assert {one.initial_delay() for one in asks} == {0.0}
        rests = sorted(one.delay_after_failure(waited_s) for one in asks)
        assert rests[0] < waited_s + 0.1 and rests[-1] <= top_s
        assert max(b - a for a, b in zip(rests, rests[10:], strict=False)) < 0.4
        if waited_s >= QUEUED_S:
            assert {one.delay_after_failure(0.1) for one in asks} == {QUICK_RETRY_S}, (
                "each after a rest of its own"
            )
        assert {one.delay_after_failure(0.1) for one in asks} == {PERIOD_S}
    for one in asks:
        one.initial_delay()
    besides = sorted(one.delay_to_parallel_call() for one in asks)
    assert besides[0] < PERIOD_S + 0.1 and CROWDED_PERIOD_S - 0.1 < besides[-1] <= CROWDED_PERIOD_S, (
        "nor where they get no answer"
    )


def test_only_the_first_refusal_after_a_silence_is_answered_by_asking_again_at_once():
    asks = ReconnectSchedule(random.Random(1), 200)
    asks.delay_after_silence()
    assert asks.delay_after_failure(0.1) == QUICK_RETRY_S and asks.delay_after_failure(0.1) == PERIOD_S
    asks.delay_after_silence()
    assert asks.delay_after_failure() == PERIOD_S, "nobody was there to refuse"
