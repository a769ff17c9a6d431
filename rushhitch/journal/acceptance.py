"""What a start makes of messages that were recorded before their clients were answered. No I/O.

There are two kinds of such records. An early `MESSAGE` (journals without syncs) has been answered if the
answer file says so. An `RECEIVED` (journals with syncs) is followed by an `ACCEPTED` right before its answer, and
by further records only behind it: so without an `ACCEPTED` nobody was told, and an `ACCEPTED` is in doubt only
where it is the journal's last record. A power cut may have taken records with it, and the answer file may be
older than they are: what it does not call answered is then in doubt.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rushhitch.journal.answers import Answered, Marks
from rushhitch.journal.format import JournalEntry


@dataclass(slots=True)
class UnansweredMessages:
    """The messages that are not plainly accepted, by number."""

    unanswered: list[int] = field(default_factory=list)  # nobody was told: they are dropped
    in_doubt: list[int] = field(default_factory=list)  # somebody may have been: they end by a refusal


class AnswerTracker:
    """Follows the records of a journal as it is read."""

    def __init__(self) -> None:
        self.unanswered_at_write: set[int] = set()  # whether they were answered the file tells
        self.unaccepted: dict[int, bytes] = {}  # not accepted so far: the mark of the machine's run
        self.accepted: set[int] = set()  # offered, and accepted later
        self.damaged: set[int] = set()  # offered before records were lost
        self.last_accept = 0  # the message of the newest record, where that is an `ACCEPTED`

    def other_record(self) -> None:
        """Any record but an `ACCEPTED`."""
        self.last_accept = 0

    def message_recorded(self, number: int, unanswered_at_write: bool) -> None:
        """A `MESSAGE`, which replaces what was told of it before."""
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
        """It has ended, or another record says all of it."""
        self.unanswered_at_write.discard(number)
        self.unaccepted.pop(number, None)
        self.accepted.discard(number)
        self.damaged.discard(number)

    def records_lost(self) -> None:
        """Acceptances may have been among what was lost."""
        self.damaged |= set(self.unaccepted)
        self.unaccepted.clear()

    def classify(
        self, live: Mapping[int, JournalEntry], marks: Marks | None, boot: bytes
    ) -> UnansweredMessages:
        """What became of them; `boot` marks the present run of the machine, zeros where that is not known."""
        unanswered_messages = UnansweredMessages()
        same_run = any(boot)
        exact = marks if marks is not None and same_run and marks.boot == boot else None
        for number in sorted(self.unanswered_at_write | set(self.unaccepted) | self.accepted | self.damaged):
            entry = live[number]
            if entry.attempts or entry.notice is not None:
                continue  # it was sent, or ended, behind its answer
            state = self.state(number, marks, exact, same_run and self.unaccepted.get(number) == boot)
            if state is Answered.NO:
                unanswered_messages.unanswered.append(number)
            elif state is Answered.IN_DOUBT:
                unanswered_messages.in_doubt.append(number)
        return unanswered_messages

    def state(
        self, number: int, marks: Marks | None, exact: Marks | None, received_this_boot: bool
    ) -> Answered:
        if received_this_boot:
            return Answered.NO
        if exact is not None and number not in self.unaccepted and number not in self.damaged:
            return exact.state(number)
        if marks is not None and marks.state(number) is not Answered.NO:
            return marks.state(number)
        if number in self.accepted and number != self.last_accept:
            return Answered.YES
        return Answered.IN_DOUBT
