"""Members on virtual time, with all faults from one seeded source, and the checker of what they held.

The same `Detector` that the program runs. The history is kept by the world outside: who ran when, who could
reach whom, and what each held at each change; `check` is pure and goes over it afterwards.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from rushhitch.membership.detector import Detector, Tuning
from rushhitch.membership.messages import Exchange, Row, Send, Warn
from rushhitch.membership.view import State

TICK_S = 0.1
ROW_BYTES, HEAD_BYTES = 70, 130  # of a datagram, as `sessions` has them: measured by `benchmarks.membership`


@dataclass(frozen=True, slots=True)
class Held:
    """At that moment, a member came to hold another so."""

    at: float
    by: str
    name: str
    incarnation: int
    process: int
    state: int


@dataclass(frozen=True, slots=True)
class Bound:
    """At that moment, a member's bounds, and the truth: how many acted, and whom it could talk to."""

    at: float
    by: str
    least: int
    most: int
    leased: bool
    acting: int
    reaches: frozenset[str]


@dataclass(slots=True)
class Life:
    """A process: from its start to its end; where it stood still; its end by a kill, or with a word."""

    name: str
    process: int
    start: float
    end: float = float("inf")
    still: list[tuple[float, float]] = field(default_factory=list)
    killed: bool = False


@dataclass(slots=True)
class History:
    """What was seen from outside."""

    lives: list[Life] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)
    bounds: list[Bound] = field(default_factory=list)
    out_of_reach: list[tuple[str, float, float]] = field(default_factory=list)  # of half or more, and when
    quiet_from: float | None = None  # no fault after that
    equal_at: float | None = None  # from then on all views were alike
    end: float = 0.0


class Process:
    """One process of a member in the simulation."""

    def __init__(
        self, world: World, name: str, port: int, building: str, wall_ms: int, chance: random.Random
    ) -> None:
        self.world, self.name, self.port = world, name, port
        self.process = chance.getrandbits(61)
        self.skew = chance.uniform(0.0, 1000.0)  # its clock begins anywhere
        self.rate = chance.uniform(0.9999, 1.0001)
        own = Row(name, "10.0.0.1", port, building, wall_ms, self.process, int(State.ALIVE))
        self.detector = world.make(own, random.Random(chance.getrandbits(60)), self.now)
        self.life = Life(name, self.process, world.now)
        self.inbox: list = []  # what waits while it stands still
        self.still_until = 0.0
        self.running = True
        self.known: dict[str, tuple[int, int, int]] = {}
        self.sent = self.sent_bytes = 0
        self.fails_until = self.lags_until = 0.0
        self.jumped = 0.0

    @property
    def now(self) -> float:
        return self.skew + self.world.now * self.rate + getattr(self, "jumped", 0.0)


