"""Simulates many dispatchers in one thread on virtual time that share nothing but their destinations.

The model shows the direction of a change, benchmarks show its size. It has rate limits shared by all
dispatchers (token bucket or fixed window, refused calls counted), refusals with and without a wait, outages
with a cold recovery and overload, limits that fall and rise, and kills. It leaves out sockets, event loop
turns, processor time, the journal, clients that retry, and batches whose messages end differently.
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

SAFE, UNSAFE = range(2)
CLASSES = (
    api.MessageClass("notice", 1500, 6000, 1.0, 0.1, Effect.SAFE),
    api.MessageClass("payment", 2000, 12000, 2.0, 0.5, Effect.UNSAFE),
)
KINDS = (api.Kind("plain"), api.Kind("route", apart=True, batch=20))
SERVICE_MS = 60.0  # of an accepted call, without queueing
REFUSAL_MS = 30.0
CONNECT_FAILS_MS = 30.0
COLD_FROM, WARM_MS, FALL, FALL_MS = 0.18, 13_000.0, 2.0, 2_000.0


@dataclass(slots=True)
class Target:
    """A simulated endpoint. `limit` and `capacity` are calls a second of all dispatchers together."""

    name: str
    destination: int
    limit: float = math.inf
    capacity: float = math.inf
    window_ms: float = 0.0  # fixed window; 0 for a token bucket of `depth_s`
    depth_s: float = 0.6
    wait_share: float = 0.6  # share of refusals that ask for a wait
    kind: int = 0
    down: tuple[float, float] = (math.inf, math.inf)
    reduced: tuple[float, float, float] = (math.inf, math.inf, 1.0)  # start, end and share of the limit
    tokens: float = 0.0
    filled_at: float = 0.0
    counts: dict[int, int] = field(default_factory=dict)
    free_at: float = 0.0
    overloaded_at: float = math.inf
    recent: deque[float] = field(default_factory=deque)  # call times within `FALL_MS`, while cold
    calls: list[tuple[float, str]] = field(default_factory=list)  # time and outcome

    def limit_at(self, now: float) -> float:
        start, end, share = self.reduced
        return self.limit * (share if start <= now < end else 1.0)

    def warmth(self, now: float) -> float:
        since = now - self.down[1]
        return 1.0 if since < 0.0 else min(COLD_FROM + (1.0 - COLD_FROM) * since / WARM_MS, 1.0)

    def refuses(self, now: float) -> bool:
        """Whether the limit refuses a call; refused calls use it up as well."""
        limit = self.limit_at(now)
        if limit == math.inf:
            return False
        if self.window_ms:
            span = int(now // self.window_ms)
            self.counts[span] = self.counts.get(span, 0) + 1
            return self.counts[span] > limit * self.window_ms / 1000.0
        most = limit * self.depth_s
        self.tokens = min(self.tokens + (now - self.filled_at) * limit / 1000.0, most)
        self.filled_at = now
        self.tokens -= 1.0
        refused = self.tokens < 0.0
        self.tokens = max(self.tokens, -most)
        return refused

    def wait_ms(self, now: float, rng: random.Random) -> float:
        if rng.random() >= self.wait_share:
            return 0.0
        if self.window_ms:
            return self.window_ms - now % self.window_ms
        return max((1.0 - self.tokens) * 1000.0 / self.limit_at(now), 400.0)

    def answer(self, now: float, rng: random.Random) -> tuple[Outcome, float, float]:
        """Outcome, duration and requested wait of a call that arrives now."""
        outcome, took, wait = self.outcome_at(now, rng)
        self.calls.append((now, outcome.name))
        return outcome, took, wait

    def outcome_at(self, now: float, rng: random.Random) -> tuple[Outcome, float, float]:
        if self.down[0] <= now < self.down[1] or now >= self.overloaded_at:
            return Outcome.CONNECT_FAILED, CONNECT_FAILS_MS, 0.0
        if self.refuses(now):
            return Outcome.FULL, REFUSAL_MS, self.wait_ms(now, rng)
        if self.capacity == math.inf:
            return Outcome.OK, SERVICE_MS, 0.0
        able = self.capacity * self.warmth(now)
        if self.warmth(now) < 1.0:
            self.recent.append(now)
            while self.recent[0] < now - FALL_MS:
                self.recent.popleft()
            if len(self.recent) > FALL * able * FALL_MS / 1000.0:
                self.overloaded_at = now
        begins = max(self.free_at, now)
        if begins - now > 1000.0:
            return Outcome.FULL, REFUSAL_MS, 0.0
        self.free_at = begins + 1000.0 / able
        return Outcome.OK, self.free_at - now + SERVICE_MS, 0.0

    def count(self, outcome: str, start: float = 0.0, end: float = math.inf) -> int:
        return sum(1 for at, came in self.calls if came == outcome and start <= at < end)

    def offered(self, start: float = 0.0, end: float = math.inf) -> int:
        return sum(1 for at, _ in self.calls if start <= at < end)


class Fleet:
    """`size` dispatchers and their targets, advanced by `run`; a run is determined by the seed."""

    def __init__(self, size: int, targets: list[Target], seed: int, **changes) -> None:
        self.rng, self.targets = random.Random(seed), targets
        values = {
            "classes": CLASSES,
            "kinds": KINDS,
            "zones": ("east",),
            "slots": 5,
            "max_held": 184,
            "dispatchers": size,
            "worth_halves": True,
            "max_retry_after_ms": 3000.0,
            "cold_from": COLD_FROM,
            "warm_within_ms": WARM_MS,
        }
        self.settings = Settings(**(values | changes))
        self.names = {target.name: target for target in targets}
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.numbers = itertools.count(), itertools.count(1)
        self.dispatchers: dict[int, Dispatcher] = {}
        self.attempts: dict[int, int] = {}
        self.taken: dict[int, tuple[float, int, int]] = {}  # by message: time, class, destination
        self.ends: dict[int, tuple[float, str]] = {}
        self.owners: dict[int, int] = {}
        self.out: dict[int, tuple[float, str]] = {}  # by message: start and endpoint of its call in flight
        self.sent_twice: list[int] = []  # unsafe messages sent again after they were executed
        for index in range(size):
            self.start(index)

    def start(self, index: int, resumed: tuple[api.Event, ...] = ()) -> None:
        self.dispatchers[index] = Dispatcher(self.settings, self.rng.randrange(1 << 30))
        entries = tuple(Entry(t.name, t.destination, kind=t.kind) for t in self.targets)
        self.feed(index, api.EndpointListReceived(api.ListKind.FULL, 1, entries), *resumed)

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def feed(self, index: int, *events: api.Event) -> None:
        dispatcher = self.dispatchers[index]
        sends: dict[str, list[int]] = {}
        for action in dispatcher.handle(self.now, list(events)):
            match action:
                case api.Send(number, endpoint):
                    sends.setdefault(endpoint, []).append(number)
                case api.SetTimer(in_ms):
                    self.later(index, in_ms, api.TimerFired(0))
                case api.Refuse(number):
                    self.ends.setdefault(number, (self.now, "refused"))
                    self.owners.pop(number, None)
                case api.Fail(number):
                    self.ends.setdefault(number, (self.now, "failed"))
                    self.owners.pop(number, None)
        for endpoint, numbers in sends.items():
            size = self.settings.kinds[self.names[endpoint].kind].batch
            for begin in range(0, len(numbers), size):
                self.call(index, endpoint, numbers[begin : begin + size])

    def call(self, index: int, endpoint: str, numbers: list[int]) -> None:
        outcome, took, wait = self.names[endpoint].answer(self.now, self.rng)
        ends = []
        for number in numbers:
            attempt = self.attempts.get(number, 0)
            if self.taken[number][1] == UNSAFE and self.ends.get(number, (0.0, ""))[1] == "served":
                self.sent_twice.append(number)
            self.out[number] = (self.now, endpoint)
            self.attempts[number] = attempt + 1
            over = outcome is Outcome.OK
            if over:
                self.ends.setdefault(number, (self.now + took, "served"))
            ends.append(api.AttemptEnded(number, attempt, endpoint, outcome, took, over, wait))
        self.later(index, took, *ends)

    def later(self, index: int, in_ms: float, *events: api.Event) -> None:
        dispatcher = self.dispatchers[index]  # events for a killed dispatcher are lost

        def come() -> None:
            if self.dispatchers.get(index) is dispatcher:
                for event in events:
                    if isinstance(event, api.AttemptEnded):
                        self.out.pop(event.message, None)
                        if event.finished:
                            del self.owners[event.message]
                self.feed(index, *events)

        self.at(self.now + in_ms, come)

    def kill(self, index: int, back_in_ms: float) -> None:
        """Ends the process at once. Its successor knows messages, attempts and calls, as from a journal."""
        del self.dispatchers[index]
        self.at(self.now + back_in_ms, lambda: self.resume(index))

    def resume(self, index: int) -> None:
        resumed = []
        for number, owner in self.owners.items():
            if owner == index:
                at, cls, destination = self.taken[number]
                since, endpoint = self.out.pop(number, (None, ""))
                left = max(at + CLASSES[cls].deadline_ms - self.now, 0.0)
                ran_ago = None if since is None else self.now - since
                attempts = self.attempts.get(number, 0)
                history = {"attempts": attempts, "ran_ago_ms": ran_ago, "ran_endpoint": endpoint}
                resumed.append(api.MessageAccepted(number, cls, destination, left, **history))
        self.start(index, tuple(resumed))

    def arrive(self, destination: int) -> None:
        number, cls = next(self.numbers), SAFE if self.rng.random() < 0.63 else UNSAFE
        index = self.rng.choice(list(self.dispatchers))
        self.taken[number] = (self.now, cls, destination)
        self.owners[number] = index
        self.feed(index, api.MessageAccepted(number, cls, destination, CLASSES[cls].deadline_ms))

    def traffic(self, destination: int, per_s: float, start: float, end: float) -> None:
        """Messages at random times, each to a random dispatcher."""
        at = start
        while (at := at + self.rng.expovariate(per_s / 1000.0)) < end:
            self.at(at, lambda: self.arrive(destination))

    def run(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = end

    def worth(self, destination: int, start: float = 0.0, end: float = math.inf) -> float:
        """Earned share of the worth of the messages accepted within that span."""
        earned = total = 0.0
        for number, (at, cls, where) in self.taken.items():
            if where != destination or not start <= at < end:
                continue
            spec = CLASSES[cls]
            total += spec.worth
            ended_at, how = self.ends.get(number, (math.inf, "open"))
            if how == "served":
                late = max(ended_at - at - spec.aim_ms, 0.0) / spec.aim_ms
                earned += spec.worth * max(0.5**late, spec.late_worth)
        return earned / total if total else 1.0
