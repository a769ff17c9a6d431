"""The state machine of a request: the only place that decides whether an effect on it is still allowed.

An effect is decided at one moment and carried out later, when the request may have ended. Each effect
therefore asks here in the same event-loop step as its system call, and is dropped if refused. Invariants:

- a request is sent or retried only after its client was told that it is accepted, and before its end;
- a request is abandoned if its client disconnected before it can be known to have received the acceptance, or
  if a partner's answer is final: calls in flight run to their end, no further call starts, its end is given;
- it is recorded before its client is answered, answered at most once, and ends at most once;
- the platform is notified of an end only after that end;
- a quiescing process sends nothing more; one that has relinquished its folder does nothing more.

Refusals are normal where two sides race (a message ends while its call is being written). Each is counted and
reported by effect, stage and phase. No I/O, no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Stage(IntEnum):
    """The state of a request. Names are logged in lower case."""

    RECEIVED = 0  # read in full; its client waits, and it is not in the journal
    RECORDED = 1  # in the journal, but not accepted: its client still waits
    ANSWERING = 2  # the acceptance is being written; after a crash here it is in doubt
    ACCEPTED = 3  # the acceptance was passed to the operating system in full: an end is owed
    ABANDONED = 4  # as accepted, but no call starts: client lost, or final answer of a partner
    ENDED = 5  # delivered, or answered or notified as refused or failed
    WITHDRAWN = 6  # its client disconnected unanswered: nothing is owed


class Effect(IntEnum):
    """What can be done for a request. Names are logged in lower case."""

    RECORD = 0  # write it to the journal as not yet accepted
    ANSWER = 1  # start writing the acceptance to its client
    ACCEPT = 2  # the acceptance has been written in full
    REJECT = 3  # answer its client that it is refused or failed
    WITHDRAW = 4  # drop it: its client cannot be answered
    SEND = 5  # write the last byte of a call that contains it
    DELIVER = 6  # end it by a partner's answer or acknowledgement
    EXPIRE = 7  # end it with a notice that it is refused or failed
    NOTIFY = 8  # notify the platform of that end
    ABANDON = 9  # start no further call for it


class Phase(IntEnum):
    """What the process as a whole may still do. Names are logged in lower case."""

    SERVING = 0
    QUIESCING = 1  # no call starts; new requests are still accepted
    CLOSED = 2  # new requests are refused; those read before are still answered
    RELINQUISHED = 3  # another process owns all requests


TRANSITIONS: dict[tuple[Stage, Effect], Stage] = {
    (Stage.RECEIVED, Effect.RECORD): Stage.RECORDED,
    (Stage.RECEIVED, Effect.REJECT): Stage.ENDED,
    (Stage.RECEIVED, Effect.WITHDRAW): Stage.WITHDRAWN,
    (Stage.RECORDED, Effect.ANSWER): Stage.ANSWERING,
    (Stage.RECORDED, Effect.REJECT): Stage.ENDED,
    (Stage.RECORDED, Effect.WITHDRAW): Stage.WITHDRAWN,
    (Stage.ANSWERING, Effect.ACCEPT): Stage.ACCEPTED,
    (Stage.ANSWERING, Effect.WITHDRAW): Stage.WITHDRAWN,
    (Stage.ACCEPTED, Effect.SEND): Stage.ACCEPTED,
    (Stage.ACCEPTED, Effect.DELIVER): Stage.ENDED,
    (Stage.ACCEPTED, Effect.EXPIRE): Stage.ENDED,
    (Stage.ACCEPTED, Effect.ABANDON): Stage.ABANDONED,
    (Stage.ABANDONED, Effect.DELIVER): Stage.ENDED,
    (Stage.ABANDONED, Effect.EXPIRE): Stage.ENDED,
    (Stage.ENDED, Effect.NOTIFY): Stage.ENDED,
}
ENDS_WITH = {  # the last phase that allows an effect; all others are allowed up to `CLOSED`
    Effect.SEND: Phase.SERVING,
}


class Request(Protocol):
    """The part of a request that `Lifecycle` uses."""

    number: int
    stage: Stage

    @property
    def id(self) -> bytes:
        """The id that its client gave it."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused effect: the request, its stage, and the phase of the process."""

    request: int
    id: bytes
    effect: Effect
    stage: Stage
    phase: Phase


class Lifecycle:
    """Decides on the effects of all requests of a process. `report` is called for each refusal, `trace` for
    each transition, after the request has its new stage."""

    def __init__(
        self,
        report: Callable[[Refusal], None] = lambda refusal: None,
        trace: Callable[[Request, Effect], None] | None = None,
    ) -> None:
        self.report, self.trace = report, trace
        self.phase = Phase.SERVING
        self.refused: Counter[tuple[Effect, Stage, Phase]] = Counter()

    def enter(self, phase: Phase) -> None:
        """Move to a later phase; earlier phases are ignored."""
        self.phase = max(self.phase, phase)

    def accepting(self) -> bool:
        """Whether new requests are admitted."""
        return self.phase < Phase.CLOSED

    def permits(self, request: Request, effect: Effect) -> bool:
        """Whether the effect is allowed now. A refusal is counted and reported."""
        if self.phase <= ENDS_WITH.get(effect, Phase.CLOSED) and (request.stage, effect) in TRANSITIONS:
            return True
        self.refused[effect, request.stage, self.phase] += 1
        self.report(Refusal(request.number, request.id, effect, request.stage, self.phase))
        return False

    def advance(self, request: Request, effect: Effect) -> bool:
        """As `permits`, and if allowed moves the request to its next stage."""
        if not self.permits(request, effect):
            return False
        request.stage = TRANSITIONS[request.stage, effect]
        if self.trace is not None:
            self.trace(request, effect)
        return True

    def counts(self) -> dict[str, int]:
        """The number of refusals by "effect/stage/phase", for INFO."""
        return {
            f"{effect.name}/{stage.name}/{phase.name}".lower(): count
            for (effect, stage, phase), count in sorted(self.refused.items())
        }
