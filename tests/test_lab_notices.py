"""Disruptions of the platform with messages that are handed in during and behind them."""

import pytest

from lab.run import play
from lab.scenario import parse
from rushhitch.config.deployment import LOOPS

SCENARIO = """
name = "lost answers to notices"
seconds = 7.0
loop = "{loop}"
[[class]]
name = "note"
deadline_ms = 700.0
[[class]]
name = "pay"
effect = "once"
deadline_ms = 1000.0
[[partner]]
name = "bank"
dest = 3
load = {{ note = 10.0, pay = 10.0 }}
[[fault]]
at = 0.0
what = "partner"
on = "bank"
shut = true
[[fault]]
at = 1.0
what = "lose_notice_answers"
seconds = 3.0
"""


@pytest.mark.parametrize("loop", LOOPS)
def test_lost_answers_of_the_platform_delay_no_later_notice(loop):
    # Guards against a sender that waits for the answer to the request before: seconds, and also afterwards.
    played = play(parse(SCENARIO.format(loop=loop)).check())
    assert [f"{one.rule} {one.about}: {one.text}" for one in played.broken] + played.crashed == []
    assert sum(event["what"] == "notice" for event in played.history.events) > 50
