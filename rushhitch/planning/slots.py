"""Assigns time slots for calls, so that all forwarders together send evenly. Pure; times are milliseconds of
the planner's clock.

A rate alone is not enough at a small limit: ten senders with a tenth of ten calls per second each, without
coordination, send 17 to 23 calls in two seconds by chance. The planner therefore lays out evenly spaced slots
and assigns them by stride scheduling (Waldspurger and Weihl, 1995): the forwarder with the smallest pass is
next, and its pass grows by the inverse of its share. Slots are relative to the forwarder's report, as leases
are, so that clocks need not agree; the error is one network transit.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

AHEAD_MS = 700.0  # assignment horizon: two report intervals and a margin for late reports
LEAD_MS = 300.0  # before the first slot; by then each forwarder has reported again and knows its slots
MAX_SLOTTED_PER_S = 100.0  # calls; at higher rates chance evens out, and the lists would be long


@dataclass(slots=True)
class AssignedSlots:
    """One forwarder's future slots; `number` is that of the first."""

    pass_value: float = 0.0  # of stride scheduling
    number: int = 1
    times: deque[float] = field(default_factory=deque)


class Slots:
    """The slots of one lane."""

    __slots__ = ("dealt", "last")

    def __init__(self) -> None:
        self.last = -math.inf  # the latest assigned slot
        self.dealt: dict[str, AssignedSlots] = {}

    def assign(self, now: float, per_s: float, shares: Mapping[str, float]) -> None:
        """Assigns the slots up to `AHEAD_MS` from now to the forwarders with a share."""
        total = sum(shares.values())
        if total <= 0 or per_s <= 0:
            return
        gap = 1000.0 / per_s
        at = max(self.last + gap, now + min(LEAD_MS, gap) if self.last < now - gap else now)
        if at >= now + AHEAD_MS:
            return
        least = min((d.pass_value for name, d in self.dealt.items() if name in shares), default=0.0)
        passes = {}
        for name, share in shares.items():
            if share > 0:
                held = self.dealt.setdefault(name, AssignedSlots(least))
                passes[name] = held.pass_value = max(held.pass_value, least)  # no catch-up after an absence
        while at < now + AHEAD_MS:
            name = min(passes, key=passes.__getitem__)
            self.dealt[name].times.append(at)
            passes[name] += total / shares[name]
            self.last, at = at, at + gap
        for name, pass_value in passes.items():
            self.dealt[name].pass_value = pass_value

    def of(self, now: float, name: str) -> tuple[int, list[float]]:
        """The number of a forwarder's next slot, and its slots in milliseconds from now."""
        held = self.dealt.get(name)
        if held is None:
            return 0, []
        while held.times and held.times[0] < now:
            held.times.popleft()
            held.number += 1
        return held.number, [at - now for at in held.times]

    def forget(self, known: Mapping[str, object]) -> None:
        """Removes forwarders that are not in `known`; their slots stay unused."""
        for name in [name for name in self.dealt if name not in known]:
            del self.dealt[name]
