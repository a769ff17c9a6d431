"""One destination's cold return, called by many dispatchers that share nothing, on virtual time.

Leaner than sockets: the real decisions, one endpoint, calls that arrive at once or wait for it to come back.
It counts as the rule does, and where the rule may be read in two ways, as the stricter has it: a call counts
when it comes to the endpoint, be it a first one, a repeat or refused; what waits on its way in the outage
comes in at the return; who was told stays told through a restart, unless the process that comes up knows
nothing. The decisions send no probes.
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
NAME = "e"


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is odd about an outage. `way`: connects are refused; they wait until it is back and come up then
    (`late`) or are reset then (`reset`); calls hang until it is back; calls fail."""

    name: str
    way: str = "refused"
    down_ms: float = DOWN_MS
    demand: float = DEMAND
    killed: float = 0.0  # share of the dispatchers that restart in the outage
    back_ms: tuple[float, float] = (-3_000.0, -1_000.0)  # from the return, when they are up again
    kept: bool = True  # they have what the journal kept
    one: float = 0.0  # share of the traffic that the first dispatcher gets
    idle: float = 0.0  # share of the dispatchers that get nothing before the return


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
)


def capacity_of(budget: float) -> float:
    """Calls a second of a destination that, as it comes back, bears `budget` calls in the told time."""
    return budget / (MULTIPLE * COLD_FROM * FALL_MS / 1000.0)


