"""A planner: answers forwarders' reports with grants. No I/O, no clock of its own; times are milliseconds of
the caller's clock, which must be monotonic.

Invariant: on a lane with one planner, the grants that may be in use at any time add up to at most the lane's
limit as the planner estimated it when it issued them. The planner therefore keeps each grant until the
forwarder reports a newer one, or until its lease and safe period are over, and grants only what remains. A
lower limit takes effect after one lease at the latest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rushhitch.planning.limits import Limit, Recovery
from rushhitch.planning.messages import Grant, Grants, LaneReport, Report
from rushhitch.planning.shares import divide, rendezvous
from rushhitch.planning.slots import AHEAD_MS, MAX_SLOTTED_PER_S, Slots

LEASE_MS = 2_000.0  # validity of a grant, from the forwarder's report on
SAFE_SHARE, SAFE_MS = 0.9, 5_000.0  # of the rate, and period after the lease, for a forwarder that is cut off
LIVENESS_TIMEOUT_MS = 1_500.0  # a silent forwarder or planner is considered down; its grants still count
# A new planner of a lane waits this long: the previous one may issue grants for up to
# LIVENESS_TIMEOUT_MS until it learns of its successor, and these must have run out.
LEARNING_MS = LEASE_MS + SAFE_MS + LIVENESS_TIMEOUT_MS
EXPIRY_MS = 60_000.0  # after which a lane or forwarder without reports is removed
BURST_MS = 100.0  # of the granted rate that may be sent at once; at least one call
IDLE_BURST_MS = 300.0  # of an unused lane's limit that each forwarder may send at once
SLOTTED_DEMAND_RATIO = 0.85  # demand over limit from which calls go at assigned slots
RECOVERY_SHARE = 0.6  # of `fall_multiple` times the capacity of a cold lane
ROUTE_PENALTY = 0.06  # score, on all but a forwarder's preferred route: decides between near equals
QUORUM = 0.5  # share of the forwarders; a planner that more than these hear is up
MAX_PENDING_CALLS = 200.0  # calls awaiting an outcome; calls that time out never get one
MAX_LANES = 200_000  # bounds the memory that a forwarder can take by inventing lanes
TERM_SHIFT = 40  # bits; puts the term above the slot number, so that later terms have higher numbers
UNKNOWN_LIMIT = 0.0  # in a grant, while no limit is estimated


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that may still be in use: its rate until the lease ends, then the safe rate."""

    seq: int
    per_s: float
    lease_until: float
    safe_per_s: float
    safe_until: float

    def rate_at(self, now: float) -> float:
        return self.per_s if now < self.lease_until else self.safe_per_s if now < self.safe_until else 0.0


@dataclass(slots=True)
class Share:
    """The state of one forwarder on one lane."""

    report: LaneReport
    heard_at: float
    outstanding: list[OutstandingGrant] = field(default_factory=list)
    pending: float = 0.0  # reported calls without a reported outcome

    def match_outcomes(self, sent: float, taken: float, refused: float) -> tuple[float, float]:
        """Caps outcomes at the calls still pending: they are often reported later than their calls."""
        self.pending = min(self.pending + sent, sent + MAX_PENDING_CALLS)
        taken = min(taken, self.pending)
        refused = min(refused, self.pending - taken)
        self.pending -= taken + refused
        return taken, refused

    def promised(self, now: float) -> float:
        """The highest rate of the outstanding grants that may be in use."""
        return max((grant.rate_at(now) for grant in self.outstanding), default=0.0)

    def acknowledge(self, seq: int, now: float) -> None:
        """Drops grants older than the one that the forwarder reports to be in use."""
        self.outstanding = [
            grant for grant in self.outstanding if grant.seq >= seq and grant.rate_at(now) > 0
        ]


