"""Kills of real dispatchers at chosen moments, judged from outside by the lab's rules.

Two ways to die. From outside, another process sends SIGKILL as it reads the n-th answer of a burst: the
dispatcher is then somewhere behind that answer, in the middle of the next one's record or system call. At an
operation, a shim in the dispatcher's process counts its system calls and sends SIGKILL before or after the
n-th, so that every moment between two of them is played.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import os
import random
import selectors
import signal
import socket
import tempfile
import time
import zlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from lab.history import ACCEPTED, Event
from lab.partners import Spec
from lab.processes import READY_S, TERM_S, Dispatcher, send_signal
from lab.rude_clients import kind_of
from lab.rules import Broken
from lab.run import SETTLE_S, Played, Run
from lab.scenario import ClassSpec, Scenario

BURST = 24  # requests at once, each on a connection of its own
ANSWERS_S = 0.4  # for so long the answers of a burst are waited for
DIES_S = 1.2  # within this time a process reaches the operation at which it is killed, or never does
LIVES_S = 0.4  # from a start to the next burst: what was resumed has its chance to be sent
LEFT_MS = 4_000.0  # of each message
HOWS = ("before", "after")


class Script(Enum):
    """What happens in the life that is killed at a system call."""

    BURST = "a burst is handed in"
    TERM = "a burst has been handed in, and the process is told to end"
    RELOAD = "a burst is handed in as the configuration is read again"
    HANDOVER = "a burst is handed in as another process takes over; both are killed there"


@dataclass(frozen=True, slots=True)
class KillPoint:
    """The n-th system call of a process, counted from `armed` on, and on which side of it the kill falls."""

    nth: int
    how: str = "before"

    def __str__(self) -> str:
        return f"{self.nth} {self.how}"


@dataclass(slots=True)
class Account:
    """What a number of kills left, counted from outside."""

    kills: int = 0
    heard: int = 0  # messages whose clients were told that they are taken on
    unheard_sent: int = 0  # messages that were sent though their clients saw only the end of the connection
    endless: int = 0  # heard, and neither delivered nor ended by a notice
    untried: int = 0  # heard, and not called before the kill of their process
    given_up: int = 0  # of these, ended with no call at all
    broken: list[str] = field(default_factory=list)

    def add(self, other: Account) -> None:
        for name in ("kills", "heard", "unheard_sent", "endless", "untried", "given_up"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.broken += other.broken

    @property
    def share_given_up(self) -> float:
        return self.given_up / self.untried if self.untried else 0.0


def scenario_of(seed: int, dispatchers: int, slots: int = 4, limit_ms: float = LEFT_MS) -> Scenario:
    """Messages of each effect to three partners, one of which fails and one of which refuses now and then."""
    partners = [
        Spec(name="p1", dest=1, kind="firms", endpoints=2, zones=("a",), slots=64, queue=256, call_ms=30.0),
        Spec(name="p2", dest=2, kind="firms", endpoints=1, zones=("a",), slots=64, queue=256, call_ms=10.0),
        Spec(
            name="p3",
            dest=3,
            kind="banks",
            endpoints=1,
            zones=("a",),
            slots=64,
            queue=256,
            call_ms=20.0,
            batch=4,
            deferred=0.1,
        ),
    ]
    classes = [
        ClassSpec("note", "repeatable", limit_ms / 2.0, limit_ms),
        ClassSpec("pay", "once", limit_ms / 2.0, limit_ms, worth=2.0),
        ClassSpec("book", "by_key", limit_ms / 2.0, limit_ms, window_ms=limit_ms / 2.0),
    ]
    return Scenario(
        name=f"kills {seed}",
        seed=seed,
        dispatchers=dispatchers,
        classes=classes,
        partners=partners,
        slots=slots,
        retries=0,
    ).check()


class KillRun(Run):
    """Dispatchers that are killed and started again; no load but bursts, no faults but kills."""

    dies_at_calls = True

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        super().__init__(scenario, folder, lambda text: None)
        self.names_of_messages = itertools.count(1)
        self.draw = random.Random(f"kills {scenario.seed}")
        self.kills = 0

    # Requests

    def request(self, dispatcher: Dispatcher, number: int) -> tuple[str, bytes, Event]:
        """One request: its name, its bytes and its offer."""
        name = f"k{next(self.names_of_messages)}"
        cls = ("note", "pay", "book")[number % 3]
        dest = 1 + (number // 3) % 3
        body = b"a message " + name.encode()
        fields = f"c={cls},d={LEFT_MS:.0f},dest={dest}" + (f",k={name}" if cls == "book" else "")
        words = (b"OUT.ADD", b"0", name.encode(), fields.encode(), body)
        offer = {"id": name, "origin": name, "first": name, "cls": cls, "dest": dest, "key": 0}
        offer |= {"left_ms": LEFT_MS, "crc": zlib.crc32(body), "dispatcher": dispatcher.name}
        return name, b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words), offer

    def answered(self, name: str, answer: str) -> None:
        self.history.add("answer", id=name, answer=answer, wait_ms=0)

    def burst_and_kill(self, dispatcher: Dispatcher, count: int, nth: int) -> None:
        """Hand in so many messages and send SIGKILL as the n-th `+OK` is read. Nothing else of the lab runs
        meanwhile, so that the kill comes as soon after the answer as a process can send it."""
        assert dispatcher.process is not None, "it was started"
        poll, waiting = selectors.DefaultSelector(), {}
        for number in range(count):
            sock = socket.create_connection(("127.0.0.1", dispatcher.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            name, data, offer = self.request(dispatcher, number)
            waiting[sock] = (name, data, offer)
            poll.register(sock, selectors.EVENT_READ)
        for sock, (_, data, offer) in waiting.items():
            self.history.add("offer", **offer)
            sock.sendall(data)
        taken, until, killed = 0, time.monotonic() + ANSWERS_S, False
        while waiting and time.monotonic() < until:
            for key, _ in poll.select(until - time.monotonic()):
                sock = key.fileobj
                assert isinstance(sock, socket.socket), "only sockets are registered"
                try:
                    line = sock.recv(4096)
                except OSError:
                    line = b""
                taken += line.startswith(b"+OK")
                if taken == nth and not killed:
                    killed = True
                    os.kill(dispatcher.process.pid, signal.SIGKILL)
                name, _, _ = waiting.pop(sock)
                poll.unregister(sock)
                sock.close()
                self.answered(name, kind_of(line))
        for sock, (name, _, _) in waiting.items():
            sock.close()
            self.answered(name, "none")
        poll.close()
        if not killed:
            os.kill(dispatcher.process.pid, signal.SIGKILL)

    async def burst(self, dispatcher: Dispatcher, count: int) -> None:
        """Hand in so many messages at once; whatever becomes of the process, each answer is noted."""
        await asyncio.gather(*(self.one(dispatcher, number) for number in range(count)))

    async def one(self, dispatcher: Dispatcher, number: int) -> None:
        name, data, offer = self.request(dispatcher, number)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
        except OSError:
            return  # nothing was handed in
        self.history.add("offer", **offer)
        try:
            writer.write(data)
            line = await asyncio.wait_for(reader.readline(), ANSWERS_S)
            self.answered(name, kind_of(line))
        except TimeoutError:
            self.answered(name, "none")
        except OSError:
            self.answered(name, "closed")
        finally:
            writer.close()

    # Deaths

    async def gone(self, dispatcher: Dispatcher) -> None:
        """The process has been killed, or is in this moment: until that shows."""
        assert dispatcher.process is not None and dispatcher.reading is not None, "it was started"
        await dispatcher.process.wait()
        await dispatcher.reading
        self.kills += 1

    async def kill_behind_answers(self, dispatcher: Dispatcher, kills: int) -> None:
        """Life after life, each killed behind one of its answers."""
        for _ in range(kills):
            dispatcher.wanted = False
            count = self.draw.choice((1, 2, 6, BURST, BURST))
            self.history.add("stopping", dispatcher=dispatcher.name)
            self.burst_and_kill(dispatcher, count, self.draw.randint(1, count))
            await self.gone(dispatcher)
            await dispatcher.start()
            await asyncio.sleep(LIVES_S)

    async def die_at(
        self, dispatcher: Dispatcher, points: Iterable[KillPoint], script: Script, count: int
    ) -> list[bool]:
        """One life for each point: the first goes by the script and is killed there, the others are killed as
        they go on with what it left. Whether each point was reached. A last life brings all to its end."""
        reached = []
        for life, point in enumerate(points):
            dispatcher.wanted = False
            if life == 0:
                reached.append(await self.play_script(dispatcher, point, script, count))
            else:
                dispatcher.kill_at.write_text(str(point))
                await self.try_start(dispatcher)
                reached.append(await self.dies(dispatcher))
            dispatcher.kill_at.unlink()
        await dispatcher.start()
        return reached

    async def play_script(self, dispatcher: Dispatcher, point: KillPoint, script: Script, count: int) -> bool:
        """The first life. Whether it was killed at the point."""
        assert dispatcher.process is not None, "it was started"
        match script:
            case Script.TERM:
                await self.burst(dispatcher, count)
                dispatcher.kill_at.write_text(str(point))
                self.history.add("stopping", dispatcher=dispatcher.name)
                send_signal(dispatcher.process, signal.SIGTERM)
                return await self.dies(dispatcher, TERM_S)
            case Script.RELOAD:
                dispatcher.kill_at.write_text(str(point))
                send_signal(dispatcher.process, signal.SIGHUP)
            case Script.HANDOVER:
                return await self.hand_over(dispatcher, point, count)
            case Script.BURST:
                dispatcher.kill_at.write_text(str(point))
        await self.burst(dispatcher, count)
        return await self.dies(dispatcher)

    async def hand_over(self, dispatcher: Dispatcher, point: KillPoint, count: int) -> bool:
        """Another process takes over from the first under a burst; each dies as it reaches the point."""
        old, reading = dispatcher.process, dispatcher.reading
        assert old is not None and reading is not None, "it was started"
        dispatcher.control = 0
        await dispatcher.spawn()
        dispatcher.wanted = False
        async with asyncio.timeout(READY_S):
            while not dispatcher.control or await dispatcher.say("PING") != "ACK":
                await asyncio.sleep(0.01)
        dispatcher.kill_at.write_text(str(point))
        burst = asyncio.create_task(self.burst(dispatcher, count))
        await asyncio.sleep(0.005)
        send_signal(old, signal.SIGTERM)
        try:
            async with asyncio.timeout(DIES_S):
                await old.wait()
        except TimeoutError:
            send_signal(old, signal.SIGKILL)
            await old.wait()
        died_at = await reading
        if old.returncode == -signal.SIGKILL:
            self.history.add("ended", at=died_at, dispatcher=dispatcher.name, kill=True)
        await burst
        reached = await self.dies(dispatcher)
        return reached or old.returncode == -signal.SIGKILL

    async def try_start(self, dispatcher: Dispatcher) -> None:
        """Start it, and wait until it serves or is gone."""
        await dispatcher.spawn()
        dispatcher.wanted = False
        await dispatcher.ready.wait()

    async def dies(self, dispatcher: Dispatcher, within_s: float = DIES_S) -> bool:
        """Whether the process is killed by itself in time; it is killed from here where not."""
        assert dispatcher.process is not None, "it was started"
        try:
            async with asyncio.timeout(within_s):
                await dispatcher.process.wait()
            reached = dispatcher.process.returncode == -signal.SIGKILL
        except TimeoutError:
            send_signal(dispatcher.process, signal.SIGKILL)
            reached = False
        await self.gone(dispatcher)
        return reached

    async def settle(self) -> Played:
        """Until all that was heard has its end, or is overdue."""
        until = self.history.now() + LEFT_MS + SETTLE_S * 1000.0
        while self.history.now() < until and not self.settled():
            await asyncio.sleep(0.05)
        return await self.end()

    def close(self) -> None:
        self.clients.stop()
        self.partners.stop()
        self.directory.stop()

    async def __aenter__(self) -> KillRun:
        await self.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        for dispatcher in self.dispatchers.values():
            await dispatcher.kill()
            dispatcher.log.close()
        self.close()


def account(played: Played, kills: int) -> Account:
    """Count what the kills left."""
    events = played.history.events
    told = Account(kills, broken=[line(one) for one in played.broken])
    answers = {event["id"]: event for event in events if event["what"] == "answer"}
    offers = {event["id"]: event for event in events if event["what"] == "offer"}
    ended = {event["id"] for event in events if event["what"] == "notice"}
    called: dict[str, float] = {}
    for event in events:
        if event["what"] == "call":
            for name in event["ids"]:
                called.setdefault(name, event["at"])
        elif event["what"] == "reply":
            ended |= {name for name, end in event["ends"].items() if end == ACCEPTED}
    deaths: defaultdict[str, list[float]] = defaultdict(list)
    for event in events:
        if event["what"] == "ended":
            deaths[event["dispatcher"]].append(event["at"])
    for name, answer in answers.items():
        if answer["answer"] == "closed":
            told.unheard_sent += name in called
        if answer["answer"] != "ok":
            continue
        told.heard += 1
        told.endless += name not in ended
        dies = min((at for at in deaths[offers[name]["dispatcher"]] if at >= answer["at"]), default=math.inf)
        if dies < math.inf and called.get(name, math.inf) > dies:
            told.untried += 1
            told.given_up += name not in called
    return told


def line(broken: Broken) -> str:
    return f"{broken.rule} {broken.about} at {broken.at:.0f} ms: {broken.text}"


def play_outside(seed: int, kills: int) -> Account:
    """So many kills of one dispatcher from outside, each behind an answer."""

    async def work(folder: Path) -> Account:
        async with KillRun(scenario_of(seed, 1), folder) as run:
            await run.kill_behind_answers(run.dispatchers["d0"], kills)
            return account(await run.settle(), run.kills)

    with tempfile.TemporaryDirectory(prefix="rushhitch-kills-") as name:
        return asyncio.run(work(Path(name)))


def play_points(
    seed: int, plans: list[tuple[KillPoint, ...]], script: Script = Script.BURST, count: int = 6
) -> tuple[Account, list[bool]]:
    """One dispatcher for each plan, side by side; whether the last point of each plan was reached."""

    async def work(folder: Path) -> tuple[Account, list[bool]]:
        async with KillRun(scenario_of(seed, len(plans)), folder) as run:
            dispatchers = run.dispatchers.values()
            pairs = zip(dispatchers, plans, strict=True)
            lives = (run.die_at(dispatcher, plan, script, count) for dispatcher, plan in pairs)
            reached = await asyncio.gather(*lives)
            return account(await run.settle(), run.kills), [each[-1] for each in reached]

    with tempfile.TemporaryDirectory(prefix="rushhitch-kills-") as name:
        return asyncio.run(work(Path(name)))
