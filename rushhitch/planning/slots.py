"""Moments for calls, dealt so that all forwarders together send evenly. Pure; times are milliseconds of the
planner's clock.

A rate alone is not enough at a small limit: ten senders with a tenth of ten calls a second each, at moments
of their own, send 17 to 23 in two seconds by chance. So the planner lays out the moments at which the lane
may take a call, and deals them by stride scheduling (Waldspurger and Weihl, 1995): who has the smallest pass
is next, and its pass grows by the inverse of its share. The forwarder counts them from when it asked, as it
counts its lease, so that no clocks need agree; what it is off by is one way through the network.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

AHEAD_MS = 700.0  # moments are known so far ahead: two reports, and a little for those that come late
LEAD_MS = 300.0  # where dealing begins: by then each forwarder has reported once more and heard of its own
DEALT_PER_S = 100.0  # calls a second: beyond, chance evens out by itself, and the lists would be long


@dataclass(slots=True)
class Dealt:
    """One forwarder's moments that have not passed; `number` is that of the first."""

    passed: float = 0.0  # of stride scheduling
    number: int = 1
    times: deque[float] = field(default_factory=deque)


class Slots:
    """The moments of one lane."""

    __slots__ = ("dealt", "last")

    def __init__(self) -> None:
        self.last = -math.inf  # the latest moment that was dealt
        self.dealt: dict[str, Dealt] = {}

    def deal(self, now: float, per_s: float, shares: Mapping[str, float]) -> None:
        """Deal the moments up to `AHEAD_MS` from now among those with a share."""
        total = sum(shares.values())
        if total <= 0 or per_s <= 0:
            return
        gap = 1000.0 / per_s
        at = max(self.last + gap, now + min(LEAD_MS, gap) if self.last < now - gap else now)
        if at >= now + AHEAD_MS:
            return
        least = min((d.passed for name, d in self.dealt.items() if name in shares), default=0.0)
        passes = {}
        for name, share in shares.items():
            if share > 0:
                held = self.dealt.setdefault(name, Dealt(least))
                passes[name] = held.passed = max(held.passed, least)  # who was away does not catch up
        while at < now + AHEAD_MS:
            name = min(passes, key=passes.__getitem__)
            self.dealt[name].times.append(at)
            passes[name] += total / shares[name]
            self.last, at = at, at + gap
        for name, passed in passes.items():
            self.dealt[name].passed = passed

    def of(self, now: float, name: str) -> tuple[int, list[float]]:
        """The number of a forwarder's next moment, and its moments as milliseconds from now."""
        held = self.dealt.get(name)
        if held is None:
            return 0, []
        while held.times and held.times[0] < now:
            held.times.popleft()
            held.number += 1
        return held.number, [at - now for at in held.times]

    def forget(self, known: Mapping[str, object]) -> None:
        """Those who are gone; their moments pass unused."""
        for name in [name for name in self.dealt if name not in known]:
            del self.dealt[name]
