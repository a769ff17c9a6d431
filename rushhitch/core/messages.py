"""State of the core: open messages, attempts inherited from another process, pending notices."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from rushhitch.acceptor import (
    ClientCheck,
    ReachabilityCheck,
    ReplyCallback,
    Verdict,
    always_reachable,
    no_client_check,
)
from rushhitch.core.lifecycle import Stage
from rushhitch.endpoints import Result
from rushhitch.journal import JournalEntry

BUSY_MS = 500  # retry-after for clients when the limit of open messages or the journal is full


@dataclass(frozen=True, slots=True)
class InheritedAttempt:
    """An attempt that the previous process still runs; times by the monotonic clock that both share."""

    message: int
    attempt: int
    endpoint: str
    call: int
    started: float
    first_due: float


@dataclass(frozen=True, slots=True)
class PendingNotice:
    """A notice to the platform, sent once the journal holds the end or the message's deadline has passed."""

    number: int
    id: bytes
    result: str
    wait_ms: float
    due: float  # deadline of the message, in loop time


@dataclass(slots=True, eq=False)
class Message:
    """An open message of this process; `answer` is None once its client has been answered."""

    number: int
    kept: JournalEntry
    attempts: int
    due: float  # deadline, in loop time (seconds)
    answer: ReplyCallback | None = None
    reachable: ReachabilityCheck = always_reachable  # whether its client can be answered in this step
    check_client: ClientCheck = no_client_check  # called before each call
    stage: Stage = Stage.ACCEPTED  # changed only by `Lifecycle.advance`
    completion_listeners: list[ReplyCallback] = field(default_factory=list)  # called with its end
    informed_clients: int = 1  # clients told of the acceptance, less those that may have missed it
    resumed: bool = False  # accepted by an earlier process
    out: set[int] = field(default_factory=set)
    handed: bool = False  # its partner answered 202; the acknowledgement is pending
    deferred_result: Result | None = (
        None  # of a call that the module sees in flight until the acknowledgement
    )
    announce_later: bool = False  # announce it to the module again once its other attempts have ended
    sink: bytes = b""  # the event's attributes, if its end is to be sent to a sink
    verdict: Verdict | None = None  # of an acknowledgement that arrived before its call ended
    watchdog: asyncio.TimerHandle | None = None

    @property
    def id(self) -> bytes:
        """The id that its client gave it."""
        return self.kept.id

    @property
    def awaits_outcome(self) -> bool:
        """Whether a call that was sent, by this process or one that it inherited from, may still be answered
        or acknowledged. Calls in flight when a process crashed do not count: nobody reads their answers."""
        return self.kept.awaiting_ack is not None or not self.out.isdisjoint(self.kept.out)

    @property
    def over(self) -> bool:
        """Whether it has ended or was withdrawn, so that nothing more is owed."""
        return self.stage >= Stage.ENDED
