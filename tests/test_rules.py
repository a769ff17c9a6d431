"""The six rules, each by hand; `bed.DispatcherHarness` asserts them from outside after every batch."""

import math
from collections import Counter

import pytest
from dispatcher_harness import CLASSES, KEYED, ORDERED, SAFE, UNSAFE, DispatcherHarness

from crowpier.interface import Entry, ListKind, Outcome, Send, State, Tenant

ONE = Entry("one", 1)
TWO = Entry("two", 1, zone=1)


def test_a_timeout_at_the_deadline_still_gets_its_answer():
    bed = DispatcherHarness(ONE)
    bed.arrive(1)
    bed.run_until(bed.since[1] + 6000)
    assert bed.answers[1] in ("fail", "served")


def test_unsent_is_refused_and_tried_is_failed_past_the_latest_start():
    bed = DispatcherHarness(ONE)
    bed.arrive(1, destination=9)
    bed.pass_ms(6000)
    assert bed.answers[1] == "refuse"
    bed.arrive(2)
    bed.end(2, Outcome.FULL, wait=9000)
    bed.pass_ms(6000)
    assert bed.answers[2] == "fail" and len(bed.sent[2]) == 1


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED])
def test_an_unsafe_message_that_never_ran_goes_again(outcome):
    bed = DispatcherHarness(ONE, TWO)
    bed.arrive(1, UNSAFE)
    bed.end(1, outcome)
    bed.pass_ms(3000, timeouts=False)
    assert len(bed.sent[1]) == 2


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_message_that_may_have_run_is_failed_at_once(outcome):
    bed = DispatcherHarness(ONE, TWO)
    bed.arrive(1, UNSAFE)
    bed.end(1, outcome)
    assert bed.answers[1] == "fail" and len(bed.sent[1]) == 1


def test_a_keyed_message_stays_in_its_group_and_window():
    bed = DispatcherHarness(ONE, TWO)
    bed.arrive(1, KEYED)
    first = bed.where(1)[0]
    bed.end(1, Outcome.TIMEOUT)
    bed.pass_ms(20000)
    assert set(bed.where(1)) == {first} and bed.answers[1] == "fail"
    assert max(at for _, at, _ in bed.sent[1]) <= bed.since[1] + 5000


def test_a_repeat_of_a_keyed_message_tells_the_end_of_its_window():
    # Guards against a repeat that begins later than it was decided, past its window.
    bed, seen = DispatcherHarness(ONE, TWO), []
    bed.check = lambda action, check=bed.check: (seen.append(action), check(action))
    bed.arrive(1, KEYED)
    at = bed.sent[1][0][1]
    bed.end(1, Outcome.ERROR)
    bed.pass_ms(1000, timeouts=False)
    first, repeat = (action for action in seen if isinstance(action, Send))
    assert first.start_by_ms == math.inf
    assert repeat.start_by_ms == at + 5000


@pytest.mark.parametrize("news", ["drain", "gone", "left out of the whole list"])
def test_nothing_new_goes_to_an_endpoint_that_drains_or_is_gone(news):
    bed = DispatcherHarness(ONE)
    if news == "left out of the whole list":
        bed.list(Entry("two", 1))
    else:
        bed.list(
            Entry("one", 1, state=State.DRAINING if news == "drain" else State.GONE), kind=ListKind.DELTA
        )
    bed.arrive(1)
    bed.pass_ms(2000, timeouts=False)
    assert "one" not in bed.where(1)


def test_a_failed_subscription_is_asked_for_again_and_the_list_stays_valid():
    bed = DispatcherHarness(ONE, subscribes=True)
    asked = [type(action).__name__ for action in bed.actions].count("Subscribe")
    assert asked == 1
    bed.list(kind=ListKind.FAILED)
    bed.told_off.clear()
    bed.arrive(1)
    assert bed.where(1) == ["one"]
    seen = []
    for _ in range(40):
        bed.pass_ms(100, timeouts=False)
        seen += [type(action).__name__ for action in bed.actions]
    assert "Subscribe" in seen


