"""Budgets that the fleet shares: each member's part, and rights lent in pairs. No I/O, no clock.

A budget is so many units (calls a second, or calls at a time) for the whole fleet. A member's own *part*
is the budget by the most members that may be acting (`Bounds.most`), the largest such count of late. What it
does not need it lends, for a *lease*; what it has lent it does not use until the lease is over by its own
clock, with slack. So nothing that is lost, repeated or late makes rights, and those of the dead come back by
themselves:

    The rights in use never pass the budget. At a moment t let S be all whose parts are in use, by themselves
    or by who borrowed them; L is how long a loan is out (`LOAN_S`), G the longest time between two looks at
    the bounds (`STALL_S`). Each of S acted, by its own lease of membership, all through the time from t -
    L - G
    to t - L: a member uses or lends its part only once it has acted for L + G (`PART_DELAY_S`), and what
    it lent is
    over after L. Each of S has looked at its bounds in that time, when all of S acted, and has divided by the
    largest count since. So each part is at most the budget by the number of S.

Who stood still, or whose clock jumped, knows nothing of the time between: for `PART_DELAY_S` it divides by
the
stated fleet as well, and what it lent is out for so much longer.

A *floor*, a share of each budget, is set aside from all that: divided by the stated fleet it is each
process's own from its start on, also where it hears nothing for ever, and is never lent.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rushhitch.membership.view import Bounds
from rushhitch.sharing.messages import (
    ENTRY_BYTES,
    MAX_BUDGETS,
    MAX_PAYLOAD_BYTES,
    LoanGrant,
    LoanRequest,
    Send,
)

LEASE_S = 3.0  # what is borrowed holds so long from when it was asked for, by the borrower's clock
LEASE_SLACK_S = (
    0.5  # the lender counts it for so much longer, and for a part of the lease in which clocks differ
)
MAX_CLOCK_DRIFT = 0.02
TICK_INTERVAL_S = 0.25  # between two looks at the bounds
STALL_S = 0.75  # more than that, and this process stood still
LENDERS_PER_SEARCH = 2  # lenders asked at a look for more, at most
MAX_SEARCH_INTERVAL_S = 2.0  # between two looks for more, where none had any: doubled up to that
RENEW_AFTER_SHARE = 0.5  # of a lease: then it is asked for again
NEED_MARGIN = 1.1  # of its own need a lender keeps, so that it does not borrow the next moment
DEFAULT_FLOOR = 0.1  # of a budget, set aside unless told otherwise
MIN_MISSING_SHARE = 0.02  # of what it wants, which is too little to ask for
LOAN_S = LEASE_S * (1.0 + MAX_CLOCK_DRIFT) + LEASE_SLACK_S
PART_DELAY_S = LOAN_S + STALL_S


def fit_datagram(units: Mapping[str, float]) -> dict[str, float]:
    """As many of them as one message takes."""
    found: dict[str, float] = {}
    room = MAX_PAYLOAD_BYTES
    for name, wanted in units.items():
        room -= len(name.encode()) + ENTRY_BYTES
        if room < 0 or len(found) >= MAX_BUDGETS:
            break
        found[name] = wanted
    return found


@dataclass(slots=True)
class Loan:
    """What another may be using of this member's part, until then."""

    units: float
    until: float


@dataclass(slots=True)
class Budget:
    """One of them, as this member holds it."""

    size: float
    need: float = 0.0  # what this member would use
    lent: dict[str, list[Loan]] = field(default_factory=dict)  # by borrower
    borrowed: dict[str, tuple[int, float, float]] = field(default_factory=dict)  # number, units, end

    def lent_units(self, now: float, excluding: str = "") -> float:
        """Units that others may be using. Of several loans to one of them the largest counts: a later answer
        takes the place of an earlier one, but may have been lost."""
        return sum(
            max((loan.units for loan in loans if now < loan.until), default=0.0)
            for name, loans in self.lent.items()
            if name != excluding
        )

    def borrowed_units(self, now: float) -> float:
        """Units borrowed and not over."""
        for name in [name for name, (_, _, end) in self.borrowed.items() if now >= end]:
            del self.borrowed[name]
        return sum(units for _, units, _ in self.borrowed.values())


