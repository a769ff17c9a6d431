"""One destination's cold return, called by many dispatchers that share nothing, on virtual time.

Leaner than sockets: the real decisions, calls that arrive at once or wait for the destination to come back.
It counts as the rule does: a call counts when its last byte comes, be it a first one, a repeat or refused;
what waits for its connection in the outage comes in at the return. Who was told stays told through a restart,
unless the process that comes up knows nothing. The decisions send no probes. A call that hangs came before
the return, and does not count; nor was who sees a call fail after the return told of the outage by it. A
stricter reading is kept beside: what hangs comes in at the return, and any call that was sent before tells.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpier import Dispatcher
from crowpier import interface as api
from crowpier.interface import Effect, Entry, Outcome, Settings

CLASSES = (
    api.MessageClass("notice", 1500, 6000, 1.0, 0.1, Effect.SAFE),
    api.MessageClass("payment", 2000, 12000, 2.0, 0.5, Effect.UNSAFE),
)
SAFE_SHARE = 0.63  # of the messages
SERVICE_MS, REFUSAL_MS = 60.0, 30.0  # a call that is served, without what it waits, and one that is not
CONNECT_MS = 1_500.0  # a connect that never comes up is given up
QUEUE_MS = 1_000.0  # what waits longer is refused as full
COLD_FROM, WARM_MS, MULTIPLE, FALL_MS = 0.18, 13_000.0, 2.0, 2_000.0
DEMAND = 0.7  # of the destination's capacity
DOWN_AT, DOWN_MS, AFTER_MS = 8_000.0, 5_000.0, 14_000.0
KNOWING = 2.0 / 3.0  # of the calls that push it over: from then on the rule is broken
FULL_USE = 0.9  # of what is asked for, answered within `USE_MS`: it is used in full
USE_MS = 2_000.0
TICK_MS = 5.0
CLUMP_MS, CLUMP_S = 200.0, (1.2, 3.4)  # a clump lasts so long, and is of as many as are taken in such a time
ABOUT_MS = 1_000.0  # of the return: there a clump comes for certain
LISTED_LATE_MS = 300.0  # from the start of a process to its first list, where that is all it knows


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is odd about an outage. `way`: connects are refused; they wait until it is back and come up then
    (`late`) or are reset then (`reset`); calls hang until it is back; calls fail; or all calls are turned
    away (`shut`), of which a share is told to wait until it is back."""

    name: str
    way: str = "refused"
    down_ms: float = DOWN_MS
    demand: float = DEMAND
    killed: float = 0.0  # share of the dispatchers that restart in the outage
    back_ms: tuple[float, float] = (-3_000.0, -1_000.0)  # from the return, when they are up again
    kept: bool = True  # they have what the journal kept
    one: float = 0.0  # share of the traffic that the first dispatcher gets
    idle: float = 0.0  # share of the dispatchers that get nothing before the return
    endpoints: int = 1  # that share its capacity, and the outage
    clumps: float = 0.0  # share of the traffic that comes in clumps, one of them about the return
    to_one: bool = False  # a clump comes to one dispatcher, and is not dealt to all
    tells: float = 0.0  # share of what a shut destination turns away that is told a wait
    most_wait_ms: float = math.inf  # told at once; from its end on, what is left
    served: float = 0.0  # share of the calls that are served in the outage all the same
    slots: int = 0  # of each dispatcher, for all its destinations; 0: as many as this one needs
    service_ms: float = SERVICE_MS
    batch: int = 1  # messages in a call at most
    weight: float = 0.0  # of each further message in a call
    replaced_ms: float = math.inf  # from the return, when other endpoints take the place of all of them
    listed_late: bool = False  # a process that starts knows no endpoint until it gets its first list


SCENARIOS = (
    Scenario("refused"),
    Scenario("late connects", way="late"),
    Scenario("late connects, long", way="late", down_ms=12_000.0),
    Scenario("reset at the return", way="reset"),
    Scenario("hangs", way="hang"),
    Scenario("hangs, long", way="hang", down_ms=12_000.0),
    Scenario("fails", way="fail"),
    Scenario("short", down_ms=700.0),
    Scenario("crowded", demand=1.1),
    Scenario("restarts, kept", killed=0.7),
    Scenario("restarts, blank", killed=0.7, kept=False),
    Scenario("restarts at the return", killed=1.0, back_ms=(0.0, 100.0)),
    Scenario("one has most", one=0.75),
    Scenario("a third untold", idle=0.34),
    Scenario("two endpoints", endpoints=2),
    Scenario("two endpoints, reset at the return", way="reset", endpoints=2),
    Scenario("three endpoints, late connects", way="late", endpoints=3),
    Scenario("clumps", clumps=0.17),
    Scenario("clumps, late connects", way="late", clumps=0.17),
    Scenario("clumps to one", clumps=0.17, to_one=True),
)


