"""The six delivery rules, case by case; `DispatcherHarness` asserts them after every batch."""

import math
from collections import Counter

import pytest
from dispatcher_harness import CLASSES, KEYED, ORDERED, SAFE, UNSAFE, DispatcherHarness

from crowpier.interface import Entry, ListKind, Outcome, Send, State, Tenant

ONE = Entry("one", 1)
TWO = Entry("two", 1, zone=1)


def test_a_timeout_at_the_deadline_still_gets_its_answer():
    harness = DispatcherHarness(ONE)
    harness.arrive(1)
    harness.run_until(harness.since[1] + 6000)
    assert harness.answers[1] in ("fail", "served")


def test_past_the_latest_start_unsent_messages_are_refused_and_tried_ones_failed():
    harness = DispatcherHarness(ONE)
    harness.arrive(1, destination=9)
    harness.pass_ms(6000)
    assert harness.answers[1] == "refuse"
    harness.arrive(2)
    harness.end(2, Outcome.FULL, wait=9000)
    harness.pass_ms(6000)
    assert harness.answers[2] == "fail" and len(harness.sent[2]) == 1


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED])
def test_an_unsafe_message_that_was_not_executed_is_sent_again(outcome):
    harness = DispatcherHarness(ONE, TWO)
    harness.arrive(1, UNSAFE)
    harness.end(1, outcome)
    harness.pass_ms(3000, timeouts=False)
    assert len(harness.sent[1]) == 2


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_message_that_may_have_been_executed_fails_at_once(outcome):
    harness = DispatcherHarness(ONE, TWO)
    harness.arrive(1, UNSAFE)
    harness.end(1, outcome)
    assert harness.answers[1] == "fail" and len(harness.sent[1]) == 1


def test_a_keyed_message_stays_in_its_group_and_window():
    harness = DispatcherHarness(ONE, TWO)
    harness.arrive(1, KEYED)
    first = harness.where(1)[0]
    harness.end(1, Outcome.TIMEOUT)
    harness.pass_ms(20000)
    assert set(harness.where(1)) == {first} and harness.answers[1] == "fail"
    assert max(at for _, at, _ in harness.sent[1]) <= harness.since[1] + 5000


def test_a_repeat_of_a_keyed_message_tells_the_end_of_its_window():
    # A repeat that starts later than it was decided could start past its window.
    harness, seen = DispatcherHarness(ONE, TWO), []
    harness.check = lambda action, check=harness.check: (seen.append(action), check(action))
    harness.arrive(1, KEYED)
    at = harness.sent[1][0][1]
    harness.end(1, Outcome.ERROR)
    harness.pass_ms(1000, timeouts=False)
    first, repeat = (action for action in seen if isinstance(action, Send))
    assert first.start_by_ms == math.inf
    assert repeat.start_by_ms == at + 5000


@pytest.mark.parametrize("change", ["drain", "gone", "left out of the whole list"])
def test_nothing_new_is_sent_to_an_endpoint_that_drains_or_is_gone(change):
    harness = DispatcherHarness(ONE)
    if change == "left out of the whole list":
        harness.list(Entry("two", 1))
    else:
        harness.list(
            Entry("one", 1, state=State.DRAINING if change == "drain" else State.GONE), kind=ListKind.DELTA
        )
    harness.arrive(1)
    harness.pass_ms(2000, timeouts=False)
    assert "one" not in harness.where(1)


def test_a_failed_subscription_is_retried_and_the_list_stays_valid():
    harness = DispatcherHarness(ONE, subscribes=True)
    asked = [type(action).__name__ for action in harness.actions].count("Subscribe")
    assert asked == 1
    harness.list(kind=ListKind.FAILED)
    harness.not_ready_since.clear()
    harness.arrive(1)
    assert harness.where(1) == ["one"]
    seen = []
    for _ in range(40):
        harness.pass_ms(100, timeouts=False)
        seen += [type(action).__name__ for action in harness.actions]
    assert "Subscribe" in seen


