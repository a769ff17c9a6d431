"""The cases of `lab.member_cases` with real members, short; `benchmarks.membership` plays them long."""

import pytest
from fleets import with_fleet

from lab.member_cases import CASES, SLOW, ten_under_load
from lab.run import play
from lab.scenario import parse

SHORT_S = 4.0  # a case that waits for its verdicts lasts as long as they take


@pytest.mark.parametrize("name", [name for name in CASES if name not in ("standing still",)])
def test_a_fault_comes_to_what_is_stated_and_heals(tmp_path, name):
    @with_fleet(tmp_path, size=6, buildings=2, properties=(4,) if name in SLOW else (1, 2, 4))
    async def _(fleet):
        await CASES[name][0](fleet, SHORT_S)


def test_of_ten_under_load_one_stands_still_for_a_second_and_four_at_once(tmp_path):
    played = play(parse(ten_under_load(long=False), "pauses"), folder=tmp_path)
    broken = [*played.crashed, *played.broken, *played.member_broken]
    assert played.sound, "\n".join(map(str, broken))
    total, held = played.total, played.members
    assert total.open == 0 and total.in_time > 0.5 * total.asked > 100
    assert held.equal_at is not None
    gone = {h.name for h in held.held if h.state == 2}
    assert gone <= {"d4", "d5", "d6", "d7"}, "a second is no death, and the others ran all the time"
