"""Calls on connections that went silent are cancelled while other messages wait."""

from dispatcher_harness import SAFE, UNSAFE, DispatcherHarness

from crowpier.interface import Cancel, Entry, Outcome


def cancelled(harness):
    return [(action.message, action.attempt) for action in harness.actions if isinstance(action, Cancel)]


def silent(cls, waits=True, overtaken=5, **changes):
    """Sends message 1 on a connection that goes silent, delivers `overtaken` later ones through the same
    endpoint, and with `waits` keeps others held. Returns the harness and the cancelled attempts."""
    harness = DispatcherHarness(Entry("e1", 1), slots=4, may_cancel=True, **changes)
    for message in range(100, 130):  # sets the expected call time
        harness.arrive(message)
        harness.pass_ms(100, timeouts=False)
        harness.end(message, Outcome.OK)
    harness.arrive(1, cls)
    for message in range(2, 2 + overtaken):
        harness.pass_ms(100, timeouts=False)
        harness.arrive(message)
        harness.pass_ms(100, timeouts=False)
        harness.end(message, Outcome.OK)
    found, message = [], 200
    for _ in range(40):
        while waits and sum(len(d.held) for d in harness.dispatcher.destinations.values()) < 3:
            message += 1
            harness.arrive(message)
            found += cancelled(harness)
        harness.pass_ms(100, timeouts=False)
        found += cancelled(harness)
        for other, attempt in [pair for pair in harness.out if pair[0] != 1] if overtaken else []:
            harness.end(other, Outcome.OK, attempt)
            found += cancelled(harness)
        if (1, 0) in found and (1, 0) in harness.out:
            harness.end(1, Outcome.CANCELLED, 0)
    return harness, found


def test_a_safe_message_on_a_silent_connection_is_cancelled_and_sent_again():
    harness, found = silent(SAFE)
    assert (1, 0) in found and len(harness.where(1)) > 1


def test_an_unsafe_message_on_a_silent_connection_fails_and_is_not_sent_again():
    harness, found = silent(UNSAFE)
    assert (1, 0) in found and harness.answers[1] == "fail" and len(harness.where(1)) == 1


def test_the_call_is_kept_while_no_message_needs_its_slot():
    harness, found = silent(UNSAFE, waits=False)
    assert not found and 1 not in harness.answers


def test_the_call_is_kept_where_no_later_call_was_delivered_since_the_endpoint_may_be_slow():
    harness, found = silent(UNSAFE, overtaken=0)
    assert not found and 1 not in harness.answers


def test_the_call_is_kept_where_the_settings_forbid_cancelling():
    harness = DispatcherHarness(Entry("e1", 1), slots=2)
    harness.arrive(1, UNSAFE)
    for message in range(2, 40):
        harness.arrive(message)
        harness.pass_ms(100, timeouts=False)
        if (message, 0) in harness.out:
            harness.end(message, Outcome.OK)
    assert 1 not in harness.answers


def test_an_endpoint_whose_only_call_is_presumed_lost_gets_one_trial_at_a_time():
    harness = DispatcherHarness(Entry("e1", 1), slots=8, may_cancel=True)
    for message in range(100, 130):
        harness.arrive(message)
        harness.pass_ms(100, timeouts=False)
        harness.end(message, Outcome.OK)
    harness.pass_ms(10)
    harness.arrive(1, UNSAFE)
    harness.pass_ms(1800, timeouts=False)
    harness.arrive_together(2, 3, 4)
    assert not (harness.where(2) or harness.where(3) or harness.where(4)), (
        "sent past a call that may still be answered"
    )
    harness.pass_ms(700, timeouts=False)
    trials = [message for message in (2, 3, 4) if harness.where(message)]
    assert len(trials) == 1, "none, or a burst, past a call that hangs"
    harness.end(trials[0], Outcome.OK)
    harness.answer_all(1000, 50)
    assert all(harness.answers.get(message) == "served" for message in (2, 3, 4))
