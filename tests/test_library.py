"""The module as a user of the library meets it."""

import re
from pathlib import Path

import pytest

from crowpier import Dispatcher
from crowpier.interface import (
    Arrived,
    AttemptEnded,
    Entry,
    Kind,
    Listed,
    ListKind,
    MessageClass,
    Outcome,
    Settings,
)

TOLD = {
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
        Settings(**(TOLD | {key: value}))


def test_wrong_use_says_what_to_do():
    dispatcher = Dispatcher(Settings(**TOLD), seed=1)
    dispatcher.handle(10.0, [Listed(ListKind.FULL, 1, (Entry("one", 7),)), Arrived(1, 0, 7, 5000.0)])
    with pytest.raises(ValueError, match="backwards"):
        dispatcher.handle(9.0, [])
    with pytest.raises(ValueError, match="class 3"):
        dispatcher.handle(11.0, [Arrived(2, 3, 7, 5000.0)])
    with pytest.raises(ValueError, match="went to one"):
        dispatcher.handle(12.0, [AttemptEnded(1, 0, "two", Outcome.OK, 1.0)])


def test_the_same_events_and_seed_give_the_same_actions():
    def play():
        dispatcher = Dispatcher(Settings(**TOLD), seed=3)
        entries = tuple(Entry(f"e{n}", 7) for n in range(4))
        done = dispatcher.handle(0.0, [Listed(ListKind.FULL, 1, entries), Arrived(1, 0, 7, 5000.0)])
        where = done[0].endpoint
        return done + dispatcher.handle(20.0, [AttemptEnded(1, 0, where, Outcome.FULL, 20.0)])

    assert play() == play()
