"""The unit that shares one rate limit, with its waits and its learned rate (its pace)."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import Any

import crowpier.interface as api

# Rate limits; growth and cuts are exponents of e
MAX_BACKOFF_MS = 2_000.0  # waits that endpoints ask for are of that order
RATE_CUT_PER_S = 0.8  # refusals above a limit cut the rate by this each second, however few calls reveal it
RATE_AFTER_CUT_MAX, RATE_AFTER_CUT_MIN = 0.85, 0.2  # of the sent rate: what one refusal leaves
RATE_GROWTH_PER_S = 0.5  # for each second without a refusal
RATE_GROWTH_PER_CALL = 0.7  # upper bound, for each call that would show the rate to be too high
KNOWN_RATE_SHARE = 0.9  # of the rate that was served lately: up to this it grows back fast
MAX_RATE_GROWTH = 20.0  # keeps the exponential within floating-point range
MIN_RATE_PER_S = 1.5  # of all dispatchers together: a lower rate would be useless
BURST_MS = 400.0  # worth of rate that may be sent at once
RATE_WINDOW_MS = 2_000.0  # time constant of the sent rate
DEFAULT_RATE_PER_S = 10.0  # of all dispatchers together: assumed for a lane without history
DEFAULT_RATE_WEIGHT_MS = 2_000.0  # the default counts as so long an observation, less as more is observed
MIN_SERVED_AGE = 0.1  # of the window: the served rate is never measured over less
SERVED_WINDOW_MS = 30_000.0  # time constant of the rate that a lane served us, our share of its capacity
INITIAL_PAUSE_MS = 500.0  # after a refusal without a wait, doubled with each in a row
JITTER = (0.75, 1.25)  # factors on our own waits, so that dispatchers do not act in step
WAIT_MARGIN_MS = 1.0  # added to a requested wait, since clocks round


class EventRate:
    """An exponentially decaying rate of events per second."""

    def __init__(self, window_ms: float, min_age: float = 0.0) -> None:
        self.window_ms, self.min_age, self.count, self.at, self.since = window_ms, min_age, 0.0, 0.0, math.inf

    def per_s(self, now: float, default_per_s: float = 0.0) -> float:
        """Measured since the first event while that is shorter than the window. `default_per_s` is
        blended in, since otherwise one or two events would make up the whole rate."""
        unobserved = math.exp(-max((now - self.since) / self.window_ms, self.min_age))
        weight = DEFAULT_RATE_WEIGHT_MS * unobserved if default_per_s else 0.0
        count = self.count * math.exp((self.at - now) / self.window_ms) + weight * default_per_s / 1000.0
        return count * 1000.0 / (self.window_ms * (1.0 - unobserved) + weight)

    def add(self, now: float) -> None:
        self.since = min(self.since, now)
        self.count = self.count * math.exp((self.at - now) / self.window_ms) + 1.0
        self.at = now


class Lane:
    """The unit that shares one rate limit: a destination, or a single route where routes are separate."""

    def __init__(self) -> None:
        self.advertised_rate = 0.0
        self.endpoints: list[Any] = []  # `crowpier.logic.Endpoint`
        self.strikes = 0.0  # of its untripped endpoints, since one of them served
        self.answered_at = self.served_at = -math.inf
        self.connect_unanswered_at = -math.inf  # latest connect that timed out rather than being refused
        self.wait_until = self.next_at = -math.inf
        self.cut_at = 0.0
        self.pace = math.inf  # learned rate limit, calls per second
        self.known_rate = 0.0  # up to this the limit grows back fast
        self.useful_rate = math.inf  # after a refusal, a higher rate would bring nothing
        self.refusals = 0
        self.sent_rate, self.served_rate = (
            EventRate(RATE_WINDOW_MS),
            EventRate(SERVED_WINDOW_MS, MIN_SERVED_AGE),
        )
        self.allowed_gap = self.allowed_slack = 0.0  # outside allowance: call interval and saved-up time
        self.allowed_until = self.allowed_next = self.slots_until = -math.inf
        self.slots: deque[tuple[int, float]] = deque()  # assigned by a planner: number, time
        self.slot_used = 0
        self.score_penalty = 0.0
        self.left_cold = False  # when its last endpoint went

    @property
    def is_cold(self) -> bool:
        """None of its endpoints is known to be warm, and one at least was in an outage: what shares their
        capacity is cold too, whatever its name."""
        if not self.endpoints:
            return self.left_cold
        return all(endpoint.cold for endpoint in self.endpoints)

    def pace_at(self, now: float) -> float:
        """Calls per second that may be sent: cut by refusals, then growing exponentially, since otherwise a
        cut made while the destination took little would bind long after. Near a limit this is close to linear
        growth. Drawback: where a limit stays low, refusals come sooner."""
        if self.pace == math.inf:
            return self.pace
        known = max(self.known_rate, self.pace)
        past_known_s = (now - self.cut_at) / 1000.0 - math.log(known / self.pace) / RATE_GROWTH_PER_S
        growth = (
            min(RATE_GROWTH_PER_S, RATE_GROWTH_PER_CALL * known) if past_known_s > 0.0 else RATE_GROWTH_PER_S
        )
        return min(known * math.exp(min(growth * past_known_s, MAX_RATE_GROWTH)), self.useful_rate)

    def available_at(self, now: float) -> float:
        """When waits and rate limits permit the next call."""
        allowance = max(BURST_MS - 1000.0 / self.pace_at(now), 0.0)
        at = max(self.wait_until, self.next_at - allowance)
        if now < self.slots_until:
            while self.slots and (
                # Slots within a wait are dropped, since all would be used right after it; of other missed
                # slots only the last is kept.
                self.slots[0][1] < self.wait_until or (len(self.slots) > 1 and self.slots[1][1] <= now)
            ):
                self.slots.popleft()
            at = max(at, self.slots[0][1] if self.slots else self.slots_until)
        elif now < self.allowed_until:
            at = max(at, min(self.allowed_next - self.allowed_slack, self.allowed_until))
        return at

    def apply_allowance(self, now: float, allowance: api.SendAllowance) -> None:
        """Planners see all dispatchers, which would otherwise each learn a limit by refusals and overshoot it
        together. Drawback: a wrong allowance binds until it expires."""
        self.respect_wait(now, allowance.wait_ms)
        self.allowed_gap = 1000.0 / allowance.per_s if allowance.per_s > 0 else math.inf
        self.allowed_slack = (allowance.burst - 1.0) * self.allowed_gap if allowance.per_s > 0 else 0.0
        self.allowed_next = min(self.allowed_next, now + allowance.burst * self.allowed_gap)
        if not allowance.per_s:
            self.allowed_next = math.inf
        self.allowed_until, self.score_penalty = now + allowance.for_ms, allowance.score_penalty
        self.slots_until = now + allowance.slots_ms
        missed = [slot for slot in self.slots if slot[0] < allowance.slot and slot[1] <= now]
        coming = [(allowance.slot + n, now + at) for n, at in enumerate(allowance.slots)]
        self.slots = deque(missed[-1:] + [slot for slot in coming if slot[0] > self.slot_used])

    def note_sent(self, now: float, jitter: float = 1.0) -> None:
        self.sent_rate.add(now)
        if now < self.slots_until and self.slots:
            self.slot_used = self.slots.popleft()[0]
        if now < self.allowed_until:
            self.allowed_next = max(now, self.allowed_next) + self.allowed_gap * jitter
        self.next_at = max(now, self.next_at) + 1000.0 / self.pace_at(now)

    def note_served(self, now: float, cold: bool) -> None:
        self.refusals = 0
        if not cold:  # what a cold endpoint gets is not its capacity, and must not slow its next recovery
            self.served_rate.add(now)

    def served_per_s(self) -> float:
        """The rate served to us as of the last call served: it must not decay during an outage."""
        return self.served_rate.per_s(self.served_rate.at)

    def respect_wait(self, now: float, wait_ms: float) -> None:
        if wait_ms > 0:
            self.wait_until = max(self.wait_until, now + wait_ms + WAIT_MARGIN_MS)

    def note_refusal(
        self, now: float, sent_at: float, wait_ms: float, rng: random.Random, dispatchers: int
    ) -> None:
        """Cuts the rate limit, once for all calls that were in flight together."""
        if sent_at < self.cut_at:
            return
        floor = MIN_RATE_PER_S / dispatchers
        rate = max(min(self.sent_rate.per_s(now, DEFAULT_RATE_PER_S / dispatchers), self.pace_at(now)), floor)
        cut = min(max(math.exp(-RATE_CUT_PER_S / rate), RATE_AFTER_CUT_MIN), RATE_AFTER_CUT_MAX)
        self.known_rate = KNOWN_RATE_SHARE * self.served_per_s()
        self.pace = max(cut * rate, floor)
        self.cut_at = now
        self.refusals += 1
        if wait_ms <= 0:
            pause = min(INITIAL_PAUSE_MS * 2.0 ** (self.refusals - 1), MAX_BACKOFF_MS) * rng.uniform(*JITTER)
            self.wait_until = max(self.wait_until, now + pause)
        # All dispatchers are told the same end of a wait, so each resumes at a random time after it.
        spread = 1000.0 * min(1.0 / self.pace, dispatchers / DEFAULT_RATE_PER_S)
        self.next_at = max(self.next_at, self.wait_until + rng.random() * spread)
