"""The interface between calls and the protocol of a partner. Codecs do no I/O and read no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import h11

from crowpier.interface import Outcome


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What a response says about a message: the outcome of the attempt, whether the message is `delivered`,
    and whether the result is `final`: no further attempt can succeed."""

    outcome: Outcome
    delivered: bool = False
    final: bool = False


ResultsById = dict[bytes, AttemptResult]  # by message id


@dataclass(frozen=True, slots=True)
class Attempt:
    """One message in a call. Times are in seconds on the event loop's clock unless stated otherwise."""

    message: int
    number: int
    id: bytes
    body: bytes
    stop_at: float
    due: float = math.inf  # deadline of the message
    cls: str = ""
    attributes: bytes = b""  # JSON object; empty unless the message was received as an event
    deadline: float = 0.0  # deadline of the message, Unix time in seconds; 0 if unknown
    idempotency: bytes = b""  # key by which the endpoint detects repeats; empty without one
    repeatable: bool = False  # a second delivery has no effect
    start_by: float = math.inf  # must not begin later: its key has expired, or it waited too long


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """A request without the headers common to all HTTP requests (Host, Content-Length)."""

    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Codec(Protocol):
    """A partner's protocol on HTTP/1.1; each call is one request."""

    def max_batch_size(self, most: int) -> int:
        """The most messages that a call may carry if the kind of endpoint takes up to `most`."""

    def write(self, attempts: list[Attempt], left_ms: float) -> EncodedRequest:
        """Encode a call whose response is awaited for `left_ms`. Must be deterministic: the same call always
        yields the same request."""

    def wait_ms(self, response: h11.Response, now: float) -> float:
        """The wait that a response asks for, 0 without one; `now` is Unix time in seconds."""

    def expects_acknowledgement(self, status: int) -> bool:
        """Whether this status, otherwise that of a delivery, announces an acknowledgement."""

    def withdrawn(self, response: h11.Response) -> bool:
        """Whether a response says that this address takes no further deliveries."""

    def results(self, response: h11.Response, body: bytes, ids: list[bytes]) -> ResultsById:
        """The result for each message. Raises `h11.RemoteProtocolError` if the response is malformed."""

    def final(self, head: bytes) -> bool:
        """Whether the start of a response already shows that no further attempt can succeed."""

    def delivered(self, head: bytes) -> bool:
        """Whether the start of a response to a call of one message already proves its delivery."""
