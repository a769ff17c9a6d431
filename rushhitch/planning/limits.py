"""Estimates a lane's limit from the calls of all forwarders together. No I/O, no clock; times in ms.

The partner does not state its limit. Refusals show that it is reached; the calls taken meanwhile show about
where it lies. Few refusals lower the estimate a little, many lower it to the rate of taken calls. It grows
fast well below the level that was refused last, and slowly near it: additive increase and multiplicative
decrease (Chiu and Jain, 1989) with the plateau of CUBIC (RFC 9438, section 4.1), on the sum of all senders.
"""

from __future__ import annotations

import math
from collections import deque

UPDATE_INTERVAL_MS = 500.0
MIN_WINDOW_MS, MAX_WINDOW_MS = 2_000.0, 10_000.0  # counting window; shorter ones are too noisy
WINDOW_CALLS = 100.0  # at a small limit the window is sized for about this many calls
MIN_SPAN_MS = 750.0  # counts over less time give no usable rate
MANY_REFUSED_SHARE = 0.25  # of the calls sent: the estimate is far off, or the limit has changed
DECREASE_FACTOR = 0.96  # on any refusal, in addition to the refused share of the calls
ONE_CALL = 0.999  # the fractions of a call that a batch leaves prove nothing yet
MIN_SENT_CALLS = 10.0  # one refusal among fewer calls proves little
MAX_DECREASE_FACTOR = 0.7  # the lowest factor on the estimate in one step
REFUSED_LEVEL_FACTOR = 1.1  # the refused level is at least this multiple of the estimate after such a step
SETTLE_MS = 1_000.0  # no counting after a decrease: calls granted before it carry no new information
MIN_USED_SHARE = 0.85  # of the estimate: lower usage proves nothing, so the estimate does not grow
MIN_USED_SHARE_UNPROVEN = 0.5  # for an unproven estimate: low demand must not keep it low
SLOW_GROWTH_PER_S = 0.008  # e-folds, near the level that was refused
FAST_GROWTH_PER_S = 0.25  # e-folds, well below it
FIRST_REFUSED_SHARE, FIRST_REFUSED_CALLS = 0.05, 3.0  # fewer are chance while senders are unlimited
FIRST_WINDOW_MS, FIRST_MIN_SPAN_MS = 5_000.0, 1_500.0  # longest and shortest time over which these count
UNPROVEN_GROWTH_PER_S = 0.05  # e-folds, until calls sent within the estimate are first refused
NEAR_REFUSED_LEVEL = 0.98  # share of the refused level from which growth is slow
REFUSAL_AGE_MS = 15_000.0  # limits change: growth doubles by this age and rises with its square
PEAK_DECAY_MS = 20_000.0  # time constant of the peak rate of taken calls
MIN_LIMIT_PER_S = 0.2  # lower bound of the estimate, in calls per second
SAME_END_MS = 60.0  # waits that end this close together end at the edge of a window
MIN_WAIT_GAP_MS = 150.0  # between the requests of two waits that are compared


class Counts:
    """Sliding-window counts of calls, by the time of their report."""

    __slots__ = ("bins", "refused", "sent", "since", "taken", "window")

    def __init__(self) -> None:
        self.since = math.inf  # start of counting
        self.window = MIN_WINDOW_MS
        self.bins: deque[tuple[float, float, float, float]] = deque()
        self.sent = self.taken = self.refused = 0.0

    def add(self, now: float, sent: float, taken: float, refused: float) -> None:
        if sent or taken or refused:
            self.since = min(self.since, now)
            self.bins.append((now, sent, taken, refused))
            self.sent, self.taken, self.refused = self.sent + sent, self.taken + taken, self.refused + refused

    def expire(self, now: float, per_s: float) -> None:
        shortest = MIN_WINDOW_MS if per_s < math.inf else FIRST_WINDOW_MS
        self.window = min(max(WINDOW_CALLS * 1000.0 / per_s, shortest), MAX_WINDOW_MS)
        while self.bins and self.bins[0][0] <= now - self.window:
            _, sent, taken, refused = self.bins.popleft()
            self.sent, self.taken, self.refused = self.sent - sent, self.taken - taken, self.refused - refused
        if not self.bins:
            self.sent = self.taken = self.refused = 0.0  # drops rounding errors

    def span(self, now: float) -> float:
        """Milliseconds that the counts cover."""
        return min(now - self.since, self.window)

    def clear(self, now: float) -> None:
        self.bins.clear()
        self.since = now
        self.sent = self.taken = self.refused = 0.0


