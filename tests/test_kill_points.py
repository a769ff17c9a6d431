"""Real dispatchers that are killed at their system calls, and behind their answers, judged by the rules of
the lab: what no client was told of is never sent, what one was told of has its end."""

import itertools

import pytest

from lab.kills import HOWS, KillPoint, Script, play_outside, play_points

PARTS = 4  # the system calls of a burst are shared out: each test takes every fourth
FEWEST = 50  # system calls that a burst of six has at least, from its first record to its last end
A_RUN = 12  # dispatchers side by side
SPREAD = {Script.TERM: (1, 4, 9, 16, 25), Script.RELOAD: (1, 5, 12, 20, 33), Script.HANDOVER: (1, 20, 45, 70)}


def sound(told):
    return (told.unheard_sent, told.endless, told.broken) == (0, 0, [])


@pytest.mark.parametrize("part", range(PARTS))
def test_a_kill_at_each_system_call_of_a_burst_sends_on_nothing_that_was_not_answered(part):
    nth, reached, given_up, untried = 1 + part, True, 0, 0
    while reached:
        calls = [nth + PARTS * step for step in range(A_RUN // len(HOWS))]
        told, found = play_points(part, [(KillPoint(call, how),) for call in calls for how in HOWS])
        assert sound(told), told
        given_up, untried = given_up + told.given_up, untried + told.untried
        reached, nth = any(found), calls[-1] + PARTS
    assert nth > FEWEST, "the burst has too few system calls to prove anything"
    assert given_up <= 0.2 * untried, "a kill at a call's own record or byte dooms it; more than these are"


@pytest.mark.parametrize("script", SPREAD)
def test_a_kill_while_the_process_ends_reloads_or_hands_over_sends_on_nothing_unheard(script):
    plans = [(KillPoint(nth, how),) for nth in SPREAD[script] for how in HOWS]
    told, found = play_points(1, plans, script)
    assert sound(told), told
    assert any(found), "none of the points was reached"


def test_a_second_kill_as_the_next_process_starts_sends_on_nothing_unheard():
    pairs = itertools.product((2, 5, 9), (1, 2, 4, 9))
    plans = [(KillPoint(first, "after"), KillPoint(second, "before")) for first, second in pairs]
    told, found = play_points(2, plans)
    assert sound(told), told
    assert any(found), "none of the points was reached"


def test_kills_from_outside_behind_answers_send_on_nothing_unheard_and_give_up_little():
    told = play_outside(3, 8)
    assert sound(told), told
    assert told.given_up <= 0.5 * told.untried, told
