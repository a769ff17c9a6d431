"""The cases of `lab.member_cases` with real members, short; `benchmarks.membership` plays them long."""

import pytest
from fleets import with_fleet

from lab.member_cases import CASES, SLOW, ten_under_load, turns
from lab.member_ways import STATES
from lab.membership import Held
from lab.run import play
from lab.scenario import parse

SHORT_S = 4.0  # a case that waits for its verdicts lasts as long as they take


@pytest.mark.parametrize("name", [name for name in CASES if name not in ("standing still",)])
def test_a_fault_comes_to_what_is_stated_and_heals(tmp_path, name):
    @with_fleet(tmp_path, size=6, buildings=2, properties=(4,) if name in SLOW else (1, 2, 4))
    async def _(fleet):
        await CASES[name][0](fleet, SHORT_S)


def test_a_flap_is_a_verdict_that_turns_and_a_suspicion_that_was_refuted_is_none():
    alive, suspect, gone = (STATES[state] for state in ("alive", "suspect", "gone"))

    def turned(*states, by="d0"):
        """Of what was held of d3 at 1 s, 2 s and so on, what turned after 2.5 s."""
        held = [Held(at + 1.0, by, "d3", 7, 1, state) for at, state in enumerate(states)]
        return [(one.at, one.state) for one in turns(held, 2.5)]

    assert turned(alive, alive, suspect, alive) == turned(gone, gone, suspect, gone) == []
    assert turned(alive, suspect, gone) == turned(alive, alive, gone) == [(3.0, gone)]
    assert turned(gone, gone, alive) == turned(alive, gone, alive) == [(3.0, alive)]
    assert turned(alive, suspect, alive, suspect, gone, alive) == [(5.0, gone), (6.0, alive)]
    assert turned(suspect, suspect, alive) == [(3.0, alive)], "nothing was held of it before"
    assert turned(alive, alive, gone, by="d3") == [], "what it holds of itself"


def test_of_ten_under_load_one_stands_still_for_a_second_and_four_at_once(tmp_path):
    played = play(parse(ten_under_load(long=False), "pauses"), folder=tmp_path)
    broken = [*played.crashed, *played.broken, *played.member_broken]
    assert played.sound, "\n".join(map(str, broken))
    total, held = played.total, played.members
    assert total.open == 0 and total.in_time > 0.5 * total.asked > 100
    assert held.equal_at is not None
    gone = {h.name for h in held.held if h.state == 2}
    assert gone <= {"d4", "d5", "d6", "d7"}, "a second is no death, and the others ran all the time"
