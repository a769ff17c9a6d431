"""Simulates forwarders and planners: the real decision code, a network that loses, delays, repeats and
reorders messages, partners with limits, and crashes. Deterministic by seed, no I/O; for thousands of runs.

The checked invariant: the sum of the rates that all forwarders may use on a lane at any time stays within the
highest recent estimate of its planners.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field

from lab.limits import Limit as PartnerLimit
from rushhitch.planning.guidance import Guidance
from rushhitch.planning.messages import LaneReport, Report
from rushhitch.planning.planner import LEASE_MS, SAFE_MS, Planner

REPORT_MS = 250.0
MAX_BACKLOG_MS = 2_000.0  # a sender keeps only messages of this last period
START_MS = 5_000.0  # warm-up that is not measured, since limits are not known yet
GRANT_LIFETIME_MS = LEASE_MS + SAFE_MS  # a grant may outlast a decrease of its limit by this period


@dataclass(slots=True)
class Case:
    """Parameters of one simulation."""

    seed: int = 1
    forwarders: int = 10
    planners: int = 3
    lanes: int = 12
    seconds: float = 30.0
    lanes_each: int = 0  # lanes that a forwarder has traffic for; 0 for all
    demand: float = 2.0  # of all forwarders together, as a multiple of the limits
    limits: tuple[float, float] = (5.0, 60.0)
    lose: float = 0.0  # share of messages that the network loses, repeats, and delays by up to `late_ms`
    repeat: float = 0.0
    late_ms: float = 20.0
    crashes: int = 0  # of planners; each restarts without state after `away_ms`
    blackout_ms: float = 0.0  # period from the middle of the run in which all planners are down
    pauses: int = 0  # a planner stops for `away_ms`, then processes what arrived meanwhile
    away_ms: float = 6_000.0
    deaths: int = 0  # forwarders that stop permanently
    cuts: int = 0  # a forwarder is partitioned from all planners for `away_ms` and goes on sending
    halve: bool = False  # each limit is halved in the middle of the run
    sample_ms: float = 100.0
    coarse: bool = False  # calls are simulated as rates, not individually: for large cases


@dataclass(slots=True)
class Outcome:
    """Measurements of one simulation."""

    over: float = 0.0  # largest excess of a lane's live grants over its planner's limit, relative
    over_at: tuple[float, str] = (0.0, "")
    pressure: list[float] = field(default_factory=list)  # calls in windows of 2 s over the partner's limit
    used: list[float] = field(default_factory=list)  # taken over the limit, by lane, where demand passes it
    shares: list[list[float]] = field(default_factory=list)  # by lane: taken by each forwarder
    limits: list[float] = field(default_factory=list)  # of the partners, as `used` and `shares`
    settled_ms: float = math.inf  # when the sums of grants were first within 10% of the limits
    within: float = 0.0  # share of lanes with the sum of grants within 20% of the limit at the end
    reports: int = 0
    planner_lanes: int = 0


class Forwarder:
    """A sender with constant demand that is limited only by its guidance."""

    def __init__(self, name: str, lanes: list[str]) -> None:
        self.name, self.lanes = name, lanes
        self.guidance = Guidance()
        self.number = 0
        self.reported_at: dict[tuple[str, int], float] = {}
        self.answered_at: dict[str, float] = {}
        self.counts: defaultdict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.next_at: dict[str, float] = {}
        self.slot_used: dict[str, int] = {}
        self.alive = True
        self.cut_until = 0.0


class Simulation:
    """Runs one case."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng = case, random.Random(case.seed)
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.limits = {f"d{n}": self.rng.uniform(*case.limits) for n in range(case.lanes)}
        self.partners = {
            name: PartnerLimit(per_s, burst=max(per_s * 0.5, 2.0)) for name, per_s in self.limits.items()
        }
        names = [f"p{n}" for n in range(case.planners)]
        self.planner_names = names
        self.planners: dict[str, Planner | None] = {name: Planner(name, names) for name in names}
        self.paused: dict[str, list] = {}
        each = case.lanes_each or case.lanes
        self.forwarders = [
            Forwarder(f"f{n}", self.rng.sample(sorted(self.limits), each)) for n in range(case.forwarders)
        ]
        self.senders: dict[str, list[Forwarder]] = {lane: [] for lane in self.limits}
        for forwarder in self.forwarders:
            for lane in forwarder.lanes:
                self.senders[lane].append(forwarder)
        self.lane_sent: defaultdict[str, float] = defaultdict(float)  # coarse mode: calls in this interval
        self.lane_rates: dict[str, float] = {}  # and rates in the previous one
        self.need = {
            lane: case.demand * self.limits[lane] / max(len(self.senders[lane]), 1) for lane in self.limits
        }
        self.recent_limits: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.sent: defaultdict[str, list[float]] = defaultdict(list)
        self.taken: defaultdict[str, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))
        self.outcome = Outcome()

    def at(self, when: float, act, *args) -> None:
        heapq.heappush(self.queue, (when, next(self.order), act, args))

    def deliver(self, act, *args) -> None:
        """Sends a message through the simulated network."""
        case = self.case
        for _ in range(2 if self.rng.random() < case.repeat else 1):
            if self.rng.random() >= case.lose:
                self.at(self.now + self.rng.uniform(1.0, case.late_ms), act, *args)

    def play(self) -> Outcome:
        case = self.case
        end = case.seconds * 1000.0
        for forwarder in self.forwarders:
            self.at(self.rng.uniform(0.0, REPORT_MS), self.step, forwarder)
        self.at(case.sample_ms, self.sample)
        if case.coarse:
            self.at(REPORT_MS, self.count_lanes)
        for _ in range(case.crashes):
            name = self.rng.choice(self.planner_names)
            self.at(self.rng.uniform(0.2, 0.8) * end, self.crash, name)
        for _ in range(case.pauses):
            name = self.rng.choice(self.planner_names)
            self.at(self.rng.uniform(0.2, 0.8) * end, self.pause, name)
        for _ in range(case.deaths):
            self.at(self.rng.uniform(0.2, 0.8) * end, self.kill, self.rng.choice(self.forwarders))
        for _ in range(case.cuts):
            self.at(self.rng.uniform(0.2, 0.8) * end, self.cut, self.rng.choice(self.forwarders))
        if case.halve:
            self.at(end / 2.0, self.halve)
        if case.blackout_ms:
            for name in self.planner_names:
                self.at(end / 2.0, self.crash, name, case.blackout_ms)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act, args = heapq.heappop(self.queue)
            act(*args)
        self.finish()
        return self.outcome

    # Faults

    def crash(self, name: str, away_ms: float = 0.0) -> None:
        self.planners[name] = None
        self.at(self.now + (away_ms or self.case.away_ms), self.restart_planner, name)

    def restart_planner(self, name: str) -> None:
        self.planners[name] = Planner(name, self.planner_names)

    def pause(self, name: str) -> None:
        self.paused.setdefault(name, [])
        self.at(self.now + self.case.away_ms, self.wake, name)

    def wake(self, name: str) -> None:
        for args in self.paused.pop(name, ()):
            self.heard(name, *args)

    def kill(self, forwarder: Forwarder) -> None:
        forwarder.alive = False

    def cut(self, forwarder: Forwarder) -> None:
        forwarder.cut_until = self.now + self.case.away_ms

    def halve(self) -> None:
        for name, partner in self.partners.items():
            self.limits[name] /= 2.0
            partner.per_s /= 2.0

    # Forwarders

    def step(self, forwarder: Forwarder) -> None:
        """Sends for one interval and reports to all planners."""
        if not forwarder.alive:
            return
        lanes = []
        for lane in forwarder.lanes:
            self.send(forwarder, lane)
            sent, taken, refused = forwarder.counts.pop(lane, (0.0, 0.0, 0.0))
            row = LaneReport(lane, "", self.need[lane], 1.0, sent, taken, refused)
            forwarder.guidance.fill(self.now, row)
            lanes.append(row)
        forwarder.number += 1
        heard = [p for p, at in forwarder.answered_at.items() if self.now - at < 1_000.0]
        report = Report(forwarder.name, forwarder.number, REPORT_MS, heard, lanes)
        for name in self.planner_names if self.now >= forwarder.cut_until else ():
            forwarder.reported_at[name, report.number] = self.now
            self.deliver(self.heard, name, forwarder, report)
        self.outcome.reports += 1
        forwarder.guidance.allowances(self.now)
        self.at(self.now + REPORT_MS * self.rng.uniform(0.9, 1.1), self.step, forwarder)

    def send(self, forwarder: Forwarder, lane: str) -> None:
        """Schedules the calls of one interval evenly, as the decision module paces them."""
        allowed = min(forwarder.guidance.bound(self.now, lane), self.need[lane] * 1.5)
        rate = min(allowed, self.need[lane]) / 1000.0
        if rate <= 0:
            return
        if self.case.coarse:
            self.send_coarsely(forwarder, lane, rate * REPORT_MS)
            return
        left, first, slots = forwarder.guidance.slots(self.now, lane)
        if left > 0:
            due = forwarder.next_at.get(lane, self.now)  # arrival of the next message
            for number, slot in enumerate(slots, first):
                when = self.now + max(slot, 0.0)
                if when < self.now + REPORT_MS and number > forwarder.slot_used.get(lane, 0):
                    forwarder.slot_used[lane] = number
                    if due <= when:
                        self.at(when, self.call, forwarder, lane)
                        due = max(due, when - MAX_BACKLOG_MS) + 1000.0 / self.need[lane]
            forwarder.next_at[lane] = due
            return
        at = max(forwarder.next_at.get(lane, self.now + self.rng.random() / rate), self.now)
        at = min(at, self.now + self.rng.uniform(0.5, 1.5) / rate)
        while at < self.now + REPORT_MS:
            self.at(at, self.call, forwarder, lane)
            at += self.rng.uniform(0.75, 1.25) / rate
        forwarder.next_at[lane] = at

    def send_coarsely(self, forwarder: Forwarder, lane: str, calls: float) -> None:
        taken = calls * min(1.0, self.limits[lane] / max(self.lane_rates.get(lane, 0.0), 1e-9))
        counts = forwarder.counts[lane]
        for position, count in enumerate((calls, taken, calls - taken)):
            counts[position] += count
        self.lane_sent[lane] += calls

    def count_lanes(self) -> None:
        self.lane_rates = {lane: calls * 1000.0 / REPORT_MS for lane, calls in self.lane_sent.items()}
        self.lane_sent.clear()
        self.at(self.now + REPORT_MS, self.count_lanes)

    def call(self, forwarder: Forwarder, lane: str) -> None:
        admitted = self.partners[lane].admits(self.now)
        counts = forwarder.counts[lane]
        counts[0] += 1
        counts[1 if admitted else 2] += 1
        self.sent[lane].append(self.now)
        if self.now >= START_MS:
            self.taken[lane][forwarder.name] += admitted

    # Planners

    def heard(self, name: str, forwarder: Forwarder, report: Report) -> None:
        if name in self.paused:
            self.paused[name].append((forwarder, report))
            return
        planner = self.planners[name]
        if planner is None:
            return
        answer = planner.handle(self.now, report)
        for grant in answer.grants:  # a planner may crash before the next sample
            limits, per_s = self.recent_limits[grant.lane], planner.lanes[grant.lane].limit.per_s
            if per_s < math.inf and (not limits or limits[-1][1] != per_s):
                limits.append((self.now, per_s))
        self.deliver(self.granted, forwarder, answer)

    def granted(self, forwarder: Forwarder, answer) -> None:
        asked_at = forwarder.reported_at.get((answer.planner, answer.number))
        if asked_at is None or not forwarder.alive or self.now < forwarder.cut_until:
            return
        forwarder.answered_at[answer.planner] = self.now
        forwarder.guidance.take(self.now, asked_at, answer)

    # Measurements

    def sample(self) -> None:
        """Compares the live grants on each lane with the highest recent estimate of its planners."""
        settled = within = 0
        for lane in self.limits:
            for name in self.planner_names:
                planner = self.planners[name]
                known = planner.lanes.get(lane) if planner else None
                if known is not None and known.limit.per_s < math.inf and planner.owner(lane) == name:
                    self.recent_limits[lane].append((self.now, known.limit.per_s))
            since = self.now - GRANT_LIFETIME_MS - 1_000.0
            limits = [(at, per_s) for at, per_s in self.recent_limits[lane] if at > since]
            self.recent_limits[lane] = limits
            senders = [f for f in self.senders[lane] if f.alive]
            bounds = [f.guidance.live(self.now, lane) for f in senders]
            total = sum(bound for bound in bounds if bound < math.inf)
            if limits and bounds and all(bound < math.inf for bound in bounds):
                highest = max(per_s for _, per_s in limits)
                over = total / highest - 1.0
                if over > self.outcome.over:
                    self.outcome.over, self.outcome.over_at = over, (self.now, lane)
                settled += abs(total / self.limits[lane] - 1.0) < 0.1
                within += abs(total / self.limits[lane] - 1.0) < 0.2
        self.outcome.within = within / len(self.limits)
        if settled == len(self.limits) and self.outcome.settled_ms == math.inf:
            self.outcome.settled_ms = self.now
        self.at(self.now + self.case.sample_ms, self.sample)

    def finish(self) -> None:
        """Computes the pressure in windows of 2 s, and the usage."""
        for lane, times in self.sent.items():
            times = sorted(at for at in times if at >= START_MS)
            end = 0
            limit = self.partners[lane].per_s
            if self.case.halve:
                continue
            for begin, first in enumerate(times):
                while end < len(times) and times[end] < first + 2_000.0:
                    end += 1
                self.outcome.pressure.append((end - begin) / (limit * 2.0))
            seconds = self.case.seconds - START_MS / 1000.0
            self.outcome.used.append(sum(self.taken[lane].values()) / (limit * seconds))
            self.outcome.shares.append(list(self.taken[lane].values()))
            self.outcome.limits.append(limit)
        self.outcome.planner_lanes = sum(len(planner.lanes) for planner in self.planners.values() if planner)


def play(case: Case) -> Outcome:
    return Simulation(case).play()
