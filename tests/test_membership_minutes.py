"""Faults between real members for as long as they last in service: half a minute, a minute.

All fleets play side by side, since each mostly waits: one test, whose group of errors names what failed.
"""

import asyncio
import re

import pytest
from fleets import all_hold, cut, healed, play

from lab.run import play as play_scenario
from lab.scenario import parse

pytestmark = pytest.mark.minutes
PATIENCE_S = 170.0
SETTLED_S = 12.0  # after a cut begins: T2 of six, and a poll


def pair(fleet):
    return lambda a, b: (a, b) == ("d1", "d2")


def ring(fleet):
    following = dict(zip(fleet.names, [*fleet.names[1:], fleet.names[0]], strict=True))
    return lambda a, b: following[a] == b


def all_to_one(fleet):
    return lambda a, b: b == "d2"


def one_to_all(fleet):
    return lambda a, b: a == "d2"


def building_to_building(fleet):
    return lambda a, b: (fleet.building[a], fleet.building[b]) == ("a", "b")


def gone_of(which, fleet, by):
    """Whom that member is to hold gone, by the design note's table of verdicts."""
    if which in (all_to_one, one_to_all):
        return set(fleet.names) - {by} if by == "d2" else {"d2"}
    if which is building_to_building:
        return {name for name in fleet.names if fleet.building[name] != fleet.building[by]}
    return set()


def half_a_minute(which):
    async def test(fleet):
        fleet.watch.strike(cut(which(fleet)))
        await asyncio.sleep(SETTLED_S)
        settled = fleet.now
        await asyncio.sleep(30.0 - SETTLED_S)
        for by in fleet.names:
            held = {name for name, state in fleet.states(by).items() if state == "gone"}
            assert held == gone_of(which, fleet, by), f"{which.__name__}: {by} holds {held} gone"
        lonely = "d2" if which in (all_to_one, one_to_all) else ""  # it refutes what nobody hears
        turns = [h for h in fleet.history.held if h.at > settled and h.state != 1 and h.name != h.by]
        assert not [h for h in turns if h.by != lonely], f"{which.__name__} flaps: {turns[:4]}"
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, 20.0)

    return test


def flapping_for_a_minute(which):
    async def test(fleet):
        held, lines = len(fleet.history.held), {name: len(fleet.logs[name]) for name in fleet.names}
        begun = fleet.now
        for second in range(60):
            fleet.watch.strike(cut(which(fleet)) if second % 2 == 0 else healed)
            await asyncio.sleep(max(begun + second + 1.0 - fleet.now, 0.0))
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, 20.0)
        burials = {(h.name, h.incarnation) for h in fleet.history.held[held:] if h.state == 2}
        assert len(burials) <= 3, f"{which.__name__}: thirty cuts of a second bury {sorted(burials)}"
        for name in fleet.names:
            told = [line for line in fleet.logs[name][lines[name] :] if re.search(r"member d\d is", line)]
            assert len(told) <= 6, f"{which.__name__}: users of {name} hear {told}"

    return test


async def halves_with_kills_and_starts_on_either_side(fleet):
    one = [name for name in fleet.names if fleet.building[name] == "a"]
    other = [name for name in fleet.names if fleet.building[name] == "b"]
    fleet.watch.strike(cut(lambda a, b: fleet.building[a] != fleet.building[b]))
    begun = fleet.now

    def first_of_each_is(state):
        return fleet.states(one[1])[one[0]] == fleet.states(other[1])[other[0]] == state

    await asyncio.sleep(8.0)
    await asyncio.gather(fleet.kill(one[0]), fleet.kill(other[0]))
    await fleet.until(lambda: first_of_each_is("gone"), 20.0)
    await asyncio.gather(fleet.start(one[0]), fleet.start(other[0]))
    await fleet.until(lambda: first_of_each_is("alive"), 20.0)
    await fleet.leave(one[1])
    await fleet.until(lambda: fleet.states(one[0]).get(one[1]) == "left", 20.0)
    assert fleet.states(other[0])[one[1]] == "gone", "there nobody hears of it"
    assert all(fleet.reports[by]["most"] == len(fleet.names) for by in other)
    await fleet.start(one[1])
    await asyncio.sleep(max(begun + 60.0 - fleet.now, 0.0))
    assert all(not fleet.reports[by]["leased"] for by in fleet.up() if fleet.reports[by]["least"] > 3)
    fleet.watch.strike(healed)
    await fleet.until(fleet.all_there, 20.0)


