"""Messages between members about budgets. A request number is meaningful to its sender only. Messages carry
no times: a loan runs from when its request was sent, by the clock of the borrower."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MAX_BUDGETS = 64  # per message; the others follow in later messages
MAX_PAYLOAD_BYTES = 1_200  # of names and units: below the limit of a datagram
ENTRY_BYTES = 12  # per budget in a message, beside its name
MAX_NAME_LENGTH = 200  # characters
MAX_UNITS = 1e12


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks a lender for units, by budget: the total to be borrowed from it, existing loans included."""

    number: int
    units: Mapping[str, float]

    def is_valid(self) -> bool:
        """Whether a correct member can have sent this request."""
        return len(self.units) <= MAX_BUDGETS and all(
            0 < len(name) <= MAX_NAME_LENGTH and math.isfinite(units) and 0.0 <= units < MAX_UNITS
            for name, units in self.units.items()
        )


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """The answer: units that the borrower may use from now on, in place of earlier loans from the lender."""

    number: int  # of the request
    units: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message to the member of that name."""

    to: str
    message: LoanRequest | LoanGrant
