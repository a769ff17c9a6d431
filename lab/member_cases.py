"""What faults between real members are to come to, and what they are not: tests play it short, and
`benchmarks.membership` for half a minute and a minute.

Each case takes a `MemberFleet` of six in two buildings that has met, and how long its fault lasts in seconds;
it raises an `AssertionError` that says what was held. The verdicts are those of `docs/design/membership.md`.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable

from lab.fleet import MemberFleet
from lab.member_ways import FINE, STATES, WayFault
from lab.membership import Held

FOUND_S = 20.0  # T2 of six and more: a crowded machine is slow
HEALED_S = 20.0  # T3 of six, and a poll
SETTLED_S = 3.0  # a verdict that holds so long does not flap

Case = Callable[[MemberFleet, float], Awaitable[None]]
Cut = Callable[[MemberFleet], Callable[[str, str], bool]]


def must(true: bool, why: str) -> None:
    if not true:
        raise AssertionError(why)


def cut(true: Callable[[str, str], bool]) -> Callable[[str, str], WayFault]:
    """Nothing passes from one to another where that is so."""
    return lambda a, b: WayFault(cut=True) if true(a, b) else FINE


def healed(a: str, b: str) -> WayFault:
    return FINE


def pair(fleet: MemberFleet) -> Callable[[str, str], bool]:
    return lambda a, b: (a, b) == ("d1", "d2")


def ring(fleet: MemberFleet) -> Callable[[str, str], bool]:
    following = dict(zip(fleet.names, [*fleet.names[1:], fleet.names[0]], strict=True))
    return lambda a, b: following[a] == b


def all_to_one(fleet: MemberFleet) -> Callable[[str, str], bool]:
    return lambda a, b: b == "d2"


def one_to_all(fleet: MemberFleet) -> Callable[[str, str], bool]:
    return lambda a, b: a == "d2"


def building_to_building(fleet: MemberFleet) -> Callable[[str, str], bool]:
    return lambda a, b: (fleet.building[a], fleet.building[b]) == ("a", "b")


def gone_of(which: Cut, fleet: MemberFleet, by: str) -> set[str]:
    """Whom that member is to hold gone."""
    if which in (all_to_one, one_to_all):
        return set(fleet.names) - {by} if by == "d2" else {"d2"}
    if which is building_to_building:
        return {name for name in fleet.names if fleet.building[name] != fleet.building[by]}
    return set()


def held_gone(fleet: MemberFleet, by: str) -> set[str]:
    return {name for name, state in fleet.states(by).items() if state == "gone"}


def turns(held: list[Held], since: float) -> list[Held]:
    """What was held of others after that moment and is another verdict than the one before it. A suspicion is
    none, so one that was refuted has turned nothing: a slow process is suspected now and then."""
    verdicts: dict[tuple[str, str], int] = {}
    found = []
    for one in held:
        pair = (one.by, one.name)
        if one.by == one.name or one.state == STATES["suspect"]:
            continue
        if one.at > since and verdicts.get(pair) != one.state:
            found.append(one)
        verdicts[pair] = one.state
    return found


def one_sided(which: Cut) -> Case:
    async def case(fleet: MemberFleet, lasts: float) -> None:
        begun = fleet.now

        def as_stated() -> bool:
            return all(held_gone(fleet, by) == gone_of(which, fleet, by) for by in fleet.names)

        fleet.watch.strike(cut(which(fleet)))
        await fleet.until(as_stated, FOUND_S)
        settled = fleet.now
        await asyncio.sleep(max(begun + lasts - settled, SETTLED_S))
        must(as_stated(), f"held gone: { {by: held_gone(fleet, by) for by in fleet.names} }")
        lonely = "d2" if which in (all_to_one, one_to_all) else ""  # it refutes what nobody hears
        turned = [h for h in turns(fleet.history.held, settled) if h.by != lonely]
        must(not turned, f"it flaps: {turned[:4]}")
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, HEALED_S)

    return case


def flapping(which: Cut) -> Case:
    """On for a second, off for a second."""

    async def case(fleet: MemberFleet, lasts: float) -> None:
        held, lines = len(fleet.history.held), {name: len(fleet.logs[name]) for name in fleet.names}
        begun = fleet.now
        for second in range(int(lasts)):
            fleet.watch.strike(cut(which(fleet)) if second % 2 == 0 else healed)
            await asyncio.sleep(max(begun + second + 1.0 - fleet.now, 0.0))
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, HEALED_S)
        burials = {(h.name, h.incarnation) for h in fleet.history.held[held:] if h.state == 2}
        must(len(burials) <= 3, f"{lasts / 2:.0f} cuts of a second bury {sorted(burials)}")
        for name in fleet.names:
            told = [line for line in fleet.logs[name][lines[name] :] if re.search(r"member d\d is", line)]
            must(len(told) <= 6, f"users of {name} hear {told}")

    return case


async def halves(fleet: MemberFleet, lasts: float) -> None:
    """With a kill and a start on either side; of a leave and a join the other side hears nothing."""
    one, other = ([name for name in fleet.names if fleet.building[name] == b] for b in "ab")
    begun = fleet.now
    fleet.watch.strike(cut(lambda a, b: fleet.building[a] != fleet.building[b]))
    await fleet.until(lambda: held_gone(fleet, one[0]) == set(other), FOUND_S)
    await fleet.until(lambda: held_gone(fleet, other[0]) == set(one), FOUND_S)

    def first_of_each_is(state: str) -> bool:
        return fleet.states(one[1]).get(one[0]) == fleet.states(other[1]).get(other[0]) == state

    await asyncio.gather(fleet.kill(one[0]), fleet.kill(other[0]))
    await fleet.until(lambda: first_of_each_is("gone"), FOUND_S)
    await asyncio.gather(fleet.start(one[0]), fleet.start(other[0]))
    await fleet.until(lambda: first_of_each_is("alive"), FOUND_S)
    await fleet.leave(one[1])
    await fleet.until(lambda: fleet.states(one[0]).get(one[1]) == "left", FOUND_S)
    must(fleet.states(other[0])[one[1]] == "gone", "a leave was heard through a cut")
    bounds = {by: fleet.reports[by]["most"] for by in other}
    must(set(bounds.values()) == {len(fleet.names)}, f"the half that heard of no leave counts {bounds}")
    fleet.names.append("new")  # in the place of the one that left
    fleet.building["new"], fleet.logs["new"] = "a", []
    await fleet.ways.add("new")
    await fleet.start("new")
    await fleet.until(lambda: fleet.states(one[0]).get("new") == "alive", FOUND_S)
    must("new" not in fleet.states(other[0]), "a join was heard through a cut")
    await asyncio.sleep(max(begun + lasts - fleet.now, 0.0))
    fleet.watch.strike(healed)
    await fleet.until(fleet.all_there, HEALED_S)


async def lag(fleet: MemberFleet, lasts: float) -> None:
    """Each turn of the loop of one takes 2 s."""
    fleet.ill["d1"] = {}
    await fleet.kill("d1")
    await fleet.start("d1")
    await fleet.until(fleet.all_there, HEALED_S)
    begun = fleet.now
    fleet.falls_ill("d1", lag_s=2.0)
    await fleet.until(lambda: fleet.reports["d1"]["doubt"] >= 2, FOUND_S)
    await asyncio.sleep(max(begun + lasts - fleet.now, 0.0))
    burials = fleet.reports["d1"]["counts"]["burials"]
    must(burials == 0, f"it judged {burials} others by its own lag")
    fleet.falls_ill("d1")
    await fleet.until(fleet.all_there, HEALED_S)
    wrong = [h for h in fleet.history.held if h.state == 2 and "d1" not in (h.by, h.name)]
    must(not wrong, f"others bury each other: {wrong[:4]}")


async def still(fleet: MemberFleet, lasts: float) -> None:
    """One stands still."""
    standing = asyncio.create_task(fleet.stand_still("d1", lasts))
    others = [name for name in fleet.names if name != "d1"]
    await fleet.until(lambda: all(fleet.states(by).get("d1") == "gone" for by in others), FOUND_S)
    await standing
    await fleet.until(fleet.all_there, HEALED_S)
    must(fleet.reports["d1"]["counts"]["burials"] == 0, "it judged others by what it did not hear")


CUTS = (pair, ring, all_to_one, one_to_all, building_to_building)
CASES: dict[str, tuple[Case, float]] = {  # with seconds that the fault lasts in the benchmark
    **{f"cut, {which.__name__}": (one_sided(which), 30.0) for which in CUTS},
    **{f"flapping cut, {which.__name__}": (flapping(which), 60.0) for which in CUTS},
    "halves": (halves, 60.0),
    "a loop that lags": (lag, 60.0),
    "standing still": (still, 30.0),
}
SLOW = ("a loop that lags",)  # of these, property 4 alone is to hold: others may hold the slow one gone

UNDER_LOAD = """
seconds = {seconds}
dispatchers = {dispatchers}
members = true
buildings = 2
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
load = {{ note = 20.0, pay = 10.0 }}
"""
PAUSE = '[[fault]]\nat = {at}\nwhat = "pause"\non = "{who}"\nseconds = {lasts}\n'


def ten_under_load(long: bool) -> str:
    """A scenario: of ten d1 stands still for a second and four at once for 5 s; in the long form d2 alone for
    5 s before, and d3 for half a minute. The others are under load: no rule on messages excuses one that
    stands still for longer than 0.15 s."""
    pauses = [("d1", 0.5, 1.0)]
    pauses += [("d2", 3.0, 5.0), ("d3", 9.0, 30.0)] if long else []
    pauses += [(f"d{number}", 28.0 if long else 2.5, 5.0) for number in (4, 5, 6, 7)]
    still = {who for who, _, _ in pauses}
    handed = [name for name in (f"d{number}" for number in range(10)) if name not in still]
    text = f"handed = {handed}\n" + UNDER_LOAD.format(seconds=46.0 if long else 9.0, dispatchers=10)
    return text + "".join(PAUSE.format(who=who, at=at, lasts=lasts) for who, at, lasts in pauses)
