"""Budgets shared by the fleet: the part of each member, and leased loans between members. No I/O, no clock.

A budget is a number of units (calls per second, or concurrent calls) for the whole fleet. A member's *part*
is the budget divided by the largest recent upper bound of acting members (`Bounds.most`). It lends what it
does not need for a *lease*, and does not use it itself until the lease has ended by its own clock, plus
slack. Lost, repeated or late messages therefore create no units, and units lent to or by a dead member
return without a message.

Invariant: the units in use never exceed the budget. Proof: at time t let S be the members whose parts are in
use, by themselves or by borrowers; L is the duration of a loan at its lender (`LOAN_S`), G the longest gap
between two ticks (`STALL_S`). Each member of S acted, by its own membership lease, from t - L - G to t - L: a
member uses or lends its part only after acting for L + G (`PART_DELAY_S`), and its loans end after L. Each
of S ticked in that time, while all of S acted, and has divided by the largest count since. So each part is
at most the budget divided by the size of S.

A process that stalled, or whose clock jumped, has no counts for the gap. For `PART_DELAY_S` it divides by
at least the stated fleet size, and its loans are extended by the gap.

A *floor*, a fraction of each budget, is excluded from all this. Divided by the stated fleet size it belongs
to each process from its start, even if it never hears from another member, and is never lent.
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

LEASE_S = 3.0  # for the borrower, from its request, by its own clock
LEASE_SLACK_S = 0.5  # added by the lender, beside the drift of clocks
MAX_CLOCK_DRIFT = 0.02  # between two members' clocks, as a fraction of the lease
TICK_INTERVAL_S = 0.25
STALL_S = 0.75  # a longer gap between ticks means that this process stalled
LENDERS_PER_SEARCH = 2
MAX_SEARCH_INTERVAL_S = 2.0  # limit of the exponential back-off after searches that yielded nothing
RENEW_AFTER_SHARE = 0.5  # of the lease
NEED_MARGIN = 1.1  # a lender keeps this multiple of its need, so that it need not borrow at once
DEFAULT_FLOOR = 0.1  # fraction of a budget
MIN_MISSING_SHARE = 0.02  # of the need; less is not worth a request
LOAN_S = LEASE_S * (1.0 + MAX_CLOCK_DRIFT) + LEASE_SLACK_S  # for the lender, from its grant
PART_DELAY_S = LOAN_S + STALL_S  # a member must have acted for this long to use its part


def fit_datagram(units: Mapping[str, float]) -> dict[str, float]:
    """The first of these budgets, as many as fit into one message."""
    fitting: dict[str, float] = {}
    room = MAX_PAYLOAD_BYTES
    for name, amount in units.items():
        room -= len(name.encode()) + ENTRY_BYTES
        if room < 0 or len(fitting) >= MAX_BUDGETS:
            break
        fitting[name] = amount
    return fitting


@dataclass(slots=True)
class Loan:
    """Units of this member's part that a borrower may be using until `until` (seconds)."""

    units: float
    until: float


@dataclass(slots=True)
class Budget:
    """A budget as this member knows it."""

    size: float
    need: float = 0.0  # units that this member would use
    lent: dict[str, list[Loan]] = field(default_factory=dict)  # by borrower
    # By lender: request number, units, end
    borrowed: dict[str, tuple[int, float, float]] = field(default_factory=dict)

    def lent_units(self, now: float, excluding: str = "") -> float:
        """Units that other members may be using. Of several loans to one borrower the largest counts: a later
        grant replaces an earlier one, but may have been lost."""
        return sum(
            max((loan.units for loan in loans if now < loan.until), default=0.0)
            for name, loans in self.lent.items()
            if name != excluding
        )

    def borrowed_units(self, now: float) -> float:
        """Units of the loans that have not ended; drops those that have."""
        for name in [name for name, (_, _, end) in self.borrowed.items() if now >= end]:
            del self.borrowed[name]
        return sum(units for _, units, _ in self.borrowed.values())


