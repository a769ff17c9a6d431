"""Budgets among simulated members, on virtual time with all faults of `lab.membership`, and their checker.

The same `Detector` and `Budgets` that a process runs. What is used is measured from outside, by each member's
own clock, also at the moment in which one that stood still goes on and has not looked at anything yet.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.membership import Process, World
from rushhitch.sharing.budgets import DEFAULT_FLOOR, TICK_INTERVAL_S, Budgets
from rushhitch.sharing.messages import Send

NAME, SIZE = "lane", 100.0
EVERY_S = 0.1  # between two looks from outside
BYTES, UNIT_BYTES = 60, 24  # of a message and of a budget in it, as msgpack has them


@dataclass(frozen=True, slots=True)
class Used:
    """At that moment: units that could be in use by all together, what they would use of it, and what was
    wanted at all by members that ran."""

    at: float
    usable: float
    used: float
    wanted: float


def over(seen: list[Used], size: float) -> list[Used]:
    """Moments in which more could be in use than there is."""
    return [moment for moment in seen if moment.usable > size * (1.0 + 1e-9)]


class Alone(Budgets):
    """The baseline: each keeps to its part, and nothing is lent."""

    def borrow(self, now: float, peers: list[str]) -> list[Send]:
        return []


class SharingWorld(World):
    """Members that share one budget. `need` tells what one would use, by its name and the time."""

    def __init__(
        self,
        size: int,
        seed: int,
        need: Callable[[str, float], float] | None = None,
        scheme: type[Budgets] = Budgets,
        floor: float = DEFAULT_FLOOR,
        **told: Any,
    ) -> None:
        self.scheme, self.floor = scheme, floor
        self.sharers: dict[str, Budgets] = {}
        self.seen: list[Used] = []
        self.told = self.told_bytes = 0
        self.fleet = size
        chance = random.Random(f"needs {seed}")
        shares = {f"m{n:04d}": chance.choice((0.0, 0.2, 1.0, 3.0)) for n in range(size)}
        self.need = need or (lambda name, now: shares[name] * SIZE / size * 2.0)
        super().__init__(size, seed, **told)
        self.at(0.0, self.look_from_outside)

    def start(self, name: str, wall_ms: int | None = None) -> None:
        super().start(name, wall_ms)
        process = self.members[name]
        chance = random.Random(self.chance.getrandbits(60))
        budgets = self.scheme(name, self.fleet, chance, process.now, self.floor)
        budgets.resize(NAME, SIZE)
        self.sharers[name] = budgets
        self.share(process, budgets)

    def share(self, process: Process, budgets: Budgets) -> None:
        if not process.running:
            return
        if self.now >= process.still_until:
            budgets.set_need(NAME, self.need(process.name, self.now))
            table = process.detector.table
            peers = [record.row.name for record in table.others()]
            self.tell(process, budgets.tick(process.now, process.detector.bounds(process.now), peers))
        lag = 2.0 if self.now < process.lags_until else TICK_INTERVAL_S
        self.at(self.now + lag * self.chance.uniform(0.9, 1.1), lambda: self.share(process, budgets))

    def tell(self, process: Process, told: list[Send]) -> None:
        for one in told:
            self.told += 1
            self.told_bytes += BYTES + UNIT_BYTES * len(one.message.units)
            if self.now >= process.fails_until:
                self.pass_on(process.name, self.ports[one.to], (process.name, one.message))

    def deliver(self, name: str, message: Any) -> None:
        if not isinstance(message, tuple):
            super().deliver(name, message)
            return
        process = self.members.get(name)
        if process is None or not process.running:
            return
        if self.now < process.still_until:
            self.at(process.still_until, lambda: self.deliver(name, message))  # it waits in the socket
            return
        self.tell(process, self.sharers[name].receive(process.now, *message))

    def look_from_outside(self) -> None:
        usable = used = wanted = 0.0
        for name, process in self.members.items():
            if not process.running:
                continue
            need = self.need(name, self.now)
            wanted += need
            if self.now >= process.still_until:
                can = self.sharers[name].usable(NAME, process.now)
                usable += can
                used += min(can, need)
        self.seen.append(Used(self.now, usable, used, wanted))
        self.at(self.now + EVERY_S, self.look_from_outside)