@dataclass(slots=True)
class Lane:
    """A lane known to this planner; `owned_since` is infinite while another planner owns it."""

    name: str
    group: str = ""
    limit: Limit = field(default_factory=Limit)
    recovery: Recovery = field(default_factory=Recovery)
    shares: dict[str, Share] = field(default_factory=dict)
    slots: Slots = field(default_factory=Slots)
    wait_until: float = -math.inf
    peak_before_outage: float = 0.0  # recent maximum rate of taken calls when the lane went cold
    term: int = 0
    owned_since: float = math.inf
    heard_at: float = -math.inf
    division: tuple[float, int, dict[str, float]] = (-math.inf, -1, {})  # time, number of forwarders, shares
    demand_ratio: float = 1.0  # total demand over limit at that time; 1 before the first division
    cold_count: int = 0  # forwarders that report the lane as cold
    promised: float = 0.0  # total over all forwarders, valid until `promised_until`
    promised_until: float = -math.inf  # next end of a lease or safe period

    def total_promised(self, now: float) -> float:
        """The rate that all forwarders may be using; summed again only after a lease or safe period ends."""
        if now >= self.promised_until:
            self.promised = sum(share.promised(now) for share in self.shares.values())
            times = (
                at
                for share in self.shares.values()
                for grant in share.outstanding
                for at in (grant.lease_until, grant.safe_until)
                if at > now
            )
            self.promised_until = min(times, default=math.inf)
        return self.promised


