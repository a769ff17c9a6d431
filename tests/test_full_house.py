"""Many messages are held: what the decisions weigh for them is bounded, and comes out as if weighed anew."""

import random
from dataclasses import replace

import pytest
from dispatcher_harness import KEYED, ORDERED, SAFE, UNSAFE, DispatcherHarness

from crowpier import Dispatcher
from crowpier.interface import Entry, Outcome, Refuse, SendAllowance
from crowpier.logic import Message

HELD = 400
ENDPOINTS = [Entry(f"e{n}", 1 + n % 2, zone=n % 2, kind=2 * (n % 3 == 0)) for n in range(6)]


class Anew(Dispatcher):
    """Weighs all that are held for each call."""

    def by_urgency(self, destination):
        held = [message for message in destination.held.values() if self.ready(message)]
        return sorted(held, key=self.urgency, reverse=True)


def test_those_who_wait_are_weighed_once_a_moment_and_not_for_each_call(monkeypatch):
    # Guards against a start with thousands of messages that takes a second of a core before it answers.
    weighed = 0
    urgency = Dispatcher.urgency

    def counted(self, message):
        nonlocal weighed
        weighed += 1
        return urgency(self, message)

    monkeypatch.setattr(Dispatcher, "urgency", counted)
    harness = DispatcherHarness(Entry("one", 1), slots=100, max_held=2 * HELD)
    harness.arrive_together(*range(HELD))
    calls = len(harness.sends())
    assert calls >= 30
    assert weighed <= HELD + 2 * calls + 2, "more than each once, and the one that goes"


def test_to_send_one_passes_over_no_others_that_wait():
    # Guards against the square of a full house: for each call all that wait were asked whether they still do.
    asked = 0

    class Counted(dict):
        def __contains__(self, key):
            nonlocal asked
            asked += 1
            return super().__contains__(key)

    harness = DispatcherHarness(Entry("one", 1), slots=100, max_held=2 * HELD)
    harness.dispatcher.destinations[1].held = Counted()
    harness.arrive_together(*range(HELD))
    calls = len(harness.sends())
    assert calls >= 30
    assert asked <= 2 * HELD, "a few each, whatever goes"


def test_a_house_full_of_what_a_restart_found_sheds_none_and_goes_through_none(monkeypatch):
    # Guards against a start that looks at all that are held for each message beyond nine in ten of the house.
    looks, owed = 0, Message.inherited_untried

    def counted(self):
        nonlocal looks
        looks += 1
        return owed.fget(self)

    monkeypatch.setattr(Message, "inherited_untried", property(counted))
    harness = DispatcherHarness(Entry("one", 1), slots=1, max_held=HELD)
    told = harness.feed(*(replace(harness.arrival(n, SAFE, 1), untried=True) for n in range(HELD)))
    assert not any(isinstance(action, Refuse) for action in told)
    assert looks <= 3 * HELD, "a few each, however many are there"


@pytest.mark.parametrize("guided", [False, True], ids=["free", "guided"])
def test_what_goes_is_what_goes_where_all_are_weighed_anew_for_each_call(guided):
    def played(kind):
        harness, chance = (
            DispatcherHarness(*ENDPOINTS, slots=12, max_held=2 * HELD, may_cancel=True),
            random.Random("full house"),
        )
        harness.dispatcher = kind(harness.settings, seed=5)
        harness.list(*ENDPOINTS)
        told, number = [], 0
        for _ in range(150):
            events = []
            for _ in range(chance.randrange(20)):
                number += 1
                cls = chance.choice((SAFE, KEYED, UNSAFE, ORDERED))
                events.append(
                    harness.arrival(number, cls, chance.choice((1, 2)), chance.choice((0, 0, 1, 2)))
                )
            if guided and chance.random() < 0.3:
                events.append(SendAllowance(chance.choice((1, 2)), chance.choice((2.0, 20.0, 200.0))))
            for message, attempt in chance.sample(sorted(harness.out), len(harness.out) // 2):
                outcome = chance.choices((Outcome.OK, Outcome.ERROR, Outcome.FULL), (8, 1, 1))[0]
                events.append(harness.outcome(message, outcome, attempt, 300.0))
            told.append(harness.feed(*events))
            harness.pass_ms(chance.choice((5.0, 40.0, 200.0)))
        assert max(len(moment) for moment in told) >= 5
        return told

    assert played(Dispatcher) == played(Anew)
