"""A lane's limit, learned from what all forwarders together sent there. No I/O, no clock; times in ms.

Nobody states it. Refusals show that it is reached; what was taken meanwhile shows about where it lies. The
estimate is cut a little by a few refusals and to what was taken by many, grows fast while it is well under
the level that was refused last, and gently near it. That is additive increase and multiplicative decrease
(Chiu and Jain, 1989) with the plateau of CUBIC (RFC 9438, section 4.1), on the sum instead of by sender.
"""

from __future__ import annotations

import math
from collections import deque

STEP_MS = 500.0  # between two looks
WINDOW_MS, WINDOW_MOST_MS = 2_000.0, 10_000.0  # counts are over so long; less, and chance shows
WINDOW_CALLS = 100.0  # at a small limit they are over about so many calls
SEEN_MS = 750.0  # counts over less time tell no rate
MANY = 0.25  # refused, of the calls sent: the estimate is far off, or the limit has changed
CUT = 0.96  # by any refusal, and by their share of the calls as well
ONE = 0.999  # call: parts of one, which a batch leaves, prove nothing yet
FEW = 10.0  # calls: one refusal among less proves little
CUT_MOST = 0.7  # of the estimate, in one step
LEVEL = 1.1  # of the estimate after such a step: the level that was refused lies there at least
SETTLE_MS = 1_000.0  # after a cut nothing is counted: calls granted before it tell nothing new
USED = 0.85  # of the estimate: sent less, it proves nothing and does not grow
USED_FIRST = 0.5  # the same of an estimate that nothing has proved: demand must not hold it down
GENTLE = 0.008  # e-folds a second, near the level that was refused
FAST = 0.25  # e-folds a second, while well under it
FIRST, FIRST_CALLS = 0.05, 3.0  # refused, of the calls sent: less is chance where all go as they please
FIRST_MS, FIRST_SEEN_MS = 5_000.0, 1_500.0  # over which that is counted, at most and at least
UNPROVEN = 0.05  # e-folds a second, until a first refusal of calls that went by the estimate
NEAR = 0.98  # of the level that was refused: from here on gently
OLD_MS = 15_000.0  # after so long without a refusal it grows twice as fast, then by the square: limits change
FORGET_MS = 20_000.0  # memory of the most that was taken
FLOOR = 0.2  # calls a second: the estimate never falls under this
SAME_END_MS = 60.0  # told waits that end so close to each other end at the edge of a window
APART_MS = 150.0  # and were told so far apart at least


class Counts:
    """Calls in the last while, by the time they were reported."""

    __slots__ = ("bins", "refused", "sent", "since", "taken", "window")

    def __init__(self) -> None:
        self.since = math.inf  # when it began to count
        self.window = WINDOW_MS
        self.bins: deque[tuple[float, float, float, float]] = deque()
        self.sent = self.taken = self.refused = 0.0

    def add(self, now: float, sent: float, taken: float, refused: float) -> None:
        if sent or taken or refused:
            self.since = min(self.since, now)
            self.bins.append((now, sent, taken, refused))
            self.sent, self.taken, self.refused = self.sent + sent, self.taken + taken, self.refused + refused

    def age(self, now: float, per_s: float) -> None:
        least = WINDOW_MS if per_s < math.inf else FIRST_MS
        self.window = min(max(WINDOW_CALLS * 1000.0 / per_s, least), WINDOW_MOST_MS)
        while self.bins and self.bins[0][0] <= now - self.window:
            _, sent, taken, refused = self.bins.popleft()
            self.sent, self.taken, self.refused = self.sent - sent, self.taken - taken, self.refused - refused
        if not self.bins:
            self.sent = self.taken = self.refused = 0.0  # without what rounding has left

    def span(self, now: float) -> float:
        """Milliseconds that the counts are over."""
        return min(now - self.since, self.window)

    def clear(self, now: float) -> None:
        self.bins.clear()
        self.since = now
        self.sent = self.taken = self.refused = 0.0


