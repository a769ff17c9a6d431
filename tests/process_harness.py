"""Simulated dispatcher processes on a failing disk, in virtual time and without sockets: the real node,
decision module and journal, a partner whose answers depend on the message id, and checks of all externally
visible effects."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
from collections import Counter

from test_benchlink import TOLD

from crowpier import Dispatcher
from crowpier.benchlink import parse_settings
from crowpier.interface import Outcome
from rushhitch.acceptor import ACCEPTED, Reply, Submission
from rushhitch.core import node as node_module
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.endpoints import Result
from rushhitch.journal import Journal, Sync
from rushhitch.journal.files import Files

WORTH = {"lateWorth": 0.1, "value": 1.0}
CLASSES = [
    {"name": "note", "effect": "repeatable", "aimMs": 1500.0, "hardLimitMs": 6000.0} | WORTH,
    {"name": "pay", "effect": "once", "aimMs": 2000.0, "hardLimitMs": 24000.0} | WORTH,
]
WALL = 1_900_000_000.0  # Unix time in seconds when virtual time is 0
DISK = 18_000.0  # journal size in bytes: small, so that compaction runs all the time
FIRST = {
    3: Outcome.FULL,
    7: Outcome.ERROR,
    8: Outcome.ERROR,
    10: Outcome.CONNECT_FAILED,
}  # first outcomes by message number modulo 12
CALL_S = 0.05  # duration of a call
HEARD_S = 0.03  # from a notice to its confirmation by the platform


class VirtualLoop:
    """Virtual loop with timers and both clocks. The wall clock may be stepped between processes."""

    def __init__(self) -> None:
        self.now, self.wall = 100.0, WALL
        self.queue: list = []
        self.order = itertools.count()

    def time(self) -> float:
        return self.now

    def call_later(self, delay, act, *args):
        timer = Timer(act, args)
        heapq.heappush(self.queue, (self.now + delay, next(self.order), timer))
        return timer

    def call_at(self, at, act, *args):
        return self.call_later(at - self.now, act, *args)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, timer = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            timer.run()
        self.now = end


class Timer:
    def __init__(self, act, args) -> None:
        self.act, self.args = act, args

    def cancel(self) -> None:
        self.act = None

    def run(self) -> None:
        if self.act is not None:
            self.act(*self.args)


class VirtualTimeModule:
    """Replaces the module `time` in the node."""

    def __init__(self, time: VirtualLoop) -> None:
        self.virtual = time

    def time(self) -> float:
        return self.virtual.wall + self.virtual.now


class Partner:
    """Replaces the node's endpoint pool: each attempt ends after `CALL_S`, with an outcome that depends on
    the id."""

    def __init__(self, outside: Outside, process_number: int) -> None:
        self.outside, self.process_number, self.node = outside, process_number, None

    def set_endpoint(self, endpoint, entry):
        pass

    remove_endpoint = close_idle = set_endpoint

    def cancel(self, message, number):
        pass

    def send(self, endpoint, attempts):
        self.node.begin(endpoint, attempts, lambda allowed: self.write(endpoint, attempts, allowed))

    def write(self, endpoint, attempts, allowed):
        for attempt in attempts:
            if attempt not in allowed:
                self.node.attempt_ended(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))
        for attempt in allowed:
            outcome = self.outside.sent(attempt.id)
            self.node.loop.call_later(CALL_S, self.end, endpoint, attempt, outcome)

    def end(self, endpoint, attempt, outcome):
        over = outcome is Outcome.OK
        self.outside.answered(attempt.id, outcome)
        self.node.attempt_ended(Result(attempt, endpoint, outcome, CALL_S * 1000.0, 0.0, over))


BOOT = "this run of the machine"
SEEN = (
    "taken",
    "unheard",
    "offered",
    "answers",
    "sends",
    "may_have_run",
    "out",
    "delivered",
    "told",
    "broken",
)


class Outside:
    """What clients, the partner and the platform saw over all processes; `broken` lists violated rules."""

    def __init__(self) -> None:
        self.time = VirtualLoop()
        self.taken: dict[bytes, str] = {}  # class by id, of messages answered with +OK
        self.unheard: dict[bytes, str] = {}  # likewise, of messages sent before any +OK
        self.offered: dict[bytes, str] = {}
        self.answers: Counter[bytes] = Counter()
        self.sends: Counter[bytes] = Counter()
        self.may_have_run: set[bytes] = set()
        self.out: set[bytes] = set()
        self.delivered: set[bytes] = set()
        self.told: dict[bytes, str] = {}
        self.broken: list[str] = []

    def sent(self, name: bytes) -> Outcome:
        if name in self.told:
            self.broken.append(f"{name!r} was sent after its end was reported as {self.told[name]}")
        if self.offered[name] == "pay" and name in self.may_have_run | self.out:
            self.broken.append(f"unsafe {name!r} was retried")
        if name not in self.taken:
            self.unheard[name] = self.offered[name]
        if name not in self.taken and name in self.answers:
            self.broken.append(f"{name!r} was sent though it was not accepted")
        self.out.add(name)
        nth, self.sends[name] = self.sends[name], self.sends[name] + 1
        return FIRST.get(int(name[1:]) % 12, Outcome.OK) if nth == 0 else Outcome.OK

    def answered(self, name: bytes, outcome: Outcome) -> None:
        self.out.discard(name)
        if not outcome.never_ran:
            self.may_have_run.add(name)
        if outcome is Outcome.OK:
            self.delivered.add(name)

    def notice(self, name: bytes, result: str) -> None:
        if self.told.setdefault(name, result) != result:
            self.broken.append(f"{name!r} was reported as {self.told[name]} and then as {result}")
        if result == "bounced" and self.offered[name] == "pay" and name in self.may_have_run:
            self.broken.append(f"unsafe {name!r} was refused, but it may have run")

    def copy(self) -> Outside:
        """A copy of the state after a crash, to continue with a different process."""
        assert not self.time.queue, "the process still runs"
        other = Outside()
        other.time.now, other.time.wall = self.time.now, self.time.wall
        for name in SEEN:
            setattr(other, name, getattr(self, name).copy())
        return other

    def killed(self) -> None:
        self.may_have_run |= self.out
        self.out.clear()
        self.time.queue.clear()

    def check(self) -> None:
        for name in self.taken:
            if name not in self.delivered and name not in self.told:
                self.broken.append(f"{name!r} was accepted and never ended")
        if self.unheard:
            self.broken.append(f"sent without an acceptance: {sorted(self.unheard)}")
        assert not self.broken, "\n".join(self.broken)


class SimulatedProcess:
    """A dispatcher process that starts on the folder; a `Crash` raised from any call ends it."""

    partner = Partner
    codecs = None
    classes = CLASSES

    def __init__(
        self, outside: Outside, files: Files, number: int, disk=DISK, sync=Sync.NONE, boot=BOOT
    ) -> None:
        self.outside, self.files = outside, files
        settings = json.loads(json.dumps(TOLD))
        settings["categories"] = self.classes
        settings["familyInfo"]["batchByKind"] = [1]
        parsed = parse_settings(json.dumps(settings).encode())
        self.journal = Journal(files.folder, disk, sync, files, outside.time.time, boot=boot)
        partner = self.partner(outside, number)
        self.node = Node(parsed, Dispatcher(parsed, 1), self.journal, self.notify, codecs=self.codecs)
        self.node.loop, self.node.endpoints, partner.node = outside.time, partner, self.node
        row = {"addr": "127.0.0.1:1", "zone": "a", "kind": "firms", "cell": 7, "state": "SERVING"}
        rows = [row | {"id": name, "weight": 1.0, "started_ms": 0} for name in ("e1", "e2", "e3")]
        self.node.registry.apply_update({"version": 41, "full": True, "servers": rows}, cached=True)
        self.begin()

    def begin(self) -> None:
        resume(self.node)

    def notify(self, number, name, result, wait_ms):
        self.outside.notice(name, result)
        self.outside.time.call_later(HEARD_S, self.node.notice_heard, number)

    def offer(self, name: bytes, cls: str, body: bytes = b"a body", remember: bool = False) -> None:
        self.outside.offered[name] = cls
        if self.outside.told.get(name) == "bounced":  # resubmitted after its refusal, which no longer counts
            del self.outside.told[name]

        def answer(reply: Reply) -> None:
            self.outside.answers[name] += 1
            if reply == ACCEPTED:
                self.outside.taken[name] = cls

        attributes = b'{"id":"1"}' if remember else b""
        self.node.offer(
            Submission(name, cls, 7, 5000.0, body, attributes=attributes, remember=remember), answer
        )


def virtual(work, outside: Outside | None = None) -> None:
    """Run a scenario while the node reads the virtual clock."""
    outside = outside or Outside()

    async def run() -> None:
        module, node_module.time = node_module.time, VirtualTimeModule(outside.time)
        try:
            work(outside)
        finally:
            node_module.time = module

    asyncio.run(run())


def load(process: SimulatedProcess, first: int, count: int, size: int = 300, remember: bool = False) -> None:
    """Submit messages of both classes, some at the same time, over about a second."""
    for number in range(first, first + count):
        process.offer(b"m%d" % number, ("note", "pay")[number % 2], bytes(size), remember)
        if number % 3 == 0:
            process.outside.time.run(0.12)


def settle(outside: Outside) -> None:
    outside.time.run(40.0)  # past all deadlines
