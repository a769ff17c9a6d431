"""Limits from outside: what planners grant and what partners state, as the decisions are told of them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from crowpier import interface as api

if TYPE_CHECKING:
    from rushhitch.planning.counts import LaneCounts
    from rushhitch.planning.guidance import Allowance
    from rushhitch.planning.messages import LaneReport

STATED_MS = 1_000.0  # a partner's stated limit holds so long in the decision module, unless told again


def budget_of(lane: int | str) -> str:
    """The name of a lane's limit among dispatchers."""
    return f"lane {lane}"


class RateLimits:
    """`dispatchers` is how many share a stated limit; `held` tells what is held by destination."""

    def __init__(
        self,
        dispatchers: int,
        note: Callable[[api.Event], None],
        held: Callable[[], dict[int, tuple[int, ...]]],
    ) -> None:
        self.dispatchers, self.note, self.held = dispatchers, note, held
        self.loop = asyncio.get_running_loop()
        self.counts: LaneCounts | None = None  # for reports, where there are planners, or budgets are shared
        self.shared: Callable[[str, float], float] | None = None  # of a stated limit, this dispatcher's part
        self.stating = False  # partners may state limits: grants are kept, to be told beside them
        self.stated: dict[int | str, float] = {}  # calls a second that partners state, by lane
        self.granted: dict[int | str, tuple[float, Allowance]] = {}  # by lane: until when it holds

    def collect(self, elapsed_ms: float) -> list[LaneReport]:
        """What was seen since it was asked last, for a report."""
        assert self.counts is not None, "nothing is counted without planners"
        return self.counts.collect(self.loop.time() * 1000.0, elapsed_ms, self.held())

    def apply_allowance(self, allowance: Allowance) -> None:
        """A planner's word goes to the decisions as one event; they keep to the lower of it and their own."""
        assert self.counts is not None, "nothing is counted without planners"
        lane = self.counts.lane_of(allowance.lane)
        if lane is None:
            return
        if self.stating:
            self.granted[lane] = (self.loop.time() + allowance.for_ms / 1000.0, allowance)
        self.allow(lane, allowance)

    def part(self, lane: int | str, per_s: float) -> float:
        if self.shared is None:
            return per_s / self.dispatchers
        return self.shared(budget_of(lane), per_s)

    def needs(self, elapsed_s: float) -> list[tuple[str, float]]:
        """Calls a second that it would make, by budget, as of the call before."""
        found = []
        for report in self.collect(elapsed_s * 1000.0):
            lane = self.counts.lane_of(report.lane) if self.counts is not None else None
            if lane is not None:
                found.append((budget_of(lane), report.demand))
        return found

    def allow(self, lane: int | str, allowance: Allowance) -> None:
        """Pass an allowance on, or the limit that the partner states where that is lower: then moments that
        were dealt for the higher one do not count."""
        stated = self.stated.get(lane, math.inf)
        slots = (allowance.slots_ms, allowance.slot, allowance.slots)
        per_s, burst = allowance.per_s, max(allowance.burst, 1.0)
        if stated < per_s:
            per_s, burst, slots = stated, 1.0, (0.0, 0, ())
        told = (allowance.for_ms, allowance.wait_ms, allowance.handicap)
        self.note(api.SendAllowance(lane, per_s, burst, *told, *slots))

    def set_stated_limits(self, rates: Mapping[int | str, float]) -> None:
        """Limits in calls a second that partners state, by lane: to all dispatchers together, so each keeps
        to its part. The decision module hears of them as of planners' grants, which run out after a second:
        call it more often."""
        from rushhitch.planning.guidance import Allowance  # only where partners state any

        self.stated = {lane: self.part(lane, per_s) for lane, per_s in rates.items()}
        now = self.loop.time()
        self.granted = {lane: held for lane, held in self.granted.items() if held[0] > now}
        for lane, per_s in self.stated.items():
            granted = (
                self.granted[lane][1] if lane in self.granted else Allowance(str(lane), math.inf, 1.0, 0.0)
            )
            if per_s < granted.per_s:
                self.allow(lane, replace(granted, for_ms=STATED_MS, wait_ms=0.0))
