"""The model of requests on a disk that fails for a while: what is noted meanwhile a kill forgets.

Nothing that needs a record is done then: no message is taken on, no answer is begun, no last byte is written
behind an attempt that was not recorded. Ends go on: the platform is told of one that the disk does not take
once the message's time is up, and the next process, which reads that time from the folder, does not send it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lab.explorer import Step
from lab.lifecycle_explorer import Requests
from lab.lifecycle_model import Call, Look, Message, Notice
from rushhitch.core.lifecycle import Effect

NEED_A_RECORD = ("record", "begin_answer", "record_attempts", "flush", "write_late")
ON_DISK = ("disk", "notice", "tries", "open_tries", "ran")


@dataclass
class FailingDisk(Requests):
    """See above; the disk fails once."""

    faults: int = 1
    written: list[Message] = field(default_factory=list)  # what is on the disk, while it fails
    out_of_time: list[int] = field(default_factory=list)

    @property
    def failing(self) -> bool:
        return bool(self.written)

    def steps(self) -> list[Step]:
        found = super().steps()
        if not found or not self.alive:
            return found
        if self.failing:
            found = [step for step in found if step[0] not in NEED_A_RECORD]
            found += [("hold_back", at) for at, call in enumerate(self.calls) if not call.stage]
            found.append(("disk_heals", 0))
        elif self.faults:
            found.append(("disk_fails", 0))
        return found

    def take(self, what: str, index: int) -> None:
        if what == "hold_back":
            self.hold_back(self.calls[index])
        else:
            super().take(what, index)

    def sendable(self) -> list[int]:
        return [index for index in super().sendable() if index not in self.out_of_time]

    def disk_fails(self, message: Message) -> None:
        self.faults -= 1
        self.written = [replace(other) for other in self.messages]

    def disk_heals(self, message: Message) -> None:
        """All that was noted is written now."""
        self.written = []

    def hold_back(self, call: Call) -> None:
        """The disk does not take the record of its attempts."""
        for index in list(call.carried):
            self.end_attempt(call, self.messages[index])

    def mark_answered(self, message: Message) -> None:
        marks = self.marks
        super().mark_answered(message)
        if self.failing:
            self.marks = marks  # in doubt, until the next answer

    def notify(self, message: Message) -> None:
        unwritten = self.failing and message.notice is not self.written[message.index].notice
        if unwritten and self.permits(message, Effect.NOTIFY):
            self.out_of_time = sorted({*self.out_of_time, message.index})  # it is told because of that
            if self.written[message.index].tries and self.has(Look.UNWRITTEN):
                message.notice = Notice.DEAD
        super().notify(message)

    def end(self) -> None:
        super().end()
        for before in self.written:
            message = self.messages[before.index]
            for name in ON_DISK:
                setattr(message, name, getattr(before, name))
            message.known_over = before.known_over  # the folder could not be told
        self.written = []

    def resume(self, message: Message) -> None:
        if not message.tries:  # what was tried was answered, whatever the marks say
            super().resume(message)

    def tells(self) -> Iterable[str]:
        yield from super().tells()
        if self.failing:
            yield "failing"
        if self.out_of_time:
            yield "out of time"
