"""What was sent comes again: a copy of an earlier answer, of a 204 to notices, of an older list. Real
dispatchers, judged by what partners and platform did."""

from lab.repeats import WAYS
from lab.run import play
from lab.scenario import parse

SCENARIO = """
seconds = 6.0
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000.0
deadline_ms = 3000.0
[[class]]
name = "pay"
effect = "once"
aim_ms = 1000.0
deadline_ms = 3000.0
late_worth = 0.5
[[partner]]
name = "bank"
dest = 1
endpoints = 3
kind = "banks"
apart = true
batch = 10
call_ms = 80.0
load = { note = 25.0, pay = 25.0 }
[[partner]]
name = "firm"
dest = 2
endpoints = 3
call_ms = 80.0
load = { note = 25.0, pay = 25.0 }
"""
REFUSALS = """
[[fault]]
at = 0.0
what = "partner"
on = "bank"
refuse = 0.3
[[fault]]
at = 0.0
what = "partner"
on = "firm"
refuse = 0.3
"""
REPEAT = """
[[fault]]
at = 0.0
what = "repeat"
{stream} = {share}
"""
REFUSED_NOTICES = """
[[fault]]
at = 0.0
what = "refuse_notices"
factor = 0.5
"""
DRAINS = "".join(
    f"""
[[fault]]
at = {at}
what = "drain"
on = "bank-1"
seconds = 2.4
"""
    for at in (0.4, 3.4)
)


def broken(*parts: str) -> list[str]:
    """What broke in a run with these faults."""
    played = play(parse(SCENARIO + "".join(parts)).check())
    return [f"{one.rule} {one.about}: {one.text}" for one in played.broken] + played.crashed


def test_a_copy_of_an_earlier_answer_does_not_answer_a_later_call():
    # A copied 200 ended a message that was turned away; the 503 behind it repeated one that had run.
    repeats = REPEAT.format(stream="answers", share=0.2) + f"ways = {list(WAYS)}\n"
    assert broken(REFUSALS, repeats) == []


def test_a_copy_of_an_earlier_204_does_not_acknowledge_later_notices():
    # The platform never took notices for which the dispatcher read the 204 of the notices before.
    repeats = REPEAT.format(stream="notices", share=0.5) + f"ways = {list(WAYS)}\n"
    assert broken(REFUSALS, REFUSED_NOTICES, repeats) == []


def test_an_older_list_behind_a_newer_one_does_not_end_a_drain():
    # The line before the drain came again, and the endpoint was called for as long as it drained.
    assert broken(DRAINS, REPEAT.format(stream="lists", share=1.0)) == []
