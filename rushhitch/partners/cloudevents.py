"""Codec for partners that receive CloudEvents (HTTP binding 1.0.2; responses by "HTTP 1.1 Web Hooks for Event
Delivery", section 2.2, and RFC 9110). Imported only if a destination is configured for it.

A message that was received as an event keeps all its attributes; others become events of their class's type.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

import h11
import msgspec

from crowpier.interface import Outcome
from rushhitch.cloudevents.events import SPECVERSION, Event
from rushhitch.cloudevents.http import encode_batch, encode_binary, encode_structured
from rushhitch.partners.codec import Attempt, AttemptResult, EncodedRequest, ResultsById

MODES = ("binary", "structured", "batch")
MAX_WAIT_MS = 86_400_000.0  # a day: a longer wait is probably an error and would block a partner for good
DELIVERED = re.compile(rb"HTTP/1\.[01] 2\d\d( [^\n]*)?\r?\n")
DEFAULT_CONTENT_TYPE = "application/octet-stream"  # for messages received without a content type
OVERLOADED = (429, 503)  # rejected for now, not processed
ACCEPTED = 202  # "received but not processed yet" (web hooks page, section 2.2)
GONE = 410  # the address is retired: no further deliveries (web hooks page, section 2.2)
MAYBE_PROCESSED = (409, 423, 424)  # the conflict may be with an earlier attempt of the same event
_read = msgspec.json.Decoder().decode


class CloudEvents:
    """See `Codec`. `types`: event type by class, for messages not received as events; defaults to the name of
    the class. With `acknowledged`, 202 means that an event with the final outcome follows."""

    def __init__(
        self, mode: str, source: str, types: Mapping[str, str], path: str = "/", acknowledged: bool = False
    ) -> None:
        self.mode, self.source, self.types, self.path = mode, source, types, path
        self.acknowledged = acknowledged

    def max_batch_size(self, most: int) -> int:
        return most if self.mode == "batch" else 1

    def write(self, attempts: list[Attempt], left_ms: float) -> EncodedRequest:
        events = [self.event_of(attempt) for attempt in attempts]
        if self.mode == "binary":
            headers, body = encode_binary(events[0])
        elif self.mode == "structured":
            headers, body = encode_structured(events[0])
        else:
            headers, body = encode_batch(events)
        return EncodedRequest(
            self.path, [(name.encode(), value.encode("latin-1")) for name, value in headers], body
        )

    def event_of(self, attempt: Attempt) -> Event:
        """Every attempt must yield the same event, so that the partner can deduplicate by its id."""
        if attempt.attributes:
            attributes = _read(attempt.attributes)
            empty = not attempt.body and "datacontenttype" not in attributes
            return Event(attributes, None if empty else attempt.body)
        attributes = {
            "specversion": SPECVERSION,
            "id": attempt.id.decode("latin-1"),
            "source": self.source,
            "type": self.types.get(attempt.cls, attempt.cls),
            "datacontenttype": DEFAULT_CONTENT_TYPE,
        }
        if attempt.deadline:
            until = datetime.fromtimestamp(attempt.deadline, UTC)
            attributes["expirytime"] = until.isoformat(timespec="milliseconds").replace("+00:00", "Z")
        return Event(attributes, attempt.body)

    def wait_ms(self, response: h11.Response, now: float) -> float:
        """`Retry-After` of a 429 or 503, seconds or a date (RFC 9110, section 10.2.3); 0 if it is malformed
        or has passed."""
        if response.status_code not in OVERLOADED:
            return 0.0
        for name, value in response.headers:
            if name == b"retry-after":
                return retry_after_ms(value.decode("latin-1").strip(), now)
        return 0.0

    def expects_acknowledgement(self, status: int) -> bool:
        return self.acknowledged and status == ACCEPTED

    def withdrawn(self, response: h11.Response) -> bool:
        return response.status_code == GONE

    def results(self, response: h11.Response, body: bytes, ids: list[bytes]) -> ResultsById:
        return dict.fromkeys(ids, result_from_status(response.status_code))

    def final(self, head: bytes) -> bool:
        return False

    def delivered(self, head: bytes) -> bool:
        return DELIVERED.match(head) is not None


def retry_after_ms(value: str, now: float) -> float:
    if value.isascii() and value.isdecimal():
        return min(float(value[:12]) * 1000.0, MAX_WAIT_MS)
    try:
        at = parsedate_to_datetime(value)
    except (ValueError, TypeError, OverflowError):
        return 0.0
    at = at if at.tzinfo else at.replace(tzinfo=UTC)
    return min(max((at.timestamp() - now) * 1000.0, 0.0), MAX_WAIT_MS)


def result_from_status(status: int) -> AttemptResult:
    """The result of an attempt; the table is in docs/operators/cloudevents.md."""
    if 200 <= status < 300:
        return AttemptResult(Outcome.OK, delivered=True)
    if status in OVERLOADED:
        return AttemptResult(Outcome.FULL)
    if status in MAYBE_PROCESSED or status >= 500:
        return AttemptResult(Outcome.ERROR)
    return AttemptResult(Outcome.NOT_EXECUTED)  # 3xx and 4xx: not processed; redirects are not followed
