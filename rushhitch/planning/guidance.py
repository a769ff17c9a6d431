"""Turns a planner's grants into allowances for the forwarder's decision module. No I/O, no clock; times are
milliseconds of the forwarder's own clock.

A lease starts when the report was sent, so the forwarder never uses a grant for longer than the planner
assumes. After the lease the safe rate applies; after the safe period the bound grows until it is dropped, and
the module relies on the limits that it learns itself, as without planners.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rushhitch.planning.messages import Grant, Grants, LaneReport

GROWTH_PER_S = 0.5  # e-folds of an expired bound, as the rate of the decision module grows
MAX_GROWTH = 20.0  # multiple of the last safe rate at which the bound is dropped
ALLOWANCE_MS = 1_000.0  # validity of an allowance, which is longer than its refresh interval
MIN_CHANGE = 0.02  # relative; a smaller change of the bound waits for the next refresh


@dataclass(frozen=True, slots=True)
class Allowance:
    """Limits on a lane for the decision module: calls per second, burst and validity; a wait that the partner
    requested from another forwarder; and the penalty on the score of its routes."""

    lane: str
    per_s: float
    burst: float
    for_ms: float
    wait_ms: float = 0.0
    score_penalty: float = 0.0
    slots_ms: float = 0.0  # period that `slots` covers; in it calls go at these times
    slot: int = 0  # number of the first slot
    slots: tuple[float, ...] = ()  # milliseconds from now


@dataclass(slots=True)
class HeldGrant:
    """A grant that this forwarder has received."""

    grant: Grant
    planner: str
    asked_at: float

    def bound(self, now: float) -> float:
        """Calls per second that the grant allows now."""
        grant = self.grant
        if grant.per_s < 0:
            return math.inf
        since_lease_ms = now - self.asked_at - grant.lease_ms
        if since_lease_ms < 0:
            return grant.per_s
        if since_lease_ms < grant.safe_ms:
            return grant.safe_per_s
        growth = math.exp(min(GROWTH_PER_S * (since_lease_ms - grant.safe_ms) / 1000.0, 50.0))
        return math.inf if growth >= MAX_GROWTH else max(grant.safe_per_s, 1e-3) * growth

    def live(self, now: float) -> bool:
        return now - self.asked_at < self.grant.lease_ms

    def expired(self, now: float) -> bool:
        """Whether no planner accounts for it any more."""
        return not self.grant.is_grant or now - self.asked_at >= self.grant.lease_ms + self.grant.safe_ms


@dataclass(slots=True)
class LaneGuidance:
    """A lane's grants: of one planner, or temporarily of two that both consider themselves its owner."""

    term: int = 0
    held: dict[str, HeldGrant] = field(default_factory=dict)
    last_allowance: Allowance | None = None
    allowance_at: float = -math.inf
    new_slots: bool = False  # slots arrived that no allowance has passed on

    def newest(self) -> HeldGrant | None:
        return max(self.held.values(), key=lambda held: held.asked_at, default=None)


class Guidance:
    """All grants of a forwarder, by lane."""

    def __init__(self) -> None:
        self.lanes: dict[str, LaneGuidance] = {}
        self.waits: dict[str, float] = {}

    def take(self, now: float, asked_at: float, answer: Grants) -> None:
        """Accepts a planner's answer to the report sent at `asked_at`. Ignores grants of an earlier term, and
        those that the network repeats or delivers out of order."""
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
            lane.held[answer.planner] = HeldGrant(grant, answer.planner, asked_at)
            lane.new_slots = grant.slots_ms > 0
            if grant.wait_ms > 0:
                self.waits[grant.lane] = max(self.waits.get(grant.lane, 0.0), now + grant.wait_ms)

    def bound(self, now: float, name: str) -> float:
        """Calls per second on the lane; infinite if there is no bound."""
        lane = self.lanes.get(name)
        if lane is None or not lane.held:
            return math.inf
        live = [held for held in lane.held.values() if held.live(now)]
        if live:  # with two planners the lower bound applies
            return min(held.bound(now) for held in live)
        newest = lane.newest()
        return newest.bound(now) if newest else math.inf

    def slots(self, now: float, name: str) -> tuple[float, int, tuple[float, ...]]:
        """The remaining period with slots, the number of the first slot, and the slots, in milliseconds from
        now. Empty while two planners hold live grants: then the lower rate applies."""
        lane = self.lanes.get(name)
        live = [held for held in lane.held.values() if held.live(now)] if lane else []
        if len(live) != 1 or (left := live[0].asked_at + live[0].grant.slots_ms - now) <= 0:
            return 0.0, 0, ()
        passed = now - live[0].asked_at
        return left, live[0].grant.slot, tuple(at - passed for at in live[0].grant.slots)

    def live(self, now: float, name: str) -> float:
        """The part of `bound` that planners account for: 0 after the safe period, when the bound grows."""
        lane = self.lanes.get(name)
        newest = lane.newest() if lane else None
        if newest is None or newest.expired(now):
            return 0.0
        return self.bound(now, name)

    def allowances(self, now: float) -> list[Allowance]:
        """Allowances to pass on now: those of changed bounds, and those that are due for a refresh."""
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
            previous = lane.last_allowance
            moved = (
                previous is None
                or not nearly_equal(previous.per_s, bound)
                or previous.score_penalty != penalty
            )
            due = now - lane.allowance_at >= ALLOWANCE_MS / 2.0 and (bound < math.inf or penalty)
            if (
                (moved and (previous is not None or bound < math.inf or penalty))
                or due
                or wait
                or lane.new_slots
            ):
                allowance = Allowance(name, bound, burst, ALLOWANCE_MS, wait, penalty, *self.slots(now, name))
                lane.last_allowance, lane.allowance_at, lane.new_slots = allowance, now, False
                found.append(allowance)
            if not lane.held and (previous is None or previous.per_s == math.inf):
                if lane.term == 0 or now - lane.allowance_at > 60_000.0:
                    del self.lanes[name]
        return found

    def holding(self, now: float, name: str) -> tuple[float, str, int, int, float, bool]:
        """For a report: rate, planner, term and sequence number of the grant in use, the limit in it,
        and whether its lease and safe period are over."""
        lane = self.lanes.get(name)
        newest = lane.newest() if lane else None
        if lane is None or newest is None:
            return 0.0, "", lane.term if lane else 0, 0, 0.0, False
        grant, bound = newest.grant, newest.bound(now)
        if bound == math.inf:  # no bound, or no longer
            bound = 0.0
        return bound, newest.planner, grant.term, grant.seq, grant.limit, newest.expired(now)

    def fill(self, now: float, row: LaneReport) -> None:
        """Fills in the fields of the report row that describe the grant in use."""
        held = self.holding(now, row.lane)
        row.holding, row.planner, row.term, row.seq, row.limit, row.expired = held


def nearly_equal(one: float, other: float) -> bool:
    if one == other:
        return True
    return math.isfinite(one) and math.isfinite(other) and abs(one - other) <= MIN_CHANGE * max(one, other)