class World:
    """The fleet and the network between."""

    def __init__(
        self,
        size: int,
        seed: int,
        tuning: Tuning | None = None,
        make: Callable[[Row, random.Random, float], Detector] | None = None,
        buildings: int = 1,
        delay: tuple[float, float] = (0.0002, 0.002),
    ) -> None:
        self.chance = random.Random(f"world {seed}")
        self.tuning = tuning or Tuning(fleet=size)
        self.make = make or (lambda own, chance, now: Detector(own, self.tuning, chance, now))
        self.now, self.order = 0.0, itertools.count()
        self.queue: list = []
        self.history = History()
        self.loss, self.delay, self.repeat, self.reorder = 0.0, delay, 0.0, 0.0
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.apart_since: dict[str, float] = {}  # who is out of reach of half or more just now
        self.members: dict[str, Process] = {}
        self.ports = {f"m{n:04d}": 1000 + n for n in range(size)}
        self.by_port = {port: name for name, port in self.ports.items()}
        self.building = {name: "ab"[n % 2] if buildings == 2 else "a" for n, name in enumerate(self.ports)}
        self.watching, self.measuring = True, False
        for name in self.ports:
            self.at(self.chance.uniform(0.0, 1.0), lambda name=name: self.start(name))

    # Time

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), act))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until
        self.history.end = until

    # Processes

    def start(self, name: str, wall_ms: int | None = None) -> None:
        wall = int(1_800_000_000_000 + self.now * 1000) if wall_ms is None else wall_ms
        process = Process(self, name, self.ports[name], self.building[name], wall, self.chance)
        self.members[name] = process
        self.history.lives.append(process.life)
        ports = list(self.ports.values())
        process.detector.join([("10.0.0.1", port) for port in self.chance.sample(ports, min(3, len(ports)))])
        self.tick(process)

    def kill(self, name: str) -> None:
        process = self.members.get(name)
        if process is not None and process.running:
            self.note_bounds()
            process.running = False
            process.life.end, process.life.killed = self.now, True

    def leave(self, name: str) -> None:
        process = self.members[name]
        if process.running:
            self.act(process, process.detector.leave(process.now))
            process.running = False
            process.life.end = self.now

    def again(self, name: str) -> None:
        """Start it where it does not run."""
        if not self.members[name].running:
            self.start(name)

    def stop(self, name: str, seconds: float) -> None:
        process = self.members.get(name)
        if process is None or not process.running:
            return
        self.note_bounds()
        process.still_until = max(process.still_until, self.now + seconds)
        process.life.still.append((self.now, self.now + seconds))

        def go_on() -> None:
            if process.running and self.now >= process.still_until:
                inbox, process.inbox = process.inbox, []
                for message in inbox[:200]:  # what a socket's buffer holds
                    self.act(process, process.detector.receive(process.now, message))

        self.at(self.now + seconds, go_on)

    def tick(self, process: Process) -> None:
        if not process.running:
            return
        if self.now >= process.still_until:
            self.act(process, process.detector.tick(process.now))
            self.observe(process)
        lag = 2.0 if self.now < process.lags_until else TICK_S
        self.at(self.now + lag * self.chance.uniform(0.9, 1.1), lambda: self.tick(process))

    # Messages

    def act(self, process: Process, outputs: Iterable) -> None:
        for output in outputs:
            match output:
                case Send():
                    process.sent += 1
                    news = len(output.message.news) + len(output.message.vouches)
                    process.sent_bytes += HEAD_BYTES + ROW_BYTES * news
                    if self.now < process.fails_until:
                        process.detector.failing()
                    else:
                        self.pass_on(process.name, output.to[1], output.message)
                case Exchange():
                    self.exchange(process, output.to[1])
                case Warn():
                    pass

    def pass_on(self, sender: str, port: int, message) -> None:
        name = self.by_port[port]
        if self.cut(sender, name) or self.chance.random() < self.loss:
            return
        times = 2 if self.chance.random() < self.repeat else 1
        for _ in range(times):
            late = self.chance.uniform(*self.delay)
            if self.chance.random() < self.reorder:
                late += self.chance.uniform(0.0, 0.3)
            self.at(self.now + late, lambda: self.deliver(name, message))

    def deliver(self, name: str, message) -> None:
        process = self.members.get(name)
        if process is None or not process.running:
            return
        if self.now < process.still_until:
            process.inbox.append(message)
            return
        self.act(process, process.detector.receive(process.now, message))
        self.observe(process)

    def exchange(self, process: Process, port: int) -> None:
        other = self.members.get(self.by_port[port])
        if other is None or not other.running or self.now < other.still_until:
            return
        if self.cut(process.name, other.name) or self.cut(other.name, process.name):
            return
        theirs, ours = other.detector.table.all_rows(), process.detector.table.all_rows()
        self.act(process, process.detector.merge(process.now, theirs))
        self.act(other, other.detector.merge(other.now, ours))

    # Faults

    def set_cut(self, cut: Callable[[str, str], bool]) -> None:
        """The ways from one to another that carry nothing, from now on."""
        self.note_bounds()
        self.cut = cut
        names = list(self.ports)
        groups = both_ways(names, cut)
        for name in names:
            apart = 2 * groups[name] <= len(names)
            if apart and name not in self.apart_since:
                self.apart_since[name] = self.now
            elif not apart and name in self.apart_since:
                self.history.out_of_reach.append((name, self.apart_since.pop(name), self.now))

    def quiet(self) -> None:
        """No fault from now on."""
        self.set_cut(lambda a, b: False)
        self.loss = self.repeat = self.reorder = 0.0
        self.history.quiet_from = self.now
        self.look()

    def look(self) -> None:
        """Note when all views become alike, and stay so."""
        if self.alike():
            if self.history.equal_at is None:
                self.history.equal_at = self.now
        else:
            self.history.equal_at = None
        self.at(self.now + 0.5, self.look)

    def measure(self, every: float = 0.5) -> None:
        """Note everybody's bounds from now on."""
        self.measuring = True
        self.note_bounds()
        self.at(self.now + every, lambda: self.measure(every))

    def note_bounds(self) -> None:
        """Where they are measured: at each look, and before each fault. What could be reached until then may
        have been so only since the last look."""
        if not self.measuring:
            return
        for process in list(self.members.values()):
            if process.running and self.now >= process.still_until:
                self.bound(process)

    def close(self) -> History:
        for name, since in self.apart_since.items():
            self.history.out_of_reach.append((name, since, self.now))
        self.apart_since.clear()
        return self.history

    # What is seen

    def observe(self, process: Process) -> None:
        if not self.watching:
            return
        for name, record in process.detector.table.records.items():
            row = record.row
            now_held = (row.incarnation, row.process, row.state)
            if process.known.get(name) != now_held:
                process.known[name] = now_held
                self.history.held.append(Held(self.now, process.name, name, *now_held))

    def bound(self, process: Process) -> None:
        """Note its bounds beside the truth."""
        told = process.detector.bounds(process.now)
        acting = sum(
            p.running and (p is process or p.detector.bounds(p.now).leased) for p in self.members.values()
        )
        up = [p.name for p in self.members.values() if p.running and self.now >= p.still_until]
        reaches = reached(process.name, up, self.cut)
        self.history.bounds.append(
            Bound(self.now, process.name, told.least, told.most, told.leased, acting, reaches)
        )

    def alike(self) -> bool:
        up = [p for p in self.members.values() if p.running]
        return len({p.detector.table.digest for p in up}) <= 1 and all(
            p.detector.table.records[q.name].present
            for p in up
            for q in up
            if q.name in p.detector.table.records
        )


