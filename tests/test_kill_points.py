"""Real dispatchers that are killed at their system calls: what no client was told of is never sent."""

from lab.kills import HOWS, KillPoint, play_points

FIRST_CALLS = range(1, 11)  # the records and answers of a burst


def test_a_kill_at_any_system_call_of_a_burst_sends_on_nothing_that_was_not_answered():
    plans = [(KillPoint(nth, how),) for nth in FIRST_CALLS for how in HOWS]
    told, reached = play_points(1, plans)
    assert all(reached), "the burst has fewer system calls than are counted"
    assert (told.unheard_sent, told.endless, told.broken) == (0, 0, [])