class Limit:
    """The estimate of one lane. `per_s` is infinite until a limit shows."""

    __slots__ = (
        "counts",
        "decreased_at",
        "ends",
        "kind",
        "peak",
        "per_s",
        "proven",
        "refused_at",
        "refused_level",
        "updated_at",
        "waited",
        "window_ms",
    )

    def __init__(self, per_s: float = math.inf) -> None:
        self.per_s = per_s
        self.counts = Counts()
        self.updated_at = self.decreased_at = self.refused_at = -math.inf
        self.refused_level = math.inf  # rate of calls sent at the last refusal
        self.proven = per_s < math.inf  # by a refusal while all kept to the estimate, or by another planner
        self.waited = False  # the partner requested a wait since the last decrease
        self.peak = 0.0  # recent maximum rate of taken calls
        self.kind, self.window_ms = "", 0.0  # "rate" or "window", inferred from requested waits
        self.ends: deque[tuple[float, float]] = deque(maxlen=16)  # of requested waits: time of request, end

    def take_over(self, per_s: float, now: float) -> None:
        """Adopts another planner's estimate, which then grows slowly."""
        self.per_s = self.refused_level = per_s
        self.refused_at, self.proven = now, True

    def note(self, now: float, sent: float, taken: float, refused: float, wait_ms: float = 0.0) -> None:
        """Adds the counts of one forwarder's report."""
        if now - self.decreased_at >= SETTLE_MS:
            self.counts.add(now, sent, taken, refused)
        if refused and wait_ms > 0:
            self.waited = True
            self.classify_wait(now, now + wait_ms)

    def classify_wait(self, now: float, end: float) -> None:
        """Waits of a window all end at its edge; those of a rate limit end shortly after their request."""
        same_end = [e for at, e in self.ends if abs(e - end) <= SAME_END_MS and now - at >= MIN_WAIT_GAP_MS]
        other_end = [e for at, e in self.ends if abs(e - end) > SAME_END_MS and now - at >= MIN_WAIT_GAP_MS]
        if same_end:
            self.kind = "window"
            edges = sorted(e for e in other_end if e < end - SAME_END_MS)
            if edges:
                self.window_ms = end - edges[-1]
        elif len(other_end) >= 4 and self.kind != "window":
            self.kind = "rate"
        self.ends.append((now, end))

    def update(self, now: float) -> None:
        """Updates the estimate from the counts, at most once per `UPDATE_INTERVAL_MS`."""
        if now - self.updated_at < UPDATE_INTERVAL_MS:
            return
        elapsed, self.updated_at = min(now - self.updated_at, 2 * UPDATE_INTERVAL_MS), now
        self.counts.expire(now, self.per_s)
        counts = self.counts
        span = counts.span(now)
        if span < MIN_SPAN_MS:
            return
        sent, taken = (count * 1000.0 / span for count in (counts.sent, counts.taken))
        self.peak = max(taken, self.peak * math.exp(-elapsed / PEAK_DECAY_MS))
        if counts.refused >= ONE_CALL and self.per_s == math.inf:
            self.set_first_estimate(now, sent, taken)
        elif counts.refused >= ONE_CALL:
            self.decrease(now, sent, taken)
        elif not counts.refused and self.per_s < math.inf:
            if sent >= (MIN_USED_SHARE if self.proven else MIN_USED_SHARE_UNPROVEN) * self.per_s:
                self.increase(now, elapsed)

    def set_first_estimate(self, now: float, sent: float, taken: float) -> None:
        """Sets the first estimate, which the next refusal proves."""
        counts = self.counts
        share = counts.refused / max(counts.sent, 1.0)
        if (
            share < FIRST_REFUSED_SHARE
            or counts.refused < FIRST_REFUSED_CALLS
            or counts.span(now) < FIRST_MIN_SPAN_MS
        ):
            return
        many = share >= MANY_REFUSED_SHARE
        self.apply(now, max(self.peak, taken if many else sent))
        self.refused_level = max(sent, REFUSED_LEVEL_FACTOR * self.per_s) if many else math.inf

    def decrease(self, now: float, sent: float, taken: float) -> None:
        counts, previous = self.counts, self.per_s
        share = counts.refused / max(counts.sent, 1.0)
        many = share >= MANY_REFUSED_SHARE
        if counts.sent < MIN_SENT_CALLS or ((many or self.waited) and counts.span(now) < MIN_WINDOW_MS):
            return  # refusals by a window, and waits, come in clusters: a shorter span sees all or none
        if many:  # the partner takes up to its limit, or less if refused calls count too
            per_s = max(taken, MAX_DECREASE_FACTOR * previous)
            self.refused_level = max(min(previous, sent), REFUSED_LEVEL_FACTOR * per_s)
        else:
            per_s = DECREASE_FACTOR * (1.0 - share) * previous
            if self.waited:  # waits stop the senders, so few are refused: taken calls are the better measure
                per_s = min(per_s, max(REFUSED_LEVEL_FACTOR * taken, MAX_DECREASE_FACTOR * previous))
            self.refused_level = (previous + per_s) / 2.0
        self.proven = True
        self.apply(now, per_s)

    def apply(self, now: float, per_s: float) -> None:
        """Applies the estimate, and restarts counting once it is in force everywhere."""
        self.per_s, self.waited = max(per_s, MIN_LIMIT_PER_S), False
        self.decreased_at = self.refused_at = now
        self.counts.clear(now + SETTLE_MS)

    def increase(self, now: float, elapsed: float) -> None:
        """Grows fast up to near the refused level, slowly beyond it, and faster as the last refusal ages."""
        if not self.proven:
            self.per_s *= math.exp(UNPROVEN_GROWTH_PER_S * elapsed / 1000.0)
            return
        near = NEAR_REFUSED_LEVEL * self.refused_level
        if self.per_s < near:
            self.per_s = min(self.per_s * math.exp(FAST_GROWTH_PER_S * elapsed / 1000.0), near)
        else:
            age = (now - self.refused_at) / REFUSAL_AGE_MS
            self.per_s *= math.exp(
                min(SLOW_GROWTH_PER_S * (1.0 + age * age), FAST_GROWTH_PER_S) * elapsed / 1000.0
            )


class Recovery:
    """A lane's recovery from an outage: all senders together stay below the capacity of a cold partner."""

    __slots__ = ("cold", "since")

    def __init__(self) -> None:
        self.cold = False
        self.since = math.inf  # when a call was first taken after the outage

    def note(self, now: float, cold: bool, taken: float) -> None:
        """`cold`: the view of most forwarders that know the lane."""
        if cold and not self.cold:
            self.cold, self.since = True, math.inf
        elif self.cold and taken and self.since == math.inf:
            self.since = now

    def warmth(self, now: float, cold_from: float, warm_ms: float) -> float:
        """The share of the partner's capacity that is certainly available."""
        if not self.cold:
            return 1.0
        if self.since == math.inf:
            return cold_from
        warm = cold_from + (1.0 - cold_from) * (now - self.since) / max(warm_ms, 1.0)
        if warm >= 1.0:
            self.cold = False
        return min(warm, 1.0)
