"""A forwarder's side: from grants, silence and time to what its decision module is told. No I/O, no clock;
times are milliseconds of the forwarder's own clock.

Every grant counts from when its report was sent, so the forwarder never uses one for longer than the planner
reckons. When the lease runs out, the safe share holds; when that has run out as well, the bound grows by
itself until it binds no more, and the module is left with what it learns itself, as without planners.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rushhitch.planning.messages import Grant, Grants, LaneReport

GROW_PER_S = (
    0.5  # e-folds: a bound whose grant has lapsed grows by so many a second, as the module's pace does
)
GROW_MOST = 20.0  # times the last grant: then it is dropped
TELL_MS = 1_000.0  # what the module is told holds a little longer than until it is told anew
STEP = 0.02  # a bound that moved by less is not told anew before it runs out


@dataclass(frozen=True, slots=True)
class Allowance:
    """What the module is told of a lane: calls a second, how many at once, for how long; a wait that another
    forwarder was told; and how much its routes' score is lowered by."""

    lane: str
    per_s: float
    burst: float
    for_ms: float
    wait_ms: float = 0.0
    score_penalty: float = 0.0
    slots_ms: float = 0.0  # so long the moments of its calls are told, and they go by these
    slot: int = 0  # the number of the first
    slots: tuple[float, ...] = ()  # milliseconds from now


@dataclass(slots=True)
class Held:
    """A grant as this forwarder holds it."""

    grant: Grant
    planner: str
    asked_at: float

    def bound(self, now: float) -> float:
        """Calls a second that it allows now."""
        grant = self.grant
        if grant.per_s < 0:
            return math.inf
        lapsed = now - self.asked_at - grant.lease_ms
        if lapsed < 0:
            return grant.per_s
        if lapsed < grant.safe_ms:
            return grant.safe_per_s
        grown = math.exp(min(GROW_PER_S * (lapsed - grant.safe_ms) / 1000.0, 50.0))
        return math.inf if grown >= GROW_MOST else max(grant.safe_per_s, 1e-3) * grown

    def live(self, now: float) -> bool:
        return now - self.asked_at < self.grant.lease_ms

    def expired(self, now: float) -> bool:
        """Whether no planner reckons with it any more."""
        return not self.grant.is_grant or now - self.asked_at >= self.grant.lease_ms + self.grant.safe_ms


@dataclass(slots=True)
class LaneGuidance:
    """A lane's grants: of one planner, or for a while of two that both believe that they plan it."""

    term: int = 0
    held: dict[str, Held] = field(default_factory=dict)
    told: Allowance | None = None
    told_at: float = -math.inf
    fresh: bool = False  # moments came that the module has not been told

    def newest(self) -> Held | None:
        return max(self.held.values(), key=lambda held: held.asked_at, default=None)


class Guidance:
    """All grants of a forwarder."""

    def __init__(self) -> None:
        self.lanes: dict[str, LaneGuidance] = {}
        self.waits: dict[str, float] = {}

    def take(self, now: float, asked_at: float, answer: Grants) -> None:
        """A planner's answer to a report that was sent at that time. Grants of a former term are fenced off,
        and so are those that a network delivers late or out of order."""
        for grant in answer.grants:
            lane = self.lanes.setdefault(grant.lane, LaneGuidance())
            if grant.term < lane.term:
                continue
            if grant.term > lane.term:
                lane.term = grant.term
                lane.held = {answer.planner: lane.held[answer.planner]} if answer.planner in lane.held else {}
            known = lane.held.get(answer.planner)
            if known is not None and known.grant.term == grant.term and known.grant.seq >= grant.seq:
                continue
            lane.held[answer.planner] = Held(grant, answer.planner, asked_at)
            lane.fresh = grant.slots_ms > 0
            if grant.wait_ms > 0:
                self.waits[grant.lane] = max(self.waits.get(grant.lane, 0.0), now + grant.wait_ms)

    def bound(self, now: float, name: str) -> float:
        """Calls a second on the lane; infinite if nothing binds."""
        lane = self.lanes.get(name)
        if lane is None or not lane.held:
            return math.inf
        live = [held for held in lane.held.values() if held.live(now)]
        if live:  # of two that both plan it, the lower
            return min(held.bound(now) for held in live)
        newest = lane.newest()
        return newest.bound(now) if newest else math.inf

    def slots(self, now: float, name: str) -> tuple[float, int, tuple[float, ...]]:
        """So long from now the moments of its calls are told, the number of the first, and these, as
        milliseconds from now. Nothing where two planners both grant: then the lower rate holds."""
        lane = self.lanes.get(name)
        live = [held for held in lane.held.values() if held.live(now)] if lane else []
        if len(live) != 1 or (left := live[0].asked_at + live[0].grant.slots_ms - now) <= 0:
            return 0.0, 0, ()
        passed = now - live[0].asked_at
        return left, live[0].grant.slot, tuple(at - passed for at in live[0].grant.slots)

    def live(self, now: float, name: str) -> float:
        """Of that, what a planner reckons with: 0 past the safe time, when the bound goes its own way."""
        lane = self.lanes.get(name)
        newest = lane.newest() if lane else None
        if newest is None or newest.expired(now):
            return 0.0
        return self.bound(now, name)

    def allowances(self, now: float) -> list[Allowance]:
        """What the module must be told now: bounds that moved, and those whose word runs out."""
        found = []
        for name, lane in list(self.lanes.items()):
            for planner in [p for p, held in lane.held.items() if held.bound(now) == math.inf]:
                if not lane.held[planner].live(now):
                    del lane.held[planner]
            bound = self.bound(now, name)
            wait = max(self.waits.pop(name, 0.0) - now, 0.0)
            newest = lane.newest()
            penalty = newest.grant.score_penalty if newest and newest.live(now) else 0.0
            burst = newest.grant.burst if newest and newest.grant.burst > 0 else 1.0
            told = lane.told
            moved = told is None or not alike(told.per_s, bound) or told.score_penalty != penalty
            due = now - lane.told_at >= TELL_MS / 2.0 and (bound < math.inf or penalty)
            if (moved and (told is not None or bound < math.inf or penalty)) or due or wait or lane.fresh:
                allowance = Allowance(name, bound, burst, TELL_MS, wait, penalty, *self.slots(now, name))
                lane.told, lane.told_at, lane.fresh = allowance, now, False
                found.append(allowance)
            if not lane.held and (told is None or told.per_s == math.inf):
                if lane.term == 0 or now - lane.told_at > 60_000.0:
                    del self.lanes[name]
        return found

    def holding(self, now: float, name: str) -> tuple[float, str, int, int, float, bool]:
        """For a report: rate, planner, term and number of the grant it goes by, the limit it told, and
        whether it has lapsed with its safe time."""
        lane = self.lanes.get(name)
        newest = lane.newest() if lane else None
        if lane is None or newest is None:
            return 0.0, "", lane.term if lane else 0, 0, 0.0, False
        grant, bound = newest.grant, newest.bound(now)
        if bound == math.inf:  # nothing binds, or not any more
            bound = 0.0
        return bound, newest.planner, grant.term, grant.seq, grant.limit, newest.expired(now)

    def fill(self, now: float, row: LaneReport) -> None:
        """Put what it holds on the row's lane into the row."""
        held = self.holding(now, row.lane)
        row.holding, row.planner, row.term, row.seq, row.limit, row.expired = held


def alike(one: float, other: float) -> bool:
    if one == other:
        return True
    return math.isfinite(one) and math.isfinite(other) and abs(one - other) <= STEP * max(one, other)
