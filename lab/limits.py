"""Models of a partner's capacity: unstated rate limits, and reduced capacity after an outage. No I/O, no
clock; times in milliseconds."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

MESSAGE_WEIGHT = 0.25  # of a call, for each further message in it: the most that the operators' pages name
MANY_CALLS = 30.0  # budgets from here on have the smaller tolerance


def call_weight(messages: int) -> float:
    """The weight of a call in the budget of a cold partner, where one of a single message weighs 1."""
    return 1.0 + MESSAGE_WEIGHT * (messages - 1)


def most_weight(budget: float) -> float:
    """The weight beyond which a cold partner fails, by the operators' page: its budget of calls, and what is
    put down to chance."""
    if budget < MANY_CALLS:
        return budget + 3.0 * math.sqrt(budget) + 3.0
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass(slots=True)
class Limit:
    """A token bucket (`per_s` calls per second, `burst` at once), or a fixed window of `window_ms` with edges
    at an unpublished offset. With `refused_count` refused calls count against the limit too."""

    per_s: float = math.inf
    window_ms: float = 0.0
    burst: float = 1.0
    offset_ms: float = 0.0
    refused_count: bool = False
    full_at: float = -math.inf  # token bucket: time at which it is full again without further calls
    span: int = -1
    count: float = 0.0

    def admits(self, now: float) -> bool:
        """Counts a call and returns whether it is within the limit."""
        if self.per_s == math.inf:
            return True
        return self.admits_window(now) if self.window_ms else self.admits_rate(now)

    def admits_rate(self, now: float) -> bool:
        gap = 1000.0 / self.per_s
        base = max(self.full_at, now)
        fits = base + gap <= now + gap * self.burst + 1e-6
        if fits or self.refused_count:
            self.full_at = min(base + gap, now + gap * (self.burst + 1))
        return fits

    def admits_window(self, now: float) -> bool:
        span = math.floor((now + self.offset_ms) / self.window_ms)
        if span != self.span:
            self.span, self.count = span, 0.0
        fits = self.count + 1 <= self.per_s * self.window_ms / 1000.0
        if fits or self.refused_count:
            self.count += 1
        return fits

    def opens_in(self, now: float) -> float:
        """Milliseconds until a call is admitted, if there is none before it."""
        if self.window_ms:
            return (self.span + 1) * self.window_ms - self.offset_ms - now
        return max(self.full_at + 1000.0 / self.per_s * (1.0 - self.burst) - now, 1.0)


@dataclass(slots=True)
class Work:
    """The time that calls take of a lane's capacity; what would wait too long is turned away."""

    per_s: float
    most_wait_ms: float = 1_000.0
    free_at: float = -math.inf

    def waits_ms(self, now: float, warmth: float, messages: int = 1) -> float | None:
        """Takes a call and returns how long it waits until its work begins; None if it is turned away."""
        begins = max(self.free_at, now)
        if begins - now > self.most_wait_ms:
            return None
        self.free_at = begins + 1000.0 / (self.per_s * warmth) * call_weight(messages)
        return begins - now


@dataclass(slots=True)
class Health:
    """A lane that is cold after an outage: calls of more weight than `fall_multiple` times its current
    capacity bears in `fall_ms`, and chance allows, make it fail again, for `down_ms`."""

    per_s: float
    cold_from: float = 0.2
    warm_ms: float = 9_000.0
    fall_multiple: float = 2.0
    fall_ms: float = 2_000.0
    down_ms: float = math.inf
    returned_at: float = -math.inf
    fell_until: float = -math.inf
    calls: deque[tuple[float, float]] = field(default_factory=deque)  # when, and weight

    def returns(self, now: float) -> None:
        self.returned_at = now
        self.calls.clear()

    def warmth(self, now: float) -> float:
        gained = (1.0 - self.cold_from) * (now - self.returned_at) / max(self.warm_ms, 1.0)
        return min(self.cold_from + gained, 1.0)

    def cold(self, now: float) -> bool:
        return now - self.returned_at < self.warm_ms

    def takes(self, now: float, messages: int = 1) -> bool:
        """Counts a call; False if the lane is down or fails because of this call."""
        if now < self.fell_until:
            return False
        if not self.cold(now):
            return True
        self.calls.append((now, call_weight(messages)))
        while self.calls[0][0] < now - self.fall_ms:
            self.calls.popleft()
        budget = self.fall_multiple * self.per_s * self.warmth(now) * self.fall_ms / 1000.0
        if sum(weight for _, weight in self.calls) > most_weight(budget):
            self.fell_until = now + self.down_ms
            return False
        return True
