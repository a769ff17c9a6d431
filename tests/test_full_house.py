"""With many messages held, the work per decision is bounded and cached order equals a fresh sort."""

import random
from dataclasses import replace

import pytest
from dispatcher_harness import KEYED, ORDERED, SAFE, UNSAFE, DispatcherHarness

from crowpier import Dispatcher
from crowpier.interface import Entry, Outcome, Refuse, SendAllowance
from crowpier.logic import Message

HELD = 400
ENDPOINTS = [Entry(f"e{n}", 1 + n % 2, zone=n % 2, kind=2 * (n % 3 == 0)) for n in range(6)]


class Uncached(Dispatcher):
    """Sorts all held messages anew for each call."""

    def by_urgency(self, destination):
        held = [message for message in destination.held.values() if self.ready(message)]
        return sorted(held, key=self.urgency, reverse=True)


def test_urgency_is_computed_once_per_batch_and_not_for_each_call(monkeypatch):
    # Otherwise a start with thousands of messages takes a second of a core before it answers.
    computed = 0
    urgency = Dispatcher.urgency

    def counted(self, message):
        nonlocal computed
        computed += 1
        return urgency(self, message)

    monkeypatch.setattr(Dispatcher, "urgency", counted)
    harness = DispatcherHarness(Entry("one", 1), slots=100, max_held=2 * HELD)
    harness.arrive_together(*range(HELD))
    calls = len(harness.sends())
    assert calls >= 30
    assert computed <= HELD + 2 * calls + 2, "more than once each and once more for those sent"


def test_sending_one_message_does_not_scan_the_others():
    # A membership check of every held message for each call made the cost quadratic.
    checks = 0

    class Counted(dict):
        def __contains__(self, key):
            nonlocal checks
            checks += 1
            return super().__contains__(key)

    harness = DispatcherHarness(Entry("one", 1), slots=100, max_held=2 * HELD)
    harness.dispatcher.destinations[1].held = Counted()
    harness.arrive_together(*range(HELD))
    calls = len(harness.sends())
    assert calls >= 30
    assert checks <= 2 * HELD, "a few for each message"


def test_a_full_table_after_a_restart_sheds_none_and_is_not_scanned(monkeypatch):
    # Above the shedding threshold, each message accepted at the start must not cost a scan of all held ones.
    lookups, original = 0, Message.inherited_untried

    def counted(self):
        nonlocal lookups
        lookups += 1
        return original.fget(self)

    monkeypatch.setattr(Message, "inherited_untried", property(counted))
    harness = DispatcherHarness(Entry("one", 1), slots=1, max_held=HELD)
    actions = harness.feed(*(replace(harness.arrival(n, SAFE, 1), untried=True) for n in range(HELD)))
    assert not any(isinstance(action, Refuse) for action in actions)
    assert lookups <= 3 * HELD, "a few for each message"


@pytest.mark.parametrize("guided", [False, True], ids=["free", "guided"])
def test_cached_order_sends_the_same_as_a_fresh_sort_for_each_call(guided):
    def played(kind):
        harness, rng = (
            DispatcherHarness(*ENDPOINTS, slots=12, max_held=2 * HELD, may_cancel=True),
            random.Random("full house"),
        )
        harness.dispatcher = kind(harness.settings, seed=5)
        harness.list(*ENDPOINTS)
        batches, number = [], 0
        for _ in range(150):
            events = []
            for _ in range(rng.randrange(20)):
                number += 1
                cls = rng.choice((SAFE, KEYED, UNSAFE, ORDERED))
                events.append(harness.arrival(number, cls, rng.choice((1, 2)), rng.choice((0, 0, 1, 2))))
            if guided and rng.random() < 0.3:
                events.append(SendAllowance(rng.choice((1, 2)), rng.choice((2.0, 20.0, 200.0))))
            for message, attempt in rng.sample(sorted(harness.out), len(harness.out) // 2):
                outcome = rng.choices((Outcome.OK, Outcome.ERROR, Outcome.FULL), (8, 1, 1))[0]
                events.append(harness.outcome(message, outcome, attempt, 300.0))
            batches.append(harness.feed(*events))
            harness.pass_ms(rng.choice((5.0, 40.0, 200.0)))
        assert max(len(batch) for batch in batches) >= 5
        return batches

    assert played(Dispatcher) == played(Uncached)