def test_a_requested_wait_applies_to_the_whole_destination():
    harness = DispatcherHarness(ONE, TWO)
    harness.arrive(1)
    harness.end(1, Outcome.FULL, wait=800)
    harness.arrive(2)
    harness.pass_ms(800, timeouts=False)
    assert 2 not in harness.sent
    harness.pass_ms(3000, timeouts=False)
    assert 2 in harness.sent


def test_a_requested_wait_applies_to_one_route_where_routes_are_separate():
    harness = DispatcherHarness(Entry("one", 1, kind=1), Entry("two", 1, kind=1))
    harness.arrive(1)
    waiting = harness.where(1)[0]
    harness.end(1, Outcome.FULL, wait=800)
    assert harness.where(1)[1:] == [name for name in ("one", "two") if name != waiting]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_messages_of_a_key_are_sent_in_order_and_the_key_pauses(outcome):
    harness = DispatcherHarness(ONE, TWO)
    harness.arrive(1, ORDERED, key=7)
    harness.arrive(2, ORDERED, key=7)
    harness.arrive(3, ORDERED, key=8)
    assert 2 not in harness.sent and 3 in harness.sent
    harness.end(1, outcome)
    assert 2 not in harness.sent
    harness.pass_ms(5000, timeouts=False)
    assert 2 in harness.sent


def sends_after_an_outage(dispatchers: int) -> int:
    """Sends within `fall_ms` after the outage of a busy destination ends."""
    harness = DispatcherHarness(ONE, slots=40, max_held=4000, dispatchers=dispatchers)
    message = 0

    def traffic(span, outcome):
        nonlocal message
        count, stop = 0, harness.now + span
        while harness.now < stop:
            message += 1
            before = sum(map(len, harness.sent.values()))
            harness.arrive(message)
            harness.pass_ms(50, timeouts=False)
            for owner, attempt in list(harness.out):
                harness.end(owner, outcome, attempt)
            count += sum(map(len, harness.sent.values())) - before
        return count

    busy = traffic(10000, Outcome.OK) / 5
    traffic(8000, Outcome.CONNECT_FAILED)
    rule = harness.settings
    sends = traffic(rule.fall_ms, Outcome.OK)
    assert sends <= rule.fall_multiple * busy * (rule.cold_from + 0.5 * rule.fall_ms / rule.warm_within_ms)
    return sends


@pytest.mark.parametrize("dispatchers", [1, 3])
def test_a_destination_is_not_overloaded_as_it_recovers(dispatchers):
    assert sends_after_an_outage(dispatchers) >= 1


def test_a_message_withdrawn_by_its_client_is_never_sent_again():
    harness = DispatcherHarness(ONE)
    harness.arrive(1)
    harness.withdraw(1)
    harness.end(1, Outcome.ERROR)
    harness.pass_ms(8000)
    assert len(harness.sent[1]) == 1


def test_events_for_unknown_or_ended_messages_do_nothing():
    harness = DispatcherHarness(ONE)
    harness.arrive(1, SAFE)
    late = harness.outcome(1, Outcome.OK)
    harness.feed(late)
    assert harness.feed(late) == []


def test_each_message_of_a_shared_call_may_bring_its_own_wait():
    harness = DispatcherHarness(Entry("one", 1, kind=2))
    harness.arrive_together(1, 2, 3)
    assert len(harness.dispatcher.destinations[1].calls) == 1, "they share a call"
    for n in (1, 2, 3):
        harness.pass_ms(10, timeouts=False)
        harness.end(n, Outcome.FULL, wait=600)
    harness.arrive(4)
    harness.answer_all(3000, 100)  # the harness asserts that the longest wait is kept
    assert harness.answers[4] == "served"