def test_a_told_wait_holds_for_the_whole_destination():
    bed = DispatcherHarness(ONE, TWO)
    bed.arrive(1)
    bed.end(1, Outcome.FULL, wait=800)
    bed.arrive(2)
    bed.pass_ms(800, timeouts=False)
    assert 2 not in bed.sent
    bed.pass_ms(3000, timeouts=False)
    assert 2 in bed.sent


def test_a_told_wait_holds_for_one_route_where_routes_are_apart():
    bed = DispatcherHarness(Entry("one", 1, kind=1), Entry("two", 1, kind=1))
    bed.arrive(1)
    waiting = bed.where(1)[0]
    bed.end(1, Outcome.FULL, wait=800)
    assert bed.where(1)[1:] == [name for name in ("one", "two") if name != waiting]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_messages_of_a_key_go_in_turn_and_the_key_rests(outcome):
    bed = DispatcherHarness(ONE, TWO)
    bed.arrive(1, ORDERED, key=7)
    bed.arrive(2, ORDERED, key=7)
    bed.arrive(3, ORDERED, key=8)
    assert 2 not in bed.sent and 3 in bed.sent
    bed.end(1, outcome)
    assert 2 not in bed.sent
    bed.pass_ms(5000, timeouts=False)
    assert 2 in bed.sent


def pushed_after_an_outage(dispatchers: int) -> int:
    """Sends in the first window of the rule after a busy destination's outage ends."""
    bed = DispatcherHarness(ONE, slots=40, max_held=4000, dispatchers=dispatchers)
    message = 0

    def traffic(span, outcome):
        nonlocal message
        count, stop = 0, bed.now + span
        while bed.now < stop:
            message += 1
            before = sum(map(len, bed.sent.values()))
            bed.arrive(message)
            bed.pass_ms(50, timeouts=False)
            for owner, attempt in list(bed.out):
                bed.end(owner, outcome, attempt)
            count += sum(map(len, bed.sent.values())) - before
        return count

    busy = traffic(10000, Outcome.OK) / 5
    traffic(8000, Outcome.CONNECT_FAILED)
    rule = bed.settings
    pushed = traffic(rule.fall_ms, Outcome.OK)
    assert pushed <= rule.fall_multiple * busy * (rule.cold_from + 0.5 * rule.fall_ms / rule.warm_within_ms)
    return pushed


@pytest.mark.parametrize("dispatchers", [1, 3])
def test_a_destination_that_returns_is_not_pushed_over(dispatchers):
    assert pushed_after_an_outage(dispatchers) >= 1


def test_a_message_withdrawn_by_its_client_is_never_sent_again():
    bed = DispatcherHarness(ONE)
    bed.arrive(1)
    bed.withdraw(1)
    bed.end(1, Outcome.ERROR)
    bed.pass_ms(8000)
    assert len(bed.sent[1]) == 1


def test_events_for_unknown_or_ended_messages_do_nothing():
    bed = DispatcherHarness(ONE)
    bed.arrive(1, SAFE)
    late = bed.outcome(1, Outcome.OK)
    bed.feed(late)
    assert bed.feed(late) == []


def test_each_message_of_a_shared_call_may_tell_its_own_wait():
    bed = DispatcherHarness(Entry("one", 1, kind=2))
    bed.arrive_together(1, 2, 3)
    assert len(bed.dispatcher.destinations[1].calls) == 1, "they share a call"
    for n in (1, 2, 3):
        bed.pass_ms(10, timeouts=False)
        bed.end(n, Outcome.FULL, wait=600)
    bed.arrive(4)
    bed.answer_all(3000, 100)  # the bed asserts that the last of the waits is kept
    assert bed.answers[4] == "served"


