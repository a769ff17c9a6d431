"""A fleet's watches on virtual time, without sockets: the real `Watch` of each dispatcher, and one directory
that works through their calls in turn, is down for a while, refuses, lets wait and answers late."""

from __future__ import annotations

import asyncio
import json
import random
import selectors
from bisect import bisect_right
from collections.abc import Callable
from types import SimpleNamespace

import h11

from rushhitch import discovery
from rushhitch.discovery import Watch

LIST = h11.Data(data=json.dumps({"version": 1, "full": True, "servers": []}).encode() + b"\n")
EMPTY = h11.Data(data=b"\n")
EMPTY_S = 2.0  # while nothing changes, a watch gets an empty line so often
TRIP_S = 0.002  # there and back
PLENTY = 1e6  # calls a second


class Jumping(selectors.SelectSelector):
    """Never waits: the clock moves on to the next timer."""

    now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to wait for"
        self.now += max(timeout, 0.0)
        return []


def on_virtual_time(work: Callable[[], object]) -> None:
    selector = Jumping()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        loop.run_until_complete(work())
    finally:
        loop.close()


class Directory:
    """Serves `per_s` calls a second in turn from `back_at` on, and any number before. One that waits longer
    than `patience_s` is refused, and has cost its time. Half of the answers are late, by up to `late_s`.

    From `down_at` to `back_at` it is down, and watches end: calls are answered 503 (`way` "503"), or only
    after its patience ("slow"), or never ("lost"), their connections are refused ("refused"), or nothing is
    heard at all ("cut"). From `silent_at` on the watches that are open say nothing. The first call of each
    dispatcher that comes after `refuse_from` takes its turn, and is refused.
    """

    def __init__(
        self,
        seed: int,
        per_s: float = PLENTY,
        patience_s: float = 2.0,
        late_s: float = 0.0,
        down_at: float = float("inf"),
        back_at: float = 0.0,
        way: str = "503",
        silent_at: float = float("inf"),
        refuse_from: float = float("inf"),
    ) -> None:
        self.per_s, self.patience_s, self.late_s = per_s, patience_s, late_s
        self.down_at, self.back_at, self.way = down_at, back_at, way
        self.silent_at, self.refuse_from = silent_at, refuse_from
        self.chance = random.Random(seed)
        self.always_s = 0.0  # each answer comes so long after its turn
        self.free_at = 0.0
        self.refused: set[int] = set()
        self.asked: list[float] = []  # each call's moment

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def down(self) -> bool:
        return self.down_at <= self.now < self.back_at

    async def wait_until(self, at: float) -> None:
        """Unless it goes down meanwhile: connections are reset, at once or, after a cut, at the return."""
        now = self.now
        if now < self.down_at <= at and self.back_at > self.down_at:
            await asyncio.sleep((self.back_at if self.way == "cut" else self.down_at) - now)
            raise ConnectionResetError("discovery went down")
        await asyncio.sleep(at - now)

    async def connect(self) -> None:
        self.asked.append(self.now)
        if self.down and self.way == "cut":
            await asyncio.sleep(self.back_at - self.now)
            raise ConnectionResetError("the machine is back")
        await asyncio.sleep(TRIP_S)
        if self.down and self.way == "refused":
            raise ConnectionRefusedError("nobody listens")

    async def answer(self, number: int) -> int:
        now = self.now
        if self.down and self.way == "lost":
            await asyncio.sleep(3600.0)
        if self.down:
            await asyncio.sleep(self.patience_s if self.way == "slow" else TRIP_S)
            return 503
        call_s = 1.0 / (self.per_s if now >= self.back_at else PLENTY)
        begins = max(self.free_at, now)
        if begins - now > self.patience_s:
            self.free_at += call_s
            await self.wait_until(now + self.patience_s)
            return 503
        self.free_at = begins + call_s
        refuses = now >= self.refuse_from and number not in self.refused
        if refuses:
            self.refused.add(number)
        late_s = self.chance.random() * self.late_s if self.chance.random() < 0.5 and not refuses else 0.0
        await self.wait_until(self.free_at + self.always_s + late_s)
        return 503 if refuses else 200

    def busiest(self, from_s: float, to_s: float, window_s: float = 1.0) -> int:
        """The most calls in any second of that time."""
        asked = [at for at in self.asked if from_s <= at < to_s]
        return max((bisect_right(asked, at + window_s) - i for i, at in enumerate(asked)), default=0)


class Line:
    """Stands in for `Connection`; its address is the directory and the dispatcher's number."""

    def __init__(self, directory: Directory, number: int) -> None:
        self.directory, self.number = directory, number
        self.heard_at = -1.0

    @classmethod
    async def open(cls, address):
        line = cls(*address)
        await line.directory.connect()
        return line

    async def send(self, method, target, headers):
        pass

    async def response(self):
        return SimpleNamespace(status_code=await self.directory.answer(self.number))

    async def event(self):
        directory = self.directory
        if self.heard_at < 0.0:
            self.heard_at = self.opened_at = directory.now
            return LIST
        due = self.heard_at + EMPTY_S
        if self.opened_at < directory.silent_at <= due:
            due = float("inf")
        await directory.wait_until(min(due, 1e6))
        self.heard_at = directory.now
        return EMPTY

    def close(self):
        pass


class Watches:
    """As many dispatchers as the settings tell, with their watches on one directory."""

    def __init__(self, directory: Directory, dispatchers: int, seed: int) -> None:
        self.directory, self.dispatchers, self.seed = directory, dispatchers, seed
        self.heard: list[list[float]] = [[] for _ in range(dispatchers)]  # when each had a list
        self.moved_at = float("inf")  # all at once to another address of the same directory

    def run(self, monkeypatch, seconds: float) -> Watches:
        monkeypatch.setattr(discovery, "Connection", Line)
        on_virtual_time(lambda: self.work(seconds))
        return self

    async def work(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        watches = []
        for number, heard in enumerate(self.heard):
            chance = random.Random(1_000_003 * self.seed + number)

            def told(news, heard=heard):
                heard.append(loop.time())

            watches.append(Watch((self.directory, number), 1, told, chance, dispatchers=self.dispatchers))
        tasks = [loop.create_task(watch.run()) for watch in watches]
        if self.moved_at < seconds:
            await asyncio.sleep(self.moved_at)
            await self.stop(tasks)
            for watch in watches:
                watch.move(watch.address)
            tasks = [loop.create_task(watch.run()) for watch in watches]
        await asyncio.sleep(seconds - loop.time())
        await self.stop(tasks)

    @staticmethod
    async def stop(tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def latest(self, since: float) -> float:
        """How long after `since` the last of them had the list."""
        first = (next((at for at in heard if at > since), float("inf")) for heard in self.heard)
        return max(first) - since