class Budgets:
    """The budgets of one member. Its owner runs `tick` every `TICK_INTERVAL_S` and passes what others send
    to `receive`; both return messages to send. Ask `usable` at each use, since loans also end between ticks.
    All times are seconds of one clock."""

    def __init__(
        self, name: str, fleet_size: int, rng: random.Random, now: float, floor: float = DEFAULT_FLOOR
    ) -> None:
        """`fleet_size` is the most members that operators run; `floor` a fraction of each budget, below 1 and
        the same for all members."""
        self.name, self.fleet_size, self.rng, self.floor_share = name, fleet_size, rng, floor
        self.budgets: dict[str, Budget] = {}
        self.member_counts: deque[tuple[float, int]] = deque()  # time, upper bound of acting members
        self.ticked_at = now
        self.active_since: float | None = None  # start of uninterrupted acting
        self.counts_unknown_until = now + PART_DELAY_S  # recent counts are incomplete
        self.last_number = 0  # of this member's requests
        self.pending: dict[int, tuple[str, float]] = {}  # by request number: lender, request time
        self.recent_lenders: dict[str, float] = {}  # by member: time of its last loan
        self.empty_grants = 0  # in succession
        self.next_search = now

    # Interface for users of budgets

    def resize(self, name: str, size: float) -> None:
        """Create the budget, or change its size in units; existing loans stay."""
        if name in self.budgets:
            self.budgets[name].size = size
        else:
            self.budgets[name] = Budget(size)

    def forget(self, name: str) -> None:
        """Remove the budget once its loans have ended."""
        if name in self.budgets:
            self.budgets[name].size = 0.0

    def set_need(self, name: str, units: float) -> None:
        """Set the units that this member would use."""
        self.budgets[name].need = units

    def usable(self, name: str, now: float) -> float:
        """Units that this member may use now: floor, own part less loans, and units borrowed."""
        budget = self.budgets[name]
        own = max(self.part(budget, now) - budget.lent_units(now), 0.0)
        return self.floor(budget) + own + budget.borrowed_units(now)

    def floor(self, budget: Budget) -> float:
        """Units that this process may use at any time, without hearing from other members."""
        return (
            budget.size
            * self.floor_share
            / max(self.fleet_size, *(most for _, most in self.member_counts), 1)
        )

    def part(self, budget: Budget, now: float) -> float:
        """This member's part, lent units included; 0 unless it has acted for `PART_DELAY_S` and ticks."""
        if (
            self.active_since is None
            or now - self.active_since < PART_DELAY_S
            or now - self.ticked_at >= STALL_S
        ):
            return 0.0
        most = max(count for at, count in self.member_counts if now - at <= PART_DELAY_S)
        divisible = budget.size * (1.0 - self.floor_share)
        return divisible / max(most, self.fleet_size if now < self.counts_unknown_until else 1)

    # Time and messages

    def tick(self, now: float, bounds: Bounds, peers: Iterable[str]) -> list[Send]:
        """Return requests for loans. `bounds` are those at `now`, `peers` the other live members."""
        self.observe(now, bounds)
        for number in [n for n, (_, at) in self.pending.items() if now - at >= LEASE_S]:
            del self.pending[number]
        for name, budget in list(self.budgets.items()):
            if not budget.size and not budget.lent_units(now) and not budget.borrowed_units(now):
                del self.budgets[name]
        return self.borrow(now, sorted(peers))

    def observe(self, now: float, bounds: Bounds) -> None:
        """Record the bounds, drop ended loans, and correct for a gap since the last tick."""
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap >= STALL_S:
            self.counts_unknown_until = now + PART_DELAY_S
            if self.active_since is not None and now - gap - self.active_since < PART_DELAY_S:
                self.active_since += gap  # the gap does not count towards the delay
            for budget in self.budgets.values():
                for loans in budget.lent.values():
                    for loan in loans:
                        loan.until += gap  # a clock jump must not end a loan
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
        """Units that the borrower may use from now on, by budget, in place of all earlier loans to it."""
        granted = {}
        for name, units in wanted.items():
            budget = self.budgets.get(name)
            if budget is None:
                granted[name] = 0.0
                continue
            reserved = max(budget.need * NEED_MARGIN - self.floor(budget), 0.0)
            available = self.part(budget, now) - budget.lent_units(now, excluding=borrower) - reserved
            loan = max(min(units, available), 0.0)
            if loan > 0.0:
                budget.lent.setdefault(borrower, []).append(Loan(loan, now + LOAN_S))
            granted[name] = loan
        return granted

    # Borrowing

    def borrow(self, now: float, peers: list[str]) -> list[Send]:
        """Requests to renew loans before they end, and requests to further members for missing units."""
        wanted: dict[str, dict[str, float]] = {}
        searched = False
        for name, budget in self.budgets.items():
            missing = budget.need - self.usable(name, now)
            for lender, (_, units, end) in budget.borrowed.items():
                if lender in peers and end - now < (1.0 - RENEW_AFTER_SHARE) * LEASE_S:
                    renewed = max(units + missing, 0.0)  # `missing` is negative if less is needed
                    wanted.setdefault(lender, {})[name] = renewed
                    missing -= max(renewed - units, 0.0)
            if missing > MIN_MISSING_SHARE * budget.need and now >= self.next_search:
                searched = True
                for lender in self.lenders(now, peers, excluding=budget.borrowed):
                    wanted.setdefault(lender, {})[name] = missing
        if searched:
            self.next_search = now + min(
                TICK_INTERVAL_S * 2.0 ** min(self.empty_grants, 8), MAX_SEARCH_INTERVAL_S
            )
        requests = []
        for lender, units in wanted.items():
            self.last_number += 1
            self.pending[self.last_number] = (lender, now)
            requests.append(Send(lender, LoanRequest(self.last_number, fit_datagram(units))))
        return requests

    def lenders(self, now: float, peers: list[str], excluding: Mapping[str, object]) -> list[str]:
        """Up to `LENDERS_PER_SEARCH` members to ask: one that lent recently, if any, and others at random."""
        others = [peer for peer in peers if peer not in excluding and peer != self.name]
        known = [peer for peer in others if now - self.recent_lenders.get(peer, float("-inf")) < LEASE_S]
        chosen = self.rng.sample(known, min(1, len(known)))
        rest = [peer for peer in others if peer not in chosen]
        return chosen + self.rng.sample(rest, min(LENDERS_PER_SEARCH - len(chosen), len(rest)))

    def apply_grant(self, now: float, lender: str, grant: LoanGrant) -> None:
        """Record loans, which run from the time of the request. A grant that was not requested, is too late,
        or is older than the loan held from this lender is ignored."""
        request = self.pending.pop(grant.number, None)
        if request is None or request[0] != lender:
            return
        end = request[1] + LEASE_S
        granted = False
        for name, units in grant.units.items():
            budget = self.budgets.get(name)
            if budget is None or now >= end or not 0.0 <= units <= budget.size:
                continue
            if budget.borrowed.get(lender, (0,))[0] < grant.number:
                budget.borrowed[lender] = (grant.number, units, end)
                if units <= 0.0:
                    del budget.borrowed[lender]
                granted |= units > 0.0
        if granted:
            self.recent_lenders[lender], self.empty_grants = now, 0
        else:
            self.recent_lenders.pop(lender, None)
            self.empty_grants += 1