def test_a_flood_of_one_tenant_is_shed_before_other_tenants():
    tenants = (Tenant("calm", 0.5, 4.0), Tenant("flood", 0.5, 4.0))
    harness = DispatcherHarness(ONE, TWO, tenants=tenants, over_share_worth=0.2, slots=2, max_held=30)
    for n in range(60):
        harness.arrive(n, tenant=1)
    assert list(harness.answers.values()).count("refuse") >= 30
    harness.arrive(100, tenant=0)
    assert 100 not in harness.answers, "the calm tenant's message is not the one that is shed"
    harness.answer_all(1200, 60)
    assert harness.answers[100] == "served"


def test_one_refusal_at_a_new_endpoint_does_not_start_a_warm_up():
    harness = DispatcherHarness(ONE)
    harness.arrive(1)
    harness.end(1, Outcome.FULL, wait=300)
    assert not harness.dispatcher.endpoints["one"].tripped
    harness.answer_all(1000, 50)
    assert harness.dispatcher.endpoints["one"].warm == 1.0


def test_an_unsafe_message_does_not_time_out_while_its_answer_is_merely_slow():
    harness = DispatcherHarness(ONE)
    harness.arrive(1, UNSAFE)
    harness.pass_ms(8000)
    assert 1 not in harness.answers
    harness.end(1, Outcome.OK)
    assert harness.answers[1] == "served"


def test_idle_connections_are_closed_early_after_one_was_dropped_silently():
    harness = DispatcherHarness(ONE)
    harness.arrive(1)
    harness.end(1, Outcome.OK)
    harness.pass_ms(2000, timeouts=False)
    harness.arrive(2)
    harness.end(2, Outcome.RESET)
    harness.pass_ms(500, timeouts=False)
    assert harness.dispatcher.endpoints["one"].strikes == 0, "the connection is at fault, not the endpoint"
    harness.end(2, Outcome.OK)
    harness.pass_ms(1500, timeouts=False)
    harness.arrive(3)
    kinds = [type(action).__name__ for action in harness.actions]
    assert kinds.index("CloseIdleConnections") < kinds.index("Send"), "the message goes on a fresh connection"


def test_idling_is_not_blamed_while_a_connection_idle_as_long_works():
    harness = DispatcherHarness(ONE, Entry("other", 2))
    for number, destination in ((1, 1), (2, 2)):
        harness.arrive(number, destination=destination)
        harness.end(number, Outcome.OK)
    harness.pass_ms(2000, timeouts=False)
    harness.arrive(3)
    harness.arrive(4, destination=2)
    harness.end(4, Outcome.OK)
    harness.end(3, Outcome.TIMEOUT)
    assert harness.dispatcher.idle_limit_ms() == harness.settings.conn_idle_ms
    assert harness.dispatcher.endpoints["one"].strikes == 2, "the endpoint is at fault"


def test_failed_connects_at_a_healthy_endpoint_close_idle_connections_sooner():
    harness = DispatcherHarness(ONE)
    harness.arrive(1)
    harness.end(1, Outcome.CONNECT_FAILED)
    assert harness.dispatcher.idle_limit_ms() <= harness.settings.conn_idle_ms / 2


def test_an_unsafe_call_on_an_idle_connection_times_out_early_while_drops_are_known():
    harness = DispatcherHarness(ONE, Entry("other", 2))
    harness.arrive(1, destination=2)
    harness.end(1, Outcome.CONNECT_FAILED)
    harness.arrive(2)
    harness.end(2, Outcome.OK)
    harness.pass_ms(500, timeouts=False)
    harness.arrive(3, UNSAFE)
    stop_at = harness.sends()[0].timeout_at_ms
    assert stop_at - harness.now <= 4 * CLASSES[UNSAFE].aim_ms


def test_the_first_success_after_an_outage_lets_no_second_call_follow_at_once():
    harness = DispatcherHarness(ONE, dispatchers=200)
    for number in range(1, 5):
        harness.arrive(number)
    harness.answer_all(2000, 50, Outcome.CONNECT_FAILED)
    endpoint = harness.dispatcher.endpoints["one"]
    assert endpoint.tripped
    harness.dispatcher.close_breaker(endpoint)
    harness.arrive(9)
    harness.pass_ms(200, timeouts=False)
    assert not harness.sends() and endpoint.next_call_at > harness.now


