"""The seam between calls and the protocol that a partner speaks. A codec does no I/O and reads no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import h11

from crowpier.interface import Outcome


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What an answer says of a message: the outcome of its attempt, whether that `delivered` it, and whether
    it is `final`, so that no further attempt can succeed."""

    outcome: Outcome
    delivered: bool = False
    final: bool = False


ResultsById = dict[bytes, AttemptResult]  # by id


@dataclass(frozen=True, slots=True)
class Attempt:
    """One message in a call. Times are by the clock of the event loop, in seconds."""

    message: int
    number: int
    id: bytes
    body: bytes
    stop_at: float
    due: float = math.inf  # when its message's time is up
    cls: str = ""
    attributes: bytes = b""  # of an event, as a JSON object; empty where the message came in otherwise
    deadline: float = 0.0  # when its time is up, Unix time in seconds
    idempotency: bytes = b""  # the key by which its endpoint knows a repeat; empty without one
    start_by: float = math.inf  # from then on it must not begin: its key helps no more, or it waited too long


@dataclass(frozen=True, slots=True)
class Written:
    """A request, without the headers that any HTTP request has (Host, Content-Length)."""

    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Codec(Protocol):
    """A partner's protocol on HTTP/1.1, one request a call."""

    def max_batch_size(self, most: int) -> int:
        """How many messages a call may hold, where the kind of endpoint takes `most`."""

    def write(self, attempts: list[Attempt], left_ms: float) -> Written:
        """The request of a call that is waited for so long. It must be the same request for the same call."""

    def wait_ms(self, response: h11.Response, now: float) -> float:
        """The wait in milliseconds that an answer tells, 0 without one; `now` is Unix time in seconds."""

    def expects_acknowledgement(self, status: int) -> bool:
        """Whether an answer of that status, a delivery otherwise, says that an acknowledgement is to come."""

    def withdrawn(self, response: h11.Response) -> bool:
        """Whether an answer says that nothing is wanted at this address any more."""

    def results(self, response: h11.Response, body: bytes, ids: list[bytes]) -> ResultsById:
        """What a whole answer says of each message. An `h11.RemoteProtocolError` where it is spoilt."""

    def final(self, head: bytes) -> bool:
        """Whether the beginning of an answer tells that no further attempt can succeed, whatever comes."""

    def delivered(self, head: bytes) -> bool:
        """Whether the beginning of an answer to a call of one message proves its delivery, whatever comes."""
