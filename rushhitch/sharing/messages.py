"""What members tell each other of budgets. A number means something to its sender alone, and no time goes
over the wire: an answer counts by when its question was sent, on the clock of who asked."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MAX_BUDGETS = 64  # in one message: what has no room goes with the next
MAX_PAYLOAD_BYTES = 1_200  # of names and units: below a datagram's limit
ENTRY_BYTES = 12  # of a budget in a message, beside its name
MAX_NAME_LENGTH = 200  # characters
MAX_UNITS = 1e12


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks to borrow rights, by budget: all that the asker wants to hold of this lender, what it holds now
    included."""

    number: int
    units: Mapping[str, float]

    def is_valid(self) -> bool:
        """Whether it is one that a member can have sent."""
        return len(self.units) <= MAX_BUDGETS and all(
            0 < len(name) <= MAX_NAME_LENGTH and math.isfinite(units) and 0.0 <= units < MAX_UNITS
            for name, units in self.units.items()
        )


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Answers it: what the asker may use of the lender's rights from then on, in place of all before."""

    number: int
    units: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Send:
    """Send that to the member of that name."""

    to: str
    message: LoanRequest | LoanGrant