class Planner:
    """Keeps what forwarders report, and answers each report with grants for the lanes that it owns."""

    def __init__(
        self,
        name: str,
        planners: list[str],
        cold_from: float = 0.2,
        warm_ms: float = 10_000.0,
        fall_multiple: float = 2.0,
    ) -> None:
        self.name, self.planners = name, planners
        self.cold_from, self.warm_ms, self.fall_multiple = cold_from, warm_ms, fall_multiple
        self.lanes: dict[str, Lane] = {}
        self.groups: dict[str, set[str]] = {}
        self.forwarders: dict[str, float] = {}  # when each was last heard
        self.heard: dict[str, frozenset[str]] = {}  # the planners that each forwarder hears
        self.up: frozenset[str] = frozenset([name])
        self.owners: dict[str, str] = {}
        self.seq = 0
        self.swept_at = -math.inf
        self.ignored_rows = 0  # invalid, or beyond MAX_LANES

    # Reports

    def handle(self, now: float, report: Report) -> Grants:
        """Processes a report and returns the answer."""
        self.forwarders[report.forwarder] = now
        if frozenset(report.heard) != self.heard.get(report.forwarder):
            self.heard[report.forwarder] = frozenset(report.heard)
            self.update_planners_up(now)
        answer = Grants(self.name, report.number)
        for row in report.lanes:
            full = row.lane not in self.lanes and len(self.lanes) >= MAX_LANES
            if full or not row.is_valid():  # affects only the reporting forwarder
                self.ignored_rows += 1
                continue
            lane = self.record(now, report.forwarder, row)
            if self.owns(now, lane, row) and (row.holding or not self.learning(now, lane)):
                answer.grants.append(self.grant(now, lane, report.forwarder))
        self.sweep(now)
        return answer

    def record(self, now: float, forwarder: str, row: LaneReport) -> Lane:
        lane = self.lanes.get(row.lane)
        if lane is None:
            lane = self.lanes[row.lane] = Lane(row.lane, row.group)
            self.groups.setdefault(row.group, set()).add(row.lane)
        lane.heard_at = now
        share = lane.shares.get(forwarder)
        if share is None:
            share = lane.shares[forwarder] = Share(row, now)
        else:
            lane.cold_count -= share.report.cold
        lane.cold_count += row.cold
        share.report, share.heard_at = row, now
        if row.planner == self.name and row.term == lane.term:
            before = share.promised(now)
            lane.total_promised(now)
            share.acknowledge(row.seq, now)
            lane.promised += share.promised(now) - before
        # Counts are capped at what the forwarder could have sent, so false reports harm only itself.
        cap = self.max_plausible_calls(lane, share)
        scale = min(1.0, cap / row.sent) if row.sent > cap else 1.0
        sent, taken, refused = (count * scale for count in (row.sent, row.taken, row.refused))
        taken, refused = share.match_outcomes(sent, taken, refused)
        lane.limit.note(now, sent, taken, refused, row.wait_ms)
        lane.wait_until = max(lane.wait_until, now + row.wait_ms if row.wait_ms > 0 else -math.inf)
        was_cold = lane.recovery.cold
        lane.recovery.note(now, 2 * lane.cold_count > len(lane.shares), taken)
        if lane.recovery.cold and not was_cold:
            lane.peak_before_outage = lane.limit.peak
        lane.limit.update(now)
        return lane

    def max_plausible_calls(self, lane: Lane, share: Share) -> float:
        """A generous upper bound of the calls that a forwarder sent since its previous report."""
        if lane.limit.per_s == math.inf or not share.outstanding:
            return math.inf
        return 2.0 * max(grant.per_s for grant in share.outstanding) + 10.0

    # Ownership of lanes

    def update_planners_up(self, now: float) -> None:
        """Marks planners as up that most live forwarders hear; this one receives reports, so it is up."""
        alive = [f for f, at in self.forwarders.items() if now - at < LIVENESS_TIMEOUT_MS]
        up = {self.name}
        for planner in self.planners:
            hear = sum(planner in self.heard.get(forwarder, ()) for forwarder in alive)
            if hear > QUORUM * len(alive):
                up.add(planner)
        if frozenset(up) != self.up:
            self.up = frozenset(up)
            self.owners.clear()

    def owner(self, lane: str) -> str:
        found = self.owners.get(lane)
        if found is None:
            found = self.owners[lane] = rendezvous(lane, sorted(self.up))
        return found

    def owns(self, now: float, lane: Lane, row: LaneReport) -> bool:
        """Whether this planner owns the lane. Takes over in a new term, which fences off other planners."""
        mine = self.owner(lane.name) == self.name
        if not mine:
            lane.owned_since = math.inf
            return False
        if lane.owned_since == math.inf or (row.term > lane.term and row.planner != self.name):
            # Start of ownership: the new term fences off the previous planner.
            lane.term = max(lane.term, *(share.report.term for share in lane.shares.values())) + 1
            lane.owned_since = now
            for share in lane.shares.values():
                share.outstanding.clear()
            lane.promised_until = -math.inf
            if lane.limit.per_s == math.inf and row.limit > 0:
                lane.limit.take_over(row.limit, now)
        return True

    def learning(self, now: float, lane: Lane) -> bool:
        """Whether grants of a previous planner may still be in use. In the first term there was none."""
        return lane.term > 1 and now - lane.owned_since < LEARNING_MS

    # Grants

    def capacity(self, now: float, lane: Lane) -> float:
        """The rate that all forwarders together may send."""
        warmth = lane.recovery.warmth(now, self.cold_from, self.warm_ms)
        if warmth == 1.0:
            return lane.limit.per_s
        known = min(lane.limit.per_s, max(lane.peak_before_outage, 1.0))
        return min(RECOVERY_SHARE * self.fall_multiple * warmth, 1.0) * known

    def grant(self, now: float, lane: Lane, forwarder: str) -> Grant:
        share, is_grant = lane.shares[forwarder], True
        capacity = self.capacity(now, lane)
        if self.learning(now, lane):
            # No new rates: other forwarders may hold grants that this planner does not know yet. A forwarder
            # whose grant has expired gets none, but stays at its rate until the learning period is over.
            per_s = share.report.holding
            is_grant = not share.report.expired
            if not is_grant:
                per_s = min(per_s, capacity)
            elif capacity < math.inf:
                per_s = min(per_s, self.available(now, lane, forwarder, capacity))
            slots = (0.0, 0, [])
        elif capacity == math.inf:
            per_s, slots = math.inf, (0.0, 0, [])
        else:
            shares = self.divide_limit(now, lane, capacity)
            per_s = min(shares.get(forwarder, 0.0), self.available(now, lane, forwarder, capacity))
            slots = self.assign_slots(now, lane, forwarder, capacity, shares)
        self.seq += 1
        bounded = per_s < math.inf
        if bounded and is_grant:
            lease_until = now + LEASE_MS
            before = share.promised(now)
            lane.total_promised(now)
            share.outstanding = [grant for grant in share.outstanding if grant.rate_at(now) > 0]
            share.outstanding.append(
                OutstandingGrant(self.seq, per_s, lease_until, SAFE_SHARE * per_s, lease_until + SAFE_MS)
            )
            lane.promised += share.promised(now) - before
            lane.promised_until = min(lane.promised_until, lease_until)
        return Grant(
            lane.name,
            per_s if bounded else -1.0,
            self.burst(lane, per_s, capacity) if bounded else 0.0,
            LEASE_MS,
            SAFE_SHARE * per_s if bounded else -1.0,
            SAFE_MS,
            lane.term,
            self.seq,
            max(lane.wait_until - now, 0.0),
            self.score_penalty(lane, forwarder),
            lane.limit.per_s if lane.limit.per_s < math.inf else UNKNOWN_LIMIT,
            *slots,
            is_grant,
        )

    def assign_slots(
        self, now: float, lane: Lane, forwarder: str, capacity: float, shares: dict[str, float]
    ) -> tuple[float, int, list[float]]:
        """The period covered, the number of the first slot, and the slots. A recovering lane has rates only:
        the decision module's own trial calls have precedence there."""
        if capacity > MAX_SLOTTED_PER_S or lane.recovery.cold or lane.demand_ratio < SLOTTED_DEMAND_RATIO:
            return 0.0, 0, []
        lane.slots.assign(now, capacity, shares)
        number, slots = lane.slots.of(now, forwarder)
        return AHEAD_MS, (lane.term << TERM_SHIFT) + number, slots

    def burst(self, lane: Lane, per_s: float, capacity: float) -> float:
        """Calls that may be sent at once. On a lane with spare capacity a message need not wait for its
        forwarder's small share, since the others do not use theirs."""
        idle = 0.0 if lane.recovery.cold else max(1.0 - lane.demand_ratio, 0.0)
        return max(per_s * BURST_MS / 1000.0, 1.0) + idle * capacity * IDLE_BURST_MS / 1000.0

    def available(self, now: float, lane: Lane, forwarder: str, capacity: float) -> float:
        """The highest rate that keeps the total within the capacity. After a decrease of the limit each
        forwarder is scaled down in proportion, none to zero; this may be below its share while silent
        forwarders may be using more than theirs."""
        promised, total = lane.shares[forwarder].promised(now), lane.total_promised(now)
        if total > capacity:
            promised *= capacity / total
        return max(capacity - self.promised_to_others(now, lane, forwarder), promised)

    def promised_to_others(self, now: float, lane: Lane, forwarder: str) -> float:
        return lane.total_promised(now) - lane.shares[forwarder].promised(now)

    def divide_limit(self, now: float, lane: Lane, capacity: float) -> dict[str, float]:
        """Target shares by forwarder, recomputed per `DIVISION_INTERVAL_MS` and when one joins or leaves."""
        at, count, shares = lane.division
        if now - at >= DIVISION_INTERVAL_MS or count != len(lane.shares):
            needs = {
                name: (share.report.demand, share.report.worth)
                for name, share in lane.shares.items()
                if now - share.heard_at < LIVENESS_TIMEOUT_MS
            }
            shares = divide(capacity, needs)
            lane.division = (now, len(lane.shares), shares)
            lane.demand_ratio = sum(need for need, _ in needs.values()) / max(capacity, 1e-9)
        return shares

    def score_penalty(self, lane: Lane, forwarder: str) -> float:
        """Gives each forwarder its own preferred route, weighted by the limits of the routes: with the same
        ranking everywhere all forwarders would move to the same next route."""
        routes = self.groups.get(lane.group, ())
        if len(routes) < 2 or not lane.group:
            return 0.0
        weights = {name: min(self.lanes[name].limit.per_s, 1e6) for name in routes}
        return 0.0 if rendezvous(forwarder, sorted(routes), weights) == lane.name else ROUTE_PENALTY

    # Expiry

    def sweep(self, now: float) -> None:
        """Removes lanes and forwarders without recent reports, to bound memory."""
        if now - self.swept_at < LIVENESS_TIMEOUT_MS:
            return
        self.swept_at = now
        self.update_planners_up(now)
        for name in [f for f, at in self.forwarders.items() if now - at >= EXPIRY_MS]:
            del self.forwarders[name]
            self.heard.pop(name, None)
        for lane in list(self.lanes.values()):
            for name, share in list(lane.shares.items()):
                if now - share.heard_at >= LEARNING_MS and not share.promised(now):
                    lane.cold_count -= share.report.cold
                    del lane.shares[name]
                    lane.promised_until = -math.inf
            lane.slots.forget(lane.shares)
            if now - lane.heard_at >= EXPIRY_MS:
                del self.lanes[lane.name]
                self.owners.pop(lane.name, None)
                self.groups[lane.group].discard(lane.name)
                if not self.groups[lane.group]:
                    del self.groups[lane.group]


DIVISION_INTERVAL_MS = 200.0  # between two divisions of a lane's limit
