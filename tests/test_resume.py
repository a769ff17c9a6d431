"""Messages and cold endpoints inherited from an earlier process, and the end of the process itself."""

import pytest
from dispatcher_harness import SAFE, UNSAFE, DispatcherHarness, Entry

from crowpier.interface import (
    ColdStateRestored,
    Fail,
    MessageAccepted,
    Outcome,
    RecordColdState,
    Send,
    ShutdownScheduled,
)

ONE = Entry("e1", 1)


def resumed(harness, cls, attempts, ran_ago_ms=None, left_ms=4000.0):
    harness.taken[1], harness.since[1] = MessageAccepted(1, cls, 1, left_ms), harness.now
    return harness.feed(
        MessageAccepted(1, cls, 1, left_ms, attempts=attempts, ran_ago_ms=ran_ago_ms, ran_endpoint="e1")
    )


def test_an_inherited_unsafe_message_that_may_have_been_executed_fails_at_once():
    assert Fail(1) in resumed(DispatcherHarness(ONE), UNSAFE, 1, 500.0)


@pytest.mark.parametrize(("cls", "ran_ago_ms"), [(UNSAFE, None), (SAFE, 500.0)])
def test_an_inherited_message_that_may_be_sent_again_is_sent(cls, ran_ago_ms):
    assert any(isinstance(action, Send) for action in resumed(DispatcherHarness(ONE), cls, 2, ran_ago_ms))


def test_attempts_of_an_earlier_process_count_towards_the_maximum():
    assert Fail(1) in resumed(DispatcherHarness(ONE), SAFE, 8)


def test_an_inherited_message_past_its_deadline_fails():
    assert Fail(1) in resumed(DispatcherHarness(ONE), SAFE, 1, left_ms=0.0)


def test_an_endpoint_recorded_as_cold_gets_one_call_at_a_time():
    # A restart during an outage must not lead to overload on recovery.
    harness = DispatcherHarness(ONE)
    harness.feed(ColdStateRestored("e1", 4.0))
    harness.arrive_together(1, 2, 3)
    assert len(harness.sends()) == 1
    harness.end(harness.sends()[0].message, Outcome.OK)
    assert not harness.sends()
    harness.answer_all(20_000.0, 50.0)
    assert not harness.out and RecordColdState("e1", False) in harness.arrive(4)


def test_an_outage_is_recorded_once():
    harness, notes = DispatcherHarness(ONE), []
    for number in range(1, 6):
        harness.arrive(number)
        if harness.sends():
            notes += [a for a in harness.end(number, Outcome.ERROR) if isinstance(a, RecordColdState)]
    assert [(note.endpoint, note.cold) for note in notes] == [("e1", True)]


def test_no_unsafe_message_is_sent_shortly_before_shutdown():
    harness = DispatcherHarness(ONE)
    harness.feed(ShutdownScheduled(3000.0))
    harness.arrive(1, UNSAFE)
    assert harness.sends()
    harness.end(1, Outcome.OK)
    harness.pass_ms(2500.0)
    harness.arrive(2, UNSAFE)
    assert not harness.sends()
    harness.arrive(3, SAFE)
    assert [send.message for send in harness.sends()] == [3]
