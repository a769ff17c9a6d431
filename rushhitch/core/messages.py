"""What the core keeps of a message, and of an attempt that another process carries to its end."""

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

BUSY_MS = 500  # told to a client where the house or the journal is full


@dataclass(frozen=True, slots=True)
class InheritedAttempt:
    """An attempt that the process before this one carries to its end; times by the clock that both have."""

    message: int
    attempt: int
    endpoint: str
    call: int
    started: float
    first_due: float


@dataclass(frozen=True, slots=True)
class PendingNotice:
    """An end of which the platform is told once the journal has it, or the message's time is up."""

    number: int
    id: bytes
    result: str
    wait_ms: float
    due: float  # when that time is up, by the clock of the event loop


@dataclass(slots=True, eq=False)
class Message:
    """A message of this process; `answer` is there until its client has been answered."""

    number: int
    kept: JournalEntry
    attempts: int
    due: float  # when its time is up, by the clock of the event loop, in seconds
    answer: ReplyCallback | None = None
    reachable: ReachabilityCheck = always_reachable  # whether that client can be answered in this step
    check_client: ClientCheck = no_client_check  # asked before each call
    stage: Stage = Stage.ACCEPTED  # changed by `Lifecycle.advance` alone
    completion_listeners: list[ReplyCallback] = field(default_factory=list)  # those who want to hear its end
    hearers: int = 1  # clients that were answered that it is accepted, less those that cannot have heard
    resumed: bool = False  # an earlier process accepted it
    out: set[int] = field(default_factory=set)
    handed: bool = False  # the module is done with it; its partner's acknowledgement is to come
    pending: Result | None = None  # of a call that to the module is out until the acknowledgement comes
    waiting: bool = False  # the module hears of it anew once its other attempts have ended
    sink: bytes = b""  # the event's attributes, where its end is to be told to a sink
    verdict: Verdict | None = None  # one that came before its call had ended
    watchdog: asyncio.TimerHandle | None = None

    @property
    def id(self) -> bytes:
        """As its client calls it."""
        return self.kept.id

    @property
    def awaits_outcome(self) -> bool:
        """Whether a call that has gone out, of this process or one that it goes on for, may still be answered
        or acknowledged. One that was out at a kill is not: nobody waits for its answer."""
        return self.kept.awaiting_ack is not None or not self.out.isdisjoint(self.kept.out)

    @property
    def over(self) -> bool:
        """Whether nothing more is owed for it."""
        return self.stage >= Stage.ENDED
