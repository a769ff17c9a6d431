"""The effect of acknowledgements that arrive after the answer to a call. No I/O, no clock.

A partner may answer 202 and report later, by an event of its own, whether it processed the message. Until
then the attempt is open and may have run. An acknowledgement may be duplicated, late, contradictory or for an
unknown message: each gets exactly one answer, and none may make a message run twice or end twice.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from rushhitch.acceptor import Acknowledgement, Reply, Verdict

MAX_ENDS = 10_000  # ends kept for acknowledgements that may still arrive: 2 MB


class Effect(Enum):
    """What an acknowledgement of an open message does."""

    DELIVER = "end the message as delivered"
    RETRY = "end the attempt with this outcome; the decision module decides what follows"
    AWAIT = "keep the verdict as the outcome of the call in flight until that call ends"
    NOTHING = "none: a duplicate, or nothing is pending"
    LATER = "ask the partner to repeat it: with two attempts in flight its target is ambiguous"
    UNKNOWN = "reject it: the message was never sent"


ACKNOWLEDGED, LATE, DIFFERS, UNKNOWN = map(Reply, ("acknowledged", "late", "differs", "unknown"))
VERDICT_BY_END = {"delivered": Verdict.DELIVERED, "failed": Verdict.RAN, "refused": Verdict.NOT_RUN}


def effect(
    acknowledgement: Acknowledgement,
    marks: list[bytes],
    attempts: int,
    out: int,
    handed: bool,
    heard: bool = False,
) -> Effect:
    """The effect on a message with `attempts` attempts so far, `out` of them in flight. `marks` are those of
    earlier acknowledgements. `handed`: the last attempt was answered with 202 and still lacks its
    acknowledgement. `heard`: the call in flight already has a verdict."""
    if acknowledgement.mark in marks:
        return Effect.NOTHING
    if not attempts:
        return Effect.UNKNOWN
    if acknowledgement.verdict is Verdict.DELIVERED:  # also for an attempt whose connection broke
        return Effect.DELIVER
    if handed:
        return Effect.RETRY
    if not out or heard:
        return Effect.NOTHING
    return Effect.AWAIT if out == 1 else Effect.LATER


class EndHistory:
    """Ends of messages that may still be acknowledged, oldest first. Times are Unix time in seconds."""

    def __init__(self, most: int = MAX_ENDS) -> None:
        self.most = most
        self.ends: OrderedDict[bytes, tuple[str, float]] = OrderedDict()

    def add(self, message: bytes, end: str, until: float) -> None:
        self.ends[message] = (end, until)
        self.ends.move_to_end(message)
        while len(self.ends) > self.most:
            self.ends.popitem(last=False)

    def answer(self, acknowledgement: Acknowledgement, now: float) -> Reply:
        """The reply to an acknowledgement of a message that has ended or is unknown."""
        end, until = self.ends.get(acknowledgement.message, ("", 0.0))
        if now >= until:
            self.ends.pop(acknowledgement.message, None)
            return UNKNOWN
        if VERDICT_BY_END.get(end) is acknowledgement.verdict:
            return ACKNOWLEDGED
        return LATE if end == "failed" else DIFFERS
