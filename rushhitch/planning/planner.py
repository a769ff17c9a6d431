"""A planner: from reports and time to grants. No I/O, no clock of its own; times are milliseconds of the
caller's clock, which never runs backwards.

What is promised: on a lane that one planner plans, the grants that may be in use at any moment add up to the
lane's limit as the planner held it when it gave them, at most. To that end it remembers each grant until the
forwarder reports a newer one, or until its lease and its safe time have lapsed, and deals out only what is
left. A limit that shrinks therefore binds a lease later at the latest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rushhitch.planning.limits import Limit, Recovery
from rushhitch.planning.messages import Grant, Grants, LaneReport, Report
from rushhitch.planning.shares import divide, rendezvous
from rushhitch.planning.slots import AHEAD_MS, DEALT_PER_S, Slots

LEASE_MS = 2_000.0  # a grant holds so long from when its forwarder asked
SAFE_SHARE, SAFE_MS = 0.9, 5_000.0  # and then so much of it for so long, for a forwarder that is cut off
ALIVE_MS = 1_500.0  # a forwarder or planner not heard for so long is thought gone; grants still count
# A planner that begins on a lane: a former one may go on granting until it hears of it, at most ALIVE_MS, and
# those grants must have lapsed.
LEARN_MS = LEASE_MS + SAFE_MS + ALIVE_MS
FORGET_MS = 60_000.0  # a lane or forwarder of which nothing is heard is forgotten
BURST_MS = 100.0  # worth of a rate that may go at once; at least one call
IDLE_MS = 300.0  # worth of a lane's limit that each may send at once where nobody needs it
CROWDED = 0.85  # of the limit needed: from here on calls go at moments that are dealt
RETURN_SHARE = 0.6  # of `fall_multiple` times what a cold lane can do
HANDICAP = 0.06  # score of a route that is not a forwarder's own first: decides between near equals
QUORUM = 0.5  # of the forwarders: a planner that more than so many hear is up
MOST_OUT = 200.0  # calls whose outcome may still come; of those that time out none does
MOST_LANES = 200_000  # a forwarder that makes up names must not take all memory
TERM_BITS = 40  # of a moment's number: those of a later term are higher
LIMITLESS = 0.0  # what a grant says of a limit that nobody has found


@dataclass(slots=True)
class Given:
    """A grant that may still be in use: its rate until the lease ends, and the safe rate after it."""

    seq: int
    per_s: float
    lease_until: float
    safe: float
    safe_until: float

    def at(self, now: float) -> float:
        return self.per_s if now < self.lease_until else self.safe if now < self.safe_until else 0.0


@dataclass(slots=True)
class Share:
    """One forwarder on one lane."""

    report: LaneReport
    heard_at: float
    given: list[Given] = field(default_factory=list)
    out: float = 0.0  # calls that it told of and not yet what became of them

    def outcomes(self, sent: float, taken: float, refused: float) -> tuple[float, float]:
        """Outcomes come after their calls, often in a later report; no more of them count than calls did."""
        self.out = min(self.out + sent, sent + MOST_OUT)
        taken = min(taken, self.out)
        refused = min(refused, self.out - taken)
        self.out -= taken + refused
        return taken, refused

    def promised(self, now: float) -> float:
        """The most that it may be using now, or later, of what it was given."""
        return max((given.at(now) for given in self.given), default=0.0)

    def acknowledge(self, seq: int, now: float) -> None:
        """It goes by the grant of that number: older ones are out of use."""
        self.given = [given for given in self.given if given.seq >= seq and given.at(now) > 0]


@dataclass(slots=True)
class Lane:
    """A lane that this planner knows; `owned_since` is infinite while another plans it."""

    name: str
    group: str = ""
    limit: Limit = field(default_factory=Limit)
    recovery: Recovery = field(default_factory=Recovery)
    shares: dict[str, Share] = field(default_factory=dict)
    slots: Slots = field(default_factory=Slots)
    wait_until: float = -math.inf
    before: float = 0.0  # the most that it took of late, when it went cold
    term: int = 0
    owned_since: float = math.inf
    heard_at: float = -math.inf
    divided: tuple[float, int, dict[str, float]] = (-math.inf, -1, {})  # when, among how many, shares
    needed: float = 1.0  # of the limit, by all, as of then; all of it where nothing was divided yet
    colds: int = 0  # forwarders that see it cold
    promised: float = 0.0  # to all, until the first of these grants changes by time alone
    promised_until: float = -math.inf

    def all_promised(self, now: float) -> float:
        """What all forwarders may be using; added up anew only when a lease or safe time has run out."""
        if now >= self.promised_until:
            self.promised = sum(share.promised(now) for share in self.shares.values())
            times = (
                at
                for share in self.shares.values()
                for given in share.given
                for at in (given.lease_until, given.safe_until)
                if at > now
            )
            self.promised_until = min(times, default=math.inf)
        return self.promised


class Planner:
    """Knows what forwarders report, and answers each report with grants for the lanes that it plans."""

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
        self.heard: dict[str, frozenset[str]] = {}  # the planners that each hears
        self.up: frozenset[str] = frozenset([name])
        self.owners: dict[str, str] = {}
        self.seq = 0
        self.swept_at = -math.inf
        self.nonsense = 0  # reports of lanes that were left out

    # Reports

    def handle(self, now: float, report: Report) -> Grants:
        """Take a report and answer it."""
        self.forwarders[report.forwarder] = now
        if frozenset(report.heard) != self.heard.get(report.forwarder):
            self.heard[report.forwarder] = frozenset(report.heard)
            self.count_planners(now)
        answer = Grants(self.name, report.number)
        for told in report.lanes:
            full = told.lane not in self.lanes and len(self.lanes) >= MOST_LANES
            if full or not told.is_valid():  # it hurts only the forwarder that tells it
                self.nonsense += 1
                continue
            lane = self.learn(now, report.forwarder, told)
            if self.owns(now, lane, told) and (told.holding or not self.learning(now, lane)):
                answer.grants.append(self.grant(now, lane, report.forwarder))
        self.sweep(now)
        return answer

    def learn(self, now: float, forwarder: str, told: LaneReport) -> Lane:
        lane = self.lanes.get(told.lane)
        if lane is None:
            lane = self.lanes[told.lane] = Lane(told.lane, told.group)
            self.groups.setdefault(told.group, set()).add(told.lane)
        lane.heard_at = now
        share = lane.shares.get(forwarder)
        if share is None:
            share = lane.shares[forwarder] = Share(told, now)
        else:
            lane.colds -= share.report.cold
        lane.colds += told.cold
        share.report, share.heard_at = told, now
        if told.planner == self.name and told.term == lane.term:
            before = share.promised(now)
            lane.all_promised(now)
            share.acknowledge(told.seq, now)
            lane.promised += share.promised(now) - before
        # What one forwarder claims counts no further than it could have sent: a lie hurts only itself.
        most = self.plausible(lane, share)
        scale = min(1.0, most / told.sent) if told.sent > most else 1.0
        sent, taken, refused = (count * scale for count in (told.sent, told.taken, told.refused))
        taken, refused = share.outcomes(sent, taken, refused)
        lane.limit.note(now, sent, taken, refused, told.wait_ms)
        lane.wait_until = max(lane.wait_until, now + told.wait_ms if told.wait_ms > 0 else -math.inf)
        was_cold = lane.recovery.cold
        lane.recovery.note(now, 2 * lane.colds > len(lane.shares), taken)
        if lane.recovery.cold and not was_cold:
            lane.before = lane.limit.peak
        lane.limit.update(now)
        return lane

    def plausible(self, lane: Lane, share: Share) -> float:
        """Calls that a forwarder can have sent since its last report, with much to spare."""
        if lane.limit.per_s == math.inf or not share.given:
            return math.inf
        return 2.0 * max(given.per_s for given in share.given) + 10.0

    # Who plans what

    def count_planners(self, now: float) -> None:
        """Planners that most forwarders hear are up; this one is, since it is asked."""
        alive = [f for f, at in self.forwarders.items() if now - at < ALIVE_MS]
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

    def owns(self, now: float, lane: Lane, told: LaneReport) -> bool:
        """Whether this planner plans the lane; the later of two that both believe so gives way."""
        mine = self.owner(lane.name) == self.name
        if not mine:
            lane.owned_since = math.inf
            return False
        if lane.owned_since == math.inf or (told.term > lane.term and told.planner != self.name):
            # It begins here: its term fences whoever planned the lane before.
            lane.term = max(lane.term, *(share.report.term for share in lane.shares.values())) + 1
            lane.owned_since = now
            for share in lane.shares.values():
                share.given.clear()
            lane.promised_until = -math.inf
            if lane.limit.per_s == math.inf and told.limit > 0:
                lane.limit.take_over(told.limit, now)
        return True

    def learning(self, now: float, lane: Lane) -> bool:
        """Whether grants of a former planner may be in use still. Where there was none there is nothing to
        wait for."""
        return lane.term > 1 and now - lane.owned_since < LEARN_MS

    # Grants

    def capacity(self, now: float, lane: Lane) -> float:
        """What all forwarders together may send."""
        warmth = lane.recovery.warmth(now, self.cold_from, self.warm_ms)
        if warmth == 1.0:
            return lane.limit.per_s
        known = min(lane.limit.per_s, max(lane.before, 1.0))
        return min(RETURN_SHARE * self.fall_multiple * warmth, 1.0) * known

    def grant(self, now: float, lane: Lane, forwarder: str) -> Grant:
        share, is_grant = lane.shares[forwarder], True
        capacity = self.capacity(now, lane)
        if self.learning(now, lane):
            # Nothing is dealt anew: others may hold grants that this planner has not heard of yet. One that
            # has freed itself gets no grant, but stays where it is until lanes are dealt again.
            per_s = share.report.holding
            is_grant = not share.report.expired
            if not is_grant:
                per_s = min(per_s, capacity)
            elif capacity < math.inf:
                per_s = min(per_s, self.room(now, lane, forwarder, capacity))
            slots = (0.0, 0, [])
        elif capacity == math.inf:
            per_s, slots = math.inf, (0.0, 0, [])
        else:
            shares = self.divided(now, lane, capacity)
            per_s = min(shares.get(forwarder, 0.0), self.room(now, lane, forwarder, capacity))
            slots = self.moments(now, lane, forwarder, capacity, shares)
        self.seq += 1
        bounded = per_s < math.inf
        if bounded and is_grant:
            lease_until = now + LEASE_MS
            before = share.promised(now)
            lane.all_promised(now)
            share.given = [given for given in share.given if given.at(now) > 0]
            share.given.append(Given(self.seq, per_s, lease_until, SAFE_SHARE * per_s, lease_until + SAFE_MS))
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
            lane.limit.per_s if lane.limit.per_s < math.inf else LIMITLESS,
            *slots,
            is_grant,
        )

    def moments(
        self, now: float, lane: Lane, forwarder: str, capacity: float, shares: dict[str, float]
    ) -> tuple[float, int, list[float]]:
        """For how long, from which number on and when its calls may go. A lane that comes back cold is left
        to rates: the module's own trials come first there."""
        if capacity > DEALT_PER_S or lane.recovery.cold or lane.needed < CROWDED:
            return 0.0, 0, []
        lane.slots.deal(now, capacity, shares)
        number, slots = lane.slots.of(now, forwarder)
        return AHEAD_MS, (lane.term << TERM_BITS) + number, slots

    def burst(self, lane: Lane, per_s: float, capacity: float) -> float:
        """Calls that may go at once. Where the limit is not needed, a message need not wait until its
        forwarder's small part of it has come: others do not use theirs."""
        idle = 0.0 if lane.recovery.cold else max(1.0 - lane.needed, 0.0)
        return max(per_s * BURST_MS / 1000.0, 1.0) + idle * capacity * IDLE_MS / 1000.0

    def room(self, now: float, lane: Lane, forwarder: str, capacity: float) -> float:
        """No more than is left, and never more than adds to what may be in use. Where the limit has shrunk,
        each goes down to its part of it, and nobody to nothing: also below its share, as long as some that
        are not heard may be using more than theirs."""
        promised, total = lane.shares[forwarder].promised(now), lane.all_promised(now)
        if total > capacity:
            promised *= capacity / total
        return max(capacity - self.promised_to_others(now, lane, forwarder), promised)

    def promised_to_others(self, now: float, lane: Lane, forwarder: str) -> float:
        return lane.all_promised(now) - lane.shares[forwarder].promised(now)

    def divided(self, now: float, lane: Lane, capacity: float) -> dict[str, float]:
        """The shares that are aimed at; worked out anew every so often, for all that ask meanwhile."""
        at, count, shares = lane.divided
        if now - at >= DIVIDE_MS or count != len(lane.shares):
            needs = {
                name: (share.report.demand, share.report.worth)
                for name, share in lane.shares.items()
                if now - share.heard_at < ALIVE_MS
            }
            shares = divide(capacity, needs)
            lane.divided = (now, len(lane.shares), shares)
            lane.needed = sum(need for need, _ in needs.values()) / max(capacity, 1e-9)
        return shares

    def score_penalty(self, lane: Lane, forwarder: str) -> float:
        """Each forwarder has a first route of its own among routes apart, by their limits: alike rankings
        would send every sender onto the same next one."""
        routes = self.groups.get(lane.group, ())
        if len(routes) < 2 or not lane.group:
            return 0.0
        weights = {name: min(self.lanes[name].limit.per_s, 1e6) for name in routes}
        return 0.0 if rendezvous(forwarder, sorted(routes), weights) == lane.name else HANDICAP

    # Forgetting

    def sweep(self, now: float) -> None:
        """Guards against growth where lanes and forwarders come and go."""
        if now - self.swept_at < ALIVE_MS:
            return
        self.swept_at = now
        self.count_planners(now)
        for name in [f for f, at in self.forwarders.items() if now - at >= FORGET_MS]:
            del self.forwarders[name]
            self.heard.pop(name, None)
        for lane in list(self.lanes.values()):
            for name, share in list(lane.shares.items()):
                if now - share.heard_at >= LEARN_MS and not share.promised(now):
                    lane.colds -= share.report.cold
                    del lane.shares[name]
                    lane.promised_until = -math.inf
            lane.slots.forget(lane.shares)
            if now - lane.heard_at >= FORGET_MS:
                del self.lanes[lane.name]
                self.owners.pop(lane.name, None)
                self.groups[lane.group].discard(lane.name)
                if not self.groups[lane.group]:
                    del self.groups[lane.group]


DIVIDE_MS = 200.0  # between two divisions of a lane's limit
