"""Simulation on virtual time, without sockets: the real `Watch` of each dispatcher of a fleet, and one
discovery service that serves calls one at a time, has outages, refuses and answers late."""

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

LIST_LINE = h11.Data(data=json.dumps({"version": 1, "full": True, "servers": []}).encode() + b"\n")
EMPTY_LINE = h11.Data(data=b"\n")
EMPTY_LINE_S = 2.0  # between empty lines on a watch without changes
ROUND_TRIP_S = 0.002  # round trip
UNLIMITED_PER_S = 1e6  # calls per second: no limit in effect


class VirtualTimeSelector(selectors.SelectSelector):
    """Never waits: advances the clock to the next timer."""

    now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to wait for"
        self.now += max(timeout, 0.0)
        return []


def run_on_virtual_time(work: Callable[[], object]) -> None:
    selector = VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        loop.run_until_complete(work())
    finally:
        loop.close()


class SimulatedDiscovery:
    """A discovery service. From `back_at` on it serves `per_s` calls per second, one after another; before,
    any number. A call that would wait longer than `patience_s` is refused after that time, and still costs as
    much as an answer. Half of the answers are late, by up to `late_s`.

    From `down_at` to `back_at` it is down, and open watches end. By `outage`, calls are answered 503 ("503"),
    the same after `patience_s` ("slow"), or never ("lost"), connections are refused ("refused"), or nothing
    arrives ("cut"). From `silent_at` on open watches send nothing. The first call of each dispatcher after
    `refuse_from` is served and refused.
    """

    def __init__(
        self,
        seed: int,
        per_s: float = UNLIMITED_PER_S,
        patience_s: float = 2.0,
        late_s: float = 0.0,
        down_at: float = float("inf"),
        back_at: float = 0.0,
        outage: str = "503",
        silent_at: float = float("inf"),
        refuse_from: float = float("inf"),
    ) -> None:
        self.per_s, self.patience_s, self.late_s = per_s, patience_s, late_s
        self.down_at, self.back_at, self.outage = down_at, back_at, outage
        self.silent_at, self.refuse_from = silent_at, refuse_from
        self.chance = random.Random(seed)
        self.always_s = 0.0  # delay added to each answer
        self.free_at = 0.0
        self.refused: set[int] = set()
        self.call_times: list[float] = []  # time of each call

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def down(self) -> bool:
        return self.down_at <= self.now < self.back_at

    async def wait_until(self, at: float) -> None:
        """Sleep until `at`. An outage before it resets the connection, after a cut only at its end."""
        now = self.now
        if now < self.down_at <= at and self.back_at > self.down_at:
            await asyncio.sleep((self.back_at if self.outage == "cut" else self.down_at) - now)
            raise ConnectionResetError("discovery went down")
        await asyncio.sleep(at - now)

    async def connect(self) -> None:
        self.call_times.append(self.now)
        if self.down and self.outage == "cut":
            await asyncio.sleep(self.back_at - self.now)
            raise ConnectionResetError("the machine is back")
        await asyncio.sleep(ROUND_TRIP_S)
        if self.down and self.outage == "refused":
            raise ConnectionRefusedError("nobody listens")

    async def answer(self, number: int) -> int:
        now = self.now
        if self.down and self.outage == "lost":
            await asyncio.sleep(3600.0)
        if self.down:
            await asyncio.sleep(self.patience_s if self.outage == "slow" else ROUND_TRIP_S)
            return 503
        call_s = 1.0 / (self.per_s if now >= self.back_at else UNLIMITED_PER_S)
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
        """The largest number of calls in any window of `window_s` that begins in the given time."""
        call_times = [at for at in self.call_times if from_s <= at < to_s]
        return max(
            (bisect_right(call_times, at + window_s) - i for i, at in enumerate(call_times)), default=0
        )


class SimulatedConnection:
    """Replaces `Connection`; its address is the `SimulatedDiscovery` and the number of the dispatcher."""

    def __init__(self, discovery_service: SimulatedDiscovery, number: int) -> None:
        self.discovery_service, self.number = discovery_service, number
        self.last_line_at = -1.0

    @classmethod
    async def open(cls, address):
        connection = cls(*address)
        await connection.discovery_service.connect()
        return connection

    async def send(self, method, target, headers):
        pass

    async def response(self):
        return SimpleNamespace(status_code=await self.discovery_service.answer(self.number))

    async def event(self):
        discovery_service = self.discovery_service
        if self.last_line_at < 0.0:
            self.last_line_at = self.opened_at = discovery_service.now
            return LIST_LINE
        due = self.last_line_at + EMPTY_LINE_S
        if self.opened_at < discovery_service.silent_at <= due:
            due = float("inf")
        await discovery_service.wait_until(min(due, 1e6))
        self.last_line_at = discovery_service.now
        return EMPTY_LINE

    def close(self):
        pass


class WatchFleet:
    """The watches of a fleet of dispatchers on one `SimulatedDiscovery`."""

    def __init__(self, discovery_service: SimulatedDiscovery, dispatchers: int, seed: int) -> None:
        self.discovery_service, self.dispatchers, self.seed = discovery_service, dispatchers, seed
        self.times: list[list[float]] = [[] for _ in range(dispatchers)]  # when each received the list
        self.address_changed_at = float("inf")  # all change their address at once (to the same service)

    def run(self, monkeypatch, seconds: float) -> WatchFleet:
        monkeypatch.setattr(discovery, "Connection", SimulatedConnection)
        run_on_virtual_time(lambda: self.work(seconds))
        return self

    async def work(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        watches = []
        for number, times in enumerate(self.times):
            chance = random.Random(1_000_003 * self.seed + number)

            def on_update(update, times=times):
                times.append(loop.time())

            watches.append(
                Watch((self.discovery_service, number), 1, on_update, chance, dispatchers=self.dispatchers)
            )
        tasks = [loop.create_task(watch.run()) for watch in watches]
        if self.address_changed_at < seconds:
            await asyncio.sleep(self.address_changed_at)
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
        """Seconds from `since` until the last of them received the list."""
        first = (next((at for at in times if at > since), float("inf")) for times in self.times)
        return max(first) - since
