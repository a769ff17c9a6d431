"""What members may hold of each other: pure checks of a recorded history, simulated or of real processes.

The properties are those of `docs/design/membership.md`, by number.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from dataclasses import dataclass

from lab.membership import Held, History, Life
from rushhitch.membership.view import State

T1_S = 3.0  # one that runs and can be reached is held gone for no longer
T3_S = 15.0  # after the faults end, all views are alike, and `T3_MEMBER_S` more for each member
T3_MEMBER_S = 0.05
WAKE_S = 2.0  # after standing still, or out of reach: until others can know


def t2_s(size: int) -> float:
    """Within so many seconds a killed member is held gone by all that can reach each other."""
    return 8.0 + 2.0 * math.log10(max(size, 1))


@dataclass(frozen=True, slots=True)
class Broken:
    """A property that did not hold."""

    property: int
    at: float
    who: str
    why: str

    def __str__(self) -> str:
        return f"property {self.property} at {self.at:.2f} s, {self.who}: {self.why}"


def check(history: History, size: int) -> list[Broken]:
    """All that is broken; `size` is the largest number of members that ran."""
    return [
        *not_buried_for_long(history),
        *killed_are_found(history, t2_s(size)),
        *alike_in_the_end(history, T3_S + T3_MEMBER_S * size),
        *never_back(history),
        *bounds_hold(history, t2_s(size)),
    ]


def excused(history: History, name: str, begun: float, over: float) -> bool:
    """Whether it stood still, or was out of reach of half or more, somewhere in that time."""
    lives = [life for life in history.lives if life.name == name]
    spans = [span for life in lives for span in life.still]
    spans += [(start, end) for who, start, end in history.out_of_reach if who == name]
    return any(start - 0.2 <= over and begun <= end + WAKE_S for start, end in spans)


def slept(history: History, name: str, begun: float, over: float) -> bool:
    """Whether it stood still then, and cannot have noticed yet."""
    spans = [span for life in history.lives if life.name == name for span in life.still]
    return any(start <= over and begun <= end for start, end in spans)


def ran(life: Life, begun: float, over: float) -> bool:
    return life.start <= begun and over <= life.end


def spells(history: History) -> dict[tuple[str, str], list[Held]]:
    found: dict[tuple[str, str], list[Held]] = defaultdict(list)
    for held in history.held:
        found[held.by, held.name].append(held)
    return found


def not_buried_for_long(history: History) -> list[Broken]:
    broken = []
    by_process = {(life.name, life.process): life for life in history.lives}
    holders = defaultdict(list)
    for life in history.lives:
        holders[life.name].append(life)
    for (by, name), line in spells(history).items():
        for held, after in zip(line, [*line[1:], None], strict=True):
            life = by_process.get((name, held.process))
            if held.state != State.GONE or life is None or held.at >= life.end:
                continue
            until = min(
                after.at if after is not None else history.end,
                life.end,
                *(one.end for one in holders[by] if one.start <= held.at < one.end),
            )
            if until - held.at <= T1_S:
                continue
            # For longer than T1 in one go, without an excuse of either.
            if not (excused(history, name, held.at - T1_S, until) or excused(history, by, held.at, until)):
                broken.append(Broken(1, held.at, by, f"holds {name} gone for {until - held.at:.2f} s"))
    return broken


def false_burials(history: History) -> int:
    """How many incarnations were held gone by anybody while their process ran, and did not stand still, and
    could be reached."""
    lives = {(life.name, life.process): life for life in history.lives}
    found = set()
    for held in history.held:
        life = lives.get((held.name, held.process))
        if held.state == State.GONE and life is not None and held.at < life.end:
            if not excused(history, held.name, held.at - T1_S, held.at):
                found.add((held.name, held.incarnation, held.process))
    return len(found)


def killed_are_found(history: History, within: float) -> list[Broken]:
    broken = []
    lines = spells(history)
    for dead in history.lives:
        if not dead.killed or dead.end + within > history.end:
            continue
        for life in history.lives:
            by = life.name
            if by == dead.name or not ran(life, dead.end - WAKE_S, dead.end + within):
                continue
            if excused(history, by, dead.end, dead.end + within):
                continue
            line = lines.get((by, dead.name), [])
            found = line and (
                (last := line[bisect.bisect_right([h.at for h in line], dead.end + within) - 1]).process
                != dead.process
                or last.state >= State.GONE
            )
            if line and line[0].at <= dead.end and not found:
                broken.append(Broken(2, dead.end, by, f"does not hold {dead.name} gone {within:.1f} s later"))
    return broken


def alike_in_the_end(history: History, within: float) -> list[Broken]:
    if history.quiet_from is None or history.quiet_from + within > history.end:
        return []
    if history.equal_at is None or history.equal_at > history.quiet_from + within:
        late = "never" if history.equal_at is None else f"{history.equal_at - history.quiet_from:.1f} s after"
        return [Broken(3, history.quiet_from, "all", f"views are alike {late}, not within {within:.1f} s")]
    return []


def never_back(history: History) -> list[Broken]:
    broken = []
    for (by, _), line in spells(history).items():
        processes = sorted(life.start for life in history.lives if life.name == by)
        for before, after in zip(line, line[1:], strict=False):
            again = any(before.at <= start <= after.at for start in processes)  # and knew nothing then
            old = (after.incarnation, after.process) < (before.incarnation, before.process)
            same = (after.incarnation, after.process) == (before.incarnation, before.process)
            back = same and after.state < before.state and before.state >= State.GONE
            if not again and (old or back):
                broken.append(Broken(4, after.at, by, f"goes back from {before} to {after}"))
    return broken


def bounds_hold(history: History, within: float) -> list[Broken]:
    broken = []
    lines = defaultdict(list)
    for bound in history.bounds:
        lines[bound.by].append(bound)
        if bound.most < bound.acting:
            broken.append(Broken(5, bound.at, bound.by, f"at most {bound.most} act, and {bound.acting} do"))
    for by, line in lines.items():
        for bound in line:
            lately = [b.reaches for b in line if bound.at - within <= b.at <= bound.at]
            could = len(frozenset().union(*lately))
            early = line[0].at > bound.at - within or slept(history, by, bound.at - 0.5, bound.at)
            if bound.least > could and not early:
                broken.append(Broken(5, bound.at, by, f"talks to {bound.least}, and could to {could}"))
    return broken
