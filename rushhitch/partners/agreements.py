"""State of the webhook handshake: which endpoints accept events, and at which rate (abuse protection of "HTTP
1.1 Web Hooks for Event Delivery", CloudEvents 1.0.2, section 4). No I/O, no clock; times are milliseconds.

An endpoint must get no event before it has answered an OPTIONS request with our origin, no more calls than
its stated rate, and none after it has withdrawn, by a later answer or by 410 (section 2.2), since otherwise
we could flood an address that never asked for events. An inconclusive answer (time-out, 5xx, 429) changes
nothing: an agreement outlasts an outage.
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Iterable
from dataclasses import dataclass

RENEW_MS = 600_000.0  # between two requests to an endpoint that has agreed
BACK_OFF_MS, MAX_BACK_OFF_MS = 500.0, 30_000.0  # after no answer: doubled each time
REFUSED_MS, MAX_REFUSED_MS = 5_000.0, 600_000.0  # after a refusal: doubled each time
JITTER = (0.8, 1.2)  # of each delay: dispatchers that start together do not ask together
ANY = "*"
RATE = re.compile(r"[1-9][0-9]{0,8}")  # requests a minute: a positive integer
INCONCLUSIVE = (408, 425, 429)  # statuses below 500 that count as no answer


@dataclass(slots=True)
class Agreement:
    """The state of one endpoint; `per_s` is infinite unless it has stated a rate."""

    agreed: bool = False
    per_s: float = math.inf
    ask_at: float = -math.inf
    unanswered: int = 0  # consecutive requests without an answer
    refused: int = 0  # consecutive refusals
    reason: str = "not asked yet"  # why it has not agreed; empty if it has


class Agreements:
    """The state of all endpoints. `origin` names this installation (a DNS name, section 4.1.1); `rate`, in
    requests a minute, is asked for unless it is 0."""

    def __init__(
        self, origin: str, rate: int = 0, renew_ms: float = RENEW_MS, chance: random.Random | None = None
    ) -> None:
        self.origin, self.rate, self.renew_ms = origin, rate, renew_ms
        self.chance = chance or random.Random()
        self.known: dict[str, Agreement] = {}

    def place(self, endpoint: str) -> None:
        """Add a listed endpoint; a new one is due at once."""
        self.known.setdefault(endpoint, Agreement())

    def remove(self, endpoint: str) -> None:
        self.known.pop(endpoint, None)

    def agreed(self, endpoint: str) -> bool:
        known = self.known.get(endpoint)
        return known is not None and known.agreed

    def per_s(self, endpoint: str) -> float:
        """Calls a second that the endpoint allows."""
        known = self.known.get(endpoint)
        return known.per_s if known is not None and known.agreed else math.inf

    def due(self, now: float, limit: int) -> list[str]:
        """Up to `limit` endpoints to ask now, each due again only after `answered` or `unanswered`. First
        those that answered the last time, or were not asked yet; of each sort who is due longest."""
        due = [
            (known.unanswered > 0, known.ask_at, name)
            for name, known in self.known.items()
            if known.ask_at <= now
        ]
        endpoints = [name for *_, name in sorted(due)[:limit]]
        for name in endpoints:
            self.known[name].ask_at = math.inf
        return endpoints

    def next_at(self) -> float:
        """When the next request is due; infinite while all endpoints are being asked."""
        return min((known.ask_at for known in self.known.values()), default=math.inf)

    def request_headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of the OPTIONS request (sections 4.1.1 and 4.1.3)."""
        headers = [(b"WebHook-Request-Origin", self.origin.encode("ascii"))]
        if self.rate:
            headers.append((b"WebHook-Request-Rate", b"%d" % self.rate))
        return headers

    def answered(
        self, now: float, endpoint: str, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """Apply a response (header names in lower case); returns whether agreement or rate changed."""
        known = self.known.get(endpoint)
        if known is None:
            return False
        if status >= 500 or status in INCONCLUSIVE:
            return self.unanswered(now, endpoint, f"status {status}")
        before = (known.agreed, known.per_s)
        known.unanswered = 0
        known.reason, known.per_s = self.read(status, headers)
        known.agreed = not known.reason
        if known.agreed:
            known.refused = 0
            self.schedule(now, known, self.renew_ms)
        else:
            self.refuse(now, known)
        return (known.agreed, known.per_s) != before

    def read(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> tuple[str, float]:
        """The reason for a refusal, empty for an agreement, and the calls a second (section 4.2)."""
        origins, rates = [], []
        for name, value in headers:
            if name == b"webhook-allowed-origin":
                origins.append(value.decode("latin-1").strip())
            elif name == b"webhook-allowed-rate":
                rates.append(value.decode("latin-1").strip())
        if not 200 <= status < 300:
            return f"status {status}", math.inf
        if len(origins) != 1 or len(rates) > 1:
            return "no WebHook-Allowed-Origin" if not origins else "duplicate header", math.inf
        if origins[0] != ANY and origins[0].lower() != self.origin.lower():
            return f"WebHook-Allowed-Origin is {origins[0][:80]!r}, not {self.origin!r}", math.inf
        if not rates or rates[0] == ANY:
            return "", math.inf
        if not RATE.fullmatch(rates[0]):
            return f"WebHook-Allowed-Rate is {rates[0][:80]!r}, neither requests a minute nor *", math.inf
        return "", int(rates[0]) / 60.0

    def unanswered(self, now: float, endpoint: str, reason: str) -> bool:
        """Schedule a retry after an inconclusive answer or none; the agreement stays as it is."""
        known = self.known.get(endpoint)
        if known is None:
            return False
        known.reason = known.reason if known.agreed else reason
        self.schedule(now, known, min(BACK_OFF_MS * 2.0 ** min(known.unanswered, 16), MAX_BACK_OFF_MS))
        known.unanswered += 1
        return False

    def withdrawn(self, now: float, endpoint: str) -> bool:
        """The endpoint answered a call with 410: no more events until it agrees again."""
        known = self.known.get(endpoint)
        if known is None or not known.agreed:
            return False
        known.agreed, known.reason = False, "status 410 for an event"
        self.refuse(now, known)
        return True

    def refuse(self, now: float, known: Agreement) -> None:
        self.schedule(now, known, min(REFUSED_MS * 2.0 ** min(known.refused, 16), MAX_REFUSED_MS))
        known.refused += 1

    def schedule(self, now: float, known: Agreement, delay_ms: float) -> None:
        known.ask_at = now + delay_ms * self.chance.uniform(*JITTER)