# Of these dispatchers have slots for ten destinations, as they have in service: a backlog may leave at once.
_SERVICE = {"down_ms": 10_640.0, "slots": 27, "service_ms": 200.0}
_BATCHES = {"batch": 20, "weight": 0.25, "demand": 1.1}
SERVICE_SCENARIOS = (
    Scenario("shut", way="shut", **_SERVICE),
    Scenario("shut, tells", way="shut", tells=0.45, **_SERVICE),
    Scenario("shut, tells, two endpoints", way="shut", tells=0.45, endpoints=2, **_SERVICE),
    Scenario("shut, tells, three endpoints", way="shut", tells=1.0, endpoints=3, **_SERVICE),
    Scenario(
        "shut, tells 3 s at most", way="shut", tells=0.45, most_wait_ms=3_000.0, endpoints=2, **_SERVICE
    ),
    Scenario("shut, tells, crowded", way="shut", tells=0.45, endpoints=2, demand=1.1, **_SERVICE),
    Scenario("shut, tells, clumps", way="shut", tells=0.45, endpoints=2, clumps=0.17, **_SERVICE),
    Scenario(
        "shut, tells, restarts",
        way="shut",
        tells=0.45,
        endpoints=2,
        killed=0.5,
        back_ms=(-3e3, 5e3),
        **_SERVICE,
    ),
    Scenario("shut, replaced", way="shut", tells=0.45, endpoints=2, replaced_ms=-2_000.0, **_SERVICE),
    Scenario("replaced behind the return", endpoints=2, replaced_ms=1_500.0, **_SERVICE),
    Scenario(
        "restarts, listed late", endpoints=2, killed=1.0, back_ms=(-2e3, 500.0), listed_late=True, **_SERVICE
    ),
    Scenario("half served", way="fail", served=0.5, endpoints=2, **_SERVICE),
    Scenario("a tenth served", way="fail", served=0.1, endpoints=2, **_SERVICE),
    Scenario("batches", **_BATCHES, **_SERVICE),
    Scenario("batches, clumps", clumps=0.17, **_BATCHES, **_SERVICE),
    Scenario("batches, shut, tells", way="shut", tells=0.6, **_BATCHES, **_SERVICE),
)


def capacity_of(budget: float) -> float:
    """Calls a second of a destination that, as it comes back, bears `budget` calls in the told time."""
    return budget / (MULTIPLE * COLD_FROM * FALL_MS / 1000.0)


def bearable(budget: float) -> float:
    """Only so many more than the budget are put down to chance, however many dispatchers there are. Below 30
    calls this is stricter than the operators' page, see `bearable_by_page`."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


def bearable_by_page(budget: float) -> float:
    """The bound of the operators' page: the weight of calls within the told time beyond which it falls."""
    return bearable(budget) if budget >= 30.0 else budget + 3.0 * math.sqrt(budget) + 3.0


@dataclass(slots=True)
class Count:
    """The calls at a cold destination, by one reading of which of them count."""

    fell: bool = False
    knowing: float = 0.0  # share of the calls that pushed it over whose dispatchers had been told
    pressure: float = 0.0  # the most calls in a window, of what is borne
    recent: deque[tuple[float, bool, float]] = field(default_factory=deque)  # when, told, weight

    def add(self, now: float, knew: bool, weight: float, most: float) -> None:
        self.recent.append((now, knew, weight))
        while self.recent[0][0] < now - FALL_MS:
            self.recent.popleft()
        total = sum(weight for _, _, weight in self.recent)
        self.pressure = max(self.pressure, total / most)
        if total > most and not self.fell:
            self.fell, self.knowing = True, sum(weight for _, knew, weight in self.recent if knew) / total

    @property
    def broken(self) -> bool:
        return self.fell and self.knowing > KNOWING


