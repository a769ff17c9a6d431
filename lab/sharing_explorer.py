"""Budgets of three members, small enough to walk every interleaving: deliveries, losses, a repeat, a crash
and a restart without what it knew, a leave, one that stands still, needs that change, time.

Membership is played by its word alone: the bounds are the least that they may be, at once. So the explorer
holds for each membership that keeps its property.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lab.explorer import First
from rushhitch.membership.view import Bounds
from rushhitch.sharing.budgets import Budgets
from rushhitch.sharing.messages import LoanGrant, LoanRequest

STEP_S = 0.7  # below the gap that is a standstill
SIZE = 2.0  # units of the budget
MOST_OUT = 3
NEEDS = ({"a": 2.0, "b": 0.0, "c": 0.0}, {"a": 0.0, "b": 2.0, "c": 2.0})


@dataclass
class Small:
    """The fleet, and what is on its way."""

    members: dict[str, Budgets] = field(default_factory=dict)
    out: list[tuple[str, str, LoanRequest | LoanGrant]] = field(default_factory=list)  # from, to
    now: float = 0.0
    still: frozenset[str] = frozenset()
    once: frozenset[str] = frozenset()  # steps that may be taken once, and were
    needs: int = 0

    def start(self, name: str) -> None:
        self.members[name] = Budgets(name, 3, First(), self.now, floor=0.0)  # type: ignore[arg-type]
        self.members[name].resize("x", SIZE)

    def act(self, sender: str, told: list) -> None:
        self.out += [(sender, tell.to, tell.message) for tell in told]

    def tick(self) -> None:
        self.now += STEP_S
        bounds = Bounds(1, len(self.members), True)
        for name, budgets in self.members.items():
            if name not in self.still:
                budgets.set_need("x", NEEDS[self.needs][name])
                peers = [other for other in self.members if other != name]
                self.act(name, budgets.tick(self.now, bounds, peers))

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, to, message = self.out[index] if keep else self.out.pop(index)
        if to in self.members and to not in self.still:
            self.act(to, self.members[to].receive(self.now, sender, message))

    def settle(self) -> None:
        while self.out:
            self.deliver(0)

    def steps(self) -> list[tuple[str, int]]:
        found = [("tick", 0)]
        for index in range(len(self.out)):
            found += [("deliver", index), ("lose", index)]
            if "repeat" not in self.once:
                found.append(("repeat", index))
        found += [(what, 0) for what in ("restart", "leave", "needs", "stop") if what not in self.once]
        if self.still:
            found.append(("go on", 0))
        return found

    def take(self, what: str, index: int) -> None:
        if what in ("repeat", "restart", "leave", "needs", "stop"):
            self.once |= {what}
        match what:
            case "tick":
                self.tick()
            case "deliver":
                self.deliver(index)
            case "lose":
                self.out.pop(index)
            case "repeat":
                self.deliver(index, keep=True)
            case "restart":
                self.start("b")
            case "leave":
                self.members.pop("c", None)
            case "needs":
                self.needs = 1
            case "stop":
                self.still = frozenset("a")
            case "go on":
                self.still = frozenset()
        while len(self.out) > MOST_OUT:
            self.deliver(0)

    def usable(self) -> float:
        return sum(budgets.usable("x", self.now) for budgets in self.members.values())

    def broken(self) -> str | None:
        return f"{self.usable()} of {SIZE} can be in use" if self.usable() > SIZE * (1.0 + 1e-9) else None

    def tells(self) -> list[str]:
        lent = any(budgets.budgets["x"].borrowed for budgets in self.members.values())
        return ["lent"] * lent + ["all can be in use"] * (self.usable() > SIZE * (1.0 - 1e-9))


def met() -> Small:
    """Three that have acted for long enough to use their parts; two of them lend to the third."""
    small = Small()
    for name in "abc":
        small.start(name)
    for _ in range(12):
        small.tick()
        small.settle()
    return small