def both_ways(names: list[str], cut: Callable[[str, str], bool]) -> dict[str, int]:
    """Of how many each is one that reach each other both ways, directly or through others."""
    group: dict[str, int] = {}
    for name in names:
        if name not in group:
            met = reached(name, names, cut)
            group |= dict.fromkeys(met, len(met))
    return group


def reached(name: str, names: list[str], cut: Callable[[str, str], bool]) -> frozenset[str]:
    """Itself, and whom it reaches both ways, directly or through others."""
    met, todo = {name}, [name]
    while todo:
        one = todo.pop()
        for other in names:
            if other not in met and not cut(one, other) and not cut(other, one):
                met.add(other)
                todo.append(other)
    return frozenset(met)


STORM = ("kill", "stop", "loss", "pair", "one", "half", "leave", "lag", "enobufs", "jump")


def storm(seed: int, size: int = 8, seconds: float = 40.0, kind: type[World] = World, **told: Any) -> World:
    """A run with all faults from the seed, then a quiet time."""
    world = kind(size, seed, buildings=2, **told)
    chance = random.Random(f"storm {seed}")
    names = list(world.ports)
    world.run(8.0)
    world.measure()
    end = world.now + seconds
    while world.now < end:
        what = chance.choice(STORM)
        name = chance.choice(names)
        process = world.members[name]
        lasts = chance.choice((0.5, 2.0, 6.0))
        if what == "kill":
            several = chance.sample(names, chance.choice((1, 1, 2, size * 7 // 10)))
            for one in several:
                world.kill(one)
            back = chance.choice((0.0, 1.0, 8.0))
            for one in several:
                world.at(world.now + back + chance.random(), lambda one=one: world.again(one))
        elif what == "leave":
            world.leave(name)
            world.at(world.now + lasts, lambda one=name: world.again(one))
        elif what == "stop":
            for one in chance.sample(names, chance.choice((1, 1, size // 2, size - 1))):
                world.stop(one, lasts)
        elif what == "loss":
            world.loss, world.repeat, world.reorder = chance.choice((0.05, 0.2)), 0.1, 0.1
        elif what == "pair":
            a, b = chance.sample(names, 2)
            world.set_cut(lambda x, y, a=a, b=b: (x, y) == (a, b))
        elif what == "one":
            to = chance.random() < 0.5
            world.set_cut(lambda x, y, n=name, to=to: (y if to else x) == n)
        elif what == "half":
            part = set(chance.sample(names, chance.randrange(1, size)))
            oneway = chance.random() < 0.3
            world.set_cut(lambda x, y, p=part, o=oneway: (x in p) != (y in p) and not (o and x in p))
        elif what == "lag" and process.running:
            process.lags_until = world.now + lasts
            process.life.still.append((world.now, process.lags_until))
        elif what == "enobufs" and process.running:
            process.fails_until = world.now + lasts
            world.history.out_of_reach.append((name, world.now, process.fails_until))
        elif what == "jump" and process.running:
            process.jumped += chance.choice((0.4, 30.0))
            process.life.still.append((world.now, world.now + 0.1))
        world.run(world.now + chance.uniform(0.2, 6.0))
        if chance.random() < 0.6:
            world.set_cut(lambda a, b: False)
            world.loss = world.repeat = world.reorder = 0.0
    world.run(max(world.now, end + 9.0))
    for name in names:
        world.again(name)
    world.quiet()
    world.run(world.now + 25.0)
    world.close()
    return world