def test_a_flood_of_one_tenant_yields_to_the_others():
    tenants = (Tenant("calm", 0.5, 4.0), Tenant("flood", 0.5, 4.0))
    bed = DispatcherHarness(ONE, TWO, tenants=tenants, over_share_worth=0.2, slots=2, max_held=30)
    for n in range(60):
        bed.arrive(n, tenant=1)
    assert list(bed.answers.values()).count("refuse") >= 30
    bed.arrive(100, tenant=0)
    assert 100 not in bed.answers, "the calm tenant's message is not the one that is shed"
    bed.answer_all(1200, 60)
    assert bed.answers[100] == "served"


def test_one_refusal_at_a_fresh_endpoint_does_not_slow_it_for_the_whole_warm_up():
    bed = DispatcherHarness(ONE)
    bed.arrive(1)
    bed.end(1, Outcome.FULL, wait=300)
    assert not bed.dispatcher.endpoints["one"].tripped
    bed.answer_all(1000, 50)
    assert bed.dispatcher.endpoints["one"].warm == 1.0


def test_an_unsafe_message_is_not_given_up_while_its_answer_is_merely_slow():
    bed = DispatcherHarness(ONE)
    bed.arrive(1, UNSAFE)
    bed.pass_ms(8000)
    assert 1 not in bed.answers
    bed.end(1, Outcome.OK)
    assert bed.answers[1] == "served"


def test_connections_dropped_unseen_are_closed_before_they_fail_another_message():
    bed = DispatcherHarness(ONE)
    bed.arrive(1)
    bed.end(1, Outcome.OK)
    bed.pass_ms(2000, timeouts=False)
    bed.arrive(2)
    bed.end(2, Outcome.RESET)
    bed.pass_ms(500, timeouts=False)
    assert bed.dispatcher.endpoints["one"].strikes == 0, "it tells of the connection, not of the endpoint"
    bed.end(2, Outcome.OK)
    bed.pass_ms(1500, timeouts=False)
    bed.arrive(3)
    kinds = [type(action).__name__ for action in bed.actions]
    assert kinds.index("CloseIdleConnections") < kinds.index("Send"), "the message goes on a fresh connection"


def test_an_idle_connection_is_not_blamed_while_one_that_idled_as_long_works():
    bed = DispatcherHarness(ONE, Entry("other", 2))
    for number, destination in ((1, 1), (2, 2)):
        bed.arrive(number, destination=destination)
        bed.end(number, Outcome.OK)
    bed.pass_ms(2000, timeouts=False)
    bed.arrive(3)
    bed.arrive(4, destination=2)
    bed.end(4, Outcome.OK)
    bed.end(3, Outcome.TIMEOUT)
    assert bed.dispatcher.keep_ms() == bed.settings.conn_idle_ms
    assert bed.dispatcher.endpoints["one"].strikes == 2, "the endpoint is at fault"


def test_failed_connects_at_an_endpoint_that_was_well_close_idle_connections_sooner():
    bed = DispatcherHarness(ONE)
    bed.arrive(1)
    bed.end(1, Outcome.CONNECT_FAILED)
    assert bed.dispatcher.keep_ms() <= bed.settings.conn_idle_ms / 2


def test_a_payment_on_an_idled_connection_does_not_hold_its_slot_for_long_while_drops_are_known():
    bed = DispatcherHarness(ONE, Entry("other", 2))
    bed.arrive(1, destination=2)
    bed.end(1, Outcome.CONNECT_FAILED)
    bed.arrive(2)
    bed.end(2, Outcome.OK)
    bed.pass_ms(500, timeouts=False)
    bed.arrive(3, UNSAFE)
    stop_at = bed.sends()[0].timeout_at_ms
    assert stop_at - bed.now <= 4 * CLASSES[UNSAFE].aim_ms


def test_the_first_success_after_an_outage_lets_no_second_call_follow_at_once():
    bed = DispatcherHarness(ONE, dispatchers=200)
    for number in range(1, 5):
        bed.arrive(number)
    bed.answer_all(2000, 50, Outcome.CONNECT_FAILED)
    endpoint = bed.dispatcher.endpoints["one"]
    assert endpoint.tripped
    bed.dispatcher.recovered(endpoint)
    bed.arrive(9)
    bed.pass_ms(200, timeouts=False)
    assert not bed.sends() and endpoint.opens_at > bed.now