class Limit:
    """The estimate of one lane. `per_s` is infinite while nothing shows a limit."""

    __slots__ = (
        "counts",
        "cut_at",
        "ends",
        "kind",
        "looked_at",
        "peak",
        "per_s",
        "proven",
        "refused_at",
        "refused_level",
        "waited",
        "window_ms",
    )

    def __init__(self, per_s: float = math.inf) -> None:
        self.per_s = per_s
        self.counts = Counts()
        self.looked_at = self.cut_at = self.refused_at = -math.inf
        self.refused_level = math.inf  # what was sent when it was refused last
        self.proven = per_s < math.inf  # by a refusal while all went by the estimate, or told by another
        self.waited = False  # a wait was told since the last cut
        self.peak = 0.0  # the most that was taken of late
        self.kind, self.window_ms = "", 0.0  # "rate" or "window", as far as told waits show
        self.ends: deque[tuple[float, float]] = deque(maxlen=16)  # of told waits: when told, when over

    def take_over(self, per_s: float, now: float) -> None:
        """What another planner had found: from here on gently."""
        self.per_s = self.refused_level = per_s
        self.refused_at, self.proven = now, True

    def note(self, now: float, sent: float, taken: float, refused: float, wait_ms: float = 0.0) -> None:
        """What one forwarder reports."""
        if now - self.cut_at >= SETTLE_MS:
            self.counts.add(now, sent, taken, refused)
        if refused and wait_ms > 0:
            self.waited = True
            self.tell_apart(now, now + wait_ms)

    def tell_apart(self, now: float, end: float) -> None:
        """A window's waits all end at its edge, whenever they are told; a rate's end a little after each."""
        alike = [e for at, e in self.ends if abs(e - end) <= SAME_END_MS and now - at >= APART_MS]
        other = [e for at, e in self.ends if abs(e - end) > SAME_END_MS and now - at >= APART_MS]
        if alike:
            self.kind = "window"
            edges = sorted(e for e in other if e < end - SAME_END_MS)
            if edges:
                self.window_ms = end - edges[-1]
        elif len(other) >= 4 and self.kind != "window":
            self.kind = "rate"
        self.ends.append((now, end))

    def look(self, now: float) -> None:
        """Learn from the counts, at most once a step."""
        if now - self.looked_at < STEP_MS:
            return
        passed, self.looked_at = min(now - self.looked_at, 2 * STEP_MS), now
        self.counts.age(now, self.per_s)
        counts = self.counts
        span = counts.span(now)
        if span < SEEN_MS:
            return
        sent, taken = (count * 1000.0 / span for count in (counts.sent, counts.taken))
        self.peak = max(taken, self.peak * math.exp(-passed / FORGET_MS))
        if counts.refused >= ONE and self.per_s == math.inf:
            self.find(now, sent, taken)
        elif counts.refused >= ONE:
            self.cut(now, sent, taken)
        elif not counts.refused and self.per_s < math.inf:
            if sent >= (USED if self.proven else USED_FIRST) * self.per_s:
                self.grow(now, passed)

    def find(self, now: float, sent: float, taken: float) -> None:
        """The first estimate, which the next refusal proves."""
        counts = self.counts
        share = counts.refused / max(counts.sent, 1.0)
        if share < FIRST or counts.refused < FIRST_CALLS or counts.span(now) < FIRST_SEEN_MS:
            return
        many = share >= MANY
        self.settle(now, max(self.peak, taken if many else sent))
        self.refused_level = max(sent, LEVEL * self.per_s) if many else math.inf

    def cut(self, now: float, sent: float, taken: float) -> None:
        counts, was = self.counts, self.per_s
        share = counts.refused / max(counts.sent, 1.0)
        many = share >= MANY
        if counts.sent < FEW or ((many or self.waited) and counts.span(now) < WINDOW_MS):
            return  # refusals of a window, and waits, come together: over less time they are all or none
        if many:  # it takes what it can, or less where refused calls count
            per_s = max(taken, CUT_MOST * was)
            self.refused_level = max(min(was, sent), LEVEL * per_s)
        else:
            per_s = CUT * (1.0 - share) * was
            if self.waited:  # where told waits keep all away, few are refused: what was taken tells more
                per_s = min(per_s, max(LEVEL * taken, CUT_MOST * was))
            self.refused_level = (was + per_s) / 2.0
        self.proven = True
        self.settle(now, per_s)

    def settle(self, now: float, per_s: float) -> None:
        """Go by that, and count anew once it holds everywhere."""
        self.per_s, self.waited = max(per_s, FLOOR), False
        self.cut_at = self.refused_at = now
        self.counts.clear(now + SETTLE_MS)

    def grow(self, now: float, passed: float) -> None:
        """Fast up to near the level that was refused; gently beyond, and faster as that grows old."""
        if not self.proven:
            self.per_s *= math.exp(UNPROVEN * passed / 1000.0)
            return
        near = NEAR * self.refused_level
        if self.per_s < near:
            self.per_s = min(self.per_s * math.exp(FAST * passed / 1000.0), near)
        else:
            old = (now - self.refused_at) / OLD_MS
            self.per_s *= math.exp(min(GENTLE * (1.0 + old * old), FAST) * passed / 1000.0)


class Return:
    """A lane's way back from an outage: all together stay under what a cold one can do."""

    __slots__ = ("cold", "since")

    def __init__(self) -> None:
        self.cold = False
        self.since = math.inf  # when something was first taken after it

    def note(self, now: float, cold: bool, taken: float) -> None:
        """`cold`: as most forwarders that know the lane see it."""
        if cold and not self.cold:
            self.cold, self.since = True, math.inf
        elif self.cold and taken and self.since == math.inf:
            self.since = now

    def warmth(self, now: float, cold_from: float, warm_ms: float) -> float:
        """The share of its capacity that it is sure to have."""
        if not self.cold:
            return 1.0
        if self.since == math.inf:
            return cold_from
        warm = cold_from + (1.0 - cold_from) * (now - self.since) / max(warm_ms, 1.0)
        if warm >= 1.0:
            self.cold = False
        return min(warm, 1.0)
