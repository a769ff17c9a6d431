"""Decides at a start what becomes of messages that were recorded before their clients were answered. No I/O.

There are two kinds of such records. A `MESSAGE` flagged as unanswered (journals without syncs) was answered
if the answer file says so. A `RECEIVED` (journals with syncs) is followed by an `ACCEPTED` right before its
answer, and by further records only after that. So without an `ACCEPTED` the client was not answered, and an
`ACCEPTED` is in doubt only if it is the last record of the journal. A power failure may have lost records,
and the answer file may be older than they are: what it does not call answered is then in doubt.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rushhitch.journal.answers import Answered, Marks
from rushhitch.journal.format import JournalEntry


@dataclass(slots=True)
class UnansweredMessages:
    """Numbers of the messages that are not known to be accepted."""

    unanswered: list[int] = field(default_factory=list)  # their clients were not answered: they are dropped
    in_doubt: list[int] = field(default_factory=list)  # their clients may have been: they end with a refusal


class AnswerTracker:
    """Tracks acceptance while the records of a journal are replayed."""

    def __init__(self) -> None:
        self.unanswered_at_write: set[int] = set()  # answered if the answer file says so
        self.unaccepted: dict[int, bytes] = {}  # boot mark of received messages
        self.accepted: set[int] = set()  # received, and accepted later
        self.damaged: set[int] = set()  # received before records were lost
        self.last_accept = 0  # the message of the last record, if that is an `ACCEPTED`

    def other_record(self) -> None:
        """Called for every record but an `ACCEPTED`."""
        self.last_accept = 0

    def message_recorded(self, number: int, unanswered_at_write: bool) -> None:
        """Apply a `MESSAGE`, which replaces earlier records of its number."""
        self.forget(number)
        if unanswered_at_write:
            self.unanswered_at_write.add(number)

    def message_received(self, number: int, boot: bytes) -> None:
        self.forget(number)
        self.unaccepted[number] = boot

    def message_accepted(self, number: int) -> None:
        if self.unaccepted.pop(number, None) is not None or number in self.damaged:
            self.damaged.discard(number)
            self.accepted.add(number)
        self.last_accept = number

    def forget(self, number: int) -> None:
        """The message has ended, or a newer record holds its whole state."""
        self.unanswered_at_write.discard(number)
        self.unaccepted.pop(number, None)
        self.accepted.discard(number)
        self.damaged.discard(number)

    def records_lost(self) -> None:
        """`ACCEPTED` records may be among the lost ones."""
        self.damaged |= set(self.unaccepted)
        self.unaccepted.clear()

    def classify(
        self, live: Mapping[int, JournalEntry], marks: Marks | None, boot: bytes
    ) -> UnansweredMessages:
        """Classify all tracked messages. `boot` is the mark of the present boot, zeros if unknown."""
        result = UnansweredMessages()
        boot_known = any(boot)
        current_marks = marks if marks is not None and boot_known and marks.boot == boot else None
        for number in sorted(self.unanswered_at_write | set(self.unaccepted) | self.accepted | self.damaged):
            entry = live[number]
            if entry.attempts or entry.notice is not None:
                continue  # sent or ended, which happens only after its answer
            state = self.state(
                number, marks, current_marks, boot_known and self.unaccepted.get(number) == boot
            )
            if state is Answered.NO:
                result.unanswered.append(number)
            elif state is Answered.IN_DOUBT:
                result.in_doubt.append(number)
        return result

    def state(
        self, number: int, marks: Marks | None, current_marks: Marks | None, received_this_boot: bool
    ) -> Answered:
        if received_this_boot:
            return Answered.NO
        if current_marks is not None and number not in self.unaccepted and number not in self.damaged:
            return current_marks.state(number)
        if marks is not None and marks.state(number) is not Answered.NO:
            return marks.state(number)
        if number in self.accepted and number != self.last_accept:
            return Answered.YES
        return Answered.IN_DOUBT
