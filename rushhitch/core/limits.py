"""External rate limits: grants of planners and limits stated by partners, passed to the decision module."""

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

STATED_LIMIT_MS = 1_000.0  # validity of a stated limit in the decision module; refreshed before it expires


def budget_name(lane: int | str) -> str:
    """The name under which dispatchers share the limit of a lane."""
    return f"lane {lane}"


class RateLimits:
    """`dispatchers` is the number of dispatchers that share a stated limit; `note` passes an event to the
    decision module; `held` returns the open messages by destination."""

    def __init__(
        self,
        dispatchers: int,
        note: Callable[[api.Event], None],
        held: Callable[[], dict[int, tuple[int, ...]]],
    ) -> None:
        self.dispatchers, self.note, self.held = dispatchers, note, held
        self.loop = asyncio.get_running_loop()
        self.counts: LaneCounts | None = None  # set if there are planners or shared budgets
        self.shared: Callable[[str, float], float] | None = None  # this dispatcher's share of a stated limit
        self.may_be_stated = False  # partners may state limits: grants are kept to be combined with them
        self.stated: dict[int | str, float] = {}  # calls per second stated by partners, by lane
        self.granted: dict[int | str, tuple[float, Allowance]] = {}  # expiry (loop time) and grant, by lane

    def collect(self, elapsed_ms: float) -> list[LaneReport]:
        """The counts per lane since the previous call, for a report to planners."""
        assert self.counts is not None, "counts are kept only with planners or shared budgets"
        return self.counts.collect(self.loop.time() * 1000.0, elapsed_ms, self.held())

    def apply_allowance(self, allowance: Allowance) -> None:
        """Pass a planner's allowance to the decision module, which also keeps to its own limit."""
        assert self.counts is not None, "counts are kept only with planners or shared budgets"
        lane = self.counts.lane_of(allowance.lane)
        if lane is None:
            return
        if self.may_be_stated:
            self.granted[lane] = (self.loop.time() + allowance.for_ms / 1000.0, allowance)
        self.allow(lane, allowance)

    def part(self, lane: int | str, per_s: float) -> float:
        if self.shared is None:
            return per_s / self.dispatchers
        return self.shared(budget_name(lane), per_s)

    def needs(self, elapsed_s: float) -> list[tuple[str, float]]:
        """The demand in calls per second by budget, over the time since the previous call."""
        found = []
        for report in self.collect(elapsed_s * 1000.0):
            lane = self.counts.lane_of(report.lane) if self.counts is not None else None
            if lane is not None:
                found.append((budget_name(lane), report.demand))
        return found

    def allow(self, lane: int | str, allowance: Allowance) -> None:
        """Pass on an allowance, or the limit that the partner states if that is lower; in that case the time
        slots of the allowance, which suit the higher rate, are dropped."""
        stated = self.stated.get(lane, math.inf)
        slots = (allowance.slots_ms, allowance.slot, allowance.slots)
        per_s, burst = allowance.per_s, max(allowance.burst, 1.0)
        if stated < per_s:
            per_s, burst, slots = stated, 1.0, (0.0, 0, ())
        validity = (allowance.for_ms, allowance.wait_ms, allowance.score_penalty)
        self.note(api.SendAllowance(lane, per_s, burst, *validity, *slots))

    def set_stated_limits(self, rates: Mapping[int | str, float]) -> None:
        """Set the limits stated by partners, in calls per second by lane. They hold for all dispatchers
        together, so each applies its share. The decision module receives them as grants that expire after
        `STATED_LIMIT_MS`, so this must be called more often than that."""
        from rushhitch.planning.guidance import Allowance  # imported only if partners state limits

        self.stated = {lane: self.part(lane, per_s) for lane, per_s in rates.items()}
        now = self.loop.time()
        self.granted = {lane: held for lane, held in self.granted.items() if held[0] > now}
        for lane, per_s in self.stated.items():
            granted = (
                self.granted[lane][1] if lane in self.granted else Allowance(str(lane), math.inf, 1.0, 0.0)
            )
            if per_s < granted.per_s:
                self.allow(lane, replace(granted, for_ms=STATED_LIMIT_MS, wait_ms=0.0))
