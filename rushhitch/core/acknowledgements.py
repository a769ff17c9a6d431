"""Acknowledgements that come later than the answer to a call: what each one does. No I/O, no clock.

A partner may answer 202 and say later, by an event of its own, whether it did what it was asked. Until then
the attempt is out and may have run. Guards against acknowledgements that are repeated, late, contradictory,
or meant for nobody: each has one answer, and none makes a message run twice or end twice.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from rushhitch.acceptor import Acknowledgement, Reply, Verdict

MOST = 10_000  # ends that are remembered for acknowledgements that still come: 2 MB


class Effect(Enum):
    """What to do with one for a message that is held."""

    DELIVER = "it is over"
    RETRY = "its attempt has this outcome: the decision module says what comes next"
    AWAIT = "its call is still out, and has this outcome once it ends"
    NOTHING = "it tells nothing new"
    LATER = "two attempts are out: which one is meant shows when one has ended"
    UNKNOWN = "nothing was sent"


ACKNOWLEDGED, LATE, DIFFERS, UNKNOWN = map(Reply, ("acknowledged", "late", "differs", "unknown"))
MEANS = {"delivered": Verdict.DELIVERED, "failed": Verdict.RAN, "refused": Verdict.NOT_RUN}


def effect(
    told: Acknowledgement, marks: list[bytes], attempts: int, out: int, handed: bool, heard: bool = False
) -> Effect:
    """What it does to a message with so many `attempts`, of which `out` are in calls; `handed`: the last one
    was answered with 202, and nothing was heard since; `heard`: one has come for the call that is out.
    `marks` are those that were heard before."""
    if told.mark in marks:
        return Effect.NOTHING
    if not attempts:
        return Effect.UNKNOWN
    if told.verdict is Verdict.DELIVERED:  # also of an attempt whose connection broke
        return Effect.DELIVER
    if handed:
        return Effect.RETRY
    if not out or heard:
        return Effect.NOTHING
    return Effect.AWAIT if out == 1 else Effect.LATER


class EndHistory:
    """How messages ended that an acknowledgement may still come for. Times are Unix time in seconds."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.ends: OrderedDict[bytes, tuple[str, float]] = OrderedDict()

    def add(self, message: bytes, end: str, until: float) -> None:
        self.ends[message] = (end, until)
        self.ends.move_to_end(message)
        while len(self.ends) > self.most:
            self.ends.popitem(last=False)

    def answer(self, told: Acknowledgement, now: float) -> Reply:
        """What one for a message hears that is over, or that nobody knows."""
        end, until = self.ends.get(told.message, ("", 0.0))
        if now >= until:
            self.ends.pop(told.message, None)
            return UNKNOWN
        if MEANS.get(end) is told.verdict:
            return ACKNOWLEDGED
        return LATE if end == "failed" else DIFFERS