def many(bed, destination, numbers):
    bed.feed(*(bed.arrival(number, destination=destination) for number in numbers))


def test_scarce_slots_go_to_a_whole_batch_before_single_messages():
    # Guards against slots that are full of single calls while a hundred messages wait for one of their own.
    bed = DispatcherHarness(ONE, Entry("many", 2, kind=2), slots=4)
    many(bed, 1, range(1, 9))  # three of four slots, by the bulkhead
    many(bed, 2, range(10, 13))  # the fourth
    many(bed, 2, range(20, 40))
    bed.pass_ms(20, timeouts=False)
    bed.end(1, Outcome.OK)
    assert len(bed.sends()) == 20 and {send.endpoint for send in bed.sends()} == {"many"}


def test_slow_destinations_share_half_of_the_slots():
    # Guards against slots that all wait for what is slow while the rest of the partners stand idle.
    bed = DispatcherHarness(*(Entry(f"e{n}", n) for n in range(1, 5)), slots=8)
    for destination in (1, 2, 3):
        many(bed, destination, [10 * destination])
    bed.pass_ms(500, timeouts=False)  # more than twice a usual call, not yet too long to send more
    for destination in (1, 2, 3):
        many(bed, destination, range(10 * destination + 1, 10 * destination + 9))
    slow = [message for message, _ in bed.out]
    assert len(slow) <= 4 and {message // 10 for message in slow} == {1, 2, 3}
    many(bed, 4, [41, 42, 43, 44])
    assert sum(message > 40 for message, _ in bed.out) == 4


def test_an_endpoint_that_hangs_leaves_the_slots_of_its_destination_to_those_that_answer():
    # Guards against one hung endpoint that stops all messages of its destination, and of four others like it.
    hung = [Entry(f"hung{n}", n) for n in range(1, 5)]
    bed = DispatcherHarness(*hung, slots=8)
    for destination in range(1, 5):
        many(bed, destination, [10 * destination])
    bed.list(*hung, *(Entry(f"well{n}", n) for n in range(1, 5)), kind=ListKind.DELTA)
    bed.pass_ms(5, timeouts=False)
    for destination in range(1, 5):
        many(bed, destination, [10 * destination + 2])
        bed.end(10 * destination + 2, Outcome.OK)
    bed.pass_ms(500, timeouts=False)
    for destination in range(1, 5):
        many(bed, destination, [10 * destination + 1])
    assert Counter(bed.out.values()) == Counter(f"{how}{n}" for how in ("hung", "well") for n in range(1, 5))


def test_resets_that_other_calls_are_spared_neither_trip_an_endpoint_nor_close_idle_connections():
    # Guards against a network that resets some connections: it is no outage, and idling is not to blame.
    bed = DispatcherHarness(ONE)
    for number in range(1, 13):
        bed.arrive(number)
        bed.pass_ms(50, timeouts=False)
        bed.end(number, Outcome.RESET if number % 3 == 0 else Outcome.OK)
        bed.pass_ms(5000, timeouts=False) if number % 3 == 0 else bed.pass_ms(150, timeouts=False)
        for message, attempt in list(bed.out):
            bed.end(message, Outcome.OK, attempt)
    assert not bed.dispatcher.endpoints["one"].cold
    assert bed.dispatcher.keep_ms() == bed.settings.conn_idle_ms


def test_failed_connects_do_not_cut_the_keeping_of_connections_to_nothing():
    bed = DispatcherHarness(*(Entry(f"e{n}", n) for n in range(1, 9)))
    for number in range(1, 9):
        bed.arrive(number, destination=number)
        bed.end(number, Outcome.CONNECT_FAILED)
    assert bed.dispatcher.keep_ms() >= 0.2 * bed.settings.conn_idle_ms