@dataclass(slots=True)
class Result:
    told: Count = field(default_factory=Count)
    strict: Count = field(default_factory=Count)  # with the calls that hung
    by_page: Count = field(default_factory=Count)  # as `told`, by the bound of the operators' page
    full_after_ms: float = math.inf  # from the return until it is used in full
    worth: float = 0.0  # earned, of that of the messages from the return on
    served: int = 0

    @property
    def fell(self) -> bool:
        return self.told.fell

    @property
    def broken(self) -> bool:
        return self.told.broken


@dataclass
class Return:
    """Plays one outage; the same seed plays the same."""

    budget: float
    size: int
    seed: int
    scenario: Scenario = SCENARIOS[0]
    now: float = 0.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    dispatchers: dict[int, Dispatcher] = field(default_factory=dict)
    knowing: set[int] = field(default_factory=set)  # who saw a call fail while it was out
    warned: set[int] = field(default_factory=set)  # or after the return, a call that was sent before
    cold: dict[tuple[int, str], float] = field(default_factory=dict)  # the pace that each journal keeps
    owners: dict[int, int] = field(default_factory=dict)
    taken: dict[int, tuple[float, int]] = field(default_factory=dict)  # by message: when, and its class
    attempts: dict[int, int] = field(default_factory=dict)
    out: dict[int, tuple[float, str]] = field(default_factory=dict)  # may have run: since when, where
    answers: deque[float] = field(default_factory=deque)
    result: Result = field(default_factory=Result)
    free_at: dict[str, float] = field(default_factory=dict)
    earned: float = 0.0
    asked: float = 0.0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.order, self.numbers = itertools.count(), itertools.count(1)
        self.capacity = capacity_of(self.budget)
        self.per_s = self.scenario.demand * self.capacity
        self.back = DOWN_AT + self.scenario.down_ms
        share = max(self.per_s / self.size, self.scenario.one * self.per_s)
        self.settings = Settings(
            classes=CLASSES,
            kinds=(api.Kind("plain", batch=self.scenario.batch),),
            zones=("east",),
            slots=self.scenario.slots or max(5, math.ceil(2.3 * share * self.scenario.service_ms / 1000.0)),
            max_held=max(12, math.ceil(10.0 * share)),
            dispatchers=self.size,
            tick_ms=TICK_MS,
            worth_halves=True,
            max_retry_after_ms=3000.0,
            connect_timeout_ms=CONNECT_MS,
            cold_from=COLD_FROM,
            warm_within_ms=WARM_MS,
            fall_multiple=MULTIPLE,
            fall_ms=FALL_MS,
        )
        self.idle = set(range(1, 1 + int(self.scenario.idle * self.size)))
        self.names = [f"e{n}" for n in range(self.scenario.endpoints)]

    # The endpoint

    def warmth(self, at: float) -> float:
        return min(COLD_FROM + (1.0 - COLD_FROM) * (at - self.back) / WARM_MS, 1.0)

    @property
    def down(self) -> bool:
        return DOWN_AT <= self.now < self.back

    def weight(self, messages: int) -> float:
        """Of a call, where one of a single message weighs 1."""
        return 1.0 + self.scenario.weight * (messages - 1)

    def comes_in(self, index: int, weight: float, hung: bool) -> None:
        """One more call at a cold destination: does it bear it?"""
        if not self.back <= self.now < self.back + WARM_MS:
            return
        budget = self.budget / COLD_FROM * self.warmth(self.now)
        self.result.strict.add(self.now, index in self.warned, weight, bearable(budget))
        if not hung:
            knew = index in self.knowing
            self.result.told.add(self.now, knew, weight, bearable(budget))
            self.result.by_page.add(self.now, knew, weight, bearable_by_page(budget))

    def serve(self, index: int, name: str, messages: int, hung: bool = False) -> tuple[Outcome, float]:
        """What comes of a call that comes in while the endpoint is up, and how long it takes. It goes on
        after a fall, so that the time of full use may be told of all runs."""
        self.comes_in(index, self.weight(messages), hung)
        able = self.capacity * (self.warmth(self.now) if self.now >= self.back else 1.0) / len(self.names)
        begins = max(self.free_at.get(name, 0.0), self.now)
        if begins - self.now > QUEUE_MS:
            return Outcome.FULL, REFUSAL_MS
        self.free_at[name] = begins + 1000.0 / able * self.weight(messages)
        return Outcome.OK, self.free_at[name] - self.now + self.scenario.service_ms

    # Dispatchers

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def start(self, index: int, *known: api.Event) -> None:
        self.dispatchers[index] = Dispatcher(self.settings, self.chance.randrange(1 << 30))
        listed = self.whole_list()
        if self.scenario.listed_late and known:
            self.feed(index, api.EndpointListReceived(api.ListKind.CACHED, 1), *known)
            self.later(index, self.now + LISTED_LATE_MS, lambda: self.feed(index, self.whole_list()))
        else:
            self.feed(index, listed, *known)

    def whole_list(self) -> api.EndpointListReceived:
        entries = tuple(Entry(name, 1) for name in self.names)
        return api.EndpointListReceived(api.ListKind.FULL, 1, entries)

    def replace_endpoints(self) -> None:
        """Others stand for the same destination, and share its capacity and its outage."""
        self.names = [f"{name}-next" for name in self.names]
        for index in list(self.dispatchers):
            self.feed(index, self.whole_list())

    def feed(self, index: int, *events: api.Event) -> None:
        sends: dict[str, list[api.Send]] = {}
        for action in self.dispatchers[index].handle(self.now, list(events)):
            match action:
                case api.Send():
                    sends.setdefault(action.endpoint, []).append(action)
                case api.SetTimer(in_ms):
                    self.later(index, self.now + in_ms, lambda i=index: self.feed(i, api.TimerFired(0)))
                case api.Refuse(number) | api.Fail(number):
                    self.owners.pop(number, None)
                case api.RecordColdState(name, cold, pace):
                    self.cold.pop((index, name), None)
                    if cold:
                        self.cold[index, name] = pace
        for name, held in sends.items():
            for start in range(0, len(held), self.scenario.batch):
                self.call(index, name, held[start : start + self.scenario.batch])

    def later(self, index: int, when: float, what: Callable[[], None]) -> None:
        process = self.dispatchers[index]  # what is meant for one that was killed is gone with it

        def come() -> None:
            if self.dispatchers.get(index) is process:
                what()

        self.at(when, come)

    def call(self, index: int, name: str, sends: list[api.Send]) -> None:
        """One call with the messages of `sends`, which fare alike."""
        stop_at = min(send.timeout_at_ms for send in sends)
        start_by = min(send.start_by_ms for send in sends)
        attempts = {send.message: self.attempts.get(send.message, 0) for send in sends}
        self.attempts |= {number: attempt + 1 for number, attempt in attempts.items()}
        sent_at = self.now

        def end(outcome: Outcome, wait_ms: float = 0.0) -> None:
            over = outcome is Outcome.OK
            if not over and DOWN_AT <= self.now and sent_at < self.back:
                self.warned.add(index)
                if self.now <= self.back:
                    self.knowing.add(index)
            for number in attempts:
                self.out.pop(number, None)
                if over:
                    self.answered(number)
            took = self.now - sent_at
            ended = [
                api.AttemptEnded(number, attempt, name, outcome, took, over, wait_ms)
                for number, attempt in attempts.items()
            ]
            self.feed(index, *ended)

        def ends(at: float, outcome: Outcome) -> None:
            if at > stop_at:
                at, outcome = stop_at, Outcome.TIMEOUT
            self.later(index, at, lambda: end(outcome))

        def may_run() -> None:
            self.out |= dict.fromkeys(attempts, (self.now, name))

        def served(hung: bool = False) -> None:
            outcome, took = self.serve(index, name, len(sends), hung)
            ends(self.now + took, outcome)

        way = self.scenario.way
        if not self.down or (self.scenario.served and self.chance.random() < self.scenario.served):
            may_run()
            served()
        elif way == "refused":
            ends(self.now + REFUSAL_MS, Outcome.CONNECT_FAILED)
        elif way == "fail":
            may_run()
            ends(self.now + REFUSAL_MS, Outcome.ERROR)
        elif way == "shut":
            told = self.chance.random() < self.scenario.tells
            wait_ms = min(self.back - self.now - REFUSAL_MS, self.scenario.most_wait_ms)
            wait_ms = max(wait_ms, 1.0) if told else 0.0
            self.later(index, self.now + REFUSAL_MS, lambda: end(Outcome.FULL, wait_ms))
        elif way in ("late", "reset"):
            limit = min(self.now + CONNECT_MS, stop_at)
            if self.back < limit and way == "late" and self.back < start_by:
                self.later(index, self.back, served)
            elif self.back < limit and way == "late":
                self.later(index, self.back, lambda: end(Outcome.NOT_EXECUTED))
            elif self.back < limit:
                self.later(index, self.back, lambda: end(Outcome.CONNECT_FAILED))
            else:
                outcome = Outcome.CONNECT_FAILED if limit < stop_at else Outcome.TIMEOUT
                self.later(index, limit, lambda: end(outcome))
        else:
            may_run()
            if self.back < stop_at:
                self.later(index, self.back, lambda: served(hung=True))
            else:
                self.later(index, stop_at, lambda: end(Outcome.TIMEOUT))

    def answered(self, number: int) -> None:
        at, cls = self.taken[number]
        self.owners.pop(number, None)
        told = CLASSES[cls]
        if at >= self.back:
            late = max(self.now - at - told.aim_ms, 0.0) / told.aim_ms
            self.earned += told.worth * max(0.5**late, told.late_worth)
        if self.now < self.back:
            return
        result = self.result
        result.served += 1
        self.answers.append(self.now)
        while self.answers[0] < self.now - USE_MS:
            self.answers.popleft()
        if len(self.answers) >= FULL_USE * self.per_s * USE_MS / 1000.0:
            result.full_after_ms = min(result.full_after_ms, self.now - self.back)

    def arrive(self, to: int | None = None) -> None:
        who = list(self.dispatchers)
        if self.now < self.back:
            who = [index for index in who if index not in self.idle]
        if not who:
            return
        most = self.chance.random() < self.scenario.one and 0 in who
        index = to if to in who else 0 if most else self.chance.choice(who)
        number, cls = next(self.numbers), 0 if self.chance.random() < SAFE_SHARE else 1
        self.taken[number] = (self.now, cls)
        if self.back <= self.now:
            self.asked += CLASSES[cls].worth
        self.owners[number] = index
        self.feed(index, api.MessageAccepted(number, cls, 1, CLASSES[cls].deadline_ms))

    def kill(self, index: int, up_at: float) -> None:
        del self.dispatchers[index]
        self.at(up_at, lambda: self.resume(index))

    def resume(self, index: int) -> None:
        mine = [number for number, owner in self.owners.items() if owner == index]
        if not self.scenario.kept:
            self.knowing.discard(index)
            self.warned.discard(index)
            for number in mine:
                del self.owners[number]
            self.start(index)
            return
        known: list[api.Event] = []
        known += [
            api.ColdStateRestored(name, self.cold[index, name])
            for name in self.names
            if (index, name) in self.cold
        ]
        for number in mine:
            at, cls = self.taken[number]
            since, where = self.out.pop(number, (None, ""))
            left = max(at + CLASSES[cls].deadline_ms - self.now, 0.0)
            ran_ago = None if since is None else self.now - since
            tried = self.attempts.get(number, 0)
            known.append(
                api.MessageAccepted(
                    number, cls, 1, left, attempts=tried, ran_ago_ms=ran_ago, ran_endpoint=where
                )
            )
        self.start(index, *known)

    def clump(self, at: float) -> None:
        to = self.chance.randrange(self.size) if self.scenario.to_one else None
        for _ in range(round(self.capacity * self.chance.uniform(*CLUMP_S))):
            self.at(at + self.chance.uniform(0.0, CLUMP_MS), lambda: self.arrive(to))

    def play(self) -> Result:
        for index in range(self.size):
            self.start(index)
        for index in self.chance.sample(range(self.size), round(self.scenario.killed * self.size)):
            up_at = self.back + self.chance.uniform(*self.scenario.back_ms)
            self.at(up_at - 600.0, lambda index=index, up_at=up_at: self.kill(index, up_at))
        if self.scenario.replaced_ms < math.inf:
            self.at(self.back + self.scenario.replaced_ms, self.replace_endpoints)
        at, end = 0.0, self.back + AFTER_MS
        clumped, per_ms = self.scenario.clumps, self.per_s / 1000.0
        while (at := at + self.chance.expovariate((1.0 - clumped) * per_ms)) < end:
            self.at(at, self.arrive)
        if clumped:
            self.clump(self.back + self.chance.uniform(-ABOUT_MS, ABOUT_MS))
            at, size = 0.0, self.capacity * sum(CLUMP_S) / 2.0
            while (at := at + self.chance.expovariate(clumped * per_ms / size)) < end:
                self.clump(at)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.result.worth = self.earned / self.asked if self.asked else 1.0
        return self.result
