"""Connections that fall silent: the decisions call off what is most likely lost while messages wait."""

from dispatcher_harness import SAFE, UNSAFE, DispatcherHarness

from crowpier.interface import Cancel, Entry, Outcome


def cancelled(bed):
    return [(action.message, action.attempt) for action in bed.actions if isinstance(action, Cancel)]


def silent(cls, waits=True, overtaken=5, **changes):
    """A bed in which message 1 went out on a connection that then fell silent, later ones were delivered by
    the same endpoint, and, where asked, others are held. What was called off, after a while."""
    bed = DispatcherHarness(Entry("e1", 1), slots=4, may_cancel=True, **changes)
    for message in range(100, 130):  # what a call usually takes
        bed.arrive(message)
        bed.pass_ms(100, timeouts=False)
        bed.end(message, Outcome.OK)
    bed.arrive(1, cls)
    for message in range(2, 2 + overtaken):
        bed.pass_ms(100, timeouts=False)
        bed.arrive(message)
        bed.pass_ms(100, timeouts=False)
        bed.end(message, Outcome.OK)
    found, message = [], 200
    for _ in range(40):
        while waits and sum(len(d.held) for d in bed.dispatcher.destinations.values()) < 3:
            message += 1
            bed.arrive(message)
            found += cancelled(bed)
        bed.pass_ms(100, timeouts=False)
        found += cancelled(bed)
        for other, attempt in [told for told in bed.out if told[0] != 1] if overtaken else []:
            bed.end(other, Outcome.OK, attempt)
            found += cancelled(bed)
        if (1, 0) in found and (1, 0) in bed.out:
            bed.end(1, Outcome.CANCELLED, 0)
    return bed, found


def test_a_safe_message_on_a_silent_connection_is_called_off_and_sent_again():
    bed, found = silent(SAFE)
    assert (1, 0) in found and len(bed.where(1)) > 1


def test_an_unsafe_one_is_failed_and_never_sent_again():
    bed, found = silent(UNSAFE)
    assert (1, 0) in found and bed.answers[1] == "fail" and len(bed.where(1)) == 1


def test_it_is_waited_for_where_nobody_wants_its_slot():
    bed, found = silent(UNSAFE, waits=False)
    assert not found and 1 not in bed.answers


def test_it_is_waited_for_where_no_later_call_was_delivered_the_endpoint_may_be_slow():
    bed, found = silent(UNSAFE, overtaken=0)
    assert not found and 1 not in bed.answers


def test_it_is_waited_for_where_the_settings_allow_no_calling_off():
    bed = DispatcherHarness(Entry("e1", 1), slots=2)
    bed.arrive(1, UNSAFE)
    for message in range(2, 40):
        bed.arrive(message)
        bed.pass_ms(100, timeouts=False)
        if (message, 0) in bed.out:
            bed.end(message, Outcome.OK)
    assert 1 not in bed.answers


def test_an_endpoint_whose_only_call_is_most_likely_lost_gets_one_more_at_a_time():
    bed = DispatcherHarness(Entry("e1", 1), slots=8, may_cancel=True)
    for message in range(100, 130):
        bed.arrive(message)
        bed.pass_ms(100, timeouts=False)
        bed.end(message, Outcome.OK)
    bed.pass_ms(10)
    bed.arrive(1, UNSAFE)
    bed.pass_ms(1800, timeouts=False)
    bed.arrive_together(2, 3, 4)
    assert not (bed.where(2) or bed.where(3) or bed.where(4)), "sent past a call that may still be answered"
    bed.pass_ms(700, timeouts=False)
    trials = [message for message in (2, 3, 4) if bed.where(message)]
    assert len(trials) == 1, "none, or a burst, past a call that hangs"
    bed.end(trials[0], Outcome.OK)
    bed.answer_all(1000, 50)
    assert all(bed.answers.get(message) == "served" for message in (2, 3, 4))
