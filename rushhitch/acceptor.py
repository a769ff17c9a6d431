"""The interface between the fronts and the core: submissions, replies, acknowledgements. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MAX_BODY_BYTES = 65_536  # bytes of a message
MAX_ID_BYTES = 128  # bytes of its id


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as a client submits it; `left_ms` is the time until its deadline."""

    id: bytes
    cls: str
    destination: int
    left_ms: float
    body: bytes
    key: int = 0
    again: bool = False
    attributes: bytes = b""  # of an event, as a JSON object; forwarded with it
    remember: bool = False  # the id stays taken after the end: a resubmission is a duplicate
    tenant: str = ""  # whose rate allowance it uses
    idempotency: bytes = b""  # by which its endpoint detects a duplicate; forwarded unchanged


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of a submission, and later of the message. `status` is "taken" (accepted); "delivered";
    "refused": it never ran, and may be resubmitted after `wait_ms` milliseconds (0: unspecified); or
    "failed": it may have run. For an acknowledgement it is "acknowledged"; "late": the message was reported
    as failed before; "differs": it ended in another way; "unknown": there is no such message; or
    "refused"."""

    status: str
    wait_ms: float = 0.0


ACCEPTED, DELIVERED, FAILED = Reply("taken"), Reply("delivered"), Reply("failed")
# Returns False if "taken" was not written to the socket in full in this step.
ReplyCallback = Callable[[Reply], object]
ReachabilityCheck = Callable[[], bool]  # whether a reply given now is written to the socket in the same step
ClientCheck = Callable[[], None]  # calls `Acceptor.abandon` synchronously if the client has disconnected


def always_reachable() -> bool:
    """For clients that can learn of the acceptance by other means than this reply."""
    return True


def no_client_check() -> None:
    """For clients whose resubmission is recognised as the same message."""


class Verdict(Enum):
    """The outcome that an acknowledgement reports."""

    DELIVERED = "delivered"
    RAN = "ran"  # it failed, and may have taken effect
    NOT_RUN = "not-run"  # it had no effect, so it may be retried


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A partner's later report on a message. `message` is the core's id of the message; `mark` identifies the
    acknowledgement, so that a duplicate is recognised."""

    destination: int
    message: bytes
    verdict: Verdict
    mark: bytes


class BadRequest(ValueError):
    """The request is invalid; the text, which the client is sent, says why."""


class Pending(BadRequest):
    """A message with this id is being accepted at this moment; the client may retry soon."""


class Acceptor(Protocol):
    """Decides on submissions. Implemented by the core, called by the fronts."""

    def offer(
        self,
        offer: Submission,
        answer: ReplyCallback,
        ended: ReplyCallback | None = None,
        reachable: ReachabilityCheck = always_reachable,
        check_client: ClientCheck = no_client_check,
    ) -> int:
        """Submit a message. `answer` is called once, soon, with "taken", "refused" or "failed". If the client
        is not `reachable` when the message would be accepted, the message is refused and nothing is sent.
        After "taken", `check_client` is called right before the last byte of each call is written, and
        `ended` is called once with the message's end, if this process sees it. A submission with the id of an
        open message is a duplicate of it; with a remembered id it is answered with the end of that message.
        Returns a handle for `withdraw`, or 0 if there is nothing to withdraw. Raises `BadRequest`, in which
        case neither callback is called."""

    def acknowledge(self, acknowledgement: Acknowledgement, answer: ReplyCallback) -> None:
        """Process a partner's acknowledgement of an earlier call. `answer` is called once, soon."""

    def withdraw(self, handle: int) -> None:
        """Drop a submission whose client has gone unanswered. No effect once it was answered."""

    def set_client_check(self, handle: int, check_client: ClientCheck) -> None:
        """Replace the check of a message whose client connection was taken over from another process."""

    def abandon(self, handle: int, why: str) -> None:
        """Stop sending a message whose client has gone and may not have received the acceptance. No further
        call starts: the message ends with the outcome of the call in flight, or with a notice. `why` is
        logged."""
