"""Runs the budgets of one dispatcher: a timer, and I/O by membership's datagrams. No decisions here.

Imported only if `[sharing]` is configured.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from rushhitch.membership.view import Bounds, Seen, State
from rushhitch.sharing.budgets import TICK_INTERVAL_S, Budgets
from rushhitch.sharing.messages import Send
from rushhitch.sharing.wire import decode, encode

log = logging.getLogger(__name__)

BUDGET_IDLE_S = 30.0  # a budget that was not used for this long is removed
WARNING_INTERVAL_S = 10.0  # between log lines about unreadable messages


class Membership(Protocol):
    """What sharing needs of a member: part of its `View`, and the exchange of payloads with others."""

    carried: Callable[[str, bytes], None] | None
    shared: Callable[[], dict[str, Any]] | None

    def members(self, now: float) -> list[Seen]: ...

    def bounds(self, now: float) -> Bounds: ...

    def carry(self, name: str, payload: bytes) -> None:
        """Send the payload to the member of that name, which receives it at most once."""


def clock() -> float:
    """Seconds that include suspend where the system supports it, since leases end during suspend too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic()


class Sharing:
    """The budgets of one dispatcher. `needs` takes the seconds since its previous call and returns what the
    dispatcher would use of each budget, by name."""

    def __init__(
        self,
        name: str,
        fleet: int,
        floor: float,
        member: Membership,
        needs: Callable[[float], Iterable[tuple[str, float]]],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.member, self.needs, self.name = member, needs, name
        self.budgets = Budgets(name, fleet, random.Random(os.urandom(16)), clock(), floor)
        self.last_used_at: dict[str, float] = {}  # by budget
        self.ticked_at = clock()
        self.timer: asyncio.TimerHandle | None = None
        self.sent_count = self.unreadable_count = 0
        self.warned_at = clock()
        member.carried, member.shared = self.receive, self.report

    def start(self) -> None:
        self.tick()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.member.carried = self.member.shared = None

    def part(self, name: str, size: float) -> float:
        """Units of the budget of that size that this dispatcher may use now."""
        now = clock()
        self.last_used_at[name] = now
        self.budgets.resize(name, size)
        return self.budgets.usable(name, now)

    def tick(self) -> None:
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self.tick)
        now = clock()
        elapsed, self.ticked_at = now - self.ticked_at, now
        for name, need in self.needs(elapsed):
            if name in self.budgets.budgets:
                self.budgets.set_need(name, need)
        for name in [name for name, at in self.last_used_at.items() if now - at >= BUDGET_IDLE_S]:
            del self.last_used_at[name]
            self.budgets.forget(name)
        seen = self.member.members(self.loop.time())
        peers = [peer.name for peer in seen if peer.state == State.ALIVE and peer.name != self.name]
        self.send(self.budgets.tick(now, self.member.bounds(self.loop.time()), peers))

    def receive(self, sender: str, payload: bytes) -> None:
        try:
            message = decode(payload)
        except ValueError as error:
            self.unreadable_count += 1
            if clock() - self.warned_at >= WARNING_INTERVAL_S:
                self.warned_at = clock()
                details = (self.unreadable_count, sender, error)
                log.warning("%d budget messages could not be decoded, the last from %s: %s", *details)
            return
        self.send(self.budgets.receive(clock(), sender, message))

    def send(self, sends: list[Send]) -> None:
        for send in sends:
            self.sent_count += 1
            self.member.carry(send.to, encode(send.message))

    def report(self) -> dict[str, Any]:
        """The output of the `shared` command: units, and times in seconds."""
        now, budgets = clock(), self.budgets
        return {
            "name": self.name,
            "messages": self.sent_count,
            "unreadable": self.unreadable_count,
            "budgets": {
                name: {
                    "size": budget.size,
                    "need": round(budget.need, 3),
                    "floor": round(budgets.floor(budget), 3),
                    "part": round(budgets.part(budget, now), 3),
                    "usable": round(budgets.usable(name, now), 3),
                    "lent": {
                        borrower: {
                            "units": round(max(loan.units for loan in loans), 3),
                            "for_s": round(max(loan.until for loan in loans) - now, 2),
                        }
                        for borrower, loans in budget.lent.items()
                    },
                    "borrowed": {
                        lender: {"units": round(units, 3), "for_s": round(end - now, 2)}
                        for lender, (_, units, end) in budget.borrowed.items()
                    },
                }
                for name, budget in sorted(budgets.budgets.items())
            },
        }
