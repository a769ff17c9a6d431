"""Forwarders and planners in simulated time: the deciding parts as they are, a network that loses, delays,
repeats and reorders, partners with limits, and crashes. One seed, no I/O; thousands of runs.

What is watched from outside is the sum of what all forwarders may send on a lane at any moment, against the
limit that its planner held of late.
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
MOST_HELD_MS = 2_000.0  # a sender has messages of the last while only
START_MS = 5_000.0  # what happens before is not judged: nobody knows the limits yet
PAST_MS = LEASE_MS + SAFE_MS  # a grant may be in use so long after the limit it was cut from has shrunk


@dataclass(slots=True)
class Case:
    """One simulation."""

    seed: int = 1
    forwarders: int = 10
    planners: int = 3
    lanes: int = 12
    seconds: float = 30.0
    lanes_each: int = 0  # lanes that a forwarder has traffic for; 0 for all
    demand: float = 2.0  # of the limits, all forwarders together
    limits: tuple[float, float] = (5.0, 60.0)
    lose: float = 0.0  # share of messages that the network loses, repeats, and delays by up to `late_ms`
    repeat: float = 0.0
    late_ms: float = 20.0
    crashes: int = 0  # of planners, each back empty after `away_ms`; stops of forwarders likewise
    blackout_ms: float = 0.0  # for so long, from the middle of the run, no planner is there
    pauses: int = 0  # a planner stands still and wakes with what came meanwhile
    away_ms: float = 6_000.0
    deaths: int = 0  # of forwarders, for good
    cuts: int = 0  # a forwarder goes on sending, and for `away_ms` neither side hears the other
    halve: bool = False  # in mid-run each limit halves
    sample_ms: float = 100.0
    coarse: bool = False  # calls are counted by rates and not played one by one: for large cases


@dataclass(slots=True)
class Outcome:
    """What was seen."""

    over: float = 0.0  # the most that live grants on a lane were above its planner's limit, as a share of it
    over_at: tuple[float, str] = (0.0, "")
    pressure: list[float] = field(default_factory=list)  # calls in windows of 2 s over the partner's limit
    used: list[float] = field(default_factory=list)  # taken over the limit, by lane, where demand passes it
    shares: list[list[float]] = field(default_factory=list)  # by lane: taken by each forwarder
    limits: list[float] = field(default_factory=list)  # of the partners, as `used` and `shares`
    settled_ms: float = math.inf  # when the sums of grants first lay within a tenth of the limits
    within: float = 0.0  # of the lanes, at the end: the sum of grants within a fifth of the limit
    reports: int = 0
    planner_lanes: int = 0


class Forwarder:
    """A sender with steady demand that goes by its guidance alone."""

    def __init__(self, name: str, lanes: list[str]) -> None:
        self.name, self.lanes = name, lanes
        self.guidance = Guidance()
        self.number = 0
        self.asked: dict[tuple[str, int], float] = {}
        self.answered: dict[str, float] = {}
        self.counts: defaultdict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.next_at: dict[str, float] = {}
        self.slot_used: dict[str, int] = {}
        self.alive = True
        self.cut_until = 0.0


class Simulation:
    """One case, played."""

    def __init__(self, case: Case) -> None:
        self.case, self.chance = case, random.Random(case.seed)
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.limits = {f"d{n}": self.chance.uniform(*case.limits) for n in range(case.lanes)}
        self.partners = {
            name: PartnerLimit(per_s, burst=max(per_s * 0.5, 2.0)) for name, per_s in self.limits.items()
        }
        names = [f"p{n}" for n in range(case.planners)]
        self.planner_names = names
        self.planners: dict[str, Planner | None] = {name: Planner(name, names) for name in names}
        self.paused: dict[str, list] = {}
        each = case.lanes_each or case.lanes
        self.forwarders = [
            Forwarder(f"f{n}", self.chance.sample(sorted(self.limits), each)) for n in range(case.forwarders)
        ]
        self.senders: dict[str, list[Forwarder]] = {lane: [] for lane in self.limits}
        for forwarder in self.forwarders:
            for lane in forwarder.lanes:
                self.senders[lane].append(forwarder)
        self.lane_sent: defaultdict[str, float] = defaultdict(float)  # coarse: in this interval
        self.lane_rates: dict[str, float] = {}  # and in the one before
        self.need = {
            lane: case.demand * self.limits[lane] / max(len(self.senders[lane]), 1) for lane in self.limits
        }
        self.held_limits: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.sent: defaultdict[str, list[float]] = defaultdict(list)
        self.taken: defaultdict[str, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))
        self.outcome = Outcome()

    def at(self, when: float, act, *words) -> None:
        heapq.heappush(self.queue, (when, next(self.order), act, words))

    def deliver(self, act, *words) -> None:
        """Through the network."""
        case = self.case
        for _ in range(2 if self.chance.random() < case.repeat else 1):
            if self.chance.random() >= case.lose:
                self.at(self.now + self.chance.uniform(1.0, case.late_ms), act, *words)

    def play(self) -> Outcome:
        case = self.case
        end = case.seconds * 1000.0
        for forwarder in self.forwarders:
            self.at(self.chance.uniform(0.0, REPORT_MS), self.step, forwarder)
        self.at(case.sample_ms, self.sample)
        if case.coarse:
            self.at(REPORT_MS, self.count_lanes)
        for _ in range(case.crashes):
            name = self.chance.choice(self.planner_names)
            self.at(self.chance.uniform(0.2, 0.8) * end, self.crash, name)
        for _ in range(case.pauses):
            name = self.chance.choice(self.planner_names)
            self.at(self.chance.uniform(0.2, 0.8) * end, self.pause, name)
        for _ in range(case.deaths):
            self.at(self.chance.uniform(0.2, 0.8) * end, self.kill, self.chance.choice(self.forwarders))
        for _ in range(case.cuts):
            self.at(self.chance.uniform(0.2, 0.8) * end, self.cut, self.chance.choice(self.forwarders))
        if case.halve:
            self.at(end / 2.0, self.halve)
        if case.blackout_ms:
            for name in self.planner_names:
                self.at(end / 2.0, self.crash, name, case.blackout_ms)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act, words = heapq.heappop(self.queue)
            act(*words)
        self.finish()
        return self.outcome

    # What goes wrong

    def crash(self, name: str, away_ms: float = 0.0) -> None:
        self.planners[name] = None
        self.at(self.now + (away_ms or self.case.away_ms), self.come_back, name)

    def come_back(self, name: str) -> None:
        self.planners[name] = Planner(name, self.planner_names)

    def pause(self, name: str) -> None:
        self.paused.setdefault(name, [])
        self.at(self.now + self.case.away_ms, self.wake, name)

    def wake(self, name: str) -> None:
        for words in self.paused.pop(name, ()):
            self.heard(name, *words)

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
        """Send for one interval, report, ask."""
        if not forwarder.alive:
            return
        lanes = []
        for lane in forwarder.lanes:
            self.send(forwarder, lane)
            sent, taken, refused = forwarder.counts.pop(lane, (0.0, 0.0, 0.0))
            told = LaneReport(lane, "", self.need[lane], 1.0, sent, taken, refused)
            forwarder.guidance.fill(self.now, told)
            lanes.append(told)
        forwarder.number += 1
        heard = [p for p, at in forwarder.answered.items() if self.now - at < 1_000.0]
        report = Report(forwarder.name, forwarder.number, REPORT_MS, heard, lanes)
        for name in self.planner_names if self.now >= forwarder.cut_until else ():
            forwarder.asked[name, report.number] = self.now
            self.deliver(self.heard, name, forwarder, report)
        self.outcome.reports += 1
        forwarder.guidance.allowances(self.now)
        self.at(self.now + REPORT_MS * self.chance.uniform(0.9, 1.1), self.step, forwarder)

    def send(self, forwarder: Forwarder, lane: str) -> None:
        """Calls of one interval, evenly spread, as the module paces them."""
        allowed = min(forwarder.guidance.bound(self.now, lane), self.need[lane] * 1.5)
        rate = min(allowed, self.need[lane]) / 1000.0
        if rate <= 0:
            return
        if self.case.coarse:
            self.send_coarsely(forwarder, lane, rate * REPORT_MS)
            return
        left, first, slots = forwarder.guidance.slots(self.now, lane)
        if left > 0:
            due = forwarder.next_at.get(lane, self.now)  # when the next message is there
            for number, slot in enumerate(slots, first):
                when = self.now + max(slot, 0.0)
                if when < self.now + REPORT_MS and number > forwarder.slot_used.get(lane, 0):
                    forwarder.slot_used[lane] = number
                    if due <= when:
                        self.at(when, self.call, forwarder, lane)
                        due = max(due, when - MOST_HELD_MS) + 1000.0 / self.need[lane]
            forwarder.next_at[lane] = due
            return
        at = max(forwarder.next_at.get(lane, self.now + self.chance.random() / rate), self.now)
        at = min(at, self.now + self.chance.uniform(0.5, 1.5) / rate)
        while at < self.now + REPORT_MS:
            self.at(at, self.call, forwarder, lane)
            at += self.chance.uniform(0.75, 1.25) / rate
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
            limits, per_s = self.held_limits[grant.lane], planner.lanes[grant.lane].limit.per_s
            if per_s < math.inf and (not limits or limits[-1][1] != per_s):
                limits.append((self.now, per_s))
        self.deliver(self.granted, forwarder, answer)

    def granted(self, forwarder: Forwarder, answer) -> None:
        asked_at = forwarder.asked.get((answer.planner, answer.number))
        if asked_at is None or not forwarder.alive or self.now < forwarder.cut_until:
            return
        forwarder.answered[answer.planner] = self.now
        forwarder.guidance.take(self.now, asked_at, answer)

    # What is watched

    def sample(self) -> None:
        """Live grants on each lane against the highest limit that its planners held of late."""
        settled = within = 0
        for lane in self.limits:
            for name in self.planner_names:
                planner = self.planners[name]
                known = planner.lanes.get(lane) if planner else None
                if known is not None and known.limit.per_s < math.inf and planner.owner(lane) == name:
                    self.held_limits[lane].append((self.now, known.limit.per_s))
            since = self.now - PAST_MS - 1_000.0
            limits = [(at, per_s) for at, per_s in self.held_limits[lane] if at > since]
            self.held_limits[lane] = limits
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
        """Pressure in windows of 2 s, and use."""
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