class Budgets:
    """One member's. `tick` every `TICK_INTERVAL_S`, `receive` what comes; both give what to tell. `usable`
    is asked at
    each use: what has run out since the last tick is not usable."""

    def __init__(
        self, name: str, fleet_size: int, rng: random.Random, now: float, floor: float = DEFAULT_FLOOR
    ) -> None:
        """`fleet_size` is how many members operators run at most; `floor` a share of each budget, below 1,
        the
        same for all of them."""
        self.name, self.fleet_size, self.rng, self.floor_share = name, fleet_size, rng, floor
        self.budgets: dict[str, Budget] = {}
        self.member_counts: deque[tuple[float, int]] = (
            deque()
        )  # when it looked, and how many may have been acting
        self.ticked_at = now
        self.active_since: float | None = None  # since then it has acted without a break
        self.counts_unknown_until = now + PART_DELAY_S  # it does not know all counts of late
        self.number = 0
        self.pending: dict[int, tuple[str, float]] = {}  # by number: whom, and when
        self.recent_lenders: dict[str, float] = {}  # by member: when it was last found to have some left
        self.failed_searches = 0  # answers in a row that gave nothing
        self.next_search = now

    # What users tell and ask

    def resize(self, name: str, size: float) -> None:
        """The budget's size in units; a smaller one holds for what is lent from now on."""
        if name in self.budgets:
            self.budgets[name].size = size
        else:
            self.budgets[name] = Budget(size)

    def forget(self, name: str) -> None:
        """It is used no more, once what was lent of it is over."""
        if name in self.budgets:
            self.budgets[name].size = 0.0

    def set_need(self, name: str, units: float) -> None:
        """What this member would use of it."""
        self.budgets[name].need = units

    def usable(self, name: str, now: float) -> float:
        """Units that this member may use now."""
        budget = self.budgets[name]
        own = max(self.part(budget, now) - budget.lent_units(now), 0.0)
        return self.floor(budget) + own + budget.borrowed_units(now)

    def floor(self, budget: Budget) -> float:
        """What is this process's, whatever it hears."""
        return (
            budget.size
            * self.floor_share
            / max(self.fleet_size, *(most for _, most in self.member_counts), 1)
        )

    def part(self, budget: Budget, now: float) -> float:
        """Its own, lent or not; none while it does not act, or has not looked of late."""
        if (
            self.active_since is None
            or now - self.active_since < PART_DELAY_S
            or now - self.ticked_at >= STALL_S
        ):
            return 0.0
        most = max(count for at, count in self.member_counts if now - at <= PART_DELAY_S)
        divided = budget.size * (1.0 - self.floor_share)
        return divided / max(most, self.fleet_size if now < self.counts_unknown_until else 1)

    # Time and messages

    def tick(self, now: float, bounds: Bounds, peers: Iterable[str]) -> list[Send]:
        """`bounds` as of now; `peers` are the others that are there."""
        self.observe(now, bounds)
        for number in [n for n, (_, at) in self.pending.items() if now - at >= LEASE_S]:
            del self.pending[number]
        for name, budget in list(self.budgets.items()):
            if not budget.size and not budget.lent_units(now) and not budget.borrowed_units(now):
                del self.budgets[name]
        return self.borrow(now, sorted(peers))

    def observe(self, now: float, bounds: Bounds) -> None:
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap >= STALL_S:
            self.counts_unknown_until = now + PART_DELAY_S
            if self.active_since is not None and now - gap - self.active_since < PART_DELAY_S:
                self.active_since += gap  # who waits has not waited in that time
            for budget in self.budgets.values():
                for loans in budget.lent.values():
                    for loan in loans:
                        loan.until += gap  # a clock that jumped ends no loan
        for budget in self.budgets.values():
            live = {name: [loan for loan in loans if now < loan.until] for name, loans in budget.lent.items()}
            budget.lent = {name: loans for name, loans in live.items() if loans}
        if not bounds.leased:
            self.active_since = None
        elif self.active_since is None:
            self.active_since = now
        self.member_counts.append((now, bounds.most))
        while now - self.member_counts[0][0] > PART_DELAY_S:
            self.member_counts.popleft()

    def receive(self, now: float, sender: str, message: LoanRequest | LoanGrant) -> list[Send]:
        if isinstance(message, LoanGrant):
            self.apply_grant(now, sender, message)
        elif message.is_valid():
            return [Send(sender, LoanGrant(message.number, self.lend(now, sender, message.units)))]
        return []

    # Lending

    def lend(self, now: float, borrower: str, wanted: Mapping[str, float]) -> dict[str, float]:
        """What the borrower may have from now on, all that it had before included."""
        found = {}
        for name, units in wanted.items():
            budget = self.budgets.get(name)
            if budget is None:
                found[name] = 0.0
                continue
            keeps = max(budget.need * NEED_MARGIN - self.floor(budget), 0.0)
            left = self.part(budget, now) - budget.lent_units(now, excluding=borrower) - keeps
            lends = max(min(units, left), 0.0)
            if lends > 0.0:
                budget.lent.setdefault(borrower, []).append(Loan(lends, now + LOAN_S))
            found[name] = lends
        return found

    # Borrowing

    def borrow(self, now: float, peers: list[str]) -> list[Send]:
        """Ask those who lend already before it runs out, and others for what is missing."""
        wanted: dict[str, dict[str, float]] = {}
        searched = False
        for name, budget in self.budgets.items():
            missing = budget.need - self.usable(name, now)
            for lender, (_, units, end) in budget.borrowed.items():
                if lender in peers and end - now < (1.0 - RENEW_AFTER_SHARE) * LEASE_S:
                    wants = max(units + missing, 0.0)  # less, where it needs less
                    wanted.setdefault(lender, {})[name] = wants
                    missing -= max(wants - units, 0.0)
            if missing > MIN_MISSING_SHARE * budget.need and now >= self.next_search:
                searched = True
                for lender in self.lenders(now, peers, excluding=budget.borrowed):
                    wanted.setdefault(lender, {})[name] = missing
        if searched:
            self.next_search = now + min(
                TICK_INTERVAL_S * 2.0 ** min(self.failed_searches, 8), MAX_SEARCH_INTERVAL_S
            )
        told = []
        for lender, units in wanted.items():
            self.number += 1
            self.pending[self.number] = (lender, now)
            told.append(Send(lender, LoanRequest(self.number, fit_datagram(units))))
        return told

    def lenders(self, now: float, peers: list[str], excluding: Mapping[str, object]) -> list[str]:
        """One of those that had some left of late, and one by chance."""
        others = [peer for peer in peers if peer not in excluding and peer != self.name]
        known = [peer for peer in others if now - self.recent_lenders.get(peer, float("-inf")) < LEASE_S]
        chosen = self.rng.sample(known, min(1, len(known)))
        rest = [peer for peer in others if peer not in chosen]
        return chosen + self.rng.sample(rest, min(LENDERS_PER_SEARCH - len(chosen), len(rest)))

    def apply_grant(self, now: float, lender: str, told: LoanGrant) -> None:
        """An answer counts if it was asked for, from when it was, and never after a newer one."""
        asked = self.pending.pop(told.number, None)
        if asked is None or asked[0] != lender:
            return
        end = asked[1] + LEASE_S
        gave = False
        for name, units in told.units.items():
            budget = self.budgets.get(name)
            if budget is None or now >= end or not 0.0 <= units <= budget.size:
                continue
            if budget.borrowed.get(lender, (0,))[0] < told.number:
                budget.borrowed[lender] = (told.number, units, end)
                if units <= 0.0:
                    del budget.borrowed[lender]
                gave |= units > 0.0
        if gave:
            self.recent_lenders[lender], self.failed_searches = now, 0
        else:
            self.recent_lenders.pop(lender, None)
            self.failed_searches += 1