def bearable(budget: float) -> float:
    """Only so many more than the budget are put down to chance, however many dispatchers there are."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass(slots=True)
class Result:
    fell: bool = False
    knowing: float = 0.0  # share of the calls that pushed it over whose dispatchers had been told
    fell_after_ms: float = math.inf
    pressure: float = 0.0  # the most calls in a window, of what is borne
    full_after_ms: float = math.inf  # from the return until it is used in full
    worth: float = 0.0  # earned, of that of the messages from the return on
    served: int = 0

    @property
    def broken(self) -> bool:
        return self.fell and self.knowing > KNOWING


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
    knowing: set[int] = field(default_factory=set)
    cold: dict[int, float] = field(default_factory=dict)  # what each journal keeps: the pace of what is cold
    owners: dict[int, int] = field(default_factory=dict)
    taken: dict[int, tuple[float, int]] = field(default_factory=dict)  # by message: when, and its class
    attempts: dict[int, int] = field(default_factory=dict)
    out: dict[int, float] = field(default_factory=dict)  # calls that may have run, since when
    recent: deque[tuple[float, bool]] = field(default_factory=deque)
    answers: deque[float] = field(default_factory=deque)
    result: Result = field(default_factory=Result)
    free_at: float = 0.0
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
            kinds=(api.Kind("plain"),),
            zones=("east",),
            slots=max(5, math.ceil(2.3 * share * SERVICE_MS / 1000.0)),
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

    # The endpoint

    def warmth(self, at: float) -> float:
        return min(COLD_FROM + (1.0 - COLD_FROM) * (at - self.back) / WARM_MS, 1.0)

    @property
    def down(self) -> bool:
        return DOWN_AT <= self.now < self.back

    def comes_in(self, index: int) -> None:
        """One more call at a cold destination: does it bear it?"""
        if not self.back <= self.now < self.back + WARM_MS:
            return
        self.recent.append((self.now, index in self.knowing))
        while self.recent[0][0] < self.now - FALL_MS:
            self.recent.popleft()
        most = bearable(self.budget / COLD_FROM * self.warmth(self.now))
        result = self.result
        result.pressure = max(result.pressure, len(self.recent) / most)
        if len(self.recent) > most and not result.fell:
            result.fell, result.fell_after_ms = True, self.now - self.back
            result.knowing = sum(knew for _, knew in self.recent) / len(self.recent)

    def serve(self, index: int) -> tuple[Outcome, float]:
        """What comes of a call that comes in while the endpoint is up, and how long it takes. It goes on
        after a fall, so that the time of full use may be told of all runs."""
        self.comes_in(index)
        able = self.capacity * (self.warmth(self.now) if self.now >= self.back else 1.0)
        begins = max(self.free_at, self.now)
        if begins - self.now > QUEUE_MS:
            return Outcome.FULL, REFUSAL_MS
        self.free_at = begins + 1000.0 / able
        return Outcome.OK, self.free_at - self.now + SERVICE_MS

    # Dispatchers

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def start(self, index: int, *known: api.Event) -> None:
        self.dispatchers[index] = Dispatcher(self.settings, self.chance.randrange(1 << 30))
        self.feed(index, api.Listed(api.ListKind.FULL, 1, (Entry(NAME, 1),)), *known)

    def feed(self, index: int, *events: api.Event) -> None:
        for action in self.dispatchers[index].handle(self.now, list(events)):
            match action:
                case api.Send(number, _, stop_at_ms=stop_at):
                    self.call(index, number, stop_at)
                case api.Remind(in_ms):
                    self.later(index, self.now + in_ms, lambda i=index: self.feed(i, api.Reminded(0)))
                case api.Refuse(number) | api.Fail(number):
                    self.owners.pop(number, None)
                case api.Remember(_, cold, pace):
                    self.cold.pop(index, None)
                    if cold:
                        self.cold[index] = pace

    def later(self, index: int, when: float, what: Callable[[], None]) -> None:
        process = self.dispatchers[index]  # what is meant for one that was killed is gone with it

        def come() -> None:
            if self.dispatchers.get(index) is process:
                what()

        self.at(when, come)

    def call(self, index: int, number: int, stop_at: float) -> None:
        attempt = self.attempts.get(number, 0)
        self.attempts[number] = attempt + 1
        sent_at = self.now

        def end(outcome: Outcome) -> None:
            self.out.pop(number, None)
            if outcome is not Outcome.OK and DOWN_AT <= self.now and sent_at < self.back:
                self.knowing.add(index)
            if outcome is Outcome.OK:
                self.answered(number)
            took = self.now - sent_at
            over = outcome is Outcome.OK
            self.feed(index, api.AttemptEnded(number, attempt, NAME, outcome, took, over, 0.0))

        def ends(at: float, outcome: Outcome) -> None:
            if at > stop_at:
                at, outcome = stop_at, Outcome.TIMEOUT
            self.later(index, at, lambda: end(outcome))

        def served() -> None:
            outcome, took = self.serve(index)
            ends(self.now + took, outcome)

        way = self.scenario.way
        if not self.down:
            self.out[number] = self.now
            served()
        elif way == "refused":
            ends(self.now + REFUSAL_MS, Outcome.CONNECT_FAILED)
        elif way == "fail":
            self.out[number] = self.now
            ends(self.now + REFUSAL_MS, Outcome.ERROR)
        elif way in ("late", "reset"):
            limit = min(self.now + CONNECT_MS, stop_at)
            if self.back < limit and way == "late":
                self.later(index, self.back, served)
            elif self.back < limit:
                self.later(index, self.back, lambda: end(Outcome.CONNECT_FAILED))
            else:
                outcome = Outcome.CONNECT_FAILED if limit < stop_at else Outcome.TIMEOUT
                self.later(index, limit, lambda: end(outcome))
        else:
            self.out[number] = self.now
            if self.back < stop_at:
                self.later(index, self.back, served)
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

    def arrive(self) -> None:
        who = list(self.dispatchers)
        if self.now < self.back:
            who = [index for index in who if index not in self.idle]
        if not who:
            return
        index = 0 if self.chance.random() < self.scenario.one and 0 in who else self.chance.choice(who)
        number, cls = next(self.numbers), 0 if self.chance.random() < SAFE_SHARE else 1
        self.taken[number] = (self.now, cls)
        if self.back <= self.now:
            self.asked += CLASSES[cls].worth
        self.owners[number] = index
        self.feed(index, api.Arrived(number, cls, 1, CLASSES[cls].deadline_ms))

    def kill(self, index: int, up_at: float) -> None:
        del self.dispatchers[index]
        self.at(up_at, lambda: self.resume(index))

    def resume(self, index: int) -> None:
        mine = [number for number, owner in self.owners.items() if owner == index]
        if not self.scenario.kept:
            self.knowing.discard(index)
            for number in mine:
                del self.owners[number]
            self.start(index)
            return
        known: list[api.Event] = []
        if index in self.cold:
            known.append(api.Remembered(NAME, self.cold[index]))
        for number in mine:
            at, cls = self.taken[number]
            since = self.out.pop(number, None)
            left = max(at + CLASSES[cls].deadline_ms - self.now, 0.0)
            ran_ago = None if since is None else self.now - since
            tried = self.attempts.get(number, 0)
            known.append(
                api.Arrived(number, cls, 1, left, attempts=tried, ran_ago_ms=ran_ago, ran_endpoint=NAME)
            )
        self.start(index, *known)

    def play(self) -> Result:
        for index in range(self.size):
            self.start(index)
        for index in self.chance.sample(range(self.size), round(self.scenario.killed * self.size)):
            up_at = self.back + self.chance.uniform(*self.scenario.back_ms)
            self.at(up_at - 600.0, lambda index=index, up_at=up_at: self.kill(index, up_at))
        at, end = 0.0, self.back + AFTER_MS
        while (at := at + self.chance.expovariate(self.per_s / 1000.0)) < end:
            self.at(at, self.arrive)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.result.worth = self.earned / self.asked if self.asked else 1.0
        return self.result