async def a_loop_that_lags_for_a_minute(fleet):
    fleet.ill["d1"] = {}
    await fleet.kill("d1")
    await fleet.start("d1")
    await fleet.until(fleet.all_there, 20.0)
    begun = fleet.now
    fleet.falls_ill("d1", lag_s=2.0)
    await fleet.until(lambda: fleet.reports["d1"]["doubt"] >= 2, 20.0)
    await asyncio.sleep(max(begun + 60.0 - fleet.now, 0.0))
    assert fleet.reports["d1"]["counts"]["burials"] == 0, "it judged others by its own lag"
    fleet.falls_ill("d1")
    await fleet.until(fleet.all_there, 20.0)
    others = {"d0", "d2", "d3"}
    assert not [h for h in fleet.history.held if h.state == 2 and {h.by, h.name} <= others]


async def one_stands_still_for_half_a_minute(fleet):
    standing = asyncio.create_task(fleet.stand_still("d1", 30.0))
    await fleet.until(lambda: all_hold(fleet, "d1", "gone", but=("d1",)), 20.0)
    await standing
    await fleet.until(fleet.all_there, 5.0)
    assert fleet.reports["d1"]["counts"]["burials"] == 0


CUTS = (pair, ring, all_to_one, one_to_all, building_to_building)
FLAPS = (ring, one_to_all, building_to_building)


def test_what_lasts_half_a_minute_or_a_minute_does_not_flap_and_heals(tmp_path):
    plays = {f"half a minute of {which.__name__}": (half_a_minute(which), {}) for which in CUTS}
    plays |= {f"a minute of flaps of {which.__name__}": (flapping_for_a_minute(which), {}) for which in FLAPS}
    plays["halves"] = (halves_with_kills_and_starts_on_either_side, {})
    plays["lag"] = (a_loop_that_lags_for_a_minute, {"size": 4, "properties": (4,)})
    plays["still"] = (one_stands_still_for_half_a_minute, {"size": 4})

    async def work():
        async with asyncio.timeout(PATIENCE_S), asyncio.TaskGroup() as group:
            for number, (name, (test, told)) in enumerate(plays.items()):
                folder = tmp_path / str(number)
                folder.mkdir()
                words = {"size": 6, "buildings": 2, "every_s": 0.5} | told
                group.create_task(play(test, folder, **words), name=name)

    asyncio.run(work())


TEN_UNDER_LOAD = """
seconds = 46.0
dispatchers = 10
members = true
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000.0
deadline_ms = 3000.0
[[class]]
name = "pay"
effect = "once"
aim_ms = 1000.0
deadline_ms = 4000.0
[[partner]]
name = "bank"
dest = 1
endpoints = 2
load = { note = 20.0, pay = 10.0 }
"""
PAUSES = [("d1", 1.0, 1.0), ("d2", 3.0, 5.0), ("d3", 9.0, 30.0)]  # who, from when on, for how long
PAUSES += [(f"d{number}", 28.0, 5.0) for number in (4, 5, 6, 7)]  # four of ten at once


def test_of_ten_under_load_one_stands_still_for_1_5_and_30_seconds_and_four_at_once(tmp_path):
    line = '[[fault]]\nat = {}\nwhat = "pause"\non = "{}"\nseconds = {}\n'
    faults = "".join(line.format(at, who, lasts) for who, at, lasts in PAUSES)
    played = play_scenario(parse(TEN_UNDER_LOAD + faults, "pauses"), folder=tmp_path)
    broken = [*played.crashed, *played.broken, *played.member_broken]
    assert played.sound, "\n".join(map(str, broken))
    total, held = played.total, played.members
    assert total.open == 0 and total.in_time > 0.5 * total.asked > 500
    assert held.equal_at is not None
    gone = {h.name for h in held.held if h.state == 2}
    assert "d3" in gone and "d1" not in gone, "half a minute is a death, and a second none"
    paused = {who for who, _, _ in PAUSES}
    assert gone <= paused, f"{gone - paused} ran all the time"
