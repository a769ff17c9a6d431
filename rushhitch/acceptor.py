"""The seam between the fronts and the core: what a front hands in, and what it hears back. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MAX_BODY_BYTES = 65_536  # bytes of a message
MAX_ID_BYTES = 128  # bytes of its id


@dataclass(frozen=True, slots=True)
class Submission:
    """A message that a client hands in."""

    id: bytes
    cls: str
    destination: int
    left_ms: float
    body: bytes
    key: int = 0
    again: bool = False
    attributes: bytes = b""  # of an event, as a JSON object: they go on with it
    remember: bool = False  # the id names this message for good: past its end too, it is not a new one
    tenant: str = ""  # whose allowance it counts against
    idempotency: bytes = b""  # the key by which its endpoint knows a repeat: goes on with it unchanged


@dataclass(frozen=True, slots=True)
class Reply:
    """What became of an offer, and later of the message. `status` is "taken"; "delivered"; "refused", which
    never ran and may come again after `wait_ms` milliseconds (0: none is told); or "failed", which may have
    run. Of an acknowledgement it is "acknowledged"; "late", where the message was told as failed before;
    "differs", where its end was another; "unknown", where there is no such message; or "refused"."""

    status: str
    wait_ms: float = 0.0


ACCEPTED, DELIVERED, FAILED = Reply("taken"), Reply("delivered"), Reply("failed")
ReplyCallback = Callable[
    [Reply], object
]  # gives False where "taken" did not reach the system whole in this step
ReachabilityCheck = Callable[[], bool]  # whether an answer given now reaches the system in the same step
ClientCheck = Callable[
    [], None
]  # has `Acceptor.abandon` called, in this step, where the client is gone by now


def always_reachable() -> bool:
    """For clients that learn of an acceptance by other means than one answer on one connection."""
    return True


def no_client_check() -> None:
    """For clients whose message is the same one when they hand it in again."""


class Verdict(Enum):
    """What an acknowledgement says of the message."""

    DELIVERED = "delivered"
    RAN = "ran"  # it failed, and may have had its effect
    NOT_RUN = "not-run"  # it had no effect, so it may be sent again


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """One that came in. `message` is the id by which the core knows the message, `mark` is the same for the
    same acknowledgement sent again."""

    destination: int
    message: bytes
    verdict: Verdict
    mark: bytes


class BadRequest(ValueError):
    """The request makes no sense; the text says what is wrong."""


class Pending(BadRequest):
    """A message of that id is being taken on just now: to come again soon is harmless."""


class Acceptor(Protocol):
    """Who decides on what clients hand in: the core."""

    def offer(
        self,
        offer: Submission,
        answer: ReplyCallback,
        ended: ReplyCallback | None = None,
        reachable: ReachabilityCheck = always_reachable,
        check_client: ClientCheck = no_client_check,
    ) -> int:
        """Take the offer; `answer` is called once, soon, with "taken", "refused" or "failed". An offer whose
        client is not `reachable` as it would be taken is refused, and nothing is done for it. After "taken",
        `check_client` is called in the step of each call's last byte, before that byte, and
        `ended` is called once, with the message's end, if this process sees it. An offer with the id of a
        message that is held is that message; one that is remembered past its end is answered with that end.
        Gives a handle, 0 where there is nothing to withdraw; raises `BadRequest`, and then neither is
        called."""

    def acknowledge(self, told: Acknowledgement, answer: ReplyCallback) -> None:
        """A partner's word on a message that it answered before. `answer` is called once, soon."""

    def withdraw(self, handle: int) -> None:
        """The client has gone without its answer. A message whose offer was answered stays."""

    def set_client_check(self, handle: int, check_client: ClientCheck) -> None:
        """From now on that is called before each last byte: the client's connection was passed on."""

    def abandon(self, handle: int, why: str) -> None:
        """The client has gone, and may not have heard that its message is taken. No further call is begun:
        the message ends by the outcome of the one that is out, or by a notice. `why` goes to the log."""
