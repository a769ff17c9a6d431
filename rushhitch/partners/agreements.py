"""Which partners have agreed to be sent events, and how fast: the abuse protection of the HTTP 1.1 Web Hooks
for Event Delivery page (CloudEvents 1.0.2, section 4). No I/O, no clock; times are milliseconds.

Guards against a sender that floods an address which never asked for events: an endpoint gets nothing until it
has answered an OPTIONS request with our origin, no more calls than the rate that it states, and nothing any
more once it takes that back, by a later answer or by 410 (section 2.2). What is no answer (a time-out, 5xx,
429) changes nothing: an agreement outlasts an outage.
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Iterable
from dataclasses import dataclass

RENEW_MS = 600_000.0  # between two questions to one that has agreed
BACK_OFF_MS, BACK_OFF_TOP_MS = 500.0, 30_000.0  # after no answer: doubled each time
REFUSED_MS, REFUSED_TOP_MS = 5_000.0, 600_000.0  # after a no: doubled each time
JITTER = (0.8, 1.2)  # of each rest: dispatchers that start together do not ask together
ANY = "*"
RATE = re.compile(r"[1-9][0-9]{0,8}")  # requests a minute, as the page has it: a positive integer
UNANSWERED = (408, 425, 429)  # statuses below 500 that decide nothing


@dataclass(slots=True)
class Agreement:
    """One endpoint; `per_s` is infinite where it agreed and stated no rate."""

    agreed: bool = False
    per_s: float = math.inf
    ask_at: float = -math.inf
    vain: int = 0  # questions without an answer, in a row
    refused: int = 0  # answers that were a no, in a row
    why: str = "not asked yet"  # it is not agreed


class Agreements:
    """All endpoints that are asked. `origin` names this installation (a DNS name, section 4.1.1); `rate` is
    how many requests a minute are asked for, 0 to ask for none."""

    def __init__(
        self, origin: str, rate: int = 0, renew_ms: float = RENEW_MS, chance: random.Random | None = None
    ) -> None:
        self.origin, self.rate, self.renew_ms = origin, rate, renew_ms
        self.chance = chance or random.Random()
        self.known: dict[str, Agreement] = {}

    def place(self, endpoint: str) -> None:
        """The endpoint is listed; a new one is asked at once."""
        self.known.setdefault(endpoint, Agreement())

    def remove(self, endpoint: str) -> None:
        self.known.pop(endpoint, None)

    def agreed(self, endpoint: str) -> bool:
        known = self.known.get(endpoint)
        return known is not None and known.agreed

    def per_s(self, endpoint: str) -> float:
        """Calls a second that it allows."""
        known = self.known.get(endpoint)
        return known.per_s if known is not None and known.agreed else math.inf

    def due(self, now: float, most: int) -> list[str]:
        """Those to ask now. Each is due again only after an answer, or word that none came."""
        found = [name for name, known in self.known.items() if known.ask_at <= now][:most]
        for name in found:
            self.known[name].ask_at = math.inf
        return found

    def next_at(self) -> float:
        """When the next question is due; infinite while all are being asked."""
        return min((known.ask_at for known in self.known.values()), default=math.inf)

    def question(self) -> list[tuple[bytes, bytes]]:
        """The headers of the OPTIONS request (sections 4.1.1 and 4.1.3)."""
        headers = [(b"WebHook-Request-Origin", self.origin.encode("ascii"))]
        if self.rate:
            headers.append((b"WebHook-Request-Rate", b"%d" % self.rate))
        return headers

    def answered(
        self, now: float, endpoint: str, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """An answer to a question; whether that changes what holds. Header names are in lower case."""
        known = self.known.get(endpoint)
        if known is None:
            return False
        if status >= 500 or status in UNANSWERED:
            return self.unanswered(now, endpoint, f"status {status}")
        before = (known.agreed, known.per_s)
        known.vain = 0
        known.why, known.per_s = self.read(status, headers)
        known.agreed = not known.why
        if known.agreed:
            known.refused = 0
            self.rest(now, known, self.renew_ms)
        else:
            self.refuse(now, known)
        return (known.agreed, known.per_s) != before

    def read(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> tuple[str, float]:
        """What speaks against an agreement, empty where nothing does, and calls a second (section 4.2)."""
        origins, rates = [], []
        for name, value in headers:
            if name == b"webhook-allowed-origin":
                origins.append(value.decode("latin-1").strip())
            elif name == b"webhook-allowed-rate":
                rates.append(value.decode("latin-1").strip())
        if not 200 <= status < 300:
            return f"status {status}", math.inf
        if len(origins) != 1 or len(rates) > 1:
            return "no WebHook-Allowed-Origin" if not origins else "a header that is there twice", math.inf
        if origins[0] != ANY and origins[0].lower() != self.origin.lower():
            return f"WebHook-Allowed-Origin is {origins[0][:80]!r}, not {self.origin!r}", math.inf
        if not rates or rates[0] == ANY:
            return "", math.inf
        if not RATE.fullmatch(rates[0]):
            return f"WebHook-Allowed-Rate is {rates[0][:80]!r}: no requests a minute, nor *", math.inf
        return "", int(rates[0]) / 60.0

    def unanswered(self, now: float, endpoint: str, why: str) -> bool:
        """Nothing came that decides; what held goes on holding."""
        known = self.known.get(endpoint)
        if known is None:
            return False
        known.why = known.why if known.agreed else why
        self.rest(now, known, min(BACK_OFF_MS * 2.0 ** min(known.vain, 16), BACK_OFF_TOP_MS))
        known.vain += 1
        return False

    def withdrawn(self, now: float, endpoint: str) -> bool:
        """It answered a call with 410: it wants nothing any more, until it agrees anew."""
        known = self.known.get(endpoint)
        if known is None or not known.agreed:
            return False
        known.agreed, known.why = False, "410 on an event"
        self.refuse(now, known)
        return True

    def refuse(self, now: float, known: Agreement) -> None:
        self.rest(now, known, min(REFUSED_MS * 2.0 ** min(known.refused, 16), REFUSED_TOP_MS))
        known.refused += 1

    def rest(self, now: float, known: Agreement, ms: float) -> None:
        known.ask_at = now + ms * self.chance.uniform(*JITTER)