def arrive_batch(harness, destination, numbers):
    harness.feed(*(harness.arrival(number, destination=destination) for number in numbers))


def test_scarce_slots_go_to_a_whole_batch_before_single_messages():
    # Single calls must not fill the slots while a hundred messages wait for one batch.
    harness = DispatcherHarness(ONE, Entry("many", 2, kind=2), slots=4)
    arrive_batch(harness, 1, range(1, 9))  # three of four slots, the bulkhead's limit
    arrive_batch(harness, 2, range(10, 13))  # the fourth
    arrive_batch(harness, 2, range(20, 40))
    harness.pass_ms(20, timeouts=False)
    harness.end(1, Outcome.OK)
    assert len(harness.sends()) == 20 and {send.endpoint for send in harness.sends()} == {"many"}


def test_slow_destinations_share_half_of_the_slots():
    # Slow partners must not take all slots while the others are idle.
    harness = DispatcherHarness(*(Entry(f"e{n}", n) for n in range(1, 5)), slots=8)
    for destination in (1, 2, 3):
        arrive_batch(harness, destination, [10 * destination])
    harness.pass_ms(500, timeouts=False)  # over twice an expected call, but not yet unresponsive
    for destination in (1, 2, 3):
        arrive_batch(harness, destination, range(10 * destination + 1, 10 * destination + 9))
    slow = [message for message, _ in harness.out]
    assert len(slow) <= 4 and {message // 10 for message in slow} == {1, 2, 3}
    arrive_batch(harness, 4, [41, 42, 43, 44])
    assert sum(message > 40 for message, _ in harness.out) == 4


def test_a_hung_endpoint_leaves_slots_to_the_other_endpoints_of_its_destination():
    # One hung endpoint must not stop its whole destination, nor four such endpoints all of them.
    hung = [Entry(f"hung{n}", n) for n in range(1, 5)]
    harness = DispatcherHarness(*hung, slots=8)
    for destination in range(1, 5):
        arrive_batch(harness, destination, [10 * destination])
    harness.list(*hung, *(Entry(f"well{n}", n) for n in range(1, 5)), kind=ListKind.DELTA)
    harness.pass_ms(5, timeouts=False)
    for destination in range(1, 5):
        arrive_batch(harness, destination, [10 * destination + 2])
        harness.end(10 * destination + 2, Outcome.OK)
    harness.pass_ms(500, timeouts=False)
    for destination in range(1, 5):
        arrive_batch(harness, destination, [10 * destination + 1])
    assert Counter(harness.out.values()) == Counter(
        f"{how}{n}" for how in ("hung", "well") for n in range(1, 5)
    )


def test_occasional_resets_neither_trip_an_endpoint_nor_close_idle_connections():
    # A network that resets some connections is no outage, and idling is not the cause.
    harness = DispatcherHarness(ONE)
    for number in range(1, 13):
        harness.arrive(number)
        harness.pass_ms(50, timeouts=False)
        harness.end(number, Outcome.RESET if number % 3 == 0 else Outcome.OK)
        harness.pass_ms(5000, timeouts=False) if number % 3 == 0 else harness.pass_ms(150, timeouts=False)
        for message, attempt in list(harness.out):
            harness.end(message, Outcome.OK, attempt)
    assert not harness.dispatcher.endpoints["one"].cold
    assert harness.dispatcher.idle_limit_ms() == harness.settings.conn_idle_ms


def test_failed_connects_do_not_cut_the_idle_limit_to_nothing():
    harness = DispatcherHarness(*(Entry(f"e{n}", n) for n in range(1, 9)))
    for number in range(1, 9):
        harness.arrive(number, destination=number)
        harness.end(number, Outcome.CONNECT_FAILED)
    assert harness.dispatcher.idle_limit_ms() >= 0.2 * harness.settings.conn_idle_ms
