"""The public interface of the library, including the README example."""

import re
from pathlib import Path

import pytest

from crowpier import Dispatcher
from crowpier.interface import (
    AttemptEnded,
    EndpointListReceived,
    Entry,
    Kind,
    ListKind,
    Log,
    MessageAccepted,
    MessageClass,
    Outcome,
    Refuse,
    Settings,
)

SETTINGS = {
    "classes": (MessageClass("note", 1000, 5000),),
    "kinds": (Kind("firm"),),
    "zones": ("a",),
    "slots": 4,
    "max_held": 10,
}


def test_the_example_of_the_readme_serves_its_message(capsys):
    page = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", page, re.DOTALL)
    exec(compile(example, "README.md", "exec"), {})
    assert capsys.readouterr().out == "{1: 'served'}\n"


@pytest.mark.parametrize(
    ("key", "value"), [("slots", 0), ("cold_from", 2), ("dispatchers", "two"), ("classes", ())]
)
def test_settings_out_of_range_name_their_key(key, value):
    with pytest.raises(ValueError, match=key):
        Settings(**(SETTINGS | {key: value}))


def test_batches_out_of_time_order_are_rejected():
    dispatcher = Dispatcher(Settings(**SETTINGS), seed=1)
    dispatcher.handle(
        10.0, [EndpointListReceived(ListKind.FULL, 1, (Entry("one", 7),)), MessageAccepted(1, 0, 7, 5000.0)]
    )
    with pytest.raises(ValueError, match="backwards"):
        dispatcher.handle(9.0, [])


def test_one_bad_event_does_not_drop_the_others_of_its_batch():
    # Otherwise the dispatcher would count calls that have ended as in flight.
    dispatcher = Dispatcher(Settings(**SETTINGS), seed=1)
    dispatcher.handle(
        10.0, [EndpointListReceived(ListKind.FULL, 1, (Entry("one", 7),)), MessageAccepted(1, 0, 7, 5000.0)]
    )
    bad = EndpointListReceived(ListKind.DELTA, 2, (Entry("two", 7, kind=9), Entry("three", 8)))
    events = [bad, MessageAccepted(2, 3, 7, 5000.0), AttemptEnded(1, 0, "one", Outcome.OK, 1.0, True)]
    actions = dispatcher.handle(11.0, events)
    assert Refuse(2) in actions and sum(isinstance(action, Log) for action in actions) == 2
    assert dispatcher.slots_in_use == 0 and not dispatcher.messages
    assert set(dispatcher.endpoints) == {"one", "three"}


def test_the_same_events_and_seed_give_the_same_actions():
    def play():
        dispatcher = Dispatcher(Settings(**SETTINGS), seed=3)
        entries = tuple(Entry(f"e{n}", 7) for n in range(4))
        done = dispatcher.handle(
            0.0, [EndpointListReceived(ListKind.FULL, 1, entries), MessageAccepted(1, 0, 7, 5000.0)]
        )
        where = done[0].endpoint
        return done + dispatcher.handle(20.0, [AttemptEnded(1, 0, where, Outcome.FULL, 20.0)])

    assert play() == play()
